package ingress

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/errkind"
	"github.com/rushramp/rushramp/pkg/routing"
	"github.com/rushramp/rushramp/pkg/wire"
)

func TestRepeatableRequestsRunConcurrentlyAndAreAnsweredInOrder(t *testing.T) {
	for name, send := range map[string]func(c *pipelineCaller){
		"in one packet":            func(c *pipelineCaller) { c.send(get("a") + get("b") + get("c")) },
		"one after the other":      func(c *pipelineCaller) { c.send(get("a")); c.send(get("b")); c.send(get("c")) },
		"byte by byte":             func(c *pipelineCaller) { sendByteByByte(c, get("a")+get("b")+get("c")) },
		"split in the second head": func(c *pipelineCaller) { c.send(get("a") + get("b")[:20]); c.send(get("b")[20:] + get("c")) },
	} {
		t.Run(name, func(t *testing.T) {
			withPipeline(t, eightConcurrent, func(t *testing.T, env *pipelineEnv) {
				c := env.caller()
				send(c)
				test.Eq(t, "a b c", env.backend.startedIDs())
				env.backend.answer(t, "c", "3")
				env.backend.answer(t, "b", "2")
				test.Eq(t, "", c.answers())
				env.backend.answer(t, "a", "1")
				test.Eq(t, "a1 b2 c3", c.answers())
				c.send(get("d"))
				env.backend.answer(t, "d", "4")
				test.Eq(t, "a1 b2 c3 d4", c.answers())
			})
		})
	}
}

// sendByteByByte sends each byte of text in a write of its own.
func sendByteByByte(c *pipelineCaller, text string) {
	for i := range len(text) {
		c.send(text[i : i+1])
	}
}

// TestNonRepeatableRequestRunsAlone: it starts after all earlier requests are answered, and
// no later request starts before it is answered.
func TestNonRepeatableRequestRunsAlone(t *testing.T) {
	withPipeline(t, eightConcurrent, func(t *testing.T, env *pipelineEnv) {
		c := env.caller()
		c.send(get("a") + get("b") + post("p", "body") + get("c") + get("d") + post("q", ""))
		test.Eq(t, "a b", env.backend.startedIDs())
		env.backend.answer(t, "b", "")
		synctest.Wait()
		test.Eq(t, "a b", env.backend.startedIDs())
		env.backend.answer(t, "a", "")
		synctest.Wait()
		test.Eq(t, "a b p", env.backend.startedIDs())
		env.backend.answer(t, "p", "")
		synctest.Wait()
		test.Eq(t, "a b c d p", env.backend.startedIDs())
		env.backend.answer(t, "d", "")
		env.backend.answer(t, "c", "")
		synctest.Wait()
		env.backend.answer(t, "q", "")
		test.Eq(t, "a b p c d q", c.answers())
	})
}

// TestRequestsBehindANonRepeatableOneRunConcurrently: this holds even if all of them arrive
// in one piece with the body of the non-repeatable request.
func TestRequestsBehindANonRepeatableOneRunConcurrently(t *testing.T) {
	withPipeline(t, eightConcurrent, func(t *testing.T, env *pipelineEnv) {
		c := env.caller()
		c.send(post("p", "body") + get("a") + get("b"))
		test.Eq(t, "p", env.backend.startedIDs())
		env.backend.answer(t, "p", "")
		synctest.Wait()
		test.Eq(t, "a b p", env.backend.startedIDs())
		env.backend.answer(t, "b", "")
		env.backend.answer(t, "a", "")
		test.Eq(t, "p a b", c.answers())
	})
}

func TestConcurrentRequestsAreLimited(t *testing.T) {
	scenarios := map[string]struct {
		limits     PipelineLimits
		texts      []string
		startedIDs string
	}{
		"by number": {PipelineLimits{MaxRequests: 2, MaxBytes: 64 << 10}, []string{get("a"), get("b"), get("c")}, "a b"},
		"one":       {PipelineLimits{MaxRequests: 1, MaxBytes: 64 << 10}, []string{get("a"), get("b")}, "a"},
		"by bytes":  {PipelineLimits{MaxRequests: 8, MaxBytes: 1000}, []string{paddedGet("a"), paddedGet("b"), paddedGet("c")}, "a b"},
	}
	for name, s := range scenarios {
		t.Run(name, func(t *testing.T) {
			withPipeline(t, s.limits, func(t *testing.T, env *pipelineEnv) {
				c := env.caller()
				c.send(strings.Join(s.texts, ""))
				test.Eq(t, s.startedIDs, env.backend.startedIDs())
				env.backend.answer(t, "a", "")
				test.Eq(t, "a", c.answers())
				test.Greater(t, len(s.startedIDs), len(env.backend.startedIDs()))
			})
		})
	}
}

