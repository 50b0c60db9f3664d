package bodies

import (
	"runtime"
	"sync"
	"sync/atomic"
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

// TestConcurrentReservationsAreAllReleased and never exceed the limit together.
func TestConcurrentReservationsAreAllReleased(t *testing.T) {
	const limit, size = 1000, 99
	b := NewBudget(limit, metrics.NewSet())
	var workers sync.WaitGroup
	var held, overLimit atomic.Int64
	for range 50 {
		workers.Go(func() {
			for range 1000 {
				r := b.NewReservation()
				if !r.Grow(size) {
					continue
				}
				if held.Add(size) > limit {
					overLimit.Add(1)
				}
				runtime.Gosched()
				held.Add(-size)
				r.Release()
			}
		})
	}
	workers.Wait()
	test.Zero(t, overLimit.Load())
	test.Eq(t, 0, b.Reserved())
}

// TestRoomIsMadeBeforeAReservationIsRefused: a refusal counts only when no room was made.
func TestRoomIsMadeBeforeAReservationIsRefused(t *testing.T) {
	b := NewBudget(100, metrics.NewSet())
	first, second := b.NewReservation(), b.NewReservation()
	test.True(t, first.Grow(100))
	test.True(t, second.GrowOr(60, func() bool {
		first.Release()
		return true
	}))
	test.Zero(t, b.refused.Get())
	test.False(t, second.GrowOr(60, func() bool { return false }))
	test.Eq(t, 1, b.refused.Get())
	test.Eq(t, 60, second.Reserved())
}
