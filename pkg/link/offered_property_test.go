package link

import (
	"bytes"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/errkind"
	"github.com/rushramp/rushramp/pkg/wire"
)

// TestNoByteIsLostAndEndedCallsDoNotStart plays random calls over real links, of which some
// are cancelled, refused or drained. Bodies arrive whole and once, the credit of all calls
// returns, and a call that its entry reports as not run has not started.
func TestNoByteIsLostAndEndedCallsDoNotStart(t *testing.T) {
	runner := newPlacesRunner()
	server := newGrantingServer(t, runner, 100<<20)
	clients := []*Client{dialServer(t, server), dialServer(t, server), dialServer(t, server)}
	rapid.Check(t, func(rt *rapid.T) {
		runner.mu.Lock()
		runner.started = nil
		runner.mu.Unlock()
		var calls []*playedCall
		count := rapid.IntRange(1, 10).Draw(rt, "calls")
		for i := range count {
			p := &playedCall{
				uri: "/" + string(rune('a'+i)), body: bytes.Repeat([]byte{byte(i)}, rapid.IntRange(0, 120_000).Draw(rt, "size")),
				client: clients[rapid.IntRange(0, len(clients)-1).Draw(rt, "client")], done: make(chan call.Result, 2),
			}
			if rapid.IntRange(0, 4).Draw(rt, "refused") == 0 {
				p.uri = "/refused" + p.uri
			}
			p.start()
			calls = append(calls, p)
			if rapid.IntRange(0, 2).Draw(rt, "cancelled") == 0 {
				calls[rapid.IntRange(0, i).Draw(rt, "which")].cancel()
			}
			if rapid.IntRange(0, 9).Draw(rt, "drained") == 0 {
				runner.drain()
			}
		}
		for _, p := range calls {
			p.check(rt, runner)
		}
		waitUntilIdle(rt, server)
	})
}

// playedCall is a call of TestNoByteIsLostAndEndedCallsDoNotStart.
type playedCall struct {
	uri    string
	body   []byte
	client *Client
	done   chan call.Result
	cancel func()
}

func (p *playedCall) start() {
	p.cancel = p.client.Execute(&wire.Call{URI: p.uri, Remaining: time.Minute}, p.body, func(r call.Result) { p.done <- r })
}

func (p *playedCall) check(t *rapid.T, runner *placesRunner) {
	result := <-p.done
	if result.Answer != nil {
		must.Eq(t, p.uri+" "+string(p.body), string(result.Answer.Body))
		return
	}
	must.Eq(t, errkind.RanNo, result.Refusal.Ran)
	must.SliceNotContains(t, runner.startedCalls(), p.uri, must.Sprint(result.Refusal))
	must.Zero(t, len(p.done))
}
