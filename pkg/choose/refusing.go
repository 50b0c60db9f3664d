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
func (r *Routed) wouldBeRefused(known *tables.Known, near bool) bool {
	if known.StampAt == 0 || r.Now-known.StampAt > int64(freshFor) {
		return false
	}
	if r.Soft {
		return r.wouldBeRefusedSoftly(known, near)
	}
	if r.Within <= 0 || r.needs(known) <= float64(r.Within) {
		return false
	}
	inFlight := known.InFlight + known.SentSince
	takesLate := gate.AcceptsLateRuns(inFlight, known.Limit) && float64(r.Left) > r.expected(known)
	return !takesLate
}

func (r *Routed) wouldBeRefusedSoftly(known *tables.Known, near bool) bool {
	if speed.FromPercent(known.Slowdown) > r.SoftSlowdown*max(speed.FromPercent(known.Usual), 1) {
		return true
	}
	most := float64(known.Limit)
	if near && r.Use > 0 {
		most /= r.Use
	}
	return float64(known.InFlight+known.SentSince) >= most
}

// expected is how long a run would take at the gate of a stamp, in nanoseconds.
func (r *Routed) expected(known *tables.Known) float64 {
	return float64(r.Work) * max(speed.FromPercent(known.Slowdown), 1)
}

// needs is the time, in nanoseconds, that the request must have left at the gate of
// a stamp to be admitted.
func (r *Routed) needs(known *tables.Known) float64 {
	behind := known.InFlight + known.SentSince - known.Limit + 1
	if behind <= 0 {
		return r.expected(known)
	}
	service := gate.RunTimeMargin * r.expected(known)
	return service + service*float64(behind)/float64(known.Limit)
}
