package acks

import (
	"sync"
	"time"
)

const (
	// recentCalls is the number of calls by which an entry judges whether its own link or
	// the whole fleet is slow.
	recentCalls = 16
	// minRecentCalls is how many calls are needed for that.
	minRecentCalls = 8
	// recentFor is the time without an outcome after which earlier outcomes no longer count.
	recentFor = 10 * time.Second
	// maxWidening limits the widening of bounds.
	maxWidening = 64
)

// Entry decides the bounds of all calls of one entry, and widens them while most calls are
// late, whichever executor they went to. It is safe for concurrent use.
type Entry struct {
	mu sync.Mutex
	// late holds the outcomes of the latest calls, next the index of the next outcome, and
	// count how many are valid.
	late  [recentCalls]bool
	next  int
	count int
	// recordedAt is when the latest outcome was recorded.
	recordedAt int64
	// widening multiplies all bounds.
	widening int
}

// NewEntry returns an Entry without outcomes.
func NewEntry() *Entry { return &Entry{widening: 1} }

// Bound returns the bound of a call over a link. run is the time that a run elsewhere
// needs.
func (e *Entry) Bound(link Estimate, timeLeft, run time.Duration) Bound {
	return newBound(link.needed(), timeLeft-run-link.RoundTrip, e.Widening())
}

// Widening returns the factor by which bounds are multiplied: 1 unless most calls are late.
func (e *Entry) Widening() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.widening
}

// Record records whether a call was acknowledged late, once for each call. now is in
// nanoseconds of the daemon's clock. It returns true if bounds are widened from now on and
// were not before.
func (e *Entry) Record(now int64, late bool) (widened bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now-e.recordedAt > int64(recentFor) {
		e.count = 0
	}
	e.recordedAt = now
	e.late[e.next] = late
	e.next = (e.next + 1) % recentCalls
	e.count = min(e.count+1, recentCalls)
	return e.adjust()
}

// adjust doubles the widening if most recent calls were late, and halves it if few were.
// Outcomes under the previous bounds then no longer count. The caller holds mu.
func (e *Entry) adjust() (widened bool) {
	if e.count < minRecentCalls {
		return false
	}
	late := e.lateCalls()
	switch {
	case 2*late > e.count && e.widening < maxWidening:
		widened = e.widening == 1
		e.widening *= 2
		e.count = 0
	case 4*late < e.count && e.widening > 1:
		e.widening /= 2
		e.count = 0
	}
	return widened
}

// lateCalls returns how many of the valid outcomes are late. The caller holds mu.
func (e *Entry) lateCalls() int {
	late := 0
	for i := range e.count {
		if e.late[(e.next-1-i+recentCalls)%recentCalls] {
			late++
		}
	}
	return late
}
