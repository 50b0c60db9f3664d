package runner

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/rushramp/rushramp/pkg/backend"
	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/common"
	"github.com/rushramp/rushramp/pkg/errkind"
	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/gate"
	"github.com/rushramp/rushramp/pkg/routing"
	"github.com/rushramp/rushramp/pkg/settings"
	"github.com/rushramp/rushramp/pkg/wire"
)

// holdingServer is a backend server that holds each request until the test lets one
// proceed.
type holdingServer struct {
	mu        sync.Mutex
	arrived   chan string
	proceed   chan struct{}
	abandoned chan string
	load      string
}

func (h *holdingServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Rushramp-Request-Id")
	_, _ = io.ReadAll(r.Body)
	h.arrived <- id
	select {
	case <-h.proceed:
	case <-r.Context().Done():
		h.abandoned <- id
		return
	}
	w.Header().Set("Rushramp-Request-Id", id)
	h.mu.Lock()
	w.Header().Set("Rushramp-Load", h.load)
	h.mu.Unlock()
}

func newHoldingServer() *holdingServer {
	return &holdingServer{arrived: make(chan string, 100), proceed: make(chan struct{}, 100), abandoned: make(chan string, 100), load: "0,0,2,100"}
}

func newTestRunner(t *testing.T, h http.Handler, slots int) (*Runner, *backend.Lifecycle) {
	server := httptest.NewServer(h)
	s := settings.Default()
	s.BackendServer.Address = strings.TrimPrefix(server.URL, "http://")
	s.BackendServer.Service, s.BackendServer.Slots = "s", slots
	lifecycle := backend.NewLifecycle(true, nil)
	lifecycle.RecordGoodHealthCheck(1, "i-1")
	r, err := NewRunner(common.NewCommon(events.Discard(), &s), Deps{
		Headers: backend.DefaultHeaders(), Lifecycle: lifecycle, Load: &backend.Load{},
		Service:   func() (routing.Service, bool) { return routing.Service{}, true },
		FindRoute: func(_, _ string) (*routing.CompiledRoute, uint64) { return nil, 0 },
	})
	must.NoError(t, err)
	t.Cleanup(func() {
		r.Close()
		server.CloseClientConnections()
		server.Close()
	})
	return r, lifecycle
}

func routedCall(id string) *wire.Call {
	return &wire.Call{
		Service: "s", Kind: "route", Method: "GET", URI: "/", Remaining: time.Minute,
		Routed: wire.Routed{ID: id, Host: "h", Caller: "front", Repeatable: true, TargetRemaining: time.Minute},
	}
}

func execute(r *Runner, c *wire.Call) (results chan call.Result, cancel func()) {
	results = make(chan call.Result, 1)
	return results, r.Execute(c, nil, func(result call.Result) { results <- result })
}

func TestRequestRunsAndLoadIsUpdated(t *testing.T) {
	h := newHoldingServer()
	h.load = "1,0,5,400"
	r, _ := newTestRunner(t, h, 2)
	h.proceed <- struct{}{}
	results, _ := execute(r, routedCall("a"))
	got := <-results
	must.NotNil(t, got.Answer)
	test.True(t, got.Offered)
	test.Eq(t, 5, r.Gate().Slots())
	test.Eq(t, 400, got.Stamp.Slowdown)
	soft := routedCall("b")
	soft.Routed.Soft = true
	results, _ = execute(r, soft)
	got = <-results
	must.NotNil(t, got.Refusal)
	test.Eq(t, errkind.GateBusier, got.Refusal.Kind)
}

