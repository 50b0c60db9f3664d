package choose

import (
	"math"
	"time"

	"github.com/rushramp/rushramp/pkg/tables"
)

const (
	// defaultService stands in for a service time that nobody reported yet.
	defaultService = 5 * time.Millisecond
	// failureCost is how many service times one certain failure counts as.
	failureCost = 20
	// failureFree is the share of failures that is not held against a server.
	failureFree = 0.05
	// quietFactor: a server that has calls of ours and has not answered for
	// this many service times is taken to be as slow as it has been quiet.
	quietFactor = 3
	// softSlack is added to MaxCost, as a share of the service time, so that
	// two servers that are nearly alike do not refuse for each other.
	softSlack = 0.25
	// tieShare: costs this close, as a share of the service time, count as
	// alike, and the random source decides. It breaks up herds.
	tieShare = 0.1
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

// scanMost is how many candidates are looked at for one call, from a random
// place on. Subsets are smaller; in a larger set the cost of a choice stays flat.
const scanMost = 32

// prior is what an old stamp tends to: the mean use of the candidates, and the
// service time of the fastest.
type prior struct {
	use     float64
	service float64
	// perService is 1 over service.
	perService float64
}

// look is what one decision reads of its candidates, once.
type look struct {
	known [scanMost]tables.LoadSnapshot
	// perLimit is 1 over the limit: divisions are what a choice costs most.
	perLimit [scanMost]float64
	index    [scanMost]int
	count    int
}

// Choose implements Policy.
func (e *ExpectedWait) Choose(req *Request, rnd Random) Pick {
	var seen look
	seen.read(req, rnd)
	if seen.count == 0 {
		return Pick{Index: NoCandidate}
	}
	average := seen.prior()
	// One draw breaks the ties of all candidates: each gets its own bits of it.
	ties := uint64(rnd.IntN(math.MaxInt))
	best, bestCost, bestRank := NoCandidate, 0.0, math.Inf(1)
	second := math.Inf(1)
	for n := range seen.count {
		cost := e.cost(req.Now, &seen, n, average)
		rank := cost + tieShare*average.service*tieOf(ties, n)
		if rank < bestRank {
			second = min(second, bestCost)
			if best == NoCandidate {
				second = math.Inf(1)
			}
			best, bestCost, bestRank = n, cost, rank
			continue
		}
		second = min(second, cost)
	}
	return Pick{Index: seen.index[best], MaxCost: maxCost(seen.known[best].RoundTrip, second, average.service)}
}

// tieOf is a number from 0 up to 1 for a candidate (the multiplicative hash of
// Knuth, whose high bits are well mixed).
func tieOf(ties uint64, n int) float64 {
	const factor = 0x9e3779b97f4a7c15
	mixed := (ties ^ uint64(n)*factor) * factor
	return float64(mixed>>40) / (1 << 24)
}

// read looks at the untried candidates, from a random place on.
func (l *look) read(req *Request, rnd Random) {
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
		l.add(req, i)
		if l.count == scanMost {
			return
		}
	}
}

func (l *look) add(req *Request, i int) {
	known := &l.known[l.count]
	req.CandidateSet[i].Load.SnapshotInto(req.Now, known)
	l.perLimit[l.count] = 1 / float64(known.Limit)
	l.index[l.count] = i
	l.count++
}

func (l *look) prior() prior {
	var out prior
	heard := 0.0
	fastest := time.Duration(0)
	for n := range l.count {
		k := &l.known[n]
		if k.StampReceivedAt == 0 {
			continue
		}
		out.use += float64(k.InFlight) * l.perLimit[n]
		// The fastest, not the mean: an old stamp of a server that was slow
		// must not make the others look slow.
		if k.ServiceTime > 0 && (fastest == 0 || k.ServiceTime < fastest) {
			fastest = k.ServiceTime
		}
		heard++
	}
	if fastest == 0 {
		fastest = defaultService
	}
	out.service = float64(fastest)
	out.perService = 1 / out.service
	if heard > 0 {
		out.use /= heard
	}
	return out
}

// Cost is the expected time of a call at candidate i, for operators who ask
// why a call goes where.
func (e *ExpectedWait) Cost(req *Request, i int) time.Duration {
	var all look
	all.add(req, i)
	for n := range min(len(req.CandidateSet), scanMost-1) {
		all.add(req, n)
	}
	return time.Duration(e.cost(req.Now, &all, 0, all.prior()))
}

// maxCost is what the next best candidate would cost, less the way to the
// chosen one, which is spent by the time its gate reads this.
func maxCost(distance time.Duration, second, service float64) time.Duration {
	if math.IsInf(second, 1) {
		return unbounded
	}
	return time.Duration(second+softSlack*service) - distance
}

// cost is the expected time of a call at a candidate, in nanoseconds.
func (e *ExpectedWait) cost(now int64, seen *look, n int, average prior) float64 {
	known := &seen.known[n]
	age := float64(max(now-known.StampReceivedAt, 0))
	limit := float64(known.Limit)
	inFlight := average.use * limit
	service := average.service
	if known.StampReceivedAt != 0 {
		// The calls at a gate change within a run: the count of a gate with
		// free slots is correlated with itself as exp(-age/service).
		inFlight += decay(age*average.perService) * (float64(known.InFlight) - inFlight)
		// How fast a server is changes more seldom than its count of calls.
		if known.ServiceTime != time.Duration(average.service) {
			service += decay(math.Ln2*age/float64(e.StampHalfLife)) * (float64(known.ServiceTime) - service)
		}
	}
	inFlight = max(inFlight+float64(known.SentSinceStamp), float64(known.Outstanding))
	if quiet := float64(known.NoAnswerFor); quiet > quietFactor*service {
		service = quiet
	}
	cost := service + wait(inFlight, limit, seen.perLimit[n], service) + float64(known.RoundTrip)
	if known.FailureShare > failureFree {
		cost += known.FailureShare * failureCost * average.service
	}
	return cost
}

// decay is near exp(-x), from its series; it costs a tenth of the exact one.
func decay(x float64) float64 { return 1 / (1 + x*(1+x*(1.0/2+x*(1.0/6)))) }

// wait is the expected wait behind inFlight calls at a gate that runs limit of
// them at once. Below the limit a little remains, growing with the fourth
// power of the use: the count is uncertain, and the emptier gate is safer.
func wait(inFlight, limit, perLimit, service float64) float64 {
	use := inFlight * perLimit
	square := use * use
	behind := max(inFlight+1-limit, 0)
	return service * (behind + square*square) * perLimit
}
