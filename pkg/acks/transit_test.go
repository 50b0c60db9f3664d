package acks

import (
	"testing"
	"time"

	"github.com/shoenig/test"
)

// TestFirstCallOfALinkWasDelayed: nothing but the hello frame tells the difference between the
// clocks, also long after it.
func TestFirstCallOfALinkWasDelayed(t *testing.T) {
	const hour = int64(time.Hour)
	sentUS := func(at int64) uint64 { return uint64(at/int64(time.Microsecond)) + 1 }
	var link Transit
	test.Eq(t, 0, link.Least(5, 0))
	// The sender had run for an hour when it said hello at the receiver's second 10.
	link.ObserveUptime(10*int64(time.Second), uint64(hour/int64(time.Millisecond))+1)
	test.Eq(t, time.Second-11*maxDrift, link.Least(21*int64(time.Second), sentUS(hour+10*int64(time.Second))))
	test.Eq(t, 0, link.Least(22*int64(time.Second), sentUS(hour+12*int64(time.Second))))
	// A faster call than the hello frame, and a rare one an hour later.
	test.Eq(t, 0, link.Least(30*int64(time.Second)-10*int64(time.Millisecond), sentUS(hour+20*int64(time.Second))))
	later := link.Least(30*int64(time.Second)+hour, sentUS(2*hour+19*int64(time.Second)))
	test.Between(t, 200*time.Millisecond, later, time.Second)
	test.Eq(t, 0, link.Least(5, 1<<63))
}
