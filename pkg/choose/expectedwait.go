package choose

import (
	"math"
	"time"

	"github.com/rushramp/rushramp/pkg/tables"
)

const (
	// defaultServiceTime is assumed while no candidate has reported a service time.
	defaultServiceTime = 5 * time.Millisecond
	// failurePenalty is the cost, in service times, that is added for a server whose
	// answers are all failures.
	failurePenalty = 20
	// toleratedFailureShare is the share of failures up to which a server has no
	// penalty.
	toleratedFailureShare = 0.05
	// noAnswerFactor is the number of service times without an answer to outstanding
	// calls after which a server's service time is taken to be at least that long.
	noAnswerFactor = 3
	// maxCostSlack is added to MaxCost, in service times, so that two servers of nearly
	// equal cost do not both refuse a call in favour of the other.
	maxCostSlack = 0.25
	// tieBreakShare is the largest random amount, in service times, that is added to a
	// cost. It keeps entries with the same stamps from all picking the same server.
	tieBreakShare = 0.1
)

// ExpectedWait picks the candidate with the lowest expected time: the wait at its gate,
// the run and the network round trip. The older a stamp (wire.Stamp, a gate's report of
// its load), the closer the estimate is to the average of all candidates, so that an
// outdated stamp neither attracts nor repels calls. Source: docs/design/choosing.md.
type ExpectedWait struct {
	// StampHalfLife is the age of a stamp at which its service time has half its weight.
	StampHalfLife time.Duration
}

// maxScanned is the number of candidates that are compared for one call, starting at a
// random one. It bounds the time of a decision in a large set; subsets are usually
// smaller.
const maxScanned = 32

// loadPrior is the load that is assumed for a candidate without a recent stamp.
type loadPrior struct {
	// utilisation is the mean number of calls in flight per slot.
	utilisation float64
	// serviceTime is the service time of the fastest candidate, in nanoseconds.
	serviceTime float64
	// inverseServiceTime is 1/serviceTime.
	inverseServiceTime float64
}

// scan holds the loads of the candidates that one decision compares.
type scan struct {
	loads [maxScanned]tables.LoadSnapshot
	// inverseLimit is 1/Limit of each load, since divisions are the most expensive part of
	// a decision.
	inverseLimit [maxScanned]float64
	// indexes are the indexes of the candidates in Request.CandidateSet.
	indexes [maxScanned]int
	count   int
}

// Choose implements Policy.
func (e *ExpectedWait) Choose(req *Request, rnd Random) Pick {
	var scanned scan
	scanned.collect(req, rnd)
	if scanned.count == 0 {
		return Pick{Index: NoCandidate}
	}
	prior := scanned.estimatePrior()
	// One random number breaks the ties between all candidates.
	tieBits := uint64(rnd.IntN(math.MaxInt))
	best, bestCost, bestRank := NoCandidate, 0.0, math.Inf(1)
	secondCost := math.Inf(1)
	for n := range scanned.count {
		cost := e.cost(req.Now, &scanned, n, prior)
		rank := cost + tieBreakShare*prior.serviceTime*tieBreak(tieBits, n)
		if rank < bestRank {
			secondCost = min(secondCost, bestCost)
			if best == NoCandidate {
				secondCost = math.Inf(1)
			}
			best, bestCost, bestRank = n, cost, rank
			continue
		}
		secondCost = min(secondCost, cost)
	}
	return Pick{Index: scanned.indexes[best], MaxCost: maxCost(scanned.loads[best].MinRTT, secondCost, prior.serviceTime)}
}

// tieBreak derives a number from 0 up to 1 for the n-th candidate from random bits, by
// Knuth's multiplicative hashing, whose high bits are well mixed.
func tieBreak(tieBits uint64, n int) float64 {
	const factor = 0x9e3779b97f4a7c15
	mixed := (tieBits ^ uint64(n)*factor) * factor
	return float64(mixed>>40) / (1 << 24)
}

// collect reads the loads of the candidates that are not excluded, starting at a random
// one.
func (s *scan) collect(req *Request, rnd Random) {
	if len(req.CandidateSet) == 0 {
		return
	}
	i := rnd.IntN(len(req.CandidateSet))
	for range req.CandidateSet {
		if i++; i >= len(req.CandidateSet) {
			i = 0
		}
		if req.Excluded.Has(i) {
			continue
		}
		s.add(req, i)
		if s.count == maxScanned {
			return
		}
	}
}

