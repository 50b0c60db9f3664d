package systems

import (
	"time"

	"github.com/rushramp/rushramp/pkg/proximity"
)

// leastRoundTrips holds the shortest round-trip time of any link to each proximity level;
// 0: not known. The shortest one is closest to the network's, without the delays of busy
// daemons.
type leastRoundTrips [proximity.Count]time.Duration

// record takes over the round-trip time of a link; 0: not known.
func (r *leastRoundTrips) record(level proximity.Level, roundTrip time.Duration) {
	if roundTrip > 0 && (r[level] == 0 || roundTrip < r[level]) {
		r[level] = roundTrip
	}
}

// regionShare returns the round-trip time within the region as a share of that to other
// regions, at most 1. ok is false if one of them is not known; the caller then keeps the
// share measured before, since the cost of a crossing does not change when a region is
// cut off.
func (r *leastRoundTrips) regionShare() (share float64, ok bool) {
	within, across := r[proximity.Region], r[proximity.OtherRegion]
	if within == 0 || across == 0 {
		return 0, false
	}
	return min(float64(within)/float64(across), 1), true
}
