package ingress

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"

	"github.com/rushramp/rushramp/pkg/routing"
)

// TestDisconnectCancelsAllRuns also checks that requests that wait, or that are not read
// yet, never start.
func TestDisconnectCancelsAllRuns(t *testing.T) {
	for name, s := range map[string]struct {
		text, startedIDs string
		cancelled        int
	}{
		"concurrent": {get("a") + get("b") + get("c"), "a b c", 3},
		"unread behind one that is not repeatable": {post("p", "x") + get("a") + post("q", "x"), "p", 1},
		"waiting behind the first":                 {get("a") + post("p", "x") + get("b"), "a", 1},
		"an incomplete head":                       {get("a") + get("b")[:30], "a", 1},
	} {
		t.Run(name, func(t *testing.T) {
			withPipeline(t, eightConcurrent, func(t *testing.T, env *pipelineEnv) {
				c := env.caller()
				c.send(s.text)
				test.Eq(t, s.startedIDs, env.backend.startedIDs())
				c.disconnect()
				test.Eq(t, s.cancelled, env.backend.cancelCount())
				time.Sleep(10 * time.Second)
				test.Eq(t, s.startedIDs, env.backend.startedIDs())
			})
		})
	}
}

// TestDisconnectBehindAFullBufferIsNoticedOnceItHasSpace: an in-memory pipe is not a
// socket, so peerClosed cannot notice the disconnect while the buffer is full.
func TestDisconnectBehindAFullBufferIsNoticedOnceItHasSpace(t *testing.T) {
	withPipeline(t, PipelineLimits{MaxRequests: 2, MaxBytes: 4096}, func(t *testing.T, env *pipelineEnv) {
		c := env.caller()
		var all strings.Builder
		for i := range 60 {
			all.WriteString(paddedGet(fmt.Sprint("r", i)))
		}
		c.send(all.String())
		test.Eq(t, "r0 r1", env.backend.startedIDs())
		c.disconnect()
		env.backend.answer(t, "r0", "")
		env.backend.answer(t, "r1", "")
		time.Sleep(time.Second)
		test.Less(t, 10, strings.Count(env.backend.startedIDs(), "r"))
		env.backend.mu.Lock()
		defer env.backend.mu.Unlock()
		for id := range env.backend.running {
			test.SliceContains(t, env.backend.cancelled, id)
		}
	})
}

// TestPlannedStopAnswersAllRequestsRead: only the last answer closes the connection.
func TestPlannedStopAnswersAllRequestsRead(t *testing.T) {
	withPipeline(t, eightConcurrent, func(t *testing.T, env *pipelineEnv) {
		c := env.caller()
		c.send(get("a") + get("b") + get("c"))
		env.server.StopKeepAlives()
		env.backend.answer(t, "b", "")
		env.backend.answer(t, "a", "")
		test.Eq(t, "a b", c.answers())
		env.backend.answer(t, "c", "")
		test.Eq(t, "a b c(close) end", c.answers())
	})
}

// TestNoRequestStartsAfterTheClosingAnswer: a request behind the answer that closes the
// connection counts as not read.
func TestNoRequestStartsAfterTheClosingAnswer(t *testing.T) {
	withPipeline(t, eightConcurrent, func(t *testing.T, env *pipelineEnv) {
		c := env.caller()
		c.send(get("a") + get("b"))
		env.server.StopKeepAlives()
		c.send(post("p", "x") + get("c"))
		env.backend.answer(t, "a", "")
		env.backend.answer(t, "b", "")
		synctest.Wait()
		env.backend.answer(t, "p", "")
		test.Eq(t, "a b p(close) end", c.answers())
		test.Eq(t, "a b p", env.backend.startedIDs())
	})
}

// TestCloseWaitsForRunningPipelines: Close waits until its context ends, and then aborts and closes
// the connections that are left.
func TestCloseWaitsForRunningPipelines(t *testing.T) {
	withPipeline(t, PipelineLimits{MaxRequests: 3, MaxBytes: 64 << 10}, func(t *testing.T, env *pipelineEnv) {
		full, stuck, idle := env.caller(), env.caller(), env.caller()
		idle.send(get("r"))
		env.backend.answer(t, "r", "")
		full.send(get("a") + get("b") + get("c") + get("d"))
		stuck.send(get("s") + get("t"))
		var closed atomic.Bool
		go func() {
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			env.server.StopKeepAlives()
			env.server.Close(ctx)
			closed.Store(true)
		}()
		time.Sleep(time.Second)
		test.Eq(t, "r end", idle.answers())
		for _, id := range []string{"c", "b", "a"} {
			env.backend.answer(t, id, "")
		}
		synctest.Wait()
		if strings.Contains(env.backend.startedIDs(), "d") {
			env.backend.answer(t, "d", "")
			test.Eq(t, "a b c d(close) end", full.answers())
		} else {
			test.Eq(t, "a b c(close) end", full.answers())
		}
		test.False(t, closed.Load())
		time.Sleep(10 * time.Second)
		test.True(t, closed.Load())
		test.Eq(t, "502 502(close) end", stuck.answers())
		test.Eq(t, 2, env.backend.cancelCount())
	})
}

func TestNewLimitsCloseAPipelineAfterItsLastAnswer(t *testing.T) {
	withPipeline(t, eightConcurrent, func(t *testing.T, env *pipelineEnv) {
		c := env.caller()
		c.send(get("a") + get("b"))
		env.limits.Store(&routing.Limits{IdleTimeout: time.Hour})
		env.caller()
		synctest.Wait()
		env.backend.answer(t, "a", "")
		test.Eq(t, "a", c.answers())
		env.backend.answer(t, "b", "")
		test.Eq(t, "a b(close) end", c.answers())
		test.SliceEmpty(t, env.server.acceptor.retiredWithConns())
	})
}
