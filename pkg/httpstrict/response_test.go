package httpstrict

import (
	"net/http"
	"testing"

	"github.com/shoenig/test"
)

func TestHeadOfAResponse(t *testing.T) {
	for _, resp := range []http.Response{
		{ProtoMajor: 2, StatusCode: 200}, {ProtoMajor: 0, StatusCode: 200}, {ProtoMajor: 1, StatusCode: 0}, {ProtoMajor: 1, StatusCode: 101},
		{ProtoMajor: 1, StatusCode: 200, Header: http.Header{"X ": {"y"}}}, {ProtoMajor: 1, StatusCode: 100, Header: http.Header{"X ": {"y"}}},
	} {
		test.Error(t, CheckResponse(&resp), test.Sprint(resp))
	}
	for _, resp := range []http.Response{
		{ProtoMajor: 1, StatusCode: 200}, {ProtoMajor: 1, StatusCode: 100}, {ProtoMajor: 1, StatusCode: 503, Header: http.Header{"X": {"y"}}},
	} {
		test.NoError(t, CheckResponse(&resp), test.Sprint(resp))
	}
}
