package choose

import (
	"math"
	"time"

	"github.com/rushramp/rushramp/pkg/evacuation"
	"github.com/rushramp/rushramp/pkg/proximity"
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

// CrossingCosts are what crossing to each place costs, as a time; nothing for Near.
type CrossingCosts [proximity.Count]time.Duration

// RoutedRequest is one decision's input for a routed request.
type RoutedRequest struct {
	// Now is the time of the decision in nanoseconds of a steady clock.
	Now int64
	// CandidateSet holds the candidates; it is not changed.
	CandidateSet []tables.Candidate
	// Excluded has a bit for each index of Set that may not be picked.
	Excluded IndexSet
	// Allowed says in which data centres the request may be handled; empty: anywhere.
	Allowed []string
	// Evacuated are the data centres whose backend servers get nothing new.
	Evacuated evacuation.Set
	// Rollout is nil, or says which versions may run the requests of which lane, and
	// Lane is the request's.
	Rollout *rollout.Traffic
	Lane    rollout.Lane
	// Location is where the entry stands, LeaveCost what crossing to each place costs.
	Location     proximity.Location
	CrossingCost CrossingCosts
	// Soft is true for an attempt that a slowed backend server refuses at once.
	Soft bool
	// SoftSlowdown is the slowdown, 1 for none, above which gates refuse soft
	// attempts, and Use the share of the slots that they use.
	SoftSlowdown float64
	UsableShare  float64
	// TimeToTarget is the time left in which the request must end to be worth its run;
	// 0: no bound.
	TimeToTarget time.Duration
	// TimeToDeadline is the time to the request's deadline.
	TimeToDeadline time.Duration
	// Work is how long the request runs at a backend server that works as usual.
	Work time.Duration
}

// RoutedPick is a decision for a routed request.
type RoutedPick struct {
	// Index points into the set; None: no candidate is left.
	Index int
	// Proximity is how far the candidate is, Cost what it was expected to cost, as a time
	// in nanoseconds, and Expected the part of that which is time, and no price.
	Proximity    proximity.Level
	Cost         float64
	ExpectedTime float64
	// PassedOver counts the candidates that were passed over because their gates
	// have just shown that they would refuse the request.
	PassedOver int
}

// PickRouted picks the candidate with the least expected time, where bytes that
// leave the data centre are counted as time, too. Candidates whose gates would
// refuse the request are passed over. Source: docs/design/platform.md, "The
// first decisions".
func PickRouted(req *RoutedRequest, rnd Random) RoutedPick {
	out := RoutedPick{Index: NoCandidate, Cost: math.Inf(1)}
	for i := range req.CandidateSet {
		candidate := &req.CandidateSet[i]
		if req.Excluded.Has(i) || !req.allows(candidate.Endpoint) {
			continue
		}
		var known tables.LoadSnapshot
		candidate.Load.SnapshotInto(req.Now, &known)
		at := req.Location.To(candidate.Endpoint.DataCentre, candidate.Endpoint.Region)
		if req.wouldBeRefused(&known, at == proximity.SameDataCentre) {
			out.PassedOver++
			continue
		}
		expected := req.time(&known)
		cost := expected + float64(req.CrossingCost[at]) + tieShare*float64(req.Work)*rnd.Float64()
		if cost < out.Cost {
			out.Index, out.Proximity, out.Cost, out.ExpectedTime = i, at, cost, expected
		}
	}
	return out
}

func (r *RoutedRequest) allows(route *tables.Endpoint) bool {
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
func (r *RoutedRequest) time(known *tables.LoadSnapshot) float64 {
	limit := float64(known.Limit)
	inFlight := float64(known.Outstanding)
	usual := usualSlowdown
	if r.Soft {
		usual = softSlowdown
	}
	slowdown := usual
	if known.StampReceivedAt != 0 {
		age := float64(max(r.Now-known.StampReceivedAt, 0))
		inFlight = max(inFlight, decay(age/float64(max(r.Work, 1)))*float64(known.InFlight)+float64(known.SentSinceStamp))
		if known.Slowdown > 0 {
			slowdown += decay(math.Ln2*age/float64(slowdownHalfLife)) * (speed.FromPercent(known.Slowdown) - usual)
		}
	}
	service := float64(r.Work) * slowdown
	cost := service + wait(inFlight, limit, 1/limit, service) + float64(known.RoundTrip)
	if quiet := float64(known.NoAnswerFor); quiet > quietFactor*service {
		cost += quiet
	}
	if known.UnresponsiveFor > 0 && known.UnresponsiveFor < silentFor {
		cost += float64(silentFor)
	}
	if known.FailureShare > failureFree {
		cost += known.FailureShare * routedFailureCost * float64(r.Work)
	}
	return cost
}
