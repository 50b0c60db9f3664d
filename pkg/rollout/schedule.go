package rollout

import "time"

// The times of a roll-out. A version that turns bad late is told only by time, so all
// that draining and writing do not need is the canaries'.
const (
	// leastKept and mostKept bound the time kept back for switching, a sixth of the whole
	// between them. leastKept: the phase is heard and obeyed (0.5 s: a link, a report
	// each 0.25 s), the old backend servers drain (2 s: work of 190 ms, fivefold in a
	// neighbour's slow spell, twice as long while cold), and the row is written twice
	// with endBefore for the last one. Longer roll-outs leave room for a slow store and
	// for a watcher that is lost (0.8 s).
	leastKept = 4 * time.Second
	mostKept  = 8 * time.Second
	keptPart  = 6
	// lastSwitch before the deadline it is not switched any more: usual work drains in
	// half of it, and endBefore is the other half.
	lastSwitch = 2 * time.Second
	// endBefore is when the end is written at the latest: the order may have been seen
	// half a second late, and a write takes up to half a second.
	endBefore = time.Second
	// watchSwitch is how long the target runs all requests before the old versions are
	// given up: what shows only under the whole load shows in less (judge: 0.25 s of a
	// report, answers of three to five times 190 ms).
	watchSwitch = 1500 * time.Millisecond
	// knowWithin is when backend servers of other versions are known, if there are any.
	knowWithin = 2 * time.Second
)

// keepBack is how long before the deadline it is switched at the earliest.
func keepBack(duration time.Duration) time.Duration {
	return min(max(duration/keptPart, leastKept), mostKept)
}

const (
	// budgetUsed is the part of the allowed share that is planned with. The rest and the
	// slack are for requests that come unevenly and for a switch that is late.
	budgetUsed = 0.9
	// switchWorst is how long a version that is bad under the whole load only runs all
	// requests before it is stopped: a run of 190 ms, a report each 0.25 s, the verdict
	// and the word over links.
	switchWorst = 600 * time.Millisecond
	// leastShare is given to canaries where the time is too short for the budget.
	leastShare = 0.01
)

// mostShare is the largest share of the requests for canaries. A bad version must get at
// most Share of the requests between order and deadline, the canaries' and those of the
// switch together. With the requests of one second as the unit and 0.1 allowed:
//
//	duration   allowed  0.9 of it  switch  left for canaries  over    share
//	   12 s      1.2      1.08      0.6         0.48           8 s    0.060
//	   60 s      6.0      5.4       0.6         4.8           52 s    0.092, so 0.09
//	  300 s     30        27        0.6        26.4          292 s    0.0904, so 0.09
//
// The most that a bad version gets: 12 s: 0.06*10 (switched at the last moment) + 0.6 =
// 1.2; 60 s: 0.09*58 + 0.6 = 5.8 of 6; 300 s: 0.09*298 + 0.6 = 27.4 of 30. Below 8 s the
// switch alone may take more than the share; what is left is the slack.
func mostShare(duration time.Duration, limits Limits) float64 {
	allowed := limits.MaxBadShare * budgetUsed
	over := (duration - keepBack(duration)).Seconds()
	if over <= 0 {
		return leastShare
	}
	share := (allowed*duration.Seconds() - switchWorst.Seconds()) / over
	return max(min(share, allowed), leastShare)
}
