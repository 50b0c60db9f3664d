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
	// slowdownHalfLife is the age of a stamp at which its slowdown has half its weight.
	// Slow periods caused by neighbouring VMs last some 300 ms.
	slowdownHalfLife = 200 * time.Millisecond
	// priorSlowdown is the slowdown that is assumed without a recent stamp (wire.Stamp,
	// a gate's report of its load). It is the mean of a server whose runs take four
	// times as long for a quarter of the time.
	priorSlowdown = 1.75
	// priorSoftSlowdown is assumed for a soft attempt instead. A slowed backend server
	// refuses it at once, so only a round trip is at risk.
	priorSoftSlowdown = 1.1
	// avoidUnresponsiveFor is how long a daemon that was found unresponsive is avoided,
	// and the cost that is added during that time. By its end the link has closed or the
	// daemon has answered.
	avoidUnresponsiveFor = 2 * time.Second
	// routedFailurePenalty is the cost, as a multiple of RoutedRequest.Work, that is
	// added for a server whose answers are all failures.
	routedFailurePenalty = 6
)

// CrossingCosts are the costs of sending a request to each proximity, converted to time.
// The same data centre costs nothing.
type CrossingCosts [proximity.Count]time.Duration

// RoutedRequest is the input of PickRouted: an HTTP request that is routed by host and
// path.
type RoutedRequest struct {
	// Now is the time of the decision in nanoseconds of a monotonic clock.
	Now int64
	// CandidateSet holds the backend servers to choose from. PickRouted does not change
	// it.
	CandidateSet []tables.Candidate
	// Excluded holds the indexes in CandidateSet that must not be picked.
	Excluded IndexSet
	// Allowed are the data centres that may handle the request; empty: all.
	Allowed []string
	// Evacuated are the data centres whose backend servers take no new requests.
	Evacuated evacuation.Set
	// Rollout says which versions may run the requests of which lane; nil: there is no
	// roll-out. Lane is the request's lane.
	Rollout *rollout.TrafficPolicy
	Lane    rollout.Lane
	// Location is that of the entry. CrossingCost is the cost of crossing from there.
	Location     proximity.Location
	CrossingCost CrossingCosts
	// NearerThan excludes the candidates at this proximity and beyond; 0: none.
	NearerThan proximity.Level
	// Soft marks an attempt that a gate refuses at once while its backend server is
	// slowed or nearly full.
	Soft bool
	// SoftSlowdown is the slowdown, as a factor, above which gates refuse soft attempts.
	// UsableShare is the share of its slots that a gate uses (gate.Options.UsableShare).
	SoftSlowdown float64
	UsableShare  float64
	// TimeToTarget is the time left until the request should have ended; 0 or less: no
	// limit.
	TimeToTarget time.Duration
	// TimeToDeadline is the time left until the request's deadline.
	TimeToDeadline time.Duration
	// Work is the expected run time of the request at a backend server at normal speed.
	Work time.Duration
	// BodySize is the size in bytes of a body that is sent as the executor grants it; 0: the
	// body is sent with the call.
	BodySize int64
	// OwnVM is the entry's VM, and OwnLinkDelay by how much that VM's link delays calls to
	// all others.
	OwnVM        string
	OwnLinkDelay time.Duration
}

// RoutedPick is the result of PickRouted.
type RoutedPick struct {
	// Index is the index of the picked candidate in CandidateSet, or NoCandidate.
	Index int
	// Proximity is how far the picked candidate is from the entry. Cost is the cost that
	// PickRouted minimised, in nanoseconds: ExpectedTime, the crossing cost and a random
	// tie-breaker.
	Proximity    proximity.Level
	Cost         float64
	ExpectedTime float64
	// PassedOver counts the candidates that were skipped because a recent stamp shows
	// that their gates would refuse the request.
	PassedOver int
}

// PickRouted picks the candidate with the lowest cost: the expected time plus the cost
// of crossing to its data centre. It skips candidates whose gates would refuse the
// request. Source: docs/design/platform.md, "The first decisions".
func PickRouted(req *RoutedRequest, rnd Random) RoutedPick {
	pick := RoutedPick{Index: NoCandidate, Cost: math.Inf(1)}
	for i := range req.CandidateSet {
		candidate := &req.CandidateSet[i]
		if req.Excluded.Has(i) || !req.allows(candidate.Endpoint) {
			continue
		}
		level := req.Location.LevelTo(candidate.Endpoint.DataCentre, candidate.Endpoint.Region)
		if req.NearerThan > 0 && level >= req.NearerThan {
			continue
		}
		var load tables.LoadSnapshot
		candidate.Load.SnapshotInto(req.Now, &load)
		link := req.linkTimesTo(candidate.Endpoint, &load)
		if req.wouldRefuse(&load, &link, level == proximity.SameDataCentre) {
			pick.PassedOver++
			continue
		}
		expectedTime := req.expectedTime(&load, &link)
		cost := expectedTime + float64(req.CrossingCost[level]) + tieBreakShare*float64(req.Work)*rnd.Float64()
		if cost < pick.Cost {
			pick.Index, pick.Proximity, pick.Cost, pick.ExpectedTime = i, level, cost, expectedTime
		}
	}
	return pick
}

// allows reports whether evacuations, a roll-out and the data centres in Allowed let the
// endpoint handle the request.
func (r *RoutedRequest) allows(endpoint *tables.Endpoint) bool {
	dataCentre := endpoint.DataCentre
	if r.Evacuated.Has(dataCentre) {
		return false
	}
	if r.Rollout != nil && !r.Rollout.Permits(r.Lane, endpoint.Version(), endpoint.VM) {
		return false
	}
	return routing.AllowsDataCentre(r.Allowed, dataCentre)
}

// expectedTime returns the expected time of the request at a candidate, in nanoseconds:
// the wait, the run, the round trip and the delay of the links, plus penalties for a server
// that fails or does not answer.
func (r *RoutedRequest) expectedTime(load *tables.LoadSnapshot, link *linkTimes) float64 {
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
	// The body arrives while the request waits for a slot.
	wait := max(queueWait(inFlight, limit, 1/limit, runTime), link.transfer, float64(load.StartWait(r.Now)))
	return r.addPenalties(runTime+wait+float64(load.MinRTT)+link.delay+link.ownDelay, load, runTime)
}

// addPenalties adds the penalties for a server that fails or does not answer to a cost in
// nanoseconds.
func (r *RoutedRequest) addPenalties(cost float64, load *tables.LoadSnapshot, runTime float64) float64 {
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
