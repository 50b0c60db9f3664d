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

func newBudget(perSecond int) *Budget {
	return NewBudget(settings.Measurement{BytesPerSecond: perSecond}, metrics.NewSet())
}

// TestNoSecondTakesMoreThanAgreed asks as fast as it can, with pauses, and
// looks at every window of one second, not only whole ones.
func TestNoSecondTakesMoreThanAgreed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		agreed := rapid.IntRange(50, 5000).Draw(t, "agreed")
		b := newBudget(agreed)
		type paid struct {
			at   int64
			size int
		}
		var all []paid
		now := int64(1)
		for range rapid.IntRange(10, 400).Draw(t, "asks") {
			now += rapid.Int64Range(0, int64(20*time.Millisecond)).Draw(t, "gap")
			size := rapid.IntRange(1, 40).Draw(t, "size")
			if b.TrySpend(now, size, Value(rapid.IntRange(0, 1).Draw(t, "value"))) {
				all = append(all, paid{now, size})
			}
		}
		for i, first := range all {
			sum := 0
			for _, p := range all[i:] {
				if p.at-first.at < int64(time.Second) {
					sum += p.size
				}
			}
			must.LessEq(t, agreed, sum)
		}
		must.Eq(t, 0, b.Usage().Overruns)
	})
}

func TestValuableReportsGoFirstWhenTheBudgetIsScarce(t *testing.T) {
	b := newBudget(1000)
	for b.TrySpend(1, 10, LowValue) {
		continue
	}
	test.True(t, b.TrySpend(1, 10, HighValue))
	test.False(t, b.TrySpend(1, 10, LowValue))
}

func TestZeroBudgetPaysNothing(t *testing.T) {
	b := newBudget(0)
	test.False(t, b.TrySpend(int64(time.Minute), 1, HighValue))
	test.Eq(t, 1, b.Usage().Rejected)
}
