package worktime

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test"
)

// normal is the run time of the tests' requests at normal speed.
const normal = 80 * time.Millisecond

// TestWorkTimeIsCorrectedForSlowdown checks that the reported slowdown of a run does not
// count as work.
func TestWorkTimeIsCorrectedForSlowdown(t *testing.T) {
	times := NewTimes()
	test.Eq(t, 0, times.Lookup("r"))
	times.Record("r", 4*normal, 400)
	test.Eq(t, normal, times.Lookup("r"))
	times.Record("r", normal, 0)
	test.Eq(t, normal, times.Lookup("r"))
}

// TestUnreportedSlowRuns checks that the work time stays near that at normal speed when a
// quarter of the runs take four times as long and the backend server reports no slowdown.
func TestUnreportedSlowRuns(t *testing.T) {
	times := NewTimes()
	for i := range 400 {
		took := normal
		if i%4 == 0 {
			took = 4 * normal
		}
		times.Record("r", took, 100)
	}
	test.Between(t, normal, times.Lookup("r"), 2*normal)
}

func TestNumberOfRoutesIsBounded(t *testing.T) {
	times := NewTimes()
	for i := range 2 * maxRoutes {
		times.Record(fmt.Sprint(i), normal, 0)
	}
	test.MapLen(t, maxRoutes, times.byRoute)
}

// TestUnknownWorkTimeIsEstimatedFromTarget checks LookupOrEstimate before and after the
// first run of a route.
func TestUnknownWorkTimeIsEstimatedFromTarget(t *testing.T) {
	times := NewTimes()
	test.Eq(t, 150*time.Millisecond, times.LookupOrEstimate("r", 500*time.Millisecond))
	test.Eq(t, maxInitial, times.LookupOrEstimate("r", time.Hour))
	test.Eq(t, 0, times.LookupOrEstimate("r", -time.Second))
	times.Record("r", normal, 100)
	test.Eq(t, normal, times.LookupOrEstimate("r", time.Hour))
}

// TestFirstRunsHaveEqualWeights checks that a first run that is too long is corrected by
// the next ones.
func TestFirstRunsHaveEqualWeights(t *testing.T) {
	times := NewTimes()
	times.Record("r", 3*normal, 100)
	times.Record("r", normal, 100)
	test.Eq(t, 2*normal, times.Lookup("r"))
}
