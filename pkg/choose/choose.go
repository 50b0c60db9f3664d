// Package choose picks the backend server that takes a call. A policy is a
// pure decision: it reads the candidates' loads, with the clock and the random
// source handed in. Source: docs/design/choosing.md.
package choose

import (
	"time"

	"github.com/rushramp/rushramp/pkg/tables"
)

// Random is the random source of the decisions. *rand.Rand of math/rand/v2 has
// this form, and so has Runtime, which is safe for concurrent use.
type Random interface {
	IntN(n int) int
	Float64() float64
}

// Request is one decision's input.
type Request struct {
	// Now is the time of the decision in nanoseconds of a steady clock.
	Now int64
	// CandidateSet holds the candidates; it is not changed.
	CandidateSet []tables.Candidate
	// Excluded has a bit for each index of Set that refused this call already.
	Excluded IndexSet
}

// Pick is a decision.
type Pick struct {
	// Index points into the set; negative: no candidate is left.
	Index int
	// MaxCost is the time at the chosen gate, wait and run, up to which this
	// choice stays the best one known. A soft attempt carries it.
	MaxCost time.Duration
}

// NoCandidate is the pick when no candidate is left.
const NoCandidate = -1

// Policy picks a candidate. Implementations are safe for concurrent use.
type Policy interface {
	Choose(req *Request, rnd Random) Pick
}

// indexSetSize is how many candidates a Tried can hold. Sets are subsets of some
// 16; one that is larger is tried at its first 64 places only.
const indexSetSize = 64

// IndexSet marks candidates that refused a call.
type IndexSet uint64

// With returns the marks with one more.
func (s IndexSet) With(index int) IndexSet {
	if index >= indexSetSize {
		return s
	}
	return s | 1<<uint(index)
}

// Has is true when the candidate refused already.
func (s IndexSet) Has(index int) bool {
	return index < indexSetSize && s&(1<<uint(index)) != 0
}

// nthAllowed returns the n-th candidate that was not tried.
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

func countAllowed(req *Request) int {
	count := 0
	for i := range req.CandidateSet {
		if !req.Excluded.Has(i) {
			count++
		}
	}
	return count
}