// paddedGet returns the text of a repeatable request that takes up about 450 bytes.
func paddedGet(id string) string {
	return strings.Replace(get(id), "\r\n\r\n", "\r\nX-Pad: "+strings.Repeat("x", 430)+"\r\n\r\n", 1)
}

// TestIncompleteHeadLosesNoAnswer: like http.Server, the listener answers a head that ends
// within a line with 400 after the head timeout, and one that ends between two lines with
// nothing.
func TestIncompleteHeadLosesNoAnswer(t *testing.T) {
	firstLineEnd := strings.Index(get("c"), "\n") + 1
	for length, want := range map[int]string{firstLineEnd: "a b(close) end", firstLineEnd + 3: "a b 400(close) end"} {
		withPipeline(t, eightConcurrent, func(t *testing.T, env *pipelineEnv) {
			c := env.caller()
			c.send(get("a") + get("b") + get("c")[:length])
			time.Sleep(defaultHeadTimeout + time.Second)
			test.Eq(t, 0, env.backend.cancelCount())
			env.backend.answer(t, "b", "")
			env.backend.answer(t, "a", "")
			test.Eq(t, want, c.answers())
		})
	}
}

// TestIdleTimeoutStartsAtTheLastAnswer: a connection with unanswered requests is not idle,
// even if they run for longer than the idle timeout.
func TestIdleTimeoutStartsAtTheLastAnswer(t *testing.T) {
	withPipeline(t, eightConcurrent, func(t *testing.T, env *pipelineEnv) {
		env.limits.Store(&routing.Limits{IdleTimeout: 5 * time.Second})
		c := env.caller()
		c.send(get("a") + get("b"))
		time.Sleep(20 * time.Second)
		env.backend.answer(t, "b", "")
		env.backend.answer(t, "a", "")
		test.Eq(t, "a b", c.answers())
		time.Sleep(5 * time.Second)
		test.Eq(t, "a b", c.answers())
		time.Sleep(2 * timeoutSlack)
		test.Eq(t, "a b end", c.answers())
	})
}

// TestSlowReaderDelaysOnlyItsOwnRequests: while a caller does not read, its answers count
// towards MaxBytes, and no further request of its connection starts.
func TestSlowReaderDelaysOnlyItsOwnRequests(t *testing.T) {
	withPipeline(t, PipelineLimits{MaxRequests: 8, MaxBytes: 5000}, func(t *testing.T, env *pipelineEnv) {
		slow := env.listener.dial()
		go func() { _, _ = io.WriteString(slow.conn, get("a")+get("b")) }()
		synctest.Wait()
		env.backend.answer(t, "b", strings.Repeat("x", 6000))
		synctest.Wait()
		go func() { _, _ = io.WriteString(slow.conn, get("c")) }()
		synctest.Wait()
		test.Eq(t, "a b", env.backend.startedIDs())
		env.backend.answer(t, "a", "")
		synctest.Wait()
		test.Eq(t, "a b", env.backend.startedIDs())
		other := env.caller()
		other.send(get("o"))
		env.backend.answer(t, "o", "")
		test.Eq(t, "o", other.answers())
		for _, want := range []string{"a", "b" + strings.Repeat("x", 6000)} {
			resp, err := http.ReadResponse(slow.reader, nil)
			must.NoError(t, err)
			body, err := io.ReadAll(resp.Body)
			must.NoError(t, err)
			test.Eq(t, want, string(body))
		}
		synctest.Wait()
		test.Eq(t, "a b c o", env.backend.startedIDs())
		_ = slow.conn.Close()
	})
}

