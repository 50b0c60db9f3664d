package runner

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/rushramp/rushramp/pkg/backend"
	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/errkind"
	"github.com/rushramp/rushramp/pkg/wire"
)

// withHealthPath gives the runner a health checker. load returns the load header of each
// check.
func withHealthPath(r *Runner, load func() string) {
	s := r.Settings.Routing
	r.checker = backend.NewHealthChecker(backend.HealthCheckerOptions{MaxWait: s.LookWithin, MaxPerSecond: s.LooksPerSecond},
		func(context.Context) error {
			r.UpdateLoad(load())
			return nil
		})
}

// TestSpeedIsCheckedBeforeAdmission: the last known speed of the backend server is old,
// so that it is checked before the gate decides.
func TestSpeedIsCheckedBeforeAdmission(t *testing.T) {
	r, _ := newTestRunner(t, newHoldingServer(), 2)
	withHealthPath(r, func() string { return "0,0,2,400" })
	soft := routedCall("soft")
	soft.Routed.Soft = true
	results, _ := execute(r, soft)
	got := <-results
	must.NotNil(t, got.Refusal)
	test.Eq(t, errkind.GateBusier, got.Refusal.Kind)
	test.Eq(t, 400, got.Stamp.Slowdown)
}

// TestRequestCancelledDuringSpeedCheck: the request does not reach the gate.
func TestRequestCancelledDuringSpeedCheck(t *testing.T) {
	h := newHoldingServer()
	r, _ := newTestRunner(t, h, 2)
	asked, answer := make(chan struct{}), make(chan struct{})
	r.Settings.Routing.LookWithin = 1 << 40
	withHealthPath(r, func() string {
		close(asked)
		<-answer
		return "0,0,2,100"
	})
	results, cancel := execute(r, routedCall("a"))
	<-asked
	cancel()
	close(answer)
	got := <-results
	must.NotNil(t, got.Refusal)
	test.Eq(t, errkind.CallerGone, got.Refusal.Kind)
	test.Eq(t, errkind.RanNo, got.Refusal.Ran)
	test.Eq(t, 0, len(h.arrived))
}

// reportSlowPeriods makes the gate hold starts: it reports recurring slow periods of
// 100 ms, the last of which has not ended.
func reportSlowPeriods(r *Runner) {
	const second, step = int64(time.Second), int64(10 * time.Millisecond)
	now := r.Now() - 40*second
	for ; now < r.Now(); now += step {
		slowdown := 1.0
		if now%second < second/10 {
			slowdown = 5
		}
		r.gate.ObserveSlowdown(now, slowdown)
	}
	for range 10 {
		r.gate.ObserveSlowdown(r.Now(), 1)
	}
	r.load.Update(r.Now(), "0,0,2,500")
	r.gate.ObserveSlowdown(r.Now(), 5)
}

// newHeldCall returns a call that the gate holds during a slow period.
func newHeldCall(id string) *wire.Call {
	c := routedCall(id)
	c.Routed.TargetRemaining = time.Second
	return c
}

// newHoldingRunner returns a runner that holds one start until a slow period ends.
func newHoldingRunner(t *testing.T) (*Runner, *backend.Lifecycle, *holdingServer, chan call.Result) {
	h := newHoldingServer()
	r, lifecycle := newTestRunner(t, h, 2)
	reportSlowPeriods(r)
	results, _ := execute(r, newHeldCall("a"))
	must.True(t, r.gate.AwaitsReport(r.Now()))
	return r, lifecycle, h, results
}

// TestHeldStartRunsAfterStopAccepting: an accepted request runs when the slow period
// ends, although new ones are refused by then.
func TestHeldStartRunsAfterStopAccepting(t *testing.T) {
	r, _, h, results := newHoldingRunner(t)
	r.StopAccepting()
	late, _ := execute(r, newHeldCall("b"))
	got := <-late
	test.Eq(t, errkind.Leaving, got.Refusal.Kind)
	h.proceed <- struct{}{}
	r.UpdateLoad("0,0,2,100")
	got = <-results
	must.NotNil(t, got.Answer)
	test.Eq(t, 1, r.heldStarts.Get())
}

// TestHeldStartIsRefusedWhenBackendServerLeaves: it is refused at once as not run, so
// that it can run elsewhere in time.
func TestHeldStartIsRefusedWhenBackendServerLeaves(t *testing.T) {
	r, lifecycle, h, results := newHoldingRunner(t)
	lifecycle.RecordDeparture(2, backend.Departure{Incarnation: backend.Incarnation{ID: "i-1"}})
	r.Tick()
	got := <-results
	must.NotNil(t, got.Refusal)
	test.Eq(t, errkind.BackendAbsent, got.Refusal.Kind)
	test.Eq(t, errkind.RanNo, got.Refusal.Ran)
	test.Eq(t, 0, len(h.arrived))
	test.Eq(t, 0, r.gate.InFlight())
}

// TestAnswerReportsSlowdownAtStart rather than that in the response's load header: a run
// keeps the speed that it starts with, and entries learn work times from it.
func TestAnswerReportsSlowdownAtStart(t *testing.T) {
	h := newHoldingServer()
	h.load = "1,0,2,100"
	r, _ := newTestRunner(t, h, 2)
	r.UpdateLoad("0,0,2,300")
	h.proceed <- struct{}{}
	results, _ := execute(r, routedCall("a"))
	got := <-results
	must.NotNil(t, got.Answer)
	test.Eq(t, 300, got.Answer.Slowdown)
	test.Eq(t, 100, got.Stamp.Slowdown)
}
