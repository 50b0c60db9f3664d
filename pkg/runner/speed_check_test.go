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

// withHealthPath makes the runner ask a health path that says load.
func withHealthPath(r *Runner, load func() string) {
	s := r.Settings.Routing
	r.checker = backend.NewHealthChecker(backend.HealthCheckerOptions{MaxWait: s.LookWithin, MaxPerSecond: s.LooksPerSecond},
		func(context.Context) error {
			r.UpdateLoad(load())
			return nil
		})
}

// TestARequestStartsOnFreshWord: what the backend server said of its speed is
// old, so it is asked before the gate decides.
func TestARequestStartsOnFreshWord(t *testing.T) {
	r, _ := newTestRunner(t, newHeld(), 2)
	withHealthPath(r, func() string { return "0,0,2,400" })
	soft := routedCall("soft")
	soft.Routed.Soft = true
	results, _ := execute(r, soft)
	got := <-results
	must.NotNil(t, got.Refusal)
	test.Eq(t, errkind.GateBusier, got.Refusal.Kind)
	test.Eq(t, 400, got.Stamp.Slowdown)
}

// TestACallerThatLeavesDuringALook: the request never reaches the gate.
func TestACallerThatLeavesDuringALook(t *testing.T) {
	h := newHeld()
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
	test.Eq(t, 0, len(h.came))
}

// slowSpells makes the gate hold starts: spells of 100 ms came again and again,
// and one goes on.
func slowSpells(r *Runner) {
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

// heldCall is a call that a gate holds in a slow spell.
func heldCall(id string) *wire.Call {
	c := routedCall(id)
	c.Routed.TargetRemaining = time.Second
	return c
}

// holding makes a runner that holds one start for the end of a slow spell.
func holding(t *testing.T) (*Runner, *backend.Lifecycle, *held, chan call.Result) {
	h := newHeld()
	r, lifecycle := newTestRunner(t, h, 2)
	slowSpells(r)
	results, _ := execute(r, heldCall("a"))
	must.True(t, r.gate.AwaitsReport(r.Now()))
	return r, lifecycle, h, results
}

// TestAHeldStartOutlastsThePlannedStop: it was taken, so it runs when the spell
// ends, though nothing new is taken any more.
func TestAHeldStartOutlastsThePlannedStop(t *testing.T) {
	r, _, h, results := holding(t)
	r.StopAccepting()
	late, _ := execute(r, heldCall("b"))
	got := <-late
	test.Eq(t, errkind.Leaving, got.Refusal.Kind)
	h.goOn <- struct{}{}
	r.UpdateLoad("0,0,2,100")
	got = <-results
	must.NotNil(t, got.Answer)
	test.Eq(t, 1, r.held.Get())
}

// TestAHeldStartIsRefusedWhenItsBackendServerLeaves: at once, as not run, so that
// it goes elsewhere while it has time.
func TestAHeldStartIsRefusedWhenItsBackendServerLeaves(t *testing.T) {
	r, lifecycle, h, results := holding(t)
	lifecycle.RecordDeparture(2, backend.Incarnation{ID: "i-1"})
	r.Tick()
	got := <-results
	must.NotNil(t, got.Refusal)
	test.Eq(t, errkind.BackendAbsent, got.Refusal.Kind)
	test.Eq(t, errkind.RanNo, got.Refusal.Ran)
	test.Eq(t, 0, len(h.came))
	test.Eq(t, 0, r.gate.InFlight())
}

// TestAnAnswerTellsTheSlowdownAtItsStart: not the one that came with it, since a
// run keeps the speed of its start; entries learn work times from it.
func TestAnAnswerTellsTheSlowdownAtItsStart(t *testing.T) {
	h := newHeld()
	h.load = "1,0,2,100"
	r, _ := newTestRunner(t, h, 2)
	r.UpdateLoad("0,0,2,300")
	h.goOn <- struct{}{}
	results, _ := execute(r, routedCall("a"))
	got := <-results
	must.NotNil(t, got.Answer)
	test.Eq(t, 300, got.Answer.Slowdown)
	test.Eq(t, 100, got.Stamp.Slowdown)
}