// add reads the load of the candidate with index i.
func (s *scan) add(req *Request, i int) {
	load := &s.loads[s.count]
	req.CandidateSet[i].Load.SnapshotInto(req.Now, load)
	s.inverseLimit[s.count] = 1 / float64(load.Limit)
	s.indexes[s.count] = i
	s.count++
}

// estimatePrior derives the prior from the candidates that have sent a stamp.
func (s *scan) estimatePrior() loadPrior {
	var prior loadPrior
	reporting := 0.0
	fastest := time.Duration(0)
	for n := range s.count {
		load := &s.loads[n]
		if load.StampReceivedAt == 0 {
			continue
		}
		prior.utilisation += float64(load.InFlight) * s.inverseLimit[n]
		// The fastest, not the mean: an old stamp of a server that was slow must not
		// make the others look slow.
		if load.ServiceTime > 0 && (fastest == 0 || load.ServiceTime < fastest) {
			fastest = load.ServiceTime
		}
		reporting++
	}
	if fastest == 0 {
		fastest = defaultServiceTime
	}
	prior.serviceTime = float64(fastest)
	prior.inverseServiceTime = 1 / prior.serviceTime
	if reporting > 0 {
		prior.utilisation /= reporting
	}
	return prior
}

// Cost returns the expected time of a call at the candidate with index i, failure
// penalty included. Operators see it when they ask why a call goes to a server.
func (e *ExpectedWait) Cost(req *Request, i int) time.Duration {
	var scanned scan
	scanned.add(req, i)
	for n := range min(len(req.CandidateSet), maxScanned-1) {
		scanned.add(req, n)
	}
	return time.Duration(e.cost(req.Now, &scanned, 0, scanned.estimatePrior()))
}

// maxCost returns Pick.MaxCost: the cost of the second-best candidate plus maxCostSlack,
// less the round trip to the picked one, which is not part of the time at its gate.
func maxCost(minRTT time.Duration, secondCost, serviceTime float64) time.Duration {
	if math.IsInf(secondCost, 1) {
		return noMaxCost
	}
	return time.Duration(secondCost+maxCostSlack*serviceTime) - minRTT
}

// cost returns the expected time of a call at the n-th scanned candidate plus its
// failure penalty, in nanoseconds.
func (e *ExpectedWait) cost(now int64, scanned *scan, n int, prior loadPrior) float64 {
	load := &scanned.loads[n]
	age := float64(max(now-load.StampReceivedAt, 0))
	limit := float64(load.Limit)
	inFlight := prior.utilisation * limit
	serviceTime := prior.serviceTime
	if load.StampReceivedAt != 0 {
		// The calls at a gate change within one service time: with free slots, their
		// number has an autocorrelation of exp(-age/serviceTime).
		inFlight += decay(age*prior.inverseServiceTime) * (float64(load.InFlight) - inFlight)
		// The service time changes more slowly than the number of calls.
		if load.ServiceTime != time.Duration(prior.serviceTime) {
			serviceTime += decay(math.Ln2*age/float64(e.StampHalfLife)) * (float64(load.ServiceTime) - serviceTime)
		}
	}
	inFlight = max(inFlight+float64(load.SentSinceStamp), float64(load.Outstanding))
	if noAnswer := float64(load.NoAnswerFor); noAnswer > noAnswerFactor*serviceTime {
		serviceTime = noAnswer
	}
	cost := serviceTime + queueWait(inFlight, limit, scanned.inverseLimit[n], serviceTime) + float64(load.MinRTT)
	if load.FailureShare > toleratedFailureShare {
		cost += load.FailureShare * failurePenalty * prior.serviceTime
	}
	return cost
}

// decay approximates exp(-x) by the reciprocal of the first terms of the power series of
// exp(x), in a tenth of the time.
func decay(x float64) float64 { return 1 / (1 + x*(1+x*(1.0/2+x*(1.0/6)))) }

// queueWait returns the expected wait at a gate that has inFlight calls and runs limit
// of them at once. Below the limit it is small and grows with the fourth power of the
// utilisation: the number of calls is uncertain, and the less loaded gate is the safer
// choice.
func queueWait(inFlight, limit, inverseLimit, serviceTime float64) float64 {
	utilisation := inFlight * inverseLimit
	squared := utilisation * utilisation
	queuedAhead := max(inFlight+1-limit, 0)
	return serviceTime * (queuedAhead + squared*squared) * inverseLimit
}
