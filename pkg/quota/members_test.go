package quota

import (
	"testing"
	"time"

	"github.com/shoenig/test"

	"github.com/rushramp/rushramp/pkg/teams"
)

// TestMemberCountFallsWithTheFleet: daemons that report the member count to each other
// still all arrive at a lower count.
func TestMemberCountFallsWithTheFleet(t *testing.T) {
	w := newWorld(4, teams.Limit{Rate: 10, Burst: 10}, 1)
	const before, after = 10, 4
	// The daemons learn the lower count one after the other, this far apart.
	learnInterval := time.Duration(0)
	w.members = func(daemon int) uint32 {
		if time.Duration(w.now) > 2*time.Second+time.Duration(daemon)*learnInterval && learnInterval > 0 {
			return after
		}
		return before
	}
	w.run(0, 2*time.Second, nil)
	learnInterval = memberDecreaseDelay / 3
	w.run(0, 4*memberDecreaseDelay, nil)
	for _, d := range w.daemons {
		test.Eq(t, after, d.node.members.count)
	}
}

// TestRenewalRateIsConstantInLargeFleets: a counter gets about 430 renewals per second of
// each group in a fleet of at least 64 daemons, until the lease reaches its maximum.
func TestRenewalRateIsConstantInLargeFleets(t *testing.T) {
	for _, size := range []uint32{64, 300, 600} {
		perSecond := float64(size) / renewalInterval(size).Seconds()
		test.Between(t, 420, perSecond, 430, test.Sprintf("%d daemons", size))
		test.Eq(t, minLease/minRenewalInterval, leaseDuration(size)/renewalInterval(size))
	}
	test.Eq(t, minLease, leaseDuration(3))
	test.Eq(t, maxLease, leaseDuration(21_000))
}

// TestPoolUsesTheLeaseOfTheOffer: a pool does not derive the lease from its own view of
// the fleet.
func TestPoolUsesTheLeaseOfTheOffer(t *testing.T) {
	p := newPool(0)
	p.addShare(second, shareOffer{vm: "a", size: 1, counterTime: second, lease: 2 * time.Second})
	p.advance(2 * second)
	test.Eq(t, 1, p.shareSum)
	p.advance(3 * second)
	test.Eq(t, 0, p.shareSum)
}

// TestRestartedDaemonWaitsForItsPreviousLease: it waits longer in a large fleet, which has
// longer leases.
func TestRestartedDaemonWaitsForItsPreviousLease(t *testing.T) {
	n := NewNode(Options{VM: "a", Restarted: true, RestartAfter: 300 * time.Millisecond})
	n.members.count = 10
	test.True(t, n.mayLease(int64(200*time.Millisecond), 0))
	n.members.count = 640
	test.False(t, n.mayLease(4*second, 0))
	test.True(t, n.mayLease(5*second, 0))
}
