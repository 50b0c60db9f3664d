package systems

import (
	"time"

	"github.com/rushramp/rushramp/pkg/proximity"
)

// leastRoundTrips are the least round trips to each place: what the lines take, without
// what busy daemons add.
type leastRoundTrips [proximity.Count]time.Duration

// note takes a link's round trip; 0: it is not known.
func (d *leastRoundTrips) note(at proximity.Level, roundTrip time.Duration) {
	if roundTrip > 0 && (d[at] == 0 || roundTrip < d[at]) {
		d[at] = roundTrip
	}
}

// regionShare is the round trip within the region as a share of that to others, 1
// at most; ok is false while one of them is not known. What was measured before
// then holds: while a region is cut off, lines cost what they did.
func (d *leastRoundTrips) regionShare() (share float64, ok bool) {
	within, across := d[proximity.Region], d[proximity.OtherRegion]
	if within == 0 || across == 0 {
		return 0, false
	}
	return min(float64(within)/float64(across), 1), true
}
