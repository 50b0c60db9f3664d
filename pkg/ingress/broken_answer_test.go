package ingress

import (
	"net/http"
	"testing"

	"github.com/shoenig/test"

	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/wire"
)

// TestAnAnswerWithABrokenHeadIsNotPassedOn although a daemon of an earlier release let it through.
func TestAnAnswerWithABrokenHeadIsNotPassedOn(t *testing.T) {
	for _, answer := range []call.Answer{
		{Status: 0}, {Status: 99}, {Status: 101}, {Status: 103}, {Status: 1000},
		{Status: 200, Headers: []wire.Header{{Name: "X Y", Value: "z"}}},
		{Status: 200, Headers: []wire.Header{{Name: "Content-Length ", Value: "2"}}},
		{Status: 200, Headers: []wire.Header{{Name: "X\x01", Value: "z"}}},
		{Status: 200, Headers: []wire.Header{{Name: "", Value: "z"}}},
		{Status: 200, Headers: []wire.Header{{Name: "X", Value: "a\x01b"}}},
		{Status: 200, Headers: []wire.Header{{Name: "X", Value: "a\r\nY: b"}}},
	} {
		answer.Body = []byte("broken")
		_, address := newServer(t, func(*wire.Call, []byte) call.Result { return call.Result{Answer: &answer, Offered: true} })
		resp, body := sendRaw(t, address, "GET /p/a HTTP/1.1\r\nHost: h\r\nRushramp-Request-Id: r\r\n\r\n")
		test.Eq(t, http.StatusBadGateway, resp.StatusCode, test.Sprint(answer))
		test.Eq(t, "maybe", resp.Header.Get("Rushramp-Ran"), test.Sprint(answer))
		test.StrNotContains(t, body, "broken", test.Sprint(answer))
	}
}
