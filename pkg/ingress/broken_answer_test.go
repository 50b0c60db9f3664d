package ingress

import (
	"net/http"
	"testing"

	"github.com/shoenig/test"

	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/standin/unchecked"
	"github.com/rushramp/rushramp/pkg/wire"
)

// TestAnAnswerWithABrokenHeadIsNotPassedOn although a daemon of an earlier release let it through.
func TestAnAnswerWithABrokenHeadIsNotPassedOn(t *testing.T) {
	for _, answer := range unchecked.Answers() {
		_, address := newServer(t, func(*wire.Call, []byte) call.Result { return call.Result{Answer: &answer, Offered: true} })
		resp, body := sendRaw(t, address, "GET /p/a HTTP/1.1\r\nHost: h\r\nRushramp-Request-Id: r\r\n\r\n")
		test.Eq(t, http.StatusBadGateway, resp.StatusCode, test.Sprint(answer))
		test.Eq(t, "maybe", resp.Header.Get("Rushramp-Ran"), test.Sprint(answer))
		test.StrNotContains(t, body, "broken", test.Sprint(answer))
	}
}
