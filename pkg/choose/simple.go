package choose

import (
	"math"
	"sync/atomic"
	"time"
)

// noMaxCost is the MaxCost of a pick without an upper bound: the policy estimates no
// times, or there is no second candidate.
const noMaxCost = time.Duration(math.MaxInt64)

// RandomPolicy picks each candidate with the same probability.
type RandomPolicy struct{}

// Choose implements Policy.
func (RandomPolicy) Choose(req *Request, rnd Random) Pick {
	n := countAllowed(req)
	if n == 0 {
		return Pick{Index: NoCandidate}
	}
	return Pick{Index: nthAllowed(req, rnd.IntN(n)), MaxCost: noMaxCost}
}

// RoundRobin picks the candidates in turn.
type RoundRobin struct{ next atomic.Uint64 }

// Choose implements Policy.
func (r *RoundRobin) Choose(req *Request, _ Random) Pick {
	n := countAllowed(req)
	if n == 0 {
		return Pick{Index: NoCandidate}
	}
	turn := r.next.Add(1) % uint64(n)
	return Pick{Index: nthAllowed(req, int(turn)), MaxCost: noMaxCost}
}

// LeastOutstanding takes two random candidates and picks the one to which this entry has
// fewer outstanding calls (power of two choices). It needs no stamps.
type LeastOutstanding struct{}

// Choose implements Policy.
func (LeastOutstanding) Choose(req *Request, rnd Random) Pick {
	a, b := twoRandom(req, rnd)
	if a == NoCandidate {
		return Pick{Index: NoCandidate}
	}
	if b != NoCandidate && req.CandidateSet[b].Load.Outstanding() < req.CandidateSet[a].Load.Outstanding() {
		a = b
	}
	return Pick{Index: a, MaxCost: noMaxCost}
}

// twoRandom returns the indexes of two different random candidates that are not
// excluded, with NoCandidate for each that is missing.
func twoRandom(req *Request, rnd Random) (first, second int) {
	n := countAllowed(req)
	switch n {
	case 0:
		return NoCandidate, NoCandidate
	case 1:
		return nthAllowed(req, 0), NoCandidate
	}
	i := rnd.IntN(n)
	j := rnd.IntN(n - 1)
	if j >= i {
		j++
	}
	return nthAllowed(req, i), nthAllowed(req, j)
}
