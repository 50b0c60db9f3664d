package forward

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/rushramp/rushramp/pkg/errkind"
	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/wire"
)

// TestEachRequestHasOneLogLine, however it ends. The line has the request's id, all
// attempts with the load that was known at the time, and why no further one was made.
func TestEachRequestHasOneLogLine(t *testing.T) {
	silentRunner := func() *fakeRunner { return &fakeRunner{answer: silent} }
	scenarios := []struct {
		name    string
		path    string
		runners []*fakeRunner
		event   events.ID
		want    []string
	}{
		{"answered", "/read/x", []*fakeRunner{{answer: answers(200)}}, events.RequestAnswered,
			[]string{"status=200", "stopped=answered", "tries=1", "version=3", "vm-0 soft load=2/4 slowdown=100 age=40.0ms -> 200"}},
		{"soft refusals", "/read/x", []*fakeRunner{{answer: refusesSoft(200)}}, events.RequestAnswered,
			[]string{"tries=2", "-> gate_busier", "; vm-0 load=", "offered=1"}},
		{"a full backend server", "/read/x", []*fakeRunner{{answer: refuses(errkind.Overloaded, false)}}, events.RequestFailed,
			[]string{"outcome=overloaded", "ran=no", "stopped=nobody_left", "retry_after="}},
		{"no candidate", "/read/x", nil, events.RequestFailed, []string{"outcome=no_backend_server", "tries=0"}},
		{"no route", "/none/", nil, events.RequestFailed, []string{"outcome=unknown_route"}},
		{"a post that may have run", "/post/x", []*fakeRunner{{answer: answers(500)}, {answer: answers(500)}}, events.RequestAnswered,
			[]string{"status=500", "stopped=it_may_have_run", "offered=1"}},
		{"all attempts used", "/read/x", []*fakeRunner{{answer: answers(500)}, {answer: answers(500)}}, events.RequestAnswered,
			[]string{"status=500", "stopped=attempts_used", "offered=2"}},
		{"an unanswered request", "/read/x", []*fakeRunner{silentRunner()}, events.RequestFailed,
			[]string{"outcome=deadline_while_running", "ran=maybe", "stopped=time_used", "took=1020.0ms"}},
		{"a gate that has just reported to be full", "/read/full", []*fakeRunner{{answer: answers(200)}}, events.RequestFailed,
			[]string{"outcome=overloaded", "tries=0", `attempts="vm-0 load=404/4 slowdown=100 age=1.0ms -> passed_over"`}},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newForwarder(s.runners...)
				var out bytes.Buffer
				f.Log = events.NewLog(&out, events.Info)
				for i, candidate := range f.view.Service("s").Match("GET", "/").LinkedCandidates {
					candidate.Endpoint.VM = "vm-" + string(rune('0'+i))
				}
				reportLoads(f, wire.Stamp{Seq: 1, Limit: 4, Running: 2, Slowdown: 100})
				time.Sleep(40 * time.Millisecond)
				if s.path == "/read/full" {
					reportLoads(f, wire.Stamp{Seq: 2, Limit: 4, Running: 4, Queued: 400, Slowdown: 100})
					time.Sleep(time.Millisecond)
				}
				f.Forward(t.Context(), newRequest(s.path))
				lines := strings.Split(strings.TrimSpace(out.String()), "\n")
				must.Len(t, 1, lines)
				test.StrContains(t, lines[0], "event="+s.event.String()+" ")
				test.StrContains(t, lines[0], "request=r-1 ")
				for _, want := range s.want {
					test.StrContains(t, lines[0], want)
				}
			})
		})
	}
}
