package bodies

import (
	"sync"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/shoenig/test"
)

func TestRoomIsBoundedAndComesBack(t *testing.T) {
	b := NewBudget(100, metrics.NewSet())
	one, two := b.NewReservation(), b.NewReservation()
	test.True(t, one.Grow(60))
	test.False(t, two.Grow(41))
	test.True(t, two.Grow(40))
	test.False(t, one.Grow(1))
	test.Eq(t, 100, b.Reserved())
	one.Release()
	one.Release()
	test.Eq(t, 40, b.Reserved())
	test.True(t, two.Grow(60))
	two.Release()
	test.Eq(t, 0, b.Reserved())
	test.True(t, one.Grow(0))
}

func TestManyAtOnceNeverHoldMore(t *testing.T) {
	b := NewBudget(1000, metrics.NewSet())
	var all sync.WaitGroup
	for range 50 {
		all.Go(func() {
			for range 100 {
				h := b.NewReservation()
				if h.Grow(99) {
					h.Release()
				}
			}
		})
	}
	all.Wait()
	test.Eq(t, 0, b.Reserved())
}
