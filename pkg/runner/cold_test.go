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
	"github.com/rushramp/rushramp/pkg/routing"
)

// withColdService makes the placement say that a cold backend server bears two
// requests a second.
func withColdService(r *Runner) {
	r.service = func() (routing.Service, bool) { return routing.Service{ColdFor: 3 * time.Second, ColdRate: 2}, true }
}

// TestAColdBackendServerIsNotOverrun: what comes after its two requests waits, or
// is refused where it could not end in time.
func TestAColdBackendServerIsNotOverrun(t *testing.T) {
	h := newHeld()
	r, lifecycle := newTestRunner(t, h, 10)
	withColdService(r)
	lifecycle.RecordCold(r.Now(), r.Now(), "i-1", 3*time.Second)
	r.UpdateCold()
	for range 2 {
		_, _ = execute(r, routedCall("runs"))
		test.Eq(t, "runs", <-h.came)
	}
	_, cancel := execute(r, routedCall("waits"))
	hasty := routedCall("hasty")
	hasty.Routed.TargetRemaining = 500 * time.Millisecond
	results, _ := execute(r, hasty)
	got := <-results
	must.NotNil(t, got.Refusal)
	test.Eq(t, errkind.Overloaded, got.Refusal.Kind)
	test.Eq(t, errkind.RanNo, got.Refusal.Ran)
	r.Tick()
	test.Eq(t, 0, len(h.came))
	cancel()
}

// TestAnOldWordIsAskedForBeforeMoreThanAColdOneBearsStart: the backend server has
// become cold meanwhile, as when its data centre was taken back.
func TestAnOldWordIsAskedForBeforeMoreThanAColdOneBearsStart(t *testing.T) {
	h := newHeld()
	r, lifecycle := newTestRunner(t, h, 10)
	withColdService(r)
	asked := make(chan struct{}, 100)
	r.checker = backend.NewHealthChecker(backend.HealthCheckerOptions{MaxWait: time.Minute, MaxPerSecond: 100}, func(context.Context) error {
		lifecycle.RecordCold(r.Now(), r.Now(), "i-1", 3*time.Second)
		r.UpdateCold()
		asked <- struct{}{}
		return nil
	})
	lifecycle.RecordCold(r.Now()-int64(time.Second), r.Now()-int64(time.Second), "i-1", 0)
	r.UpdateCold()
	var cancels []func()
	for range 3 {
		_, cancel := execute(r, routedCall("a"))
		cancels = append(cancels, cancel)
	}
	<-asked
	<-h.came
	<-h.came
	test.Eq(t, 0, len(h.came))
	for _, cancel := range cancels {
		cancel()
	}
}

// TestCallsAreHeldToTheirTargetWhileColdStartsAreScarce, and to their deadline else.
func TestCallsAreHeldToTheirTargetWhileColdStartsAreScarce(t *testing.T) {
	r, lifecycle := newTestRunner(t, newHeld(), 10)
	withColdService(r)
	c := routedCall("call")
	c.Routed.TargetRemaining = 120 * time.Millisecond
	const now = int64(time.Second)
	run := &routedRun{owner: r, call: c, deadline: now + int64(time.Minute)}
	test.Eq(t, run.deadline, r.endBy(now, run, true))
	test.Eq(t, now+int64(120*time.Millisecond), r.endBy(now, run, false))
	lifecycle.RecordCold(r.Now(), r.Now(), "i-1", 3*time.Second)
	r.UpdateCold()
	test.Eq(t, now+int64(120*time.Millisecond), r.endBy(now, run, true))
	lifecycle.RecordCold(r.Now(), r.Now(), "i-1", 0)
	r.UpdateCold()
	test.Eq(t, run.deadline, r.endBy(now, run, true))
}

// TestWhatAColdBackendServerBearsIsKnownBeforeTheFirstStart: its word came before
// the placement.
func TestWhatAColdBackendServerBearsIsKnownBeforeTheFirstStart(t *testing.T) {
	h := newHeld()
	r, lifecycle := newTestRunner(t, h, 10)
	service := r.service
	r.service = func() (routing.Service, bool) { return routing.Service{}, false }
	lifecycle.RecordCold(r.Now(), r.Now(), "i-1", 3*time.Second)
	r.UpdateCold()
	r.service = service
	withColdService(r)
	for range 2 {
		_, _ = execute(r, routedCall("runs"))
		test.Eq(t, "runs", <-h.came)
	}
	_, cancel := execute(r, routedCall("waits"))
	r.Tick()
	test.Eq(t, 0, len(h.came))
	cancel()
}

// TestWithoutAPlacementNothingRuns: nobody knows yet what the backend server bears.
func TestWithoutAPlacementNothingRuns(t *testing.T) {
	r, _ := newTestRunner(t, newHeld(), 10)
	r.service = func() (routing.Service, bool) { return routing.Service{}, false }
	results, _ := execute(r, routedCall("a"))
	got := <-results
	must.NotNil(t, got.Refusal)
	test.Eq(t, call.Refused(errkind.PlacementUnknown, "").Refusal.Kind, got.Refusal.Kind)
	test.True(t, got.Refusal.RetryElsewhere())
}
