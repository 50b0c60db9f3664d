package httpstrict

import (
	"testing"

	"github.com/shoenig/test"
)

func TestStatusOfAFinalResponse(t *testing.T) {
	for _, status := range []int{-1, 0, 1, 99, 100, 101, 103, 199, 1000} {
		test.Error(t, CheckStatus(status), test.Sprint(status))
	}
	for _, status := range []int{200, 204, 304, 404, 503, 599, 600, 999} {
		test.NoError(t, CheckStatus(status), test.Sprint(status))
	}
}

func TestStatusOfAnInterimResponse(t *testing.T) {
	for _, status := range []int{0, 99, 101, 200, 500} {
		test.False(t, IsInterim(status), test.Sprint(status))
	}
	for _, status := range []int{100, 102, 103, 199} {
		test.True(t, IsInterim(status), test.Sprint(status))
	}
}
