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

// TestACallerThatLeavesCancelsAllItsRuns, also with requests unread behind one
// that runs alone, none of which starts any more.
func TestACallerThatLeavesCancelsAllItsRuns(t *testing.T) {
	for name, s := range map[string]struct {
		text, starts string
		runs         int
	}{
		"side by side":             {get("a") + get("b") + get("c"), "a b c", 3},
		"unread behind one alone":  {post("p", "x") + get("a") + post("q", "x"), "p", 1},
		"waiting behind the first": {get("a") + post("p", "x") + get("b"), "a", 1},
		"a head cut in the middle": {get("a") + get("b")[:30], "a", 1},
	} {
		t.Run(name, func(t *testing.T) {
			withPipeline(t, manyBeside, func(t *testing.T, w *pipelineWorld) {
				c := w.caller()
				c.send(s.text)
				test.Eq(t, s.starts, w.backend.starts())
				c.leave()
				test.Eq(t, s.runs, w.backend.cancels())
				time.Sleep(10 * time.Second)
				test.Eq(t, s.starts, w.backend.starts())
			})
		})
	}
}

// TestACallerThatLeavesBehindAFullBoundIsNoticedOnceThereIsRoom.
func TestACallerThatLeavesBehindAFullBoundIsNoticedOnceThereIsRoom(t *testing.T) {
	withPipeline(t, PipelineLimits{MaxRequests: 2, MaxBytes: 4096}, func(t *testing.T, w *pipelineWorld) {
		c := w.caller()
		var all strings.Builder
		for i := range 60 {
			all.WriteString(big(fmt.Sprint("r", i)))
		}
		c.send(all.String())
		test.Eq(t, "r0 r1", w.backend.starts())
		c.leave()
		w.backend.answer(t, "r0", "")
		w.backend.answer(t, "r1", "")
		time.Sleep(time.Second)
		test.Less(t, 10, strings.Count(w.backend.starts(), "r"))
		w.backend.mu.Lock()
		defer w.backend.mu.Unlock()
		for id := range w.backend.running {
			test.SliceContains(t, w.backend.cancelled, id)
		}
	})
}

// TestAPlannedStopAnswersAllThatWasRead: the close is said on the last answer.
func TestAPlannedStopAnswersAllThatWasRead(t *testing.T) {
	withPipeline(t, manyBeside, func(t *testing.T, w *pipelineWorld) {
		c := w.caller()
		c.send(get("a") + get("b") + get("c"))
		w.server.StopKeepAlives()
		w.backend.answer(t, "b", "")
		w.backend.answer(t, "a", "")
		test.Eq(t, "a b", c.answers())
		w.backend.answer(t, "c", "")
		test.Eq(t, "a b c(close) end", c.answers())
	})
}

// TestNothingStartsBehindTheAnswerThatCloses: it counts as not read.
func TestNothingStartsBehindTheAnswerThatCloses(t *testing.T) {
	withPipeline(t, manyBeside, func(t *testing.T, w *pipelineWorld) {
		c := w.caller()
		c.send(get("a") + get("b"))
		w.server.StopKeepAlives()
		c.send(post("p", "x") + get("c"))
		w.backend.answer(t, "a", "")
		w.backend.answer(t, "b", "")
		synctest.Wait()
		w.backend.answer(t, "p", "")
		test.Eq(t, "a b p(close) end", c.answers())
		test.Eq(t, "a b p", w.backend.starts())
	})
}

// TestAStopWithFullPipelinesWaitsForThem, and cuts what is left in the end.
func TestAStopWithFullPipelinesWaitsForThem(t *testing.T) {
	withPipeline(t, PipelineLimits{MaxRequests: 3, MaxBytes: 64 << 10}, func(t *testing.T, w *pipelineWorld) {
		full, stuck, resting := w.caller(), w.caller(), w.caller()
		resting.send(get("r"))
		w.backend.answer(t, "r", "")
		full.send(get("a") + get("b") + get("c") + get("d"))
		stuck.send(get("s") + get("t"))
		var closed atomic.Bool
		go func() {
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			w.server.StopKeepAlives()
			w.server.Close(ctx)
			closed.Store(true)
		}()
		time.Sleep(time.Second)
		test.Eq(t, "r end", resting.answers())
		for _, id := range []string{"c", "b", "a"} {
			w.backend.answer(t, id, "")
		}
		synctest.Wait()
		if strings.Contains(w.backend.starts(), "d") {
			w.backend.answer(t, "d", "")
			test.Eq(t, "a b c d(close) end", full.answers())
		} else {
			test.Eq(t, "a b c(close) end", full.answers())
		}
		test.False(t, closed.Load())
		time.Sleep(10 * time.Second)
		test.True(t, closed.Load())
		test.Eq(t, "end", stuck.answers())
		test.Eq(t, 2, w.backend.cancels())
	})
}

func TestReplacedBoundsEndAPipelineOnItsLastAnswer(t *testing.T) {
	withPipeline(t, manyBeside, func(t *testing.T, w *pipelineWorld) {
		c := w.caller()
		c.send(get("a") + get("b"))
		w.limits.Store(&routing.Limits{IdleTimeout: time.Hour})
		w.caller()
		synctest.Wait()
		w.backend.answer(t, "a", "")
		test.Eq(t, "a", c.answers())
		w.backend.answer(t, "b", "")
		test.Eq(t, "a b(close) end", c.answers())
		test.SliceEmpty(t, w.server.acceptor.stillOpen())
	})
}
