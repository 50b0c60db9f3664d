package below

import (
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test"
)

// TestARunThatFailsByItselfChangesNothing: no call was refused in its time.
func TestARunThatFailsByItselfChangesNothing(t *testing.T) {
	s := NewShares()
	s.Ended("submit", 0, true)
	s.Refused(100)
	s.Ended("submit", 200, true)
	test.Eq(t, 1.0, s.Share("submit"))
	test.MapEmpty(t, s.byRoute)
}

// TestTheShareOfARouteWhoseCallsAreRefused falls, to the least that tells when there
// is room again, and rises with runs that go well. Other routes keep theirs.
func TestTheShareOfARouteWhoseCallsAreRefused(t *testing.T) {
	s := NewShares()
	s.Refused(100)
	s.Ended("submit", 50, true)
	test.Eq(t, cut, s.Share("submit"))
	for range 10 {
		s.Ended("submit", 50, true)
	}
	test.Eq(t, least, s.Share("submit"))
	test.Eq(t, 1.0, s.Share("load"))
	for range 20 {
		s.Ended("submit", 200, false)
	}
	test.Eq(t, 1.0, s.Share("submit"))
	test.MapEmpty(t, s.byRoute)
}

// TestScarceCalls is the load after a loss of power: runs need two calls each of a
// service that takes 100 of the 240 that all of them would make in a second. Without
// a bound one run in six gets both of its calls; with it half of the calls taken are
// of runs that go well at least.
func TestScarceCalls(t *testing.T) {
	const runs, calls, seconds = 120, 100, 20
	s, random := NewShares(), rand.New(rand.NewPCG(1, 1))
	well, failed := 0, 0
	for second := range seconds {
		left := calls
		for i := range runs {
			if random.Float64() >= s.Share("submit") {
				continue
			}
			now := int64(second*runs + i + 1)
			// What the called service has left for the rest of the second is asked for
			// by the other entries, too.
			ok := true
			for range 2 {
				if random.Float64() < float64(left)/float64(max(2*(runs-i), 1)) {
					left--
					continue
				}
				ok = false
				s.Refused(now)
			}
			s.Ended("submit", now, !ok)
			if ok {
				well++
			} else {
				failed++
			}
		}
	}
	t.Logf("%d went well, %d failed", well, failed)
	test.Greater(t, failed, 3*well)
}
