package clock

import (
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test"
)

// TestNowIncludesSuspendedTime checks that the first reading after each suspension
// includes it.
func TestNowIncludesSuspendedTime(t *testing.T) {
	c, m := NewManual()
	m.Advance(time.Second)
	test.Eq(t, int64(time.Second), c.Now())
	test.Eq(t, 1, m.bootReads, test.Sprint("the boot clock is read only once, at the start, while the other clocks agree"))
	m.Suspend(10 * time.Second)
	test.Eq(t, int64(11*time.Second), c.Now())
	m.Advance(time.Second)
	m.Suspend(time.Second)
	test.Eq(t, int64(13*time.Second), c.Now())
	test.Eq(t, 11*time.Second, c.Suspended())
	test.Eq(t, 3, m.bootReads)
}

// TestNowIgnoresStepsOfTheWallClock sets the wall clock forward, backward, and together
// with a suspension.
func TestNowIgnoresStepsOfTheWallClock(t *testing.T) {
	c, m := NewManual()
	for _, step := range []time.Duration{3 * time.Second, -5 * time.Second, time.Hour} {
		m.StepWallClock(step)
		m.Advance(time.Millisecond)
		now := c.Now()
		test.Eq(t, m.monotonic, now)
	}
	// A step back by exactly the suspended time hides the suspension until the wall clock
	// is next set.
	m.Suspend(4 * time.Second)
	m.StepWallClock(-4 * time.Second)
	test.Eq(t, m.monotonic, c.Now())
	m.StepWallClock(time.Second)
	test.Eq(t, m.monotonic+int64(4*time.Second), c.Now())
}

// TestNowWithoutBootClock checks that Now follows the monotonic clock on a system without
// a boot clock.
func TestNowWithoutBootClock(t *testing.T) {
	m := &Manual{noBootClock: true}
	c := newClock(m)
	m.Suspend(10 * time.Second)
	m.Advance(time.Second)
	test.Eq(t, int64(time.Second), c.Now())
}

// TestSystemClocksNeverGoBack checks that Now never goes back with the clocks of the
// operating system, while several goroutines read it.
func TestSystemClocksNeverGoBack(t *testing.T) {
	c := New()
	_, ok := c.source.bootTime()
	test.True(t, ok)
	var readers sync.WaitGroup
	for range 4 {
		readers.Go(func() {
			previous := int64(-1)
			for range 10000 {
				now := c.Now()
				if now < previous {
					t.Errorf("%d after %d", now, previous)
				}
				previous = now
			}
		})
	}
	readers.Wait()
	test.Eq(t, 0, c.Suspended())
}

func BenchmarkNow(b *testing.B) {
	c := New()
	for b.Loop() {
		c.Now()
	}
}

func BenchmarkSince(b *testing.B) {
	start := time.Now()
	for b.Loop() {
		_ = time.Since(start)
	}
}
