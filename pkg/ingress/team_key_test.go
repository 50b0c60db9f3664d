package ingress

import (
	"net/http"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/teams"
	"github.com/rushramp/rushramp/pkg/wire"
)

func TestTeamKeyOfHeaders(t *testing.T) {
	for _, values := range [][]string{{"Bearer k"}, {"bearer  k "}, {"BEARER k"}} {
		got := teamKeyOf(http.Header{"Authorization": values})
		test.True(t, got.Given)
		test.Eq(t, teams.DigestOf("k"), got.Digest, test.Sprint(values))
	}
	for _, values := range [][]string{nil, {""}, {"Bearer"}, {"Bearer "}, {"Basic k"}, {"k"}, {"Bearer k", "Bearer k"}} {
		test.False(t, teamKeyOf(http.Header{"Authorization": values}).Given, test.Sprint(values))
	}
}

// TestTeamHeadersOfCallersAreDropped: team headers are dropped in any spelling, and also
// when a request has several of them.
func TestTeamHeadersOfCallersAreDropped(t *testing.T) {
	var seen wire.Call
	_, address := newServer(t, func(c *wire.Call, _ []byte) call.Result {
		seen = *c
		return call.Result{Answer: &call.Answer{Status: 200}}
	})
	resp, _ := sendRaw(t, address, "GET /p/ HTTP/1.1\r\nHost: h\r\nRushramp-Request-Id: i\r\n"+
		"rushramp-team: a\r\nRUSHRAMP-TEAM: b\r\nRushramp_Team: c\r\nrushramp_Caller: d\r\nX-Own: v\r\n\r\n")
	must.Eq(t, 200, resp.StatusCode)
	test.Eq(t, []wire.Header{{Name: "X-Own", Value: "v"}}, seen.Headers)
}
