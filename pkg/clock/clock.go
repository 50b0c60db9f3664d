// Package clock provides a monotonic clock that includes the time for which the VM was
// suspended. Ages, leases and deadlines are measured with it. Source:
// docs/design/clocks.md.
package clock

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// skewTolerance is how far the wall clock and the monotonic clock may drift apart before
// Now checks for a suspension. A time service that slews the wall clock changes it by less
// than a thousandth of the elapsed time.
const skewTolerance = 100 * time.Millisecond

// Clock is a monotonic clock that includes the time for which the VM was suspended. The
// system's own monotonic clock (CLOCK_MONOTONIC) does not: after a suspension of ten
// seconds a pending request would seem to have all its time left, and a peer to have been
// heard from just now. Now reads the wall clock and the monotonic clock together, and
// reads the boot clock (CLOCK_BOOTTIME) only when the two have drifted apart. Clock is
// safe for concurrent use.
type Clock struct {
	source clockSource
	// skew is the wall clock minus the monotonic clock at the last check for a suspension.
	// suspended is the time for which the VM has been suspended since the start. Both are
	// in nanoseconds.
	skew      atomic.Int64
	suspended atomic.Int64

	mu sync.Mutex
	// bootOffset is the boot clock minus the monotonic clock at the start, in nanoseconds.
	bootOffset int64
}

// clockSource reads the VM's clocks, in nanoseconds.
type clockSource interface {
	// times returns the wall clock, and the monotonic clock, which starts at 0.
	times() (wall, monotonic int64)
	// bootTime returns the boot clock, which includes suspended time; ok is false if the
	// system has none.
	bootTime() (nanos int64, ok bool)
}

// New returns a clock that starts at 0. A process uses one clock for all its times.
func New() *Clock { return newClock(&systemClocks{start: time.Now()}) }

func newClock(source clockSource) *Clock {
	c := &Clock{source: source}
	wall, monotonic := source.times()
	c.skew.Store(wall - monotonic)
	if bootTime, ok := source.bootTime(); ok {
		c.bootOffset = bootTime - monotonic
	}
	return c
}

// Now returns the time since the clock was created, in nanoseconds. It never goes back.
func (c *Clock) Now() int64 {
	wall, monotonic := c.source.times()
	if skew := wall - monotonic; abs(skew-c.skew.Load()) > int64(skewTolerance) {
		c.checkSuspension(skew)
	}
	return monotonic + c.suspended.Load()
}

// Suspended returns for how long the VM has been suspended since the clock was created.
func (c *Clock) Suspended() time.Duration { return time.Duration(c.suspended.Load()) }

// checkSuspension updates suspended after the wall clock and the monotonic clock have
// drifted apart: either the VM was suspended, or the wall clock was set.
func (c *Clock) checkSuspension(skew int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.skew.Store(skew)
	_, monotonic := c.source.times()
	bootTime, ok := c.source.bootTime()
	if !ok {
		return
	}
	// Time that passes between the two readings counts as suspended time. skewTolerance
	// keeps a short delay there from being recorded as a suspension.
	if suspended := bootTime - monotonic - c.bootOffset; suspended-c.suspended.Load() > int64(skewTolerance) {
		c.suspended.Store(suspended)
	}
}

func abs(n int64) int64 { return max(n, -n) }

// systemClocks reads the clocks of the operating system.
type systemClocks struct{ start time.Time }

func (s *systemClocks) times() (wall, monotonic int64) {
	now := time.Now()
	return now.UnixNano(), int64(now.Sub(s.start))
}

func (s *systemClocks) bootTime() (nanos int64, ok bool) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, false
	}
	return ts.Nano(), true
}
