package choose

import (
	"math"
	"time"

	"github.com/rushramp/rushramp/pkg/tables"
)

const (
	// defaultServiceTime stands in for a service time that nobody reported yet.
	defaultServiceTime = 5 * time.Millisecond
	// failurePenalty is how many service times one certain failure counts as.
	failurePenalty = 20
	// toleratedFailureShare is the share of failures that is not held against a server.
	toleratedFailureShare = 0.05
	// noAnswerFactor: a server that has calls of ours and has not answered for
	// this many service times is taken to be as slow as it has been quiet.
	noAnswerFactor = 3
	// maxCostSlack is added to MaxCost, as a share of the service time, so that
	// two servers that are nearly alike do not refuse for each other.
	maxCostSlack = 0.25
	// tieBreakShare: costs this close, as a share of the service time, count as
	// alike, and the random source decides. It breaks up herds.
	tieBreakShare = 0.1
)

// ExpectedWait picks the candidate with the least expected time: the wait at
// its gate, the run, and the way there and back. A stamp's weight falls with
// its age towards what the candidates have on average, so that old news
// neither attracts nor repels. Source: docs/design/choosing.md.
type ExpectedWait struct {
	// StampHalfLife is the age at which what a stamp says of the service time has
	// half its weight.
	StampHalfLife time.Duration
}

// maxScanned is how many candidates are looked at for one call, from a random
// place on. Subsets are smaller; in a larger set the cost of a choice stays flat.
const maxScanned = 32

// loadPrior is what an old stamp tends to: the mean use of the candidates, and the
// service time of the fastest.
type loadPrior struct {
	utilisation float64
	serviceTime float64
	// inverseServiceTime is 1 over service.
	inverseServiceTime float64
}

// scan is what one decision reads of its candidates, once.
type scan struct {
	loads [maxScanned]tables.LoadSnapshot
	// inverseLimit is 1 over the limit: divisions are what a choice costs most.
	inverseLimit [maxScanned]float64
	indexes      [maxScanned]int
	count        int
}

// Choose implements Policy.
func (e *ExpectedWait) Choose(req *Request, rnd Random) Pick {
	var scanned scan
	scanned.collect(req, rnd)
	if scanned.count == 0 {
		return Pick{Index: NoCandidate}
	}
	prior := scanned.estimatePrior()
	// One draw breaks the ties of all candidates: each gets its own bits of it.
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
	return Pick{Index: scanned.indexes[best], MaxCost: maxCost(scanned.loads[best].RoundTrip, secondCost, prior.serviceTime)}
}

// tieBreak is a number from 0 up to 1 for a candidate (the multiplicative hash of
// Knuth, whose high bits are well mixed).
func tieBreak(tieBits uint64, n int) float64 {
	const factor = 0x9e3779b97f4a7c15
	mixed := (tieBits ^ uint64(n)*factor) * factor
	return float64(mixed>>40) / (1 << 24)
}

// collect looks at the untried candidates, from a random place on.
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

func (s *scan) add(req *Request, i int) {
	load := &s.loads[s.count]
	req.CandidateSet[i].Load.SnapshotInto(req.Now, load)
	s.inverseLimit[s.count] = 1 / float64(load.Limit)
	s.indexes[s.count] = i
	s.count++
}

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
		// The fastest, not the mean: an old stamp of a server that was slow
		// must not make the others look slow.
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

// Cost is the expected time of a call at candidate i, for operators who ask
// why a call goes where.
func (e *ExpectedWait) Cost(req *Request, i int) time.Duration {
	var scanned scan
	scanned.add(req, i)
	for n := range min(len(req.CandidateSet), maxScanned-1) {
		scanned.add(req, n)
	}
	return time.Duration(e.cost(req.Now, &scanned, 0, scanned.estimatePrior()))
}

// maxCost is what the next best candidate would cost, less the way to the
// chosen one, which is spent by the time its gate reads this.
func maxCost(roundTrip time.Duration, secondCost, serviceTime float64) time.Duration {
	if math.IsInf(secondCost, 1) {
		return noMaxCost
	}
	return time.Duration(secondCost+maxCostSlack*serviceTime) - roundTrip
}

// cost is the expected time of a call at a candidate, in nanoseconds.
func (e *ExpectedWait) cost(now int64, scanned *scan, n int, prior loadPrior) float64 {
	load := &scanned.loads[n]
	age := float64(max(now-load.StampReceivedAt, 0))
	limit := float64(load.Limit)
	inFlight := prior.utilisation * limit
	serviceTime := prior.serviceTime
	if load.StampReceivedAt != 0 {
		// The calls at a gate change within a run: the count of a gate with
		// free slots is correlated with itself as exp(-age/service).
		inFlight += decay(age*prior.inverseServiceTime) * (float64(load.InFlight) - inFlight)
		// How fast a server is changes more seldom than its count of calls.
		if load.ServiceTime != time.Duration(prior.serviceTime) {
			serviceTime += decay(math.Ln2*age/float64(e.StampHalfLife)) * (float64(load.ServiceTime) - serviceTime)
		}
	}
	inFlight = max(inFlight+float64(load.SentSinceStamp), float64(load.Outstanding))
	if noAnswer := float64(load.NoAnswerFor); noAnswer > noAnswerFactor*serviceTime {
		serviceTime = noAnswer
	}
	cost := serviceTime + queueWait(inFlight, limit, scanned.inverseLimit[n], serviceTime) + float64(load.RoundTrip)
	if load.FailureShare > toleratedFailureShare {
		cost += load.FailureShare * failurePenalty * prior.serviceTime
	}
	return cost
}

// decay is near exp(-x), from its series; it costs a tenth of the exact one.
func decay(x float64) float64 { return 1 / (1 + x*(1+x*(1.0/2+x*(1.0/6)))) }

// queueWait is the expected wait behind inFlight calls at a gate that runs limit of
// them at once. Below the limit a little remains, growing with the fourth
// power of the use: the count is uncertain, and the emptier gate is safer.
func queueWait(inFlight, limit, inverseLimit, serviceTime float64) float64 {
	utilisation := inFlight * inverseLimit
	squared := utilisation * utilisation
	queuedAhead := max(inFlight+1-limit, 0)
	return serviceTime * (queuedAhead + squared*squared) * inverseLimit
}