func TestRefusalsBeforeTheGate(t *testing.T) {
	h := newHoldingServer()
	r, lifecycle := newTestRunner(t, h, 2)
	refused := func(c *wire.Call, want errkind.Kind) {
		t.Helper()
		results, _ := execute(r, c)
		got := <-results
		must.NotNil(t, got.Refusal)
		test.Eq(t, want, got.Refusal.Kind)
		test.Eq(t, errkind.RanNo, got.Refusal.Ran)
		test.False(t, got.Offered)
		test.True(t, got.Refusal.RetryElsewhere())
	}
	other := routedCall("a")
	other.Service = "other"
	refused(other, errkind.BackendReplaced)
	lifecycle.RecordDeparture(2, backend.Departure{Incarnation: backend.Incarnation{ID: "i-1"}})
	refused(routedCall("b"), errkind.BackendAbsent)
	r.StopAccepting()
	refused(routedCall("c"), errkind.Leaving)
	test.Eq(t, 0, len(h.arrived))
	test.Eq(t, 0, r.InFlight())
}

func TestDepartureRefusesWaitingRequests(t *testing.T) {
	h := newHoldingServer()
	r, lifecycle := newTestRunner(t, h, 1)
	first, _ := execute(r, routedCall("a"))
	test.Eq(t, "a", <-h.arrived)
	second, _ := execute(r, routedCall("b"))
	lifecycle.RecordDeparture(2, backend.Departure{Incarnation: backend.Incarnation{ID: "i-1"}})
	h.proceed <- struct{}{}
	must.NotNil(t, (<-first).Answer)
	got := <-second
	must.NotNil(t, got.Refusal)
	test.Eq(t, errkind.BackendAbsent, got.Refusal.Kind)
	test.Eq(t, 0, len(h.arrived))
}

// TestEvacuatedDataCentreRefusesRequests: the run under way ends. Waiting and new
// requests are refused as not run until the evacuation ends.
func TestEvacuatedDataCentreRefusesRequests(t *testing.T) {
	h := newHoldingServer()
	r, _ := newTestRunner(t, h, 1)
	running, _ := execute(r, routedCall("runs"))
	test.Eq(t, "runs", <-h.arrived)
	waiting, _ := execute(r, routedCall("waits"))
	r.SetEvacuated(true)
	arriving, _ := execute(r, routedCall("comes"))
	r.Tick()
	for _, results := range []chan call.Result{arriving, waiting} {
		got := <-results
		must.NotNil(t, got.Refusal)
		test.Eq(t, errkind.DataCentreEvacuated, got.Refusal.Kind)
		test.Eq(t, errkind.RanNo, got.Refusal.Ran)
		test.True(t, got.Refusal.RetryElsewhere())
	}
	h.proceed <- struct{}{}
	must.NotNil(t, (<-running).Answer)
	r.SetEvacuated(false)
	h.proceed <- struct{}{}
	back, _ := execute(r, routedCall("back"))
	must.NotNil(t, (<-back).Answer)
}

func TestCancelEndsTheRunAtTheBackendServer(t *testing.T) {
	h := newHoldingServer()
	r, _ := newTestRunner(t, h, 1)
	first, cancelFirst := execute(r, routedCall("a"))
	<-h.arrived
	second, cancelSecond := execute(r, routedCall("b"))
	cancelSecond()
	got := <-second
	test.Eq(t, errkind.RanNo, got.Refusal.Ran)
	cancelFirst()
	got = <-first
	test.Eq(t, errkind.RanMaybe, got.Refusal.Ran)
	test.Eq(t, "a", <-h.abandoned)
	test.Eq(t, 0, len(h.arrived))
}

func TestRequestThatWouldBeLateIsRefused(t *testing.T) {
	h := newHoldingServer()
	r, _ := newTestRunner(t, h, 1)
	r.workTimes.Record("route", time.Second, 0)
	busy, _ := execute(r, routedCall("a"))
	<-h.arrived
	late := routedCall("b")
	late.Routed.TargetRemaining = 1500 * time.Millisecond
	results, _ := execute(r, late)
	got := <-results
	must.NotNil(t, got.Refusal)
	test.Eq(t, errkind.Overloaded, got.Refusal.Kind)
	h.proceed <- struct{}{}
	<-busy
}

