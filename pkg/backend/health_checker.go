package backend

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// checkPause is how long nothing is asked after a check that failed or that
	// outlasted CheckerOptions.Within; it doubles up to longestCheckPause while
	// checks go on failing, and ends with the first that does not: the watch goes
	// on asking. A backend server that hangs costs each starting
	// request Within once a pause.
	checkPause        = 500 * time.Millisecond
	longestCheckPause = 8 * time.Second
	// checkBurst is how many seconds of checks may be saved up: spells of noise
	// come in groups.
	checkBurst = 2
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
	limit *rate.Limiter

	mu sync.Mutex
	// waiting are those who wait for the check under way.
	waiting []func()
	// busy is true while a check is under way, late once it outlasted Within.
	busy bool
	late bool
	// pause is the length of the next pause; resumeAt ends the present one.
	pause    time.Duration
	resumeAt time.Time
}

// NewHealthChecker makes a checker. check asks once, and takes the answer over before
// it returns.
func NewHealthChecker(opts HealthCheckerOptions, check func(context.Context) error) *HealthChecker {
	return &HealthChecker{
		opts: opts, check: check, pause: checkPause,
		limit: rate.NewLimiter(rate.Limit(opts.MaxPerSecond), checkBurst*opts.MaxPerSecond),
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
	case c.busy && c.late:
		return false
	case !c.busy && (now.Before(c.resumeAt) || !c.limit.AllowN(now, 1)):
		return false
	}
	c.join(done)
	return true
}

// ForceCheck has the backend server asked by those who follow whether it lives, at
// a pace of their own: no pause and no rate holds for them. done is called when
// the answer was taken over or Within has passed; for one who joins a check that
// has outlasted Within, when that check ends.
func (c *HealthChecker) ForceCheck(done func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.join(done)
}

// join adds one who waits, and begins a check where none is under way; the lock
// is held.
func (c *HealthChecker) join(done func()) {
	c.waiting = append(c.waiting, done)
	if c.busy {
		return
	}
	c.busy, c.late = true, false
	go c.run()
}

// run makes one check.
func (c *HealthChecker) run() {
	began := time.Now()
	timer := time.AfterFunc(c.opts.MaxWait, c.giveUp)
	err := c.check(context.Background())
	timer.Stop()
	c.mu.Lock()
	c.busy = false
	pause, turned := c.notePause(err != nil || c.late)
	waiting := c.take()
	c.mu.Unlock()
	if turned && c.opts.OnPauseChange != nil {
		c.opts.OnPauseChange(pause, time.Since(began), err)
	}
	callAll(waiting)
}

// giveUp lets those go on who wait for a check that outlasts its time.
func (c *HealthChecker) giveUp() {
	c.mu.Lock()
	c.late = c.busy
	waiting := c.take()
	c.mu.Unlock()
	callAll(waiting)
}

// notePause sets the pause that follows a check; the lock is held. turned is true
// when checks begin to be paused, or are no longer.
func (c *HealthChecker) notePause(failed bool) (pause time.Duration, turned bool) {
	before := c.pause
	if !failed {
		c.pause, c.resumeAt = checkPause, time.Time{}
		return 0, before != checkPause
	}
	c.resumeAt = time.Now().Add(c.pause)
	c.pause = min(2*c.pause, longestCheckPause)
	return before, before == checkPause
}

// take empties the list of those who wait; the lock is held.
func (c *HealthChecker) take() []func() {
	out := c.waiting
	c.waiting = nil
	return out
}

func callAll(all []func()) {
	for _, done := range all {
		done()
	}
}
