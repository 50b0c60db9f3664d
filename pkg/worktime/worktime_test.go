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
	test.Eq(t, 0, times.Of("r"))
	times.Note("r", 4*usual, 400)
	test.Eq(t, usual, times.Of("r"))
	times.Note("r", usual, 0)
	test.Eq(t, usual, times.Of("r"))
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
		times.Note("r", took, 100)
	}
	test.Between(t, usual, times.Of("r"), 2*usual)
}

func TestTheNumberOfRoutesIsBounded(t *testing.T) {
	times := NewTimes()
	for i := range 2 * mostRoutes {
		times.Note(fmt.Sprint(i), usual, 0)
	}
	test.MapLen(t, mostRoutes, times.byRoute)
}

// TestAWorkTimeThatIsNotKnownIsGuessed: from the target, until the first run.
func TestAWorkTimeThatIsNotKnownIsGuessed(t *testing.T) {
	times := NewTimes()
	test.Eq(t, 150*time.Millisecond, times.OfOrGuess("r", 500*time.Millisecond))
	test.Eq(t, longestGuess, times.OfOrGuess("r", time.Hour))
	test.Eq(t, 0, times.OfOrGuess("r", -time.Second))
	times.Note("r", usual, 100)
	test.Eq(t, usual, times.OfOrGuess("r", time.Hour))
}

// TestTheFirstRunsCountAlike: one unlucky first run does not stand for long.
func TestTheFirstRunsCountAlike(t *testing.T) {
	times := NewTimes()
	times.Note("r", 3*usual, 100)
	times.Note("r", usual, 100)
	test.Eq(t, 2*usual, times.Of("r"))
}