// TestTheGateCountsTheTimeThatALateCallHasLeft: the link has taken the transit delay off the
// times of the call.
func TestTheGateCountsTheTimeThatALateCallHasLeft(t *testing.T) {
	r, _ := newTestRunner(t, newHoldingServer(), 4)
	r.workTimes.Record("route", 300*time.Millisecond, 0)
	admit := func(targetLeft, left time.Duration) (bool, *errkind.Error) {
		c := routedCall("late")
		c.Routed.TargetRemaining, c.Remaining = targetLeft, left
		run := r.newRun(c, func(call.Result) {})
		run.setJob()
		test.Eq(t, run.arrived+int64(left), run.job.Deadline)
		test.Eq(t, run.arrived+int64(min(targetLeft, left)), run.job.EndBy)
		return r.gate.Admit(int64(time.Hour), &gate.Job{Deadline: int64(time.Hour + left), EndBy: int64(time.Hour) + run.job.EndBy - run.arrived, Work: run.job.Work})
	}
	started, refusal := admit(400*time.Millisecond, time.Second)
	test.True(t, started)
	test.Nil(t, refusal)
	started, refusal = admit(200*time.Millisecond, 250*time.Millisecond)
	test.True(t, started, test.Sprint("a probe of the expected run time"))
	test.Nil(t, refusal)
	_, refusal = admit(200*time.Millisecond, 250*time.Millisecond)
	must.NotNil(t, refusal)
	test.Eq(t, errkind.Overloaded, refusal.Kind)
	test.Eq(t, errkind.RanNo, refusal.Ran)
	_, refusal = admit(-time.Second, 0)
	must.NotNil(t, refusal)
}

func TestRoutesCalledByServicesAreDetected(t *testing.T) {
	o := newOriginTracker((&Deps{}).vmShare())
	for range minServiceRequests {
		test.Eq(t, wire.OriginUnknown, o.record("called", "a"))
		test.Eq(t, wire.OriginUnknown, o.record("outside", "a"))
	}
	test.Eq(t, wire.OriginService, o.record("called", "a"))
	test.Eq(t, wire.OriginCallers, o.record("outside", "b"))
	test.Eq(t, wire.OriginCallers, o.record("outside", "a"))
	test.Eq(t, wire.OriginCallers, o.record("called", "b"))
}

// TestUpdateSlots: backend servers that send no load header report their slots in
// heartbeats.
func TestUpdateSlots(t *testing.T) {
	r, _ := newTestRunner(t, newHoldingServer(), 12)
	r.UpdateSlots(6)
	test.Eq(t, 6, r.Gate().Slots())
	r.UpdateSlots(0)
	test.Eq(t, 6, r.Gate().Slots())
}

// TestRepeatShare: a call's claim tells whether its run repeats one elsewhere.
func TestRepeatShare(t *testing.T) {
	h := newHoldingServer()
	r, _ := newTestRunner(t, h, 4)
	test.Eq(t, 0.0, r.RepeatShare())
	first, again := routedCall("a"), routedCall("b")
	again.Claim.Generation = 1
	one, _ := execute(r, first)
	two, _ := execute(r, again)
	<-h.arrived
	<-h.arrived
	test.Eq(t, 0.5, r.RepeatShare())
	h.proceed <- struct{}{}
	h.proceed <- struct{}{}
	<-one
	<-two
	test.Eq(t, 0.0, r.RepeatShare())
}

// TestAnswerReportsFailedCalls: only calls that failed during the run count.
func TestAnswerReportsFailedCalls(t *testing.T) {
	h := newHoldingServer()
	r, _ := newTestRunner(t, h, 2)
	r.RecordFailedCall()
	time.Sleep(time.Millisecond)
	for _, fails := range []bool{false, true} {
		results, _ := execute(r, routedCall("a"))
		<-h.arrived
		if fails {
			r.RecordFailedCall()
		}
		h.proceed <- struct{}{}
		got := <-results
		must.NotNil(t, got.Answer)
		test.Eq(t, fails, got.Answer.CallsFailed)
	}
}
