// Package choose picks the backend server that handles a call or a request. A Policy
// chooses for calls that name a service and a request kind, PickRouted for HTTP requests
// that are routed by host and path. Both compare the loads of the candidates; the time
// and the random source are arguments. Source: docs/design/choosing.md.
package choose

import (
	"time"

	"github.com/rushramp/rushramp/pkg/tables"
)

// Random is the random source of the decisions. *rand.Rand of math/rand/v2 implements
// it, and so does RuntimeRandom, which is safe for concurrent use.
type Random interface {
	IntN(n int) int
	Float64() float64
}

// Request is the input of Policy.Choose.
type Request struct {
	// Now is the time of the decision in nanoseconds of a monotonic clock.
	Now int64
	// CandidateSet holds the backend servers to choose from. Choose does not change it.
	CandidateSet []tables.Candidate
	// Excluded holds the indexes in CandidateSet that must not be picked, such as those
	// of servers that refused the call.
	Excluded IndexSet
}

// Pick is the result of Policy.Choose.
type Pick struct {
	// Index is the index of the picked candidate in CandidateSet, or NoCandidate.
	Index int
	// MaxCost is the longest expected time at the gate of the picked candidate, queueing
	// plus run, up to which no other candidate is expected to be faster. An entry may
	// send it with an attempt; a gate that expects a longer time then refuses the call.
	MaxCost time.Duration
}

// NoCandidate is the index of a pick when there is no candidate, or all are excluded.
const NoCandidate = -1

// Policy picks a candidate for a call. Implementations are safe for concurrent use.
type Policy interface {
	Choose(req *Request, rnd Random) Pick
}

// indexSetSize is the number of indexes that an IndexSet can hold. Candidates at higher
// indexes cannot be excluded.
const indexSetSize = 64

// IndexSet is a set of indexes of candidates, one bit each.
type IndexSet uint64

// With returns the set with one more index. It ignores an index that the set cannot
// hold.
func (s IndexSet) With(index int) IndexSet {
	if index >= indexSetSize {
		return s
	}
	return s | 1<<uint(index)
}

// Has reports whether the index is in the set.
func (s IndexSet) Has(index int) bool {
	return index < indexSetSize && s&(1<<uint(index)) != 0
}

// nthAllowed returns the index of the n-th candidate, counted from 0, that is not
// excluded, or NoCandidate.
func nthAllowed(req *Request, n int) int {
	for i := range req.CandidateSet {
		if req.Excluded.Has(i) {
			continue
		}
		if n == 0 {
			return i
		}
		n--
	}
	return NoCandidate
}

// countAllowed counts the candidates that are not excluded.
func countAllowed(req *Request) int {
	count := 0
	for i := range req.CandidateSet {
		if !req.Excluded.Has(i) {
			count++
		}
	}
	return count
}
