package choose

import (
	"math"
	"time"
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
	// HalfLife is the age at which what a stamp says of the service time has
	// half its weight.
	HalfLife time.Duration
}

// prior is what an old stamp tends to: the mean use of the candidates, and the
// service time of the fastest.
type prior struct {
	use     float64
	service float64
}

// Choose implements Policy.
func (self *ExpectedWait) Choose(req *Request, rnd Random) Pick {
	average := priorOf(req)
	best, bestCost, bestRank := None, 0.0, 0.0
	second := math.Inf(1)
	offset := rnd.IntN(max(len(req.Set), 1))
	for n := range req.Set {
		i := (n + offset) % len(req.Set)
		if req.Tried.Has(i) {
			continue
		}
		cost := self.cost(req, i, average)
		rank := cost + rnd.Float64()*tieShare*average.service
		if best == None || rank < bestRank {
			if best != None {
				second = min(second, bestCost)
			}
			best, bestCost, bestRank = i, cost, rank
			continue
		}
		second = min(second, cost)
	}
	if best == None {
		return Pick{Index: None}
	}
	return Pick{Index: best, MaxCost: maxCost(req.Set[best].Load.Distance(), second, average.service)}
}

// Cost is the expected time of a call at candidate i, for operators who ask
// why a call goes where.
func (self *ExpectedWait) Cost(req *Request, i int) time.Duration {
	return time.Duration(self.cost(req, i, priorOf(req)))
}

// maxCost is what the next best candidate would cost, less the way to the
// chosen one, which is spent by the time its gate reads this.
func maxCost(distance time.Duration, second, service float64) time.Duration {
	if math.IsInf(second, 1) {
		return unbounded
	}
	return time.Duration(second+softSlack*service) - distance
}

func priorOf(req *Request) prior {
	var out prior
	known := 0.0
	for i := range req.Set {
		k := req.Set[i].Load.Known(req.Now)
		if k.StampAt == 0 {
			continue
		}
		out.use += float64(k.InFlight) / float64(k.Limit)
		// The fastest, not the mean: an old stamp of a server that was slow
		// must not make the others look slow.
		if s := float64(k.Service); s > 0 && (out.service == 0 || s < out.service) {
			out.service = s
		}
		known++
	}
	if known == 0 {
		return prior{service: float64(defaultService)}
	}
	out.use /= known
	if out.service == 0 {
		out.service = float64(defaultService)
	}
	return out
}

// cost is the expected time of a call at candidate i, in nanoseconds.
func (self *ExpectedWait) cost(req *Request, i int, average prior) float64 {
	candidate := &req.Set[i]
	known := candidate.Load.Known(req.Now)
	age := float64(max(req.Now-known.StampAt, 0))
	// The calls at a gate change within a run: the count of a gate with free
	// slots is correlated with itself as exp(-age/service).
	weight := math.Exp(-age / average.service)
	limit := float64(known.Limit)
	inFlight := weight*float64(known.InFlight) + (1-weight)*average.use*limit
	inFlight = max(inFlight+float64(known.SentSince), float64(known.Outstanding))
	// How fast a server is changes more seldom than its count of calls.
	weight = math.Exp2(-age / float64(self.HalfLife))
	service := weight*float64(known.Service) + (1-weight)*average.service
	if quiet := float64(known.QuietFor); quiet > quietFactor*service {
		service = quiet
	}
	cost := service + wait(inFlight, limit, service) + float64(candidate.Load.Distance())
	if known.FailureShare > failureFree {
		cost += known.FailureShare * failureCost * average.service
	}
	return cost
}

// wait is the expected wait behind inFlight calls at a gate that runs limit of
// them at once. Below the limit a little remains, growing with the fourth
// power of the use: the count is uncertain, and the emptier gate is safer.
func wait(inFlight, limit, service float64) float64 {
	use := inFlight / limit
	square := use * use
	behind := max(inFlight+1-limit, 0)
	return service * (behind/limit + square*square/limit)
}
