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

// crashFixture is a runner with a backend server whose process the test can end.
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
	out.lifecycle.RecordGoodHealthCheck(1, "i-1")
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

// startAndWait starts requests and waits until each has reached the backend server.
func (f *crashFixture) startAndWait(ids ...string) {
	for _, id := range ids {
		f.runner.Execute(routedCall(id), nil, func(r call.Result) { f.results <- r })
		<-f.arrived
	}
}

// endProcess closes the listener and all connections at once, as the operating system
// does when a process ends.
func (f *crashFixture) endProcess() {
	_ = f.server.Listener.Close()
	f.server.CloseClientConnections()
}

func (f *crashFixture) crashes() uint64 {
	return f.runner.Metrics.GetOrCreateCounter("rushramp_backend_crashes_total").Get()
}

// TestCrashIsDistinguishedFromBrokenRun: in a crash all runs break off and nobody listens
// any more.
func TestCrashIsDistinguishedFromBrokenRun(t *testing.T) {
	f := newCrashFixture(t)
	f.startAndWait("1", "2", "3")
	broken := routedCall("4")
	broken.URI = "/break"
	f.runner.Execute(broken, nil, func(r call.Result) { f.results <- r })
	must.NotNil(t, (<-f.results).Refusal)
	test.Eq(t, 0, f.crashes(), test.Sprint("one run broke off, others go on"))

	f.endProcess()
	for range 3 {
		must.NotNil(t, (<-f.results).Refusal)
	}
	test.Eq(t, 1, f.crashes(), test.Sprint("one crash for all three runs"))
}

// TestFullBackendServerIsNoCrash: a full backend server refuses connections while runs
// go on.
func TestFullBackendServerIsNoCrash(t *testing.T) {
	f := newCrashFixture(t)
	f.startAndWait("1", "2")
	_ = f.server.Listener.Close()
	f.server.Config.SetKeepAlivesEnabled(false)
	broken := routedCall("3")
	broken.URI = "/break"
	f.runner.Execute(broken, nil, func(r call.Result) { f.results <- r })
	must.NotNil(t, (<-f.results).Refusal)
	test.Eq(t, 0, f.crashes())
}

// TestAnnouncedDepartureIsNoCrash: the backend server announced that it leaves.
func TestAnnouncedDepartureIsNoCrash(t *testing.T) {
	f := newCrashFixture(t)
	f.startAndWait("1")
	f.lifecycle.RecordHeartbeat(2, backend.Heartbeat{InstanceID: "i-1", Sequence: 1, Leaving: true})
	f.endProcess()
	must.NotNil(t, (<-f.results).Refusal)
	test.Eq(t, 0, f.crashes())
}

// start starts a request without waiting for it.
func (f *crashFixture) start(id, uri string, repeatable bool) {
	c := routedCall(id)
	c.URI, c.Routed.Repeatable = uri, repeatable
	f.runner.Execute(c, nil, func(r call.Result) { f.results <- r })
}

func fingerprintOf(uri string) quarantine.Fingerprint {
	c := routedCall("any")
	c.URI = uri
	return c.Fingerprint(nil)
}

// TestCrashIsReported with the content of each run, before the results of the runs are
// reported, and the backend server counts as down at once.
func TestCrashIsReported(t *testing.T) {
	f := newCrashFixture(t)
	for _, uri := range []string{"/a", "/a", "/b"} {
		f.start("id"+uri, uri, true)
		<-f.arrived
	}
	f.endProcess()
	<-f.results
	reported := f.runner.Quarantine.TakePending()
	must.Len(t, 1, reported.Crashes)
	test.SliceContainsAll(t, reported.Crashes[0].Contents, []quarantine.Fingerprint{fingerprintOf("/a"), fingerprintOf("/b")})
	_, state := f.lifecycle.Current()
	test.Eq(t, backend.Down, state)
	<-f.results
	<-f.results
	test.Len(t, 0, f.runner.Quarantine.TakePending().Crashes)
}

// TestQuarantinedContentIsNotRun: new requests are refused, and runs are ended if they
// may be repeated.
func TestQuarantinedContentIsNotRun(t *testing.T) {
	f := newCrashFixture(t)
	f.start("repeatable", "/held", true)
	<-f.arrived
	f.start("once", "/held", false)
	<-f.arrived
	f.start("other", "/other", true)
	<-f.arrived
	for id := range uint64(2) {
		f.runner.Quarantine.RecordCrash(f.runner.Now(), id+1, []quarantine.Fingerprint{fingerprintOf("/held")})
	}
	f.runner.Tick()
	got := <-f.results
	must.NotNil(t, got.Refusal)
	test.Eq(t, errkind.RequestHeld, got.Refusal.Kind)
	test.Eq(t, errkind.RanMaybe, got.Refusal.Ran)
	test.True(t, got.Offered)
	test.Eq(t, "repeatable", <-f.abandoned)

	f.start("comes", "/held", true)
	got = <-f.results
	must.NotNil(t, got.Refusal)
	test.Eq(t, errkind.RequestHeld, got.Refusal.Kind)
	test.Eq(t, errkind.RanNo, got.Refusal.Ran)
	test.False(t, got.Refusal.RetryElsewhere())

	f.proceed <- struct{}{}
	f.proceed <- struct{}{}
	must.NotNil(t, (<-f.results).Answer)
	must.NotNil(t, (<-f.results).Answer)
	test.Eq(t, 0, len(f.arrived))
	f.start("free", "/held", true)
	test.Eq(t, "free", <-f.arrived, test.Sprint("the non-repeatable run has ended well, which ends the quarantine"))
}

func TestWaitingRequestIsNotRunOnceQuarantined(t *testing.T) {
	f := newCrashFixture(t)
	f.runner.gate.SetSlots(1)
	f.start("first", "/first", true)
	<-f.arrived
	f.start("waits", "/held", true)
	for id := range uint64(2) {
		f.runner.Quarantine.RecordCrash(f.runner.Now(), id+1, []quarantine.Fingerprint{fingerprintOf("/held")})
	}
	f.proceed <- struct{}{}
	refused := 0
	for range 2 {
		if got := <-f.results; got.Refusal != nil {
			test.Eq(t, errkind.RequestHeld, got.Refusal.Kind)
			refused++
		}
	}
	test.Eq(t, 1, refused)
	test.Eq(t, 0, len(f.arrived))
}
