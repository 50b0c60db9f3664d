// Package precise provides timers that fire within about ten microseconds. On an
// idle machine the runtime's timers are late by half a millisecond or more,
// which is as long as the latencies that the bench measures. A running Clock
// uses part of one core.
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
	// spinBelow is the time before the next timer below which the clock spins
	// instead of sleeping, because time.Sleep may return that much late.
	spinBelow     = 2 * time.Millisecond
	sleepInterval = 500 * time.Microsecond
)

// Clock closes channels at given times, from a goroutine of its own. To spin,
// it yields to the scheduler instead of occupying a thread: the goroutines that
// it wakes are put into the run queue of its processor and have to run there.
type Clock struct {
	start   time.Time
	stopped atomic.Bool
	// next is when the earliest waiter is due, in nanoseconds since start. The
	// clock reads it while it spins, because spinning on mu would starve
	// goroutines that call After.
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

// Stop ends the clock. Channels that are still open are never closed.
func (c *Clock) Stop() { c.stopped.Store(true) }

// After returns a channel that is closed after the duration.
func (c *Clock) After(d time.Duration) <-chan struct{} {
	w := waiter{at: time.Now().Add(d), done: make(chan struct{})}
	if d <= 0 {
		close(w.done)
		return w.done
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	heap.Push(&c.waiters, w)
	c.updateNext()
	return w.done
}

// SleepUntil returns at the given time, or at once when it is past.
func (c *Clock) SleepUntil(at time.Time) { <-c.After(time.Until(at)) }

func (c *Clock) run() {
	for !c.stopped.Load() {
		left := time.Duration(c.next.Load()) - time.Since(c.start)
		switch {
		case left <= 0:
			c.wake()
		case left > spinBelow:
			time.Sleep(sleepInterval)
		default:
			runtime.Gosched()
		}
	}
}

// wake closes the channels of all waiters that are due.
func (c *Clock) wake() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for len(c.waiters) > 0 && !c.waiters[0].at.After(now) {
		close(heap.Pop(&c.waiters).(waiter).done)
	}
	c.updateNext()
}

// updateNext sets next from the waiters. The caller holds c.mu.
func (c *Clock) updateNext() {
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

// waiters is a heap of waiters, the earliest first. It implements
// heap.Interface.
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
