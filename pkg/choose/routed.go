package choose

import (
	"math"
	"time"

	"github.com/rushramp/rushramp/pkg/evacuation"
	"github.com/rushramp/rushramp/pkg/place"
	"github.com/rushramp/rushramp/pkg/rollout"
	"github.com/rushramp/rushramp/pkg/routing"
	"github.com/rushramp/rushramp/pkg/speed"
	"github.com/rushramp/rushramp/pkg/tables"
)

const (
	// slowdownHalfLife is the age at which what was said of a backend server's
	// speed has half its weight. Neighbours' noise lasts some 300 ms.
	slowdownHalfLife = 200 * time.Millisecond
	// usualSlowdown is what an old word on the speed tends to, as a share of
	// the usual work time: a quarter of the time fourfold.
	usualSlowdown = 1.75
	// softSlowdown is what it tends to for a soft attempt: a slowed backend
	// server refuses that at once, so what is risked is a round trip.
	softSlowdown = 1.1
	// silentFor is how long a daemon that was found silent is avoided. Its link
	// ends, or it is heard again, before that.
	silentFor = 2 * time.Second
	// routedFailureCost is how many work times one certain failure counts as.
	routedFailureCost = 6
)

// Costs are what crossing to each place costs, as a time; nothing for Near.
type Costs [place.Count]time.Duration

// Routed is one decision's input for a routed request.
type Routed struct {
	// Now is the time of the decision in nanoseconds of a steady clock.
	Now int64
	// Set holds the candidates; it is not changed.
	Set []tables.Candidate
	// Excluded has a bit for each index of Set that may not be picked.
	Excluded Tried
	// Allowed says in which data centres the request may be handled; empty: anywhere.
	Allowed []string
	// Evacuated are the data centres whose backend servers get nothing new.
	Evacuated evacuation.Set
	// Rollout is nil, or says which versions may run the requests of which lane, and
	// Lane is the request's.
	Rollout *rollout.Traffic
	Lane    rollout.Lane
	// Here is where the entry stands, LeaveCost what crossing to each place costs.
	Here      place.Here
	LeaveCost Costs
	// Soft is true for an attempt that a slowed backend server refuses at once.
	Soft bool
	// SoftSlowdown is the slowdown, 1 for none, above which gates refuse soft
	// attempts, and Use the share of the slots that they use.
	SoftSlowdown float64
	Use          float64
	// Within is the time left in which the request must end to be worth its run;
	// 0: no bound.
	Within time.Duration
	// Left is the time to the request's deadline.
	Left time.Duration
	// Work is how long the request runs at a backend server that works as usual.
	Work time.Duration
}

// RoutedPick is a decision for a routed request.
type RoutedPick struct {
	// Index points into the set; None: no candidate is left.
	Index int
	// Place is how far the candidate is, Cost what it was expected to cost, as a time
	// in nanoseconds, and Expected the part of that which is time, and no price.
	Place    place.Place
	Cost     float64
	Expected float64
	// Refusing counts the candidates that were passed over because their gates
	// have just shown that they would refuse the request.
	Refusing int
}

// PickRouted picks the candidate with the least expected time, where bytes that
// leave the data centre are counted as time, too. Candidates whose gates would
// refuse the request are passed over. Source: docs/design/platform.md, "The
// first decisions".
func PickRouted(req *Routed, rnd Random) RoutedPick {
	out := RoutedPick{Index: None, Cost: math.Inf(1)}
	for i := range req.Set {
		candidate := &req.Set[i]
		if req.Excluded.Has(i) || !req.allows(candidate.Route) {
			continue
		}
		var known tables.Known
		candidate.Load.Read(req.Now, &known)
		at := req.Here.Of(candidate.Route.DataCentre, candidate.Route.Region)
		if req.wouldBeRefused(&known, at == place.Near) {
			out.Refusing++
			continue
		}
		expected := req.time(&known)
		cost := expected + float64(req.LeaveCost[at]) + tieShare*float64(req.Work)*rnd.Float64()
		if cost < out.Cost {
			out.Index, out.Place, out.Cost, out.Expected = i, at, cost, expected
		}
	}
	return out
}

func (r *Routed) allows(route *tables.Route) bool {
	dataCentre := route.DataCentre
	if r.Evacuated.Has(dataCentre) {
		return false
	}
	if r.Rollout != nil && !r.Rollout.Takes(r.Lane, route.Version(), route.VM) {
		return false
	}
	return routing.AllowsDataCentre(r.Allowed, dataCentre)
}

// time is the expected time of the request at a candidate, in nanoseconds.
func (r *Routed) time(known *tables.Known) float64 {
	limit := float64(known.Limit)
	inFlight := float64(known.Outstanding)
	usual := usualSlowdown
	if r.Soft {
		usual = softSlowdown
	}
	slowdown := usual
	if known.StampAt != 0 {
		age := float64(max(r.Now-known.StampAt, 0))
		inFlight = max(inFlight, decay(age/float64(max(r.Work, 1)))*float64(known.InFlight)+float64(known.SentSince))
		if known.Slowdown > 0 {
			slowdown += decay(math.Ln2*age/float64(slowdownHalfLife)) * (speed.Slowdown(known.Slowdown) - usual)
		}
	}
	service := float64(r.Work) * slowdown
	cost := service + wait(inFlight, limit, 1/limit, service) + float64(known.Distance)
	if quiet := float64(known.QuietFor); quiet > quietFactor*service {
		cost += quiet
	}
	if known.SilentFor > 0 && known.SilentFor < silentFor {
		cost += float64(silentFor)
	}
	if known.FailureShare > failureFree {
		cost += known.FailureShare * routedFailureCost * float64(r.Work)
	}
	return cost
}
