package httpstrict

import (
	"testing"

	"github.com/shoenig/test"
)

func TestRequestLines(t *testing.T) {
	for _, line := range [][2]string{{"", "/"}, {"G ET", "/"}, {"GET\r", "/"}, {"GET", ""}, {"GET", "/a b"}, {"GET", "/a\r\nX: y"}, {"GET", "/\x00"}, {"GET", "/\x7f"}} {
		test.Error(t, CheckRequestLine(line[0], line[1]), test.Sprintf("%q", line))
	}
	for _, line := range [][2]string{{"GET", "/"}, {"PURGE", "/a?b=%zz#c"}, {"get", "//a/ü"}, {"OPTIONS", "*"}} {
		test.NoError(t, CheckRequestLine(line[0], line[1]), test.Sprintf("%q", line))
	}
}
