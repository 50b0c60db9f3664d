package clock

import (
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test"
)

// TestSuspendedTimeCounts at the first reading after it, each time.
func TestSuspendedTimeCounts(t *testing.T) {
	c, f := NewManual()
	f.Advance(time.Second)
	test.Eq(t, int64(time.Second), c.Now())
	test.Eq(t, 1, f.asked, test.Sprint("while the clocks agree nobody is asked"))
	f.Suspend(10 * time.Second)
	test.Eq(t, int64(11*time.Second), c.Now())
	f.Advance(time.Second)
	f.Suspend(time.Second)
	test.Eq(t, int64(13*time.Second), c.Now())
	test.Eq(t, 11*time.Second, c.Suspended())
	test.Eq(t, 3, f.asked)
}

// TestATimeOfDayThatIsSetChangesNothing, forward, backward, and beside a suspension.
func TestATimeOfDayThatIsSetChangesNothing(t *testing.T) {
	c, f := NewManual()
	for _, step := range []time.Duration{3 * time.Second, -5 * time.Second, time.Hour} {
		f.StepTimeOfDay(step)
		f.Advance(time.Millisecond)
		before := c.Now()
		test.Eq(t, f.steady, before)
	}
	// It is set back by as much as the VM was suspended: that shows with the next
	// difference.
	f.Suspend(4 * time.Second)
	f.StepTimeOfDay(-4 * time.Second)
	test.Eq(t, f.steady, c.Now())
	f.StepTimeOfDay(time.Second)
	test.Eq(t, f.steady+int64(4*time.Second), c.Now())
}

// TestWithoutSuchAClock the steady one stays.
func TestWithoutSuchAClock(t *testing.T) {
	f := &Manual{none: true}
	c := newClock(f)
	f.Suspend(10 * time.Second)
	f.Advance(time.Second)
	test.Eq(t, int64(time.Second), c.Now())
}

// TestTheSystemsClocksAreRead and none goes back, whoever reads.
func TestTheSystemsClocksAreRead(t *testing.T) {
	c := New()
	_, ok := c.read.boot()
	test.True(t, ok)
	var wait sync.WaitGroup
	for range 4 {
		wait.Go(func() {
			last := int64(-1)
			for range 10000 {
				now := c.Now()
				if now < last {
					t.Errorf("%d after %d", now, last)
				}
				last = now
			}
		})
	}
	wait.Wait()
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
