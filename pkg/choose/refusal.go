package choose

import (
	"time"

	"github.com/rushramp/rushramp/pkg/gate"
	"github.com/rushramp/rushramp/pkg/speed"
	"github.com/rushramp/rushramp/pkg/tables"
)

// freshFor is the age up to which a stamp tells what its gate would answer now.
// A neighbour's noise lasts some 300 ms and a run some 100 ms, so that most
// gates still answer the same. Bytes for a refusal are saved, and a request that
// finds all gates full is refused without having crossed the fleet.
const freshFor = 60 * time.Millisecond

// wouldBeRefused is true when a fresh stamp shows that the gate would refuse the
// request, by the rules of the gate itself.
func (r *RoutedRequest) wouldBeRefused(known *tables.LoadSnapshot, near bool) bool {
	if known.StampReceivedAt == 0 || r.Now-known.StampReceivedAt > int64(freshFor) {
		return false
	}
	if r.Soft {
		return r.wouldBeRefusedSoftly(known, near)
	}
	if r.TimeToTarget <= 0 || r.needs(known) <= float64(r.TimeToTarget) {
		return false
	}
	inFlight := known.InFlight + known.SentSinceStamp
	takesLate := gate.AcceptsLateRuns(inFlight, known.Limit) && float64(r.TimeToDeadline) > r.expected(known)
	return !takesLate
}

func (r *RoutedRequest) wouldBeRefusedSoftly(known *tables.LoadSnapshot, near bool) bool {
	if speed.FromPercent(known.Slowdown) > r.SoftSlowdown*max(speed.FromPercent(known.UsualSlowdown), 1) {
		return true
	}
	most := float64(known.Limit)
	if near && r.UsableShare > 0 {
		most /= r.UsableShare
	}
	return float64(known.InFlight+known.SentSinceStamp) >= most
}

// expected is how long a run would take at the gate of a stamp, in nanoseconds.
func (r *RoutedRequest) expected(known *tables.LoadSnapshot) float64 {
	return float64(r.Work) * max(speed.FromPercent(known.Slowdown), 1)
}

// needs is the time, in nanoseconds, that the request must have left at the gate of
// a stamp to be admitted.
func (r *RoutedRequest) needs(known *tables.LoadSnapshot) float64 {
	behind := known.InFlight + known.SentSinceStamp - known.Limit + 1
	if behind <= 0 {
		return r.expected(known)
	}
	service := gate.RunTimeMargin * r.expected(known)
	return service + service*float64(behind)/float64(known.Limit)
}
