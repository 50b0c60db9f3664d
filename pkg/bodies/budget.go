// Package bodies limits the memory that request bodies take up in one process, in
// its entry and its executor together. Source: docs/design/large-bodies.md.
package bodies

import (
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
)

// Budget limits the bytes of request bodies that one process holds at a time. It is
// safe for concurrent use.
type Budget struct {
	limit    int64
	reserved atomic.Int64
	refused  *metrics.Counter
}

// NewBudget returns a budget of limit bytes and registers its metrics in set.
func NewBudget(limit int, set *metrics.Set) *Budget {
	b := &Budget{limit: int64(limit), refused: set.NewCounter("rushramp_bodies_refused_total")}
	set.NewGauge("rushramp_bodies_bytes", func() float64 { return float64(b.reserved.Load()) })
	return b
}

// Reserved returns the number of bytes that are reserved now.
func (b *Budget) Reserved() int64 { return b.reserved.Load() }

// Limit returns the number of bytes that may be reserved at a time.
func (b *Budget) Limit() int64 { return b.limit }

const (
	// smallBytes is the size up to which a body is small. The part 1/smallShare of the limit is
	// kept for small bodies, except from a large one that is alone.
	smallBytes = 64 << 10
	smallShare = 8
)

// reserve takes n bytes for a body that has taken own bytes. Where they would exceed the limit it
// takes none and returns false.
func (b *Budget) reserve(n, own int64) bool {
	total := b.reserved.Add(n)
	limit := b.limit
	if isAlone := total == own+n; own+n > smallBytes && !isAlone {
		limit -= limit / smallShare
	}
	if total <= limit {
		return true
	}
	b.reserved.Add(-n)
	return false
}

// Reservation is the part of a Budget that one body takes up. It is safe for
// concurrent use.
type Reservation struct {
	budget *Budget
	bytes  atomic.Int64
}

// NewReservation returns a reservation of no bytes.
func (b *Budget) NewReservation() *Reservation { return &Reservation{budget: b} }

// HasRoom reports whether n more bytes could be reserved now.
func (r *Reservation) HasRoom(n int64) bool {
	if n <= 0 {
		return true
	}
	if !r.budget.reserve(n, r.bytes.Load()) {
		return false
	}
	r.budget.reserved.Add(-n)
	return true
}

// Grow reserves n more bytes. It returns false, and reserves nothing, where the budget
// has fewer left.
func (r *Reservation) Grow(n int64) bool {
	return r.GrowOr(n, func() bool { return false })
}

// GrowOr is Grow that calls makeRoom where the budget has fewer bytes left, and tries again
// if that returns true.
func (r *Reservation) GrowOr(n int64, makeRoom func() bool) bool {
	if n <= 0 {
		return true
	}
	for !r.budget.reserve(n, r.bytes.Load()) {
		if !makeRoom() {
			r.budget.refused.Inc()
			return false
		}
	}
	r.bytes.Add(n)
	return true
}

// Reserved returns the number of reserved bytes.
func (r *Reservation) Reserved() int64 { return r.bytes.Load() }

// Release returns all reserved bytes to the budget. Further calls do nothing.
func (r *Reservation) Release() { r.budget.reserved.Add(-r.bytes.Swap(0)) }
