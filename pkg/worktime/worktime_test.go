package worktime

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test"
)

const usual = 80 * time.Millisecond

func TestTheWorkTimeIsThatOfABackendServerAsUsual(t *testing.T) {
	times := NewTimes()
	test.Eq(t, 0, times.Lookup("r"))
	times.Record("r", 4*usual, 400)
	test.Eq(t, usual, times.Lookup("r"))
	times.Record("r", usual, 0)
	test.Eq(t, usual, times.Lookup("r"))
}

// TestSlowTimesThatNobodyToldOf: a quarter of the runs take four times as long
// while the backend server says that it works as usual.
func TestSlowTimesThatNobodyToldOf(t *testing.T) {
	times := NewTimes()
	for i := range 400 {
		took := usual
		if i%4 == 0 {
			took = 4 * usual
		}
		times.Record("r", took, 100)
	}
	test.Between(t, usual, times.Lookup("r"), 2*usual)
}

func TestTheNumberOfRoutesIsBounded(t *testing.T) {
	times := NewTimes()
	for i := range 2 * mostRoutes {
		times.Record(fmt.Sprint(i), usual, 0)
	}
	test.MapLen(t, mostRoutes, times.byRoute)
}

// TestAWorkTimeThatIsNotKnownIsGuessed: from the target, until the first run.
func TestAWorkTimeThatIsNotKnownIsGuessed(t *testing.T) {
	times := NewTimes()
	test.Eq(t, 150*time.Millisecond, times.LookupOrEstimate("r", 500*time.Millisecond))
	test.Eq(t, longestGuess, times.LookupOrEstimate("r", time.Hour))
	test.Eq(t, 0, times.LookupOrEstimate("r", -time.Second))
	times.Record("r", usual, 100)
	test.Eq(t, usual, times.LookupOrEstimate("r", time.Hour))
}

// TestTheFirstRunsCountAlike: one unlucky first run does not stand for long.
func TestTheFirstRunsCountAlike(t *testing.T) {
	times := NewTimes()
	times.Record("r", 3*usual, 100)
	times.Record("r", usual, 100)
	test.Eq(t, 2*usual, times.Lookup("r"))
}
