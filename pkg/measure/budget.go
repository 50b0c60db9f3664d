// Package measure limits the bytes that a daemon spends on measuring load. One token
// bucket pays for all load reports, those that the daemon asks for and those that it
// sends. Source: docs/design/measuring.md; brief, first promise.
package measure

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/rushramp/rushramp/pkg/settings"
)

// burstShare is the share of one second's budget that the bucket holds. The rest is
// added over the second, so that no period of one second, whenever it begins, exceeds
// the budget: burst + refill = 1.
const burstShare = 0.1

// lowValueReserve is the share of a full bucket that reports of low value leave for those
// of high value.
const lowValueReserve = 0.5

// Value says how much a report is worth to its receiver.
type Value uint8

const (
	// LowValue is the value of a report that differs little from what is known.
	LowValue Value = iota
	// HighValue is the value of a report that may change the receiver's choice, or of the
	// first one.
	HighValue
)

// Budget is the budget of one daemon. It is safe for concurrent use.
type Budget struct {
	bytesPerSecond float64

	mu     sync.Mutex
	tokens float64
	// refilledAt is the time up to which tokens were added, in nanoseconds.
	refilledAt int64
	current    secondCounter

	spent    *metrics.Counter
	reports  *metrics.Counter
	rejected *metrics.Counter
}

// secondCounter counts the bytes spent in each second of the clock. It checks the budget
// independently of the bucket.
type secondCounter struct {
	second   int64
	bytes    float64
	overruns int64
}

// NewBudget returns a budget as the settings give it, and registers its metrics in set.
func NewBudget(s settings.Measurement, set *metrics.Set) *Budget {
	b := &Budget{
		bytesPerSecond: float64(s.BytesPerSecond),
		tokens:         float64(s.BytesPerSecond) * burstShare,
		spent:          set.NewCounter("rushramp_measure_bytes_total"),
		reports:        set.NewCounter("rushramp_measure_reports_total"),
		rejected:       set.NewCounter("rushramp_measure_unpaid_total"),
	}
	set.NewGauge("rushramp_measure_bytes_agreed", func() float64 { return b.bytesPerSecond })
	return b
}

// TrySpend pays for a report of size bytes. It returns false if the budget does not
// allow the report, which then must not be sent. now is in nanoseconds of a monotonic
// clock.
func (b *Budget) TrySpend(now int64, size int, value Value) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	reserve := 0.0
	if value == LowValue {
		reserve = b.bytesPerSecond * burstShare * lowValueReserve
	}
	if b.tokens-float64(size) < reserve {
		b.rejected.Inc()
		return false
	}
	b.tokens -= float64(size)
	b.recordReport(now, float64(size))
	return true
}

// refill adds the tokens for the time since the last refill.
func (b *Budget) refill(now int64) {
	elapsed := time.Duration(max(now-b.refilledAt, 0)).Seconds()
	b.refilledAt = max(b.refilledAt, now)
	b.tokens = min(b.tokens+elapsed*b.bytesPerSecond*(1-burstShare), b.bytesPerSecond*burstShare)
}

// recordReport counts a report that was paid for.
func (b *Budget) recordReport(now int64, size float64) {
	b.spent.Add(int(size))
	b.reports.Inc()
	second := now / int64(time.Second)
	if second != b.current.second {
		b.current.second, b.current.bytes = second, 0
	}
	before := b.current.bytes
	b.current.bytes += size
	if before <= b.bytesPerSecond && b.current.bytes > b.bytesPerSecond {
		b.current.overruns++
	}
}

// Usage is what a budget has paid for since the start of the daemon.
type Usage struct {
	Bytes   int64
	Reports int64
	// Rejected counts the reports that the budget did not allow.
	Rejected int64
	// Overruns counts the seconds of the clock that took more than MaxBytesPerSecond.
	Overruns          int64
	MaxBytesPerSecond float64
}

// Usage returns what the budget has paid for so far.
func (b *Budget) Usage() Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Usage{
		Bytes: int64(b.spent.Get()), Reports: int64(b.reports.Get()), Rejected: int64(b.rejected.Get()),
		Overruns: b.current.overruns, MaxBytesPerSecond: b.bytesPerSecond,
	}
}
