package clock

import (
	"sync"
	"time"
)

// Manual simulates the clocks of a VM under the control of a test. It is safe for
// concurrent use.
type Manual struct {
	mu sync.Mutex
	// wall, monotonic and bootNanos are the readings of the wall clock, the monotonic clock
	// and the boot clock (which includes suspended time), in nanoseconds.
	wall, monotonic, bootNanos int64
	// noBootClock simulates a system without a boot clock. bootReads counts how often the
	// boot clock was read.
	noBootClock bool
	bootReads   int
}

// NewManual returns a Clock, and the simulated clocks that it reads.
func NewManual() (*Clock, *Manual) {
	const startTime, uptime = 1_700_000_000_000_000_000, int64(40 * time.Hour)
	m := &Manual{wall: startTime, bootNanos: uptime}
	return newClock(m), m
}

// Advance lets d pass while the VM runs.
func (m *Manual) Advance(d time.Duration) { m.advance(d, d, d) }

// Suspend lets d pass while the VM is suspended.
func (m *Manual) Suspend(d time.Duration) { m.advance(d, 0, d) }

// StepWallClock changes the wall clock by a positive or negative duration.
func (m *Manual) StepWallClock(by time.Duration) { m.advance(by, 0, 0) }

func (m *Manual) advance(wall, monotonic, bootNanos time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.wall += int64(wall)
	m.monotonic += int64(monotonic)
	m.bootNanos += int64(bootNanos)
}

func (m *Manual) times() (wall, monotonic int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.wall, m.monotonic
}

func (m *Manual) bootTime() (nanos int64, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.bootReads++
	return m.bootNanos, !m.noBootClock
}
