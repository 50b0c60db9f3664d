package clock

import (
	"sync"
	"time"
)

// Manual is the clocks of a VM that a test moves. It is safe for concurrent use.
type Manual struct {
	mu sync.Mutex
	// ofDay, steady and all are the time of day, the steady clock, and the one that counts
	// suspension; all in nanoseconds.
	ofDay, steady, all int64
	// none is true for a system without the last one; asked counts who asked for it.
	none  bool
	asked int
}

// NewManual makes a clock over clocks that a test moves.
func NewManual() (*Clock, *Manual) {
	const someDay, upFor = 1_700_000_000_000_000_000, int64(40 * time.Hour)
	m := &Manual{ofDay: someDay, all: upFor}
	return newClock(m), m
}

// Advance lets time pass while the VM runs.
func (m *Manual) Advance(d time.Duration) { m.move(d, d, d) }

// Suspend lets time pass while it is suspended.
func (m *Manual) Suspend(d time.Duration) { m.move(d, 0, d) }

// StepTimeOfDay sets the time of day forward, or back.
func (m *Manual) StepTimeOfDay(by time.Duration) { m.move(by, 0, 0) }

func (m *Manual) move(ofDay, steady, all time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ofDay += int64(ofDay)
	m.steady += int64(steady)
	m.all += int64(all)
}

func (m *Manual) times() (ofDay, steady int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ofDay, m.steady
}

func (m *Manual) boot() (at int64, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.asked++
	return m.all, !m.none
}
