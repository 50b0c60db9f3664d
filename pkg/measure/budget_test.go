package measure

import (
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/rushramp/rushramp/pkg/settings"
)

func newBudget(bytesPerSecond int) *Budget {
	return NewBudget(settings.Measurement{BytesPerSecond: bytesPerSecond}, metrics.NewSet())
}

// TestNoSecondExceedsTheBudget spends at random times, and checks every period of one
// second that begins with a payment, not only whole seconds of the clock.
func TestNoSecondExceedsTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bytesPerSecond := rapid.IntRange(50, 5000).Draw(t, "agreed")
		b := newBudget(bytesPerSecond)
		type payment struct {
			at   int64
			size int
		}
		var payments []payment
		now := int64(1)
		for range rapid.IntRange(10, 400).Draw(t, "asks") {
			now += rapid.Int64Range(0, int64(20*time.Millisecond)).Draw(t, "gap")
			size := rapid.IntRange(1, 40).Draw(t, "size")
			if b.TrySpend(now, size, Value(rapid.IntRange(0, 1).Draw(t, "value"))) {
				payments = append(payments, payment{now, size})
			}
		}
		for i, first := range payments {
			sum := 0
			for _, p := range payments[i:] {
				if p.at-first.at < int64(time.Second) {
					sum += p.size
				}
			}
			must.LessEq(t, bytesPerSecond, sum)
		}
		must.Eq(t, 0, b.Usage().Overruns)
	})
}

// TestReserveForHighValueReports checks that reports of low value leave a part of the
// budget to those of high value.
func TestReserveForHighValueReports(t *testing.T) {
	b := newBudget(1000)
	for b.TrySpend(1, 10, LowValue) {
		continue
	}
	test.True(t, b.TrySpend(1, 10, HighValue))
	test.False(t, b.TrySpend(1, 10, LowValue))
}

func TestBudgetOfZeroPaysNothing(t *testing.T) {
	b := newBudget(0)
	test.False(t, b.TrySpend(int64(time.Minute), 1, HighValue))
	test.Eq(t, 1, b.Usage().Rejected)
}
