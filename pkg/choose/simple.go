package choose

import (
	"math"
	"sync/atomic"
	"time"
)

// unbounded is the MaxCost of policies that have no estimate.
const unbounded = time.Duration(math.MaxInt64)

// RandomPolicy picks any candidate with the same chance.
type RandomPolicy struct{}

// Choose implements Policy.
func (RandomPolicy) Choose(req *Request, rnd Random) Pick {
	n := countUntried(req)
	if n == 0 {
		return Pick{Index: NoCandidate}
	}
	return Pick{Index: pickUntried(req, rnd.IntN(n)), MaxCost: unbounded}
}

// RoundRobin picks one after the other.
type RoundRobin struct{ next atomic.Uint64 }

// Choose implements Policy.
func (r *RoundRobin) Choose(req *Request, _ Random) Pick {
	n := countUntried(req)
	if n == 0 {
		return Pick{Index: NoCandidate}
	}
	turn := r.next.Add(1) % uint64(n)
	return Pick{Index: pickUntried(req, int(turn)), MaxCost: unbounded}
}

// LeastOutstanding takes the better of two random candidates by this entry's
// own outstanding calls. It needs no report at all.
type LeastOutstanding struct{}

// Choose implements Policy.
func (LeastOutstanding) Choose(req *Request, rnd Random) Pick {
	a, b := twoOf(req, rnd)
	if a == NoCandidate {
		return Pick{Index: NoCandidate}
	}
	if b != NoCandidate && req.CandidateSet[b].Load.Outstanding() < req.CandidateSet[a].Load.Outstanding() {
		a = b
	}
	return Pick{Index: a, MaxCost: unbounded}
}

// twoOf returns two different untried candidates, or None where there is none.
func twoOf(req *Request, rnd Random) (first, second int) {
	n := countUntried(req)
	switch n {
	case 0:
		return NoCandidate, NoCandidate
	case 1:
		return pickUntried(req, 0), NoCandidate
	}
	i := rnd.IntN(n)
	j := rnd.IntN(n - 1)
	if j >= i {
		j++
	}
	return pickUntried(req, i), pickUntried(req, j)
}