// TestContinueIsSentInOrder: a caller that sends Expect: 100-continue gets status 100 after
// the answers to all earlier requests.
func TestContinueIsSentInOrder(t *testing.T) {
	withPipeline(t, eightConcurrent, func(t *testing.T, env *pipelineEnv) {
		c := env.listener.dial()
		head := "POST /post/x HTTP/1.1\r\nHost: h\r\nRushramp-Request-Id: p\r\nContent-Length: 4\r\nExpect: 100-continue\r\n\r\n"
		go func() { _, _ = io.WriteString(c.conn, get("a")+get("b")+head) }()
		synctest.Wait()
		env.backend.answer(t, "b", "")
		env.backend.answer(t, "a", "")
		for _, want := range []int{200, 200, 100} {
			resp, err := http.ReadResponse(c.reader, nil)
			must.NoError(t, err)
			test.Eq(t, want, resp.StatusCode)
			_, _ = io.Copy(io.Discard, resp.Body)
		}
		go func() { _, _ = io.WriteString(c.conn, "body") }()
		synctest.Wait()
		test.Eq(t, "a b p", env.backend.startedIDs())
		env.backend.answer(t, "p", "")
		resp, err := http.ReadResponse(c.reader, nil)
		must.NoError(t, err)
		test.Eq(t, 200, resp.StatusCode)
		_ = c.conn.Close()
	})
}

// TestConnectionCloseOfACallerIsHonoured: the request that carries it runs concurrently
// with the earlier ones, its answer closes the connection, and no later request starts.
func TestConnectionCloseOfACallerIsHonoured(t *testing.T) {
	withPipeline(t, eightConcurrent, func(t *testing.T, env *pipelineEnv) {
		c := env.caller()
		last := strings.Replace(get("b"), "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1)
		c.send(get("a") + last + get("c"))
		test.Eq(t, "a b", env.backend.startedIDs())
		env.backend.answer(t, "b", "")
		env.backend.answer(t, "a", "")
		test.Eq(t, "a b(close) end", c.answers())
		test.Eq(t, "a b", env.backend.startedIDs())
	})
}

// TestWaitCountsTowardsTheTimeout: the timeout of a request starts when it arrives.
func TestWaitCountsTowardsTheTimeout(t *testing.T) {
	withPipeline(t, eightConcurrent, func(t *testing.T, env *pipelineEnv) {
		c := env.caller()
		p := strings.Replace(post("p", ""), "Content-Length", "Rushramp-Timeout: 3000\r\nContent-Length", 1)
		c.send(get("a") + p)
		time.Sleep(4 * time.Second)
		env.backend.answer(t, "a", "")
		test.Eq(t, fmt.Sprintf("a %d", errkind.DeadlineBeforeRun.Row().Status), c.answers())
		test.Eq(t, "a", env.backend.startedIDs())
	})
}

// TestRouteChangeDuringTheWaitApplies: request c starts after a and b are answered, because
// its route has become non-repeatable while it waited.
func TestRouteChangeDuringTheWaitApplies(t *testing.T) {
	withPipeline(t, PipelineLimits{MaxRequests: 2, MaxBytes: 64 << 10}, func(t *testing.T, env *pipelineEnv) {
		c := env.caller()
		c.send(get("a") + get("b") + get("c"))
		test.Eq(t, "a b", env.backend.startedIDs())
		env.view.SetPlacement(compilePlacement(routing.Limits{}, false))
		env.backend.answer(t, "a", "")
		synctest.Wait()
		test.Eq(t, "a b", env.backend.startedIDs())
		env.backend.answer(t, "b", "")
		synctest.Wait()
		test.Eq(t, "a b c", env.backend.startedIDs())
		env.backend.answer(t, "c", "")
		test.Eq(t, "a b c", c.answers())
	})
}

func TestPanicClosesOnlyItsConnection(t *testing.T) {
	withPipeline(t, eightConcurrent, func(t *testing.T, env *pipelineEnv) {
		c, other := env.caller(), env.caller()
		c.send(get("a") + get("b"))
		other.send(get("o"))
		kind := env.view.Service("s").Match("GET", "/")
		kind.LinkedCandidates[0].Endpoint.SetRunner(panickingRunner{})
		c.send(get("c"))
		test.Eq(t, "end", c.answers())
		test.Eq(t, 2, env.backend.cancelCount())
		env.backend.answer(t, "o", "")
		test.Eq(t, "o", other.answers())
	})
}

// panickingRunner panics in each call.
type panickingRunner struct{}

func (panickingRunner) Execute(*wire.Call, []byte, func(call.Result)) func() { panic("fault") }
