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
	c := &Clock{start: time.Now()}
	c.next.Store(math.MaxInt64)
	go c.run()
	return c
}

// Stop ends the clock. Nobody may wait any more.
func (c *Clock) Stop() { c.stopped.Store(true) }

// After returns a channel that is closed when the time has passed.
func (c *Clock) After(d time.Duration) <-chan struct{} {
	w := waiter{at: time.Now().Add(d), done: make(chan struct{})}
	if d <= 0 {
		close(w.done)
		return w.done
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	heap.Push(&c.waiters, w)
	c.noteNext()
	return w.done
}

// SleepUntil returns at a time.
func (c *Clock) SleepUntil(at time.Time) { <-c.After(time.Until(at)) }

func (c *Clock) run() {
	for !c.stopped.Load() {
		left := time.Duration(c.next.Load()) - time.Since(c.start)
		switch {
		case left <= 0:
			c.wake()
		case left > spinBelow:
			time.Sleep(nap)
		default:
			runtime.Gosched()
		}
	}
}

// wake closes what is due.
func (c *Clock) wake() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for len(c.waiters) > 0 && !c.waiters[0].at.After(now) {
		close(heap.Pop(&c.waiters).(waiter).done)
	}
	c.noteNext()
}

// noteNext expects the lock to be held.
func (c *Clock) noteNext() {
	if len(c.waiters) == 0 {
		c.next.Store(math.MaxInt64)
		return
	}
	c.next.Store(int64(c.waiters[0].at.Sub(c.start)))
}

type waiter struct {
	at   time.Time
	done chan struct{}
}

// waiters implements heap.Interface, nearest first.
type waiters []waiter

func (wa waiters) Len() int           { return len(wa) }
func (wa waiters) Less(i, j int) bool { return wa[i].at.Before(wa[j].at) }
func (wa waiters) Swap(i, j int)      { wa[i], wa[j] = wa[j], wa[i] }
func (wa *waiters) Push(x any)        { *wa = append(*wa, x.(waiter)) }
func (wa *waiters) Pop() any {
	last := len(*wa) - 1
	w := (*wa)[last]
	*wa = (*wa)[:last]
	return w
}
