package quota

import (
	"testing"
	"time"

	"github.com/shoenig/test"

	"github.com/rushramp/rushramp/pkg/teams"
)

// TestTheCountOfMembersFallsWithTheFleet: daemons that tell each other how many there are
// do not hold each other at what there once were.
func TestTheCountOfMembersFallsWithTheFleet(t *testing.T) {
	w := newWorld(4, teams.Limit{Rate: 10, Burst: 10}, 1)
	const before, now = 10, 4
	// They hear of it one after the other.
	heardBy := time.Duration(0)
	w.members = func(daemon int) uint32 {
		if time.Duration(w.now) > 2*time.Second+time.Duration(daemon)*heardBy && heardBy > 0 {
			return now
		}
		return before
	}
	w.play(0, 2*time.Second, nil)
	heardBy = membersFor / 3
	w.play(0, 4*membersFor, nil)
	for _, d := range w.daemons {
		test.Eq(t, now, d.node.members.count)
	}
}

// TestACounterGetsNoMoreRenewalsInALargerFleet: some 430 a second of each group from 64
// daemons on, until the lease is at its bound.
func TestACounterGetsNoMoreRenewalsInALargerFleet(t *testing.T) {
	for _, size := range []uint32{64, 300, 600} {
		perSecond := float64(size) / renewal(size).Seconds()
		test.Between(t, 420, perSecond, 430, test.Sprintf("%d daemons", size))
		test.Eq(t, leaseLeast/renewLeast, lease(size)/renewal(size))
	}
	test.Eq(t, leaseLeast, lease(3))
	test.Eq(t, leaseMost, lease(21_000))
}

// TestALeaseOfAnotherLength is kept by both sides, whatever each knows of the fleet.
func TestALeaseOfAnotherLength(t *testing.T) {
	p := newPool(0)
	p.lend(second, offer{vm: "a", size: 1, stamp: second, lease: 2 * time.Second})
	p.advance(2 * second)
	test.Eq(t, 1, p.sum)
	p.advance(3 * second)
	test.Eq(t, 0, p.sum)
}

// TestADaemonOfALargeFleetWaitsForWhatItLentBefore longer than one of a small fleet.
func TestADaemonOfALargeFleetWaitsForWhatItLentBefore(t *testing.T) {
	n := NewNode(Options{VM: "a", Restarted: true, RestartAfter: 300 * time.Millisecond})
	n.members.count = 10
	test.True(t, n.mayLend(int64(200*time.Millisecond)))
	n.members.count = 640
	test.False(t, n.mayLend(4*second))
	test.True(t, n.mayLend(5*second))
}
