package rollout

import "time"

// The schedule of a roll-out counts back from its deadline: the time needed to drain the
// old versions and to write the plan is reserved for the switch. All other
// time goes to the phase Canary, because only a long one detects a version that turns bad
// late.
const (
	// minSwitchTime and maxSwitchTime bound the time reserved for the switch, which is a
	// switchTimeDivisor-th of the order's duration. The minimum covers the time until all
	// executors follow the plan (0.5 s: a link and a report each 0.25 s), until the old
	// backend servers are drained (2 s: work of 190 ms that takes five times as long during
	// a neighbour's load, and twice as long while cold), and two writes of the row, the last
	// one within endMargin. Longer roll-outs also leave time for a slow store and for the
	// loss of a daemon that decides (0.8 s).
	minSwitchTime     = 4 * time.Second
	maxSwitchTime     = 8 * time.Second
	switchTimeDivisor = 6
	// minTimeAfterSwitch is the time before the deadline from which no switch begins: runs
	// at normal speed drain in half of it, and endMargin is the other half.
	minTimeAfterSwitch = 2 * time.Second
	// endMargin is the time before the deadline by which the last plan is due: the order may
	// have been seen half a second late, and a write takes up to half a second.
	endMargin = time.Second
	// minWatchTime is the time for which the target must run all requests before the
	// roll-out completes. It is long enough to detect a fault that appears only under full
	// load: a report takes 0.25 s, and slow answers take three to five times 190 ms.
	minWatchTime = 1500 * time.Millisecond
	// discoveryTime is the time within which the backend servers of other versions become
	// known, if there are any.
	discoveryTime = 2 * time.Second
)

// switchTime returns the time before the deadline that is reserved for the switch, for an
// order of the given duration.
func switchTime(duration time.Duration) time.Duration {
	return min(max(duration/switchTimeDivisor, minSwitchTime), maxSwitchTime)
}

const (
	// plannedBudget is the part of Limits.MaxBadShare that the plan uses. The rest, and the
	// requests that the platform allows in addition, cover an uneven request rate and a late
	// switch.
	plannedBudget = 0.9
	// maxSwitchExposure is the longest time for which a version that is bad only under full
	// load runs all requests before it is stopped: a run of 190 ms, the report interval of
	// 0.25 s, and the time to send the stop over links.
	maxSwitchExposure = 600 * time.Millisecond
	// minCanaryShare is the canaries' share where the duration is too short for the budget.
	minCanaryShare = 0.01
)

// maxCanaryShare returns the largest share of the requests that canaries may get, from 0
// to 1. A bad version must get at most MaxBadShare of all requests between order and
// deadline: as a canary and, until it is stopped, after the switch. Example with a
// MaxBadShare of 0.1, where the unit is the requests of one second:
//
//	duration   allowed  0.9 of it  switch  left for canaries  over    share
//	   12 s      1.2      1.08      0.6         0.48           8 s    0.060
//	   60 s      6.0      5.4       0.6         4.8           52 s    0.092, so 0.09
//	  300 s     30        27        0.6        26.4          292 s    0.0904, so 0.09
//
// Where the switch begins at the last moment a bad version gets in 12 s 0.06*10 + 0.6 =
// 1.2 of 1.2, in 60 s 0.09*58 + 0.6 = 5.8 of 6, and in 300 s 0.09*298 + 0.6 = 27.4 of 30.
// Below 8 s the switch alone may exceed the allowed share.
func maxCanaryShare(duration time.Duration, limits Limits) float64 {
	allowed := limits.MaxBadShare * plannedBudget
	canarySeconds := (duration - switchTime(duration)).Seconds()
	if canarySeconds <= 0 {
		return minCanaryShare
	}
	share := (allowed*duration.Seconds() - maxSwitchExposure.Seconds()) / canarySeconds
	return max(min(share, allowed), minCanaryShare)
}
