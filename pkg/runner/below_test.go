package runner

import (
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/rushramp/rushramp/pkg/errkind"
)

// TestRequestsWhoseCallsAreRefusedAreNotStarted: their runs have failed with a call
// refused, so a share of the next ones is refused as not run.
func TestRequestsWhoseCallsAreRefusedAreNotStarted(t *testing.T) {
	h := newHeld()
	r, _ := newTestRunner(t, h, 4)
	now := r.Now()
	r.below.Refused(now)
	r.below.Ended("route", now, true)
	r.random = func() float64 { return 0.9 }
	results, _ := execute(r, routedCall("submit"))
	got := <-results
	must.NotNil(t, got.Refusal)
	test.Eq(t, errkind.OverloadedBelow, got.Refusal.Kind)
	test.Eq(t, errkind.RanNo, got.Refusal.Ran)
	r.random = func() float64 { return 0.1 }
	_, cancel := execute(r, routedCall("submit"))
	test.Eq(t, "submit", <-h.came)
	cancel()
}
