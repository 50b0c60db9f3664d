package bodies

import (
	"sync"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/shoenig/test"
)

func TestReservationsStayWithinTheLimitAndAreReleased(t *testing.T) {
	b := NewBudget(100, metrics.NewSet())
	first, second := b.NewReservation(), b.NewReservation()
	test.True(t, first.Grow(60))
	test.False(t, second.Grow(41))
	test.True(t, second.Grow(40))
	test.False(t, first.Grow(1))
	test.Eq(t, 100, b.Reserved())
	first.Release()
	first.Release()
	test.Eq(t, 40, b.Reserved())
	test.True(t, second.Grow(60))
	second.Release()
	test.Eq(t, 0, b.Reserved())
	test.True(t, first.Grow(0))
}

func TestConcurrentReservationsAreAllReleased(t *testing.T) {
	b := NewBudget(1000, metrics.NewSet())
	var workers sync.WaitGroup
	for range 50 {
		workers.Go(func() {
			for range 100 {
				r := b.NewReservation()
				if r.Grow(99) {
					r.Release()
				}
			}
		})
	}
	workers.Wait()
	test.Eq(t, 0, b.Reserved())
}
