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
	"github.com/rushramp/rushramp/pkg/errkind"
	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/quarantine"
	"github.com/rushramp/rushramp/pkg/routing"
	"github.com/rushramp/rushramp/pkg/settings"
)

// crashFixture is a backend server whose process the test ends.
type crashFixture struct {
	*holdingServer
	server    *httptest.Server
	runner    *Runner
	lifecycle *backend.Lifecycle
	results   chan call.Result
}

func newCrashFixture(t *testing.T) *crashFixture {
	out := &crashFixture{holdingServer: newHoldingServer(), results: make(chan call.Result, 10)}
	out.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/break" {
			panic(http.ErrAbortHandler)
		}
		out.holdingServer.ServeHTTP(w, r)
	}))
	s := settings.Default()
	s.BackendServer.Address = strings.TrimPrefix(out.server.URL, "http://")
	s.BackendServer.Service, s.BackendServer.Slots = "s", 8
	out.lifecycle = backend.NewLifecycle(true, nil)
	out.lifecycle.RecordInstanceID(1, "i-1")
	var err error
	out.runner, err = NewRunner(common.NewCommon(events.Discard(), &s), Deps{
		Headers: backend.DefaultHeaders(), Lifecycle: out.lifecycle, Load: &backend.Load{},
		Service:   func() (routing.Service, bool) { return routing.Service{}, true },
		FindRoute: func(_, _ string) (*routing.CompiledRoute, uint64) { return nil, 0 },
	})
	must.NoError(t, err)
	t.Cleanup(func() {
		out.runner.Close()
		out.server.CloseClientConnections()
		out.server.Close()
	})
	return out
}

// startAndWait begins runs at the backend server and waits until they are there.
func (e *crashFixture) startAndWait(ids ...string) {
	for _, id := range ids {
		e.runner.Execute(routedCall(id), nil, func(r call.Result) { e.results <- r })
		<-e.arrived
	}
}

// endProcess closes the listener and all connections at once, as the system does when
// a process ends.
func (e *crashFixture) endProcess() {
	_ = e.server.Listener.Close()
	e.server.CloseClientConnections()
}

func (e *crashFixture) crashes() uint64 {
	return e.runner.Metrics.GetOrCreateCounter("rushramp_backend_crashes_total").Get()
}

// TestAnEndOfTheProcessIsToldFromABreak: all runs broke and nobody listens.
func TestAnEndOfTheProcessIsToldFromABreak(t *testing.T) {
	e := newCrashFixture(t)
	e.startAndWait("1", "2", "3")
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
	e := newCrashFixture(t)
	e.startAndWait("1", "2")
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
	e := newCrashFixture(t)
	e.startAndWait("1")
	e.lifecycle.RecordHeartbeat(2, backend.Heartbeat{InstanceID: "i-1", Sequence: 1, Leaving: true})
	e.endProcess()
	must.NotNil(t, (<-e.results).Refusal)
	test.Eq(t, 0, e.crashes())
}

// start begins a request of a content without waiting for it.
func (e *crashFixture) start(id, uri string, repeatable bool) {
	c := routedCall(id)
	c.URI, c.Routed.Repeatable = uri, repeatable
	e.runner.Execute(c, nil, func(r call.Result) { e.results <- r })
}

func fingerprintOf(uri string) quarantine.Fingerprint {
	c := routedCall("any")
	c.URI = uri
	return c.Fingerprint(nil)
}

// TestACrashIsTold with each content that ran, before the ends of the runs are, and the
// backend server counts as down at once.
func TestACrashIsTold(t *testing.T) {
	e := newCrashFixture(t)
	for _, uri := range []string{"/a", "/a", "/b"} {
		e.start("id"+uri, uri, true)
		<-e.arrived
	}
	e.endProcess()
	<-e.results
	told := e.runner.Quarantine.TakePending()
	must.Len(t, 1, told.Crashes)
	test.SliceContainsAll(t, told.Crashes[0].Requests, []quarantine.Fingerprint{fingerprintOf("/a"), fingerprintOf("/b")})
	_, state := e.lifecycle.Current()
	test.Eq(t, backend.Down, state)
	<-e.results
	<-e.results
	test.Len(t, 0, e.runner.Quarantine.TakePending().Crashes)
}

// TestAHeldContentIsNotRun: neither one that comes, nor one that waits, and one that runs
// already is ended where it may be repeated.
func TestAHeldContentIsNotRun(t *testing.T) {
	e := newCrashFixture(t)
	e.start("repeatable", "/held", true)
	<-e.arrived
	e.start("once", "/held", false)
	<-e.arrived
	e.start("other", "/other", true)
	<-e.arrived
	for id := range uint64(2) {
		e.runner.Quarantine.RecordCrash(e.runner.Now(), id+1, []quarantine.Fingerprint{fingerprintOf("/held")})
	}
	e.runner.Tick()
	got := <-e.results
	must.NotNil(t, got.Refusal)
	test.Eq(t, errkind.RequestHeld, got.Refusal.Kind)
	test.Eq(t, errkind.RanMaybe, got.Refusal.Ran)
	test.True(t, got.Offered)
	test.Eq(t, "repeatable", <-e.abandoned)

	e.start("comes", "/held", true)
	got = <-e.results
	must.NotNil(t, got.Refusal)
	test.Eq(t, errkind.RequestHeld, got.Refusal.Kind)
	test.Eq(t, errkind.RanNo, got.Refusal.Ran)
	test.False(t, got.Refusal.RetryElsewhere())

	e.proceed <- struct{}{}
	e.proceed <- struct{}{}
	must.NotNil(t, (<-e.results).Answer)
	must.NotNil(t, (<-e.results).Answer)
	test.Eq(t, 0, len(e.arrived))
	e.start("free", "/held", true)
	test.Eq(t, "free", <-e.arrived, test.Sprint("the one that must run once has ended well"))
}

// TestWhatWaitsIsNotRunOnceItIsHeld at the gate.
func TestWhatWaitsIsNotRunOnceItIsHeld(t *testing.T) {
	e := newCrashFixture(t)
	e.runner.gate.SetSlots(1)
	e.start("first", "/first", true)
	<-e.arrived
	e.start("waits", "/held", true)
	for id := range uint64(2) {
		e.runner.Quarantine.RecordCrash(e.runner.Now(), id+1, []quarantine.Fingerprint{fingerprintOf("/held")})
	}
	e.proceed <- struct{}{}
	refused := 0
	for range 2 {
		if got := <-e.results; got.Refusal != nil {
			test.Eq(t, errkind.RequestHeld, got.Refusal.Kind)
			refused++
		}
	}
	test.Eq(t, 1, refused)
	test.Eq(t, 0, len(e.arrived))
}
