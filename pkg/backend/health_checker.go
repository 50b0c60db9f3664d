package backend

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// minCheckPause is how long nothing is asked after a check that failed or that
	// outlasted CheckerOptions.Within; it doubles up to longestCheckPause while
	// checks go on failing, and ends with the first that does not: the watch goes
	// on asking. A backend server that hangs costs each starting
	// request Within once a pause.
	minCheckPause        = 500 * time.Millisecond
	maxCheckPause = 8 * time.Second
	// checkBurstSeconds is how many seconds of checks may be saved up: spells of noise
	// come in groups.
	checkBurstSeconds = 2
)

// HealthCheckerOptions bound what health checks cost.
type HealthCheckerOptions struct {
	// MaxWait is how long those who wait for a check are held up at most.
	MaxWait time.Duration
	// MaxPerSecond is how many checks a second are made in the mean at most.
	MaxPerSecond int
	// OnPauseChange is told when checks begin to be paused, with what the last one took
	// and its error, and when one succeeds again, with a pause of 0. It may be
	// nil.
	OnPauseChange func(pause, took time.Duration, err error)
}

// HealthChecker makes the health checks of one backend server for all who need its
// word on its speed: those who ask while a check is under way share its answer,
// and a backend server that does not answer holds nobody up for long. It is safe
// for concurrent use.
type HealthChecker struct {
	opts  HealthCheckerOptions
	check func(context.Context) error
	limiter *rate.Limiter

	mu sync.Mutex
	// waiters are those who wait for the check under way.
	waiters []func()
	// running is true while a check is under way, late once it outlasted Within.
	running bool
	timedOut bool
	// nextPause is the length of the next nextPause; resumeAt ends the present one.
	nextPause    time.Duration
	resumeAt time.Time
}

// NewHealthChecker makes a checker. check asks once, and takes the answer over before
// it returns.
func NewHealthChecker(opts HealthCheckerOptions, check func(context.Context) error) *HealthChecker {
	return &HealthChecker{
		opts: opts, check: check, nextPause: minCheckPause,
		limiter: rate.NewLimiter(rate.Limit(opts.MaxPerSecond), checkBurstSeconds*opts.MaxPerSecond),
	}
}

// Check has the backend server asked, unless that is under way, and calls done
// when the answer was taken over or Within has passed. It returns false, and
// never calls done, where a check is not allowed now: the rate is used up, or
// checks have just failed.
func (c *HealthChecker) Check(done func()) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	switch {
	case c.running && c.timedOut:
		return false
	case !c.running && (now.Before(c.resumeAt) || !c.limiter.AllowN(now, 1)):
		return false
	}
	c.addWaiter(done)
	return true
}

// ForceCheck has the backend server asked by those who follow whether it lives, at
// a pace of their own: no pause and no rate holds for them. done is called when
// the answer was taken over or Within has passed; for one who joins a check that
// has outlasted Within, when that check ends.
func (c *HealthChecker) ForceCheck(done func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addWaiter(done)
}

// addWaiter adds one who waits, and begins a check where none is under way; the lock
// is held.
func (c *HealthChecker) addWaiter(done func()) {
	c.waiters = append(c.waiters, done)
	if c.running {
		return
	}
	c.running, c.timedOut = true, false
	go c.run()
}

// run makes one check.
func (c *HealthChecker) run() {
	began := time.Now()
	timer := time.AfterFunc(c.opts.MaxWait, c.onTimeout)
	err := c.check(context.Background())
	timer.Stop()
	c.mu.Lock()
	c.running = false
	pause, turned := c.updatePause(err != nil || c.timedOut)
	waiting := c.takeWaiters()
	c.mu.Unlock()
	if turned && c.opts.OnPauseChange != nil {
		c.opts.OnPauseChange(pause, time.Since(began), err)
	}
	callAll(waiting)
}

// onTimeout lets those go on who wait for a check that outlasts its time.
func (c *HealthChecker) onTimeout() {
	c.mu.Lock()
	c.timedOut = c.running
	waiting := c.takeWaiters()
	c.mu.Unlock()
	callAll(waiting)
}

// updatePause sets the pause that follows a check; the lock is held. turned is true
// when checks begin to be paused, or are no longer.
func (c *HealthChecker) updatePause(failed bool) (pause time.Duration, turned bool) {
	before := c.nextPause
	if !failed {
		c.nextPause, c.resumeAt = minCheckPause, time.Time{}
		return 0, before != minCheckPause
	}
	c.resumeAt = time.Now().Add(c.nextPause)
	c.nextPause = min(2*c.nextPause, maxCheckPause)
	return before, before == minCheckPause
}

// takeWaiters empties the list of those who wait; the lock is held.
func (c *HealthChecker) takeWaiters() []func() {
	out := c.waiters
	c.waiters = nil
	return out
}

func callAll(all []func()) {
	for _, done := range all {
		done()
	}
}
