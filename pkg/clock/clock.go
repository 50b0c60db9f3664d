// Package clock holds the clock by which ages, leases and deadlines are counted. Source:
// docs/design/clocks.md.
package clock

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// parted is by how much the time of day and the steady clock must have moved apart for
// the suspended time to be asked for. Clocks that a VM's time service slews part by less
// than a thousandth of the time that passes.
const parted = 100 * time.Millisecond

// Clock is a steady clock that also counts the time for which the VM was suspended, which
// the system's own steady clock leaves out: after ten seconds of it a request held before
// would seem to have all its time left, and a peer to have been heard just now. It costs
// one reading of the time of day: only where that parts from the steady clock is the
// system asked which of the two was moved. It is safe for concurrent use.
type Clock struct {
	read reader
	// skew is by how much the time of day was ahead when that was last looked into, and
	// suspended the time that the steady clock has left out since the start; both in
	// nanoseconds.
	skew      atomic.Int64
	suspended atomic.Int64

	mu sync.Mutex
	// bootAhead is by how much the clock that counts suspension was ahead of the steady
	// one at the start.
	bootAhead int64
}

// reader reads the VM's clocks, in nanoseconds. The steady one begins at 0.
type reader interface {
	times() (ofDay, steady int64)
	// boot also counts suspended time; ok is false where the system has no such clock.
	boot() (at int64, ok bool)
}

// New makes the clock of one process.
func New() *Clock { return newClock(&system{start: time.Now()}) }

func newClock(read reader) *Clock {
	c := &Clock{read: read}
	ofDay, steady := read.times()
	c.skew.Store(ofDay - steady)
	if boot, ok := read.boot(); ok {
		c.bootAhead = boot - steady
	}
	return c
}

// Now is the time since the process's start in nanoseconds. It never goes back.
func (c *Clock) Now() int64 {
	ofDay, steady := c.read.times()
	if skew := ofDay - steady; abs(skew-c.skew.Load()) > int64(parted) {
		c.look(skew)
	}
	return steady + c.suspended.Load()
}

// Suspended is for how long the VM has been suspended since the process's start.
func (c *Clock) Suspended() time.Duration { return time.Duration(c.suspended.Load()) }

// look finds out why the two clocks parted: the VM was suspended, or the time of day was
// set.
func (c *Clock) look(skew int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.skew.Store(skew)
	_, before := c.read.times()
	boot, ok := c.read.boot()
	if !ok {
		return
	}
	// The steady clock goes on between the two readings, so that what is left out never
	// seems longer than it is.
	if left := boot - before - c.bootAhead; left-c.suspended.Load() > int64(parted) {
		c.suspended.Store(left)
	}
}

func abs(n int64) int64 { return max(n, -n) }

// system is the VM's own clocks.
type system struct{ start time.Time }

func (s *system) times() (ofDay, steady int64) {
	now := time.Now()
	return now.UnixNano(), int64(now.Sub(s.start))
}

func (s *system) boot() (at int64, ok bool) {
	var at64 unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &at64); err != nil {
		return 0, false
	}
	return at64.Nano(), true
}
