package backend

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test"
)

// fakeHealthPath is a health path that answers after a while, or fails.
type fakeHealthPath struct {
	calls  atomic.Int64
	delay time.Duration
	err   error
}

func (c *fakeHealthPath) check(context.Context) error {
	c.calls.Add(1)
	time.Sleep(c.delay)
	return c.err
}

const maxWait = 8 * time.Millisecond

func newTestChecker(c *fakeHealthPath, perSecond int) *HealthChecker {
	return NewHealthChecker(HealthCheckerOptions{MaxWait: maxWait, MaxPerSecond: perSecond}, c.check)
}

func TestAChecksAnswerIsShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		path := &fakeHealthPath{delay: time.Millisecond}
		checker := newTestChecker(path, 40)
		var told atomic.Int64
		for range 5 {
			test.True(t, checker.Check(func() { told.Add(1) }))
		}
		time.Sleep(2 * time.Millisecond)
		test.Eq(t, 1, path.calls.Load())
		test.Eq(t, 5, told.Load())
	})
}

func TestChecksKeepToTheirRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		path := &fakeHealthPath{}
		checker := newTestChecker(path, 40)
		const seconds = 20
		for range seconds * 1000 {
			checker.Check(func() {})
			time.Sleep(time.Millisecond)
		}
		test.Between(t, seconds*39, path.calls.Load(), (seconds+checkBurstSeconds)*40)
	})
}

// TestAHungHealthPathHoldsNobodyUp: those who wait go on after a few
// milliseconds, and nobody waits again before a pause, which grows.
func TestAHungHealthPathHoldsNobodyUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		path := &fakeHealthPath{delay: 400 * time.Millisecond}
		checker := newTestChecker(path, 40)
		began := time.Now()
		var mu sync.Mutex
		var waited []time.Duration
		for time.Since(began) < 4*time.Second {
			asked := time.Now()
			checker.Check(func() {
				mu.Lock()
				defer mu.Unlock()
				waited = append(waited, time.Since(asked))
			})
			time.Sleep(3 * time.Millisecond)
		}
		mu.Lock()
		defer mu.Unlock()
		for _, w := range waited {
			test.LessEq(t, maxWait, w)
		}
		// Begun at 0, 0.9 and 2.3 s; three callers each came before it was late.
		test.Eq(t, 3, path.calls.Load())
		test.Len(t, 9, waited)
	})
}

func TestAFailedCheckPausesAndAGoodOneEndsThat(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		path := &fakeHealthPath{err: errors.New("reset")}
		checker := newTestChecker(path, 40)
		ask := func() bool {
			allowed := checker.Check(func() {})
			synctest.Wait()
			return allowed
		}
		test.True(t, ask())
		test.False(t, ask())
		time.Sleep(minCheckPause)
		path.err = nil
		test.True(t, ask())
		test.True(t, ask())
	})
}

// TestTheWatchIsNotPaused: whether the backend server lives is asked at another
// pace than how fast it is.
func TestTheWatchIsNotPaused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		path := &fakeHealthPath{err: errors.New("refused")}
		checker := newTestChecker(path, 0)
		test.False(t, checker.Check(func() {}), test.Sprint("no rate is allowed"))
		for range 3 {
			checker.ForceCheck(func() {})
			synctest.Wait()
		}
		test.Eq(t, 3, path.calls.Load())
	})
}

// TestTheWatchEndsAPause: a backend server that has just started refused
// connections for a second, and answers now.
func TestTheWatchEndsAPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		path := &fakeHealthPath{err: errors.New("refused")}
		var pauses []time.Duration
		checker := NewHealthChecker(HealthCheckerOptions{
			MaxWait: maxWait, MaxPerSecond: 40,
			OnPauseChange: func(pause, _ time.Duration, _ error) { pauses = append(pauses, pause) },
		}, path.check)
		watch := func() {
			checker.ForceCheck(func() {})
			synctest.Wait()
		}
		for range 10 {
			watch()
		}
		test.False(t, checker.Check(func() {}))
		path.err = nil
		watch()
		test.True(t, checker.Check(func() {}))
		test.Eq(t, []time.Duration{minCheckPause, 0}, pauses)
	})
}
