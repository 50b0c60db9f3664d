package runner

import (
	"context"
	"math"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/rushramp/rushramp/pkg/backend"
	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/errkind"
	"github.com/rushramp/rushramp/pkg/routing"
	"github.com/rushramp/rushramp/pkg/settings"
)

// withColdService sets a placement by which a cold backend server tolerates two starts
// a second.
func withColdService(r *Runner) {
	r.service = func() (routing.Service, bool) { return routing.Service{ColdFor: 3 * time.Second, ColdRate: 2}, true }
}

// TestColdRateOutOfRangeIsNoLowLimit guards against a conversion that overflows: the limit was one
// start per second on some processors and took all memory on others.
func TestColdRateOutOfRangeIsNoLowLimit(t *testing.T) {
	s := &settings.Routing{ColdFactor: 1.5, ColdSlack: 8}
	test.Eq(t, math.MaxInt32, maxColdStarts(s, 1e308))
	test.Eq(t, math.MaxInt32, maxColdStarts(s, math.MaxFloat64))
	test.Eq(t, 32, maxColdStarts(s, 16))
	test.Eq(t, 1, maxColdStarts(&settings.Routing{ColdFactor: 1}, 0.1))
}

// TestColdBackendServerGetsFewStarts: after the two starts that it tolerates, requests
// wait, or are refused if they could not end in time.
func TestColdBackendServerGetsFewStarts(t *testing.T) {
	h := newHoldingServer()
	r, lifecycle := newTestRunner(t, h, 10)
	withColdService(r)
	lifecycle.RecordCold(r.Now(), r.Now(), "i-1", 3*time.Second)
	r.UpdateColdState()
	for range 2 {
		_, _ = execute(r, routedCall("runs"))
		test.Eq(t, "runs", <-h.arrived)
	}
	_, cancel := execute(r, routedCall("waits"))
	urgent := routedCall("urgent")
	urgent.Routed.TargetRemaining = 500 * time.Millisecond
	results, _ := execute(r, urgent)
	got := <-results
	must.NotNil(t, got.Refusal)
	test.Eq(t, errkind.Overloaded, got.Refusal.Kind)
	test.Eq(t, errkind.RanNo, got.Refusal.Ran)
	r.Tick()
	test.Eq(t, 0, len(h.arrived))
	cancel()
}

// TestWarmBackendServerIsRecheckedBeforeColdLimitIsExceeded: the backend server has
// become cold since the last report, as when the evacuation of its data centre ends.
func TestWarmBackendServerIsRecheckedBeforeColdLimitIsExceeded(t *testing.T) {
	h := newHoldingServer()
	r, lifecycle := newTestRunner(t, h, 10)
	withColdService(r)
	asked := make(chan struct{}, 100)
	r.checker = backend.NewHealthChecker(backend.HealthCheckerOptions{MaxWait: time.Minute, MaxPerSecond: 100}, func(context.Context) error {
		lifecycle.RecordCold(r.Now(), r.Now(), "i-1", 3*time.Second)
		r.UpdateColdState()
		asked <- struct{}{}
		return nil
	})
	lifecycle.RecordCold(r.Now()-int64(time.Second), r.Now()-int64(time.Second), "i-1", 0)
	r.UpdateColdState()
	var cancels []func()
	for range 3 {
		_, cancel := execute(r, routedCall("a"))
		cancels = append(cancels, cancel)
	}
	<-asked
	<-h.arrived
	<-h.arrived
	test.Eq(t, 0, len(h.arrived))
	for _, cancel := range cancels {
		cancel()
	}
}

// TestServiceCallsAreHeldToTheirTargetWhileCold, and to their deadline otherwise.
func TestServiceCallsAreHeldToTheirTargetWhileCold(t *testing.T) {
	r, lifecycle := newTestRunner(t, newHoldingServer(), 10)
	withColdService(r)
	c := routedCall("call")
	c.Routed.TargetRemaining = 120 * time.Millisecond
	const now = int64(time.Second)
	run := &routedRun{runner: r, call: c, deadline: now + int64(time.Minute)}
	test.Eq(t, run.deadline, r.latestEnd(now, run, true))
	test.Eq(t, now+int64(120*time.Millisecond), r.latestEnd(now, run, false))
	lifecycle.RecordCold(r.Now(), r.Now(), "i-1", 3*time.Second)
	r.UpdateColdState()
	test.Eq(t, now+int64(120*time.Millisecond), r.latestEnd(now, run, true))
	lifecycle.RecordCold(r.Now(), r.Now(), "i-1", 0)
	r.UpdateColdState()
	test.Eq(t, run.deadline, r.latestEnd(now, run, true))
}

// TestColdLimitIsSetBeforeTheFirstStart: the cold report arrives before the placement.
func TestColdLimitIsSetBeforeTheFirstStart(t *testing.T) {
	h := newHoldingServer()
	r, lifecycle := newTestRunner(t, h, 10)
	service := r.service
	r.service = func() (routing.Service, bool) { return routing.Service{}, false }
	lifecycle.RecordCold(r.Now(), r.Now(), "i-1", 3*time.Second)
	r.UpdateColdState()
	r.service = service
	withColdService(r)
	for range 2 {
		_, _ = execute(r, routedCall("runs"))
		test.Eq(t, "runs", <-h.arrived)
	}
	_, cancel := execute(r, routedCall("waits"))
	r.Tick()
	test.Eq(t, 0, len(h.arrived))
	cancel()
}

// TestNothingRunsWithoutPlacement: it is not known yet how many starts a cold backend
// server tolerates.
func TestNothingRunsWithoutPlacement(t *testing.T) {
	r, _ := newTestRunner(t, newHoldingServer(), 10)
	r.service = func() (routing.Service, bool) { return routing.Service{}, false }
	results, _ := execute(r, routedCall("a"))
	got := <-results
	must.NotNil(t, got.Refusal)
	test.Eq(t, call.Refused(errkind.PlacementUnknown, "").Refusal.Kind, got.Refusal.Kind)
	test.True(t, got.Refusal.RetryElsewhere())
}
