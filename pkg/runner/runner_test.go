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
	"github.com/rushramp/rushramp/pkg/routing"
	"github.com/rushramp/rushramp/pkg/settings"
	"github.com/rushramp/rushramp/pkg/wire"
)

// held is a backend server that keeps requests until it is told to go on.
type held struct {
	mu   sync.Mutex
	came chan string
	goOn chan struct{}
	left chan string
	load string
}

func (h *held) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Rushramp-Request-Id")
	_, _ = io.ReadAll(r.Body)
	h.came <- id
	select {
	case <-h.goOn:
	case <-r.Context().Done():
		h.left <- id
		return
	}
	w.Header().Set("Rushramp-Request-Id", id)
	h.mu.Lock()
	w.Header().Set("Rushramp-Load", h.load)
	h.mu.Unlock()
}

func newHeld() *held {
	return &held{came: make(chan string, 100), goOn: make(chan struct{}, 100), left: make(chan string, 100), load: "0,0,2,100"}
}

func newTestRunner(t *testing.T, h http.Handler, slots int) (*Runner, *backend.Lifecycle) {
	server := httptest.NewServer(h)
	s := settings.Default()
	s.BackendServer.Address = strings.TrimPrefix(server.URL, "http://")
	s.BackendServer.Service, s.BackendServer.Slots = "s", slots
	lifecycle := backend.NewLifecycle(true, nil)
	lifecycle.RecordInstanceID(1, "i-1")
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

func TestARequestRunsAndItsLoadIsTakenOver(t *testing.T) {
	h := newHeld()
	h.load = "1,0,5,400"
	r, _ := newTestRunner(t, h, 2)
	h.goOn <- struct{}{}
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

func TestWhoMayNotRun(t *testing.T) {
	h := newHeld()
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
	lifecycle.RecordDeparture(2, backend.Incarnation{ID: "i-1"})
	refused(routedCall("b"), errkind.BackendAbsent)
	r.StopAccepting()
	refused(routedCall("c"), errkind.Leaving)
	test.Eq(t, 0, len(h.came))
	test.Eq(t, 0, r.InFlight())
}

func TestADepartureStopsWhatWaitsAtTheGate(t *testing.T) {
	h := newHeld()
	r, lifecycle := newTestRunner(t, h, 1)
	first, _ := execute(r, routedCall("a"))
	test.Eq(t, "a", <-h.came)
	second, _ := execute(r, routedCall("b"))
	lifecycle.RecordDeparture(2, backend.Incarnation{ID: "i-1"})
	h.goOn <- struct{}{}
	must.NotNil(t, (<-first).Answer)
	got := <-second
	must.NotNil(t, got.Refusal)
	test.Eq(t, errkind.BackendAbsent, got.Refusal.Kind)
	test.Eq(t, 0, len(h.came))
}

// TestAnEvacuatedDataCentreTakesNothingNew: the run under way ends, what waits and
// what comes is refused as not run, until the data centre is taken back.
func TestAnEvacuatedDataCentreTakesNothingNew(t *testing.T) {
	h := newHeld()
	r, _ := newTestRunner(t, h, 1)
	runs, _ := execute(r, routedCall("runs"))
	test.Eq(t, "runs", <-h.came)
	waits, _ := execute(r, routedCall("waits"))
	r.SetEvacuated(true)
	comes, _ := execute(r, routedCall("comes"))
	r.Tick()
	for _, results := range []chan call.Result{comes, waits} {
		got := <-results
		must.NotNil(t, got.Refusal)
		test.Eq(t, errkind.DataCentreEvacuated, got.Refusal.Kind)
		test.Eq(t, errkind.RanNo, got.Refusal.Ran)
		test.True(t, got.Refusal.RetryElsewhere())
	}
	h.goOn <- struct{}{}
	must.NotNil(t, (<-runs).Answer)
	r.SetEvacuated(false)
	h.goOn <- struct{}{}
	back, _ := execute(r, routedCall("back"))
	must.NotNil(t, (<-back).Answer)
}

func TestACancelledRequestLeavesTheBackendServer(t *testing.T) {
	h := newHeld()
	r, _ := newTestRunner(t, h, 1)
	first, cancelFirst := execute(r, routedCall("a"))
	<-h.came
	second, cancelSecond := execute(r, routedCall("b"))
	cancelSecond()
	got := <-second
	test.Eq(t, errkind.RanNo, got.Refusal.Ran)
	cancelFirst()
	got = <-first
	test.Eq(t, errkind.RanMaybe, got.Refusal.Ran)
	test.Eq(t, "a", <-h.left)
	test.Eq(t, 0, len(h.came))
}

func TestWhatCannotEndInTimeIsRefusedAtOnce(t *testing.T) {
	h := newHeld()
	r, _ := newTestRunner(t, h, 1)
	r.work.Record("route", time.Second, 0)
	busy, _ := execute(r, routedCall("a"))
	<-h.came
	late := routedCall("b")
	late.Routed.TargetRemaining = 1500 * time.Millisecond
	results, _ := execute(r, late)
	got := <-results
	must.NotNil(t, got.Refusal)
	test.Eq(t, errkind.Overloaded, got.Refusal.Kind)
	h.goOn <- struct{}{}
	<-busy
}

func TestRoutesThatServicesCallAreTold(t *testing.T) {
	o := newOrigins((&Deps{}).shareOf())
	for range originsEnough {
		test.Eq(t, wire.OriginUnknown, o.note("called", "a"))
		test.Eq(t, wire.OriginUnknown, o.note("outside", "a"))
	}
	test.Eq(t, wire.OriginService, o.note("called", "a"))
	test.Eq(t, wire.OriginCallers, o.note("outside", "b"))
	test.Eq(t, wire.OriginCallers, o.note("outside", "a"))
	test.Eq(t, wire.OriginCallers, o.note("called", "b"))
}

// TestSlotsOfABackendServerThatTellsNoLoad: not all put a load header into
// their answers; their heartbeats say how many slots they have.
func TestSlotsOfABackendServerThatTellsNoLoad(t *testing.T) {
	r, _ := newTestRunner(t, newHeld(), 12)
	r.UpdateSlots(6)
	test.Eq(t, 6, r.Gate().Slots())
	r.UpdateSlots(0)
	test.Eq(t, 6, r.Gate().Slots())
}

// TestTheShareOfRepeatedRunsIsKnown: entries tell which runs repeat one elsewhere.
func TestTheShareOfRepeatedRunsIsKnown(t *testing.T) {
	h := newHeld()
	r, _ := newTestRunner(t, h, 4)
	test.Eq(t, 0.0, r.RepeatShare())
	first, again := routedCall("a"), routedCall("b")
	again.Claim.Generation = 1
	one, _ := execute(r, first)
	two, _ := execute(r, again)
	<-h.came
	<-h.came
	test.Eq(t, 0.5, r.RepeatShare())
	h.goOn <- struct{}{}
	h.goOn <- struct{}{}
	<-one
	<-two
	test.Eq(t, 0.0, r.RepeatShare())
}

// TestAnAnswerSaysWhetherCallsFailedDuringItsRun.
func TestAnAnswerSaysWhetherCallsFailedDuringItsRun(t *testing.T) {
	h := newHeld()
	r, _ := newTestRunner(t, h, 2)
	r.CallFailed()
	time.Sleep(time.Millisecond)
	for _, fails := range []bool{false, true} {
		results, _ := execute(r, routedCall("a"))
		<-h.came
		if fails {
			r.CallFailed()
		}
		h.goOn <- struct{}{}
		got := <-results
		must.NotNil(t, got.Answer)
		test.Eq(t, fails, got.Answer.CallsFailed)
	}
}
