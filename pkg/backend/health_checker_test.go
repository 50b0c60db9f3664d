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

// fakeHealthPath is a health path that takes some time to answer, or fails.
type fakeHealthPath struct {
	calls atomic.Int64
	delay time.Duration
	err   error
}

func (p *fakeHealthPath) check(context.Context) error {
	p.calls.Add(1)
	time.Sleep(p.delay)
	return p.err
}

const maxWait = 8 * time.Millisecond

func newTestChecker(path *fakeHealthPath, maxPerSecond int) *HealthChecker {
	return NewHealthChecker(HealthCheckerOptions{MaxWait: maxWait, MaxPerSecond: maxPerSecond}, path.check)
}

func TestConcurrentCallersShareOneCheck(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		path := &fakeHealthPath{delay: time.Millisecond}
		checker := newTestChecker(path, 40)
		var released atomic.Int64
		for range 5 {
			test.True(t, checker.Check(func() { released.Add(1) }))
		}
		time.Sleep(2 * time.Millisecond)
		test.Eq(t, 1, path.calls.Load())
		test.Eq(t, 5, released.Load())
	})
}

func TestCheckKeepsToTheRateLimit(t *testing.T) {
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

// TestHangingHealthPathDelaysCallersByMaxWaitOnly also checks that nobody waits again
// until a pause has passed, and that pauses grow.
func TestHangingHealthPathDelaysCallersByMaxWaitOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		path := &fakeHealthPath{delay: 400 * time.Millisecond}
		checker := newTestChecker(path, 40)
		start := time.Now()
		var mu sync.Mutex
		var waited []time.Duration
		for time.Since(start) < 4*time.Second {
			askedAt := time.Now()
			checker.Check(func() {
				mu.Lock()
				defer mu.Unlock()
				waited = append(waited, time.Since(askedAt))
			})
			time.Sleep(3 * time.Millisecond)
		}
		mu.Lock()
		defer mu.Unlock()
		for _, w := range waited {
			test.LessEq(t, maxWait, w)
		}
		// Checks began at 0, 0.9 and 2.3 s; three callers joined each before it timed out.
		test.Eq(t, 3, path.calls.Load())
		test.Len(t, 9, waited)
	})
}

func TestFailedCheckPausesAndGoodCheckResumes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		path := &fakeHealthPath{err: errors.New("reset")}
		checker := newTestChecker(path, 40)
		check := func() bool {
			allowed := checker.Check(func() {})
			synctest.Wait()
			return allowed
		}
		test.True(t, check())
		test.False(t, check())
		time.Sleep(minCheckPause)
		path.err = nil
		test.True(t, check())
		test.True(t, check())
	})
}

// TestForceCheckIgnoresPauseAndRateLimit: the liveness check has a pace of its own.
func TestForceCheckIgnoresPauseAndRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		path := &fakeHealthPath{err: errors.New("refused")}
		checker := newTestChecker(path, 0)
		test.False(t, checker.Check(func() {}), test.Sprint("the rate limit is 0"))
		for range 3 {
			checker.ForceCheck(func() {})
			synctest.Wait()
		}
		test.Eq(t, 3, path.calls.Load())
	})
}

// TestGoodForceCheckEndsPause: a backend server refuses connections while it starts, and
// answers then.
func TestGoodForceCheckEndsPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		path := &fakeHealthPath{err: errors.New("refused")}
		var pauses []time.Duration
		checker := NewHealthChecker(HealthCheckerOptions{
			MaxWait: maxWait, MaxPerSecond: 40,
			OnPauseChange: func(pause, _ time.Duration, _ error) { pauses = append(pauses, pause) },
		}, path.check)
		forceCheck := func() {
			checker.ForceCheck(func() {})
			synctest.Wait()
		}
		for range 10 {
			forceCheck()
		}
		test.False(t, checker.Check(func() {}))
		path.err = nil
		forceCheck()
		test.True(t, checker.Check(func() {}))
		test.Eq(t, []time.Duration{minCheckPause, 0}, pauses)
	})
}
