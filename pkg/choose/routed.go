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
	// priorSlowdown is what an old word on the speed tends to, as a share of
	// the usual work time: a quarter of the time fourfold.
	priorSlowdown = 1.75
	// priorSoftSlowdown is what it tends to for a soft attempt: a slowed backend
	// server refuses that at once, so what is risked is a round trip.
	priorSoftSlowdown = 1.1
	// avoidUnresponsiveFor is how long a daemon that was found silent is avoided. Its link
	// ends, or it is heard again, before that.
	avoidUnresponsiveFor = 2 * time.Second
	// routedFailurePenalty is how many work times one certain failure counts as.
	routedFailurePenalty = 6
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
	pick := RoutedPick{Index: NoCandidate, Cost: math.Inf(1)}
	for i := range req.CandidateSet {
		candidate := &req.CandidateSet[i]
		if req.Excluded.Has(i) || !req.allows(candidate.Endpoint) {
			continue
		}
		var load tables.LoadSnapshot
		candidate.Load.SnapshotInto(req.Now, &load)
		level := req.Location.To(candidate.Endpoint.DataCentre, candidate.Endpoint.Region)
		if req.wouldRefuse(&load, level == proximity.SameDataCentre) {
			pick.PassedOver++
			continue
		}
		expectedTime := req.expectedTime(&load)
		cost := expectedTime + float64(req.CrossingCost[level]) + tieBreakShare*float64(req.Work)*rnd.Float64()
		if cost < pick.Cost {
			pick.Index, pick.Proximity, pick.Cost, pick.ExpectedTime = i, level, cost, expectedTime
		}
	}
	return pick
}

func (r *RoutedRequest) allows(endpoint *tables.Endpoint) bool {
	dataCentre := endpoint.DataCentre
	if r.Evacuated.Has(dataCentre) {
		return false
	}
	if r.Rollout != nil && !r.Rollout.Takes(r.Lane, endpoint.Version(), endpoint.VM) {
		return false
	}
	return routing.AllowsDataCentre(r.Allowed, dataCentre)
}

// expectedTime is the expected time of the request at a candidate, in nanoseconds.
func (r *RoutedRequest) expectedTime(load *tables.LoadSnapshot) float64 {
	limit := float64(load.Limit)
	inFlight := float64(load.Outstanding)
	prior := priorSlowdown
	if r.Soft {
		prior = priorSoftSlowdown
	}
	slowdown := prior
	if load.StampReceivedAt != 0 {
		age := float64(max(r.Now-load.StampReceivedAt, 0))
		inFlight = max(inFlight, decay(age/float64(max(r.Work, 1)))*float64(load.InFlight)+float64(load.SentSinceStamp))
		if load.Slowdown > 0 {
			slowdown += decay(math.Ln2*age/float64(slowdownHalfLife)) * (speed.FromPercent(load.Slowdown) - prior)
		}
	}
	runTime := float64(r.Work) * slowdown
	cost := runTime + queueWait(inFlight, limit, 1/limit, runTime) + float64(load.RoundTrip)
	if noAnswer := float64(load.NoAnswerFor); noAnswer > noAnswerFactor*runTime {
		cost += noAnswer
	}
	if load.UnresponsiveFor > 0 && load.UnresponsiveFor < avoidUnresponsiveFor {
		cost += float64(avoidUnresponsiveFor)
	}
	if load.FailureShare > toleratedFailureShare {
		cost += load.FailureShare * routedFailurePenalty * float64(r.Work)
	}
	return cost
}
