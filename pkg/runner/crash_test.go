package runner

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/rushramp/rushramp/pkg/backend"
	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/common"
	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/routing"
	"github.com/rushramp/rushramp/pkg/settings"
)

// endable is a backend server whose process the test ends.
type endable struct {
	*held
	server    *httptest.Server
	runner    *Runner
	lifecycle *backend.Lifecycle
	results   chan call.Result
}

func newEndable(t *testing.T) *endable {
	out := &endable{held: newHeld(), results: make(chan call.Result, 10)}
	out.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/break" {
			panic(http.ErrAbortHandler)
		}
		out.held.ServeHTTP(w, r)
	}))
	s := settings.Default()
	s.BackendServer.Address = strings.TrimPrefix(out.server.URL, "http://")
	s.BackendServer.Service, s.BackendServer.Slots = "s", 8
	out.lifecycle = backend.NewLifecycle(true, nil)
	out.lifecycle.Seen(1, "i-1")
	var err error
	out.runner, err = NewRunner(common.NewCommon(events.Discard(), &s), Deps{
		Headers: backend.DefaultHeaders(), Lifecycle: out.lifecycle, Load: &backend.Load{},
		Service: func() (routing.Service, bool) { return routing.Service{}, true },
		Route:   func(_, _ string) (*routing.Compiled, uint64) { return nil, 0 },
	})
	must.NoError(t, err)
	t.Cleanup(func() {
		out.runner.Close()
		out.server.CloseClientConnections()
		out.server.Close()
	})
	return out
}

// run begins runs at the backend server and waits until they are there.
func (e *endable) run(ids ...string) {
	for _, id := range ids {
		e.runner.Execute(routedCall(id), nil, func(r call.Result) { e.results <- r })
		<-e.came
	}
}

// endProcess closes the listener and all connections at once, as the system does when
// a process ends.
func (e *endable) endProcess() {
	_ = e.server.Listener.Close()
	e.server.CloseClientConnections()
}

func (e *endable) crashes() uint64 { return e.runner.crashed.Get() }

// TestAnEndOfTheProcessIsToldFromABreak: all runs broke and nobody listens.
func TestAnEndOfTheProcessIsToldFromABreak(t *testing.T) {
	e := newEndable(t)
	e.run("1", "2", "3")
	broken := routedCall("4")
	broken.URI = "/break"
	e.runner.Execute(broken, nil, func(r call.Result) { e.results <- r })
	must.NotNil(t, (<-e.results).Refusal)
	test.Eq(t, 0, e.crashes(), test.Sprint("one run broke, others go on"))

	e.endProcess()
	for range 3 {
		must.NotNil(t, (<-e.results).Refusal)
	}
	test.Eq(t, 1, e.crashes(), test.Sprint("one end for all three runs"))
}

// TestAFullBackendServerHasNotEnded: it refuses connections while runs go on.
func TestAFullBackendServerHasNotEnded(t *testing.T) {
	e := newEndable(t)
	e.run("1", "2")
	_ = e.server.Listener.Close()
	e.server.Config.SetKeepAlivesEnabled(false)
	broken := routedCall("3")
	broken.URI = "/break"
	e.runner.Execute(broken, nil, func(r call.Result) { e.results <- r })
	must.NotNil(t, (<-e.results).Refusal)
	test.Eq(t, 0, e.crashes())
}

// TestAPlannedEndIsNoCrash: the backend server said before that it leaves.
func TestAPlannedEndIsNoCrash(t *testing.T) {
	e := newEndable(t)
	e.run("1")
	e.lifecycle.Heartbeat(2, backend.Heartbeat{Instance: "i-1", Sequence: 1, Leaving: true})
	e.endProcess()
	must.NotNil(t, (<-e.results).Refusal)
	test.Eq(t, 0, e.crashes())
}
