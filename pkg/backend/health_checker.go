package backend

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// minCheckPause is how long Check refuses further checks after one that failed or
	// took longer than HealthCheckerOptions.MaxWait. The pause doubles with each further
	// such check, up to maxCheckPause, and the first good check ends it. A backend server
	// that hangs therefore delays starting requests by MaxWait once per pause only.
	minCheckPause = 500 * time.Millisecond
	maxCheckPause = 8 * time.Second
	// checkBurstSeconds is how many seconds' worth of unused checks may be saved up:
	// slow periods of a backend server come in groups.
	checkBurstSeconds = 2
)

// HealthCheckerOptions limit the cost of health checks.
type HealthCheckerOptions struct {
	// MaxWait is the longest time that a caller waits for a check.
	MaxWait time.Duration
	// MaxPerSecond is the highest average rate of checks that Check makes.
	MaxPerSecond int
	// OnPauseChange is called when checks are paused, with the duration and the error of
	// the last one, and when a check succeeds again, with a pause of 0. It may be nil.
	OnPauseChange func(pause, took time.Duration, err error)
}

// HealthChecker makes the health checks of one backend server. Callers that ask while
// a check is running share its result, and a backend server that does not answer
// delays nobody for longer than MaxWait. It is safe for concurrent use.
type HealthChecker struct {
	opts    HealthCheckerOptions
	check   func(context.Context) error
	limiter *rate.Limiter

	mu sync.Mutex
	// waiters are called when the running check ends or times out.
	waiters []func()
	// running is true while a check runs, timedOut once it took longer than MaxWait.
	running  bool
	timedOut bool
	// nextPause is the duration of the next pause; resumeAt is the end of the current one.
	nextPause time.Duration
	resumeAt  time.Time
}

// NewHealthChecker returns a checker. check makes one health check and applies its
// result before it returns.
func NewHealthChecker(opts HealthCheckerOptions, check func(context.Context) error) *HealthChecker {
	return &HealthChecker{
		opts: opts, check: check, nextPause: minCheckPause,
		limiter: rate.NewLimiter(rate.Limit(opts.MaxPerSecond), checkBurstSeconds*opts.MaxPerSecond),
	}
}

// Check starts a health check, or joins the running one, and calls done when its
// result is applied or MaxWait has passed. It returns false and never calls done when
// no check is allowed: the rate limit is reached, checks are paused after a failure, or
// the running check has already exceeded MaxWait.
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

// ForceCheck is Check without the pause and the rate limit, for the periodic liveness
// check. done is called when the result is applied or MaxWait has passed; a caller that
// joins a check which has already exceeded MaxWait waits for the end of that check.
func (c *HealthChecker) ForceCheck(done func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addWaiter(done)
}

// addWaiter adds a waiter and starts a check unless one is running. The caller holds
// the lock.
func (c *HealthChecker) addWaiter(done func()) {
	c.waiters = append(c.waiters, done)
	if c.running {
		return
	}
	c.running, c.timedOut = true, false
	go c.run()
}

// run makes one check and releases its waiters.
func (c *HealthChecker) run() {
	start := time.Now()
	timer := time.AfterFunc(c.opts.MaxWait, c.onTimeout)
	err := c.check(context.Background())
	timer.Stop()
	c.mu.Lock()
	c.running = false
	pause, changed := c.updatePause(err != nil || c.timedOut)
	waiters := c.takeWaiters()
	c.mu.Unlock()
	if changed && c.opts.OnPauseChange != nil {
		c.opts.OnPauseChange(pause, time.Since(start), err)
	}
	callAll(waiters)
}

// onTimeout releases the waiters of a check that has exceeded MaxWait.
func (c *HealthChecker) onTimeout() {
	c.mu.Lock()
	c.timedOut = c.running
	waiters := c.takeWaiters()
	c.mu.Unlock()
	callAll(waiters)
}

// updatePause sets the pause that follows a check. changed is true when checks become
// paused or are resumed. The caller holds the lock.
func (c *HealthChecker) updatePause(failed bool) (pause time.Duration, changed bool) {
	current := c.nextPause
	if !failed {
		c.nextPause, c.resumeAt = minCheckPause, time.Time{}
		return 0, current != minCheckPause
	}
	c.resumeAt = time.Now().Add(c.nextPause)
	c.nextPause = min(2*c.nextPause, maxCheckPause)
	return current, current == minCheckPause
}

// takeWaiters empties the list of waiters and returns it. The caller holds the lock.
func (c *HealthChecker) takeWaiters() []func() {
	out := c.waiters
	c.waiters = nil
	return out
}

func callAll(callbacks []func()) {
	for _, callback := range callbacks {
		callback()
	}
}
