// Package precise wakes goroutines within some ten microseconds. The runtime's
// own timers are late by half a millisecond and more on an idle machine, which
// is as much as the bench wants to measure. It costs part of one core.
package precise

import (
	"container/heap"
	"math"
	"runtime"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// spinBelow is how near the next waiter must be for the clock to spin: a
	// sleep of the runtime may be late by that much.
	spinBelow = 2 * time.Millisecond
	nap       = 500 * time.Microsecond
)

// Clock wakes its waiters at their times, from one goroutine of its own. It
// spins by yielding, not on a thread of its own: what it wakes stands in the
// run queue of its processor and must get to run there.
type Clock struct {
	start   time.Time
	stopped atomic.Bool
	// next is when the nearest waiter is due, in nanoseconds since start. The
	// clock spins on it: spinning on the lock would starve those who wait.
	next atomic.Int64

	mu      sync.Mutex
	waiters waiters
}

// NewClock starts a clock. Stop ends it.
func NewClock() *Clock {
	self := &Clock{start: time.Now()}
	self.next.Store(math.MaxInt64)
	go self.run()
	return self
}

// Stop ends the clock. Nobody may wait any more.
func (self *Clock) Stop() { self.stopped.Store(true) }

// After returns a channel that is closed when the time has passed.
func (self *Clock) After(d time.Duration) <-chan struct{} {
	w := waiter{at: time.Now().Add(d), done: make(chan struct{})}
	if d <= 0 {
		close(w.done)
		return w.done
	}
	self.mu.Lock()
	defer self.mu.Unlock()
	heap.Push(&self.waiters, w)
	self.noteNext()
	return w.done
}

// SleepUntil returns at a time.
func (self *Clock) SleepUntil(at time.Time) { <-self.After(time.Until(at)) }

func (self *Clock) run() {
	for !self.stopped.Load() {
		left := time.Duration(self.next.Load()) - time.Since(self.start)
		switch {
		case left <= 0:
			self.wake()
		case left > spinBelow:
			time.Sleep(nap)
		default:
			runtime.Gosched()
		}
	}
}

// wake closes what is due.
func (self *Clock) wake() {
	self.mu.Lock()
	defer self.mu.Unlock()
	now := time.Now()
	for len(self.waiters) > 0 && !self.waiters[0].at.After(now) {
		close(heap.Pop(&self.waiters).(waiter).done)
	}
	self.noteNext()
}

// noteNext expects the lock to be held.
func (self *Clock) noteNext() {
	if len(self.waiters) == 0 {
		self.next.Store(math.MaxInt64)
		return
	}
	self.next.Store(int64(self.waiters[0].at.Sub(self.start)))
}

type waiter struct {
	at   time.Time
	done chan struct{}
}

// waiters implements heap.Interface, nearest first.
type waiters []waiter

func (self waiters) Len() int           { return len(self) }
func (self waiters) Less(i, j int) bool { return self[i].at.Before(self[j].at) }
func (self waiters) Swap(i, j int)      { self[i], self[j] = self[j], self[i] }
func (self *waiters) Push(x any)        { *self = append(*self, x.(waiter)) }
func (self *waiters) Pop() any {
	last := len(*self) - 1
	w := (*self)[last]
	*self = (*self)[:last]
	return w
}
