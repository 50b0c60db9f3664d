// Package measure keeps the cost of measuring load within its agreed budget.
// All load reports of a daemon, those it asks for and those it gives, are paid
// from one bucket. Source: docs/design/measuring.md; brief, first promise.
package measure

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/rushramp/rushramp/pkg/settings"
)

// burstShare is the part of a second's budget that may be spent at once. The
// rest flows in over the second, so that no second's window, wherever it
// begins, holds more than the agreed amount: burst + refill = 1.
const burstShare = 0.1

// scarceShare: below this share of the burst only reports of high value are paid.
const scarceShare = 0.5

// Value says how much a report is worth to its receiver.
type Value uint8

const (
	// LowValue is a report that says nearly what is known already.
	LowValue Value = iota
	// HighValue is a report that changes the choice, or the first one.
	HighValue
)

// Budget is one daemon's budget. It is safe for concurrent use.
type Budget struct {
	agreed float64

	mu     sync.Mutex
	tokens float64
	// at is the time up to which tokens have flowed in, in nanoseconds.
	at     int64
	window window

	spent   *metrics.Counter
	reports *metrics.Counter
	unpaid  *metrics.Counter
}

// window counts what each second took, to show that the budget was kept by
// another way than the bucket that keeps it.
type window struct {
	second  int64
	bytes   float64
	overrun int64
}

// NewBudget makes the budget in the settings.
func NewBudget(s settings.Measurement, set *metrics.Set) *Budget {
	b := &Budget{
		agreed:  float64(s.BytesPerSecond),
		tokens:  float64(s.BytesPerSecond) * burstShare,
		spent:   set.NewCounter("rushramp_measure_bytes_total"),
		reports: set.NewCounter("rushramp_measure_reports_total"),
		unpaid:  set.NewCounter("rushramp_measure_unpaid_total"),
	}
	set.NewGauge("rushramp_measure_bytes_agreed", func() float64 { return b.agreed })
	return b
}

// TrySpend pays for a report of size bytes; false when there is no budget left
// for it, and it must not be sent. now is in nanoseconds of a steady clock.
func (b *Budget) TrySpend(now int64, size int, value Value) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	keep := 0.0
	if value == LowValue {
		keep = b.agreed * burstShare * scarceShare
	}
	if b.tokens-float64(size) < keep {
		b.unpaid.Inc()
		return false
	}
	b.tokens -= float64(size)
	b.note(now, float64(size))
	return true
}

func (b *Budget) refill(now int64) {
	elapsed := time.Duration(max(now-b.at, 0)).Seconds()
	b.at = max(b.at, now)
	b.tokens = min(b.tokens+elapsed*b.agreed*(1-burstShare), b.agreed*burstShare)
}

func (b *Budget) note(now int64, size float64) {
	b.spent.Add(int(size))
	b.reports.Inc()
	second := now / int64(time.Second)
	if second != b.window.second {
		b.window.second, b.window.bytes = second, 0
	}
	was := b.window.bytes
	b.window.bytes += size
	if was <= b.agreed && b.window.bytes > b.agreed {
		b.window.overrun++
	}
}

// Usage is what a budget has paid for so far.
type Usage struct {
	Bytes   int64
	Reports int64
	// Rejected counts reports that were left out.
	Rejected int64
	// Overruns counts seconds that took more than the agreed amount.
	Overruns          int64
	MaxBytesPerSecond float64
}

// Usage returns what was paid so far.
func (b *Budget) Usage() Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Usage{
		Bytes: int64(b.spent.Get()), Reports: int64(b.reports.Get()), Rejected: int64(b.unpaid.Get()),
		Overruns: b.window.overrun, MaxBytesPerSecond: b.agreed,
	}
}
