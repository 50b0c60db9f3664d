// Package bodies bounds the bytes of request bodies that a process holds, for
// its entry and its executor together. Source: docs/design/large-bodies.md.
package bodies

import (
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
)

// Budget is the room of one process. It is safe for concurrent use.
type Budget struct {
	most    int64
	held    atomic.Int64
	refused *metrics.Counter
}

// NewBudget makes a budget of so many bytes, and its metrics.
func NewBudget(most int, set *metrics.Set) *Budget {
	b := &Budget{most: int64(most), refused: set.NewCounter("rushramp_bodies_refused_total")}
	set.NewGauge("rushramp_bodies_bytes", func() float64 { return float64(b.held.Load()) })
	return b
}

// Reserved is how many bytes are held now.
func (b *Budget) Reserved() int64 { return b.held.Load() }

// Limit is how many bytes may be held.
func (b *Budget) Limit() int64 { return b.most }

func (b *Budget) take(n int64) bool {
	if b.held.Add(n) <= b.most {
		return true
	}
	b.held.Add(-n)
	b.refused.Inc()
	return false
}

// Reservation is the room that one body takes. It is safe for concurrent use.
type Reservation struct {
	budget *Budget
	bytes  atomic.Int64
}

// NewReservation begins with no room.
func (b *Budget) NewReservation() *Reservation { return &Reservation{budget: b} }

// Grow takes room for n bytes more; false when there is none.
func (h *Reservation) Grow(n int64) bool {
	if n <= 0 {
		return true
	}
	if !h.budget.take(n) {
		return false
	}
	h.bytes.Add(n)
	return true
}

// Release gives all of it back. A second time does nothing.
func (h *Reservation) Release() { h.budget.held.Add(-h.bytes.Swap(0)) }
