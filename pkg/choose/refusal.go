package choose

import (
	"time"

	"github.com/rushramp/rushramp/pkg/gate"
	"github.com/rushramp/rushramp/pkg/speed"
	"github.com/rushramp/rushramp/pkg/tables"
)

// maxStampAge is the age up to which a stamp tells what its gate would answer now.
// A neighbour's noise lasts some 300 ms and a run some 100 ms, so that most
// gates still answer the same. Bytes for a refusal are saved, and a request that
// finds all gates full is refused without having crossed the fleet.
const maxStampAge = 60 * time.Millisecond

// wouldRefuse is true when a fresh stamp shows that the gate would refuse the
// request, by the rules of the gate itself.
func (r *RoutedRequest) wouldRefuse(load *tables.LoadSnapshot, sameDataCentre bool) bool {
	if load.StampReceivedAt == 0 || r.Now-load.StampReceivedAt > int64(maxStampAge) {
		return false
	}
	if r.Soft {
		return r.wouldRefuseSoft(load, sameDataCentre)
	}
	if r.TimeToTarget <= 0 || r.neededTime(load) <= float64(r.TimeToTarget) {
		return false
	}
	inFlight := load.InFlight + load.SentSinceStamp
	acceptsLate := gate.AcceptsLateRuns(inFlight, load.Limit) && float64(r.TimeToDeadline) > r.expectedRunTime(load)
	return !acceptsLate
}

func (r *RoutedRequest) wouldRefuseSoft(load *tables.LoadSnapshot, sameDataCentre bool) bool {
	if speed.FromPercent(load.Slowdown) > r.SoftSlowdown*max(speed.FromPercent(load.UsualSlowdown), 1) {
		return true
	}
	maxInFlight := float64(load.Limit)
	if sameDataCentre && r.UsableShare > 0 {
		maxInFlight /= r.UsableShare
	}
	return float64(load.InFlight+load.SentSinceStamp) >= maxInFlight
}

// expectedRunTime is how long a run would take at the gate of a stamp, in nanoseconds.
func (r *RoutedRequest) expectedRunTime(load *tables.LoadSnapshot) float64 {
	return float64(r.Work) * max(speed.FromPercent(load.Slowdown), 1)
}

// neededTime is the time, in nanoseconds, that the request must have left at the gate of
// a stamp to be admitted.
func (r *RoutedRequest) neededTime(load *tables.LoadSnapshot) float64 {
	queuedAhead := load.InFlight + load.SentSinceStamp - load.Limit + 1
	if queuedAhead <= 0 {
		return r.expectedRunTime(load)
	}
	runTime := gate.RunTimeMargin * r.expectedRunTime(load)
	return runTime + runTime*float64(queuedAhead)/float64(load.Limit)
}
