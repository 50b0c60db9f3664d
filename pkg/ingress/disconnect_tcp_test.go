package ingress

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/rushramp/rushramp/pkg/call"
)

// startOnTCP starts a server on a loopback socket, for tests with resets and half-closes
// of TCP. dial opens a connection to it.
func startOnTCP(t *testing.T, limits PipelineLimits) (env *pipelineEnv, dial func() *net.TCPConn) {
	env = newPipelineEnv(t, limits)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	env.server.serveListener(l)
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		env.server.Close(ctx)
	})
	return env, func() *net.TCPConn {
		c, err := net.Dial("tcp", l.Addr().String())
		must.NoError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		return c.(*net.TCPConn)
	}
}

// waitUntil waits until condition is true; what names it in the message of a failure.
func waitUntil(t *testing.T, what string, condition func() bool) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(condition), wait.Timeout(10*time.Second), wait.Gap(time.Millisecond)), must.Sprint(what))
}

// readAnswers reads answers until the connection ends, and returns their statuses and
// bodies.
func readAnswers(t *testing.T, c net.Conn) (statuses []int, bodies []string) {
	reader := bufio.NewReader(c)
	for {
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			test.ErrorIs(t, err, io.ErrUnexpectedEOF)
			return statuses, bodies
		}
		body, err := io.ReadAll(resp.Body)
		must.NoError(t, err)
		statuses, bodies = append(statuses, resp.StatusCode), append(bodies, string(body))
	}
}

// TestHalfCloseCountsAsDisconnect: like http.Server, the listener cancels the runs of a
// caller that closes its sending half. The caller still gets an answer to each request.
func TestHalfCloseCountsAsDisconnect(t *testing.T) {
	env, dial := startOnTCP(t, eightConcurrent)
	c := dial()
	_, err := io.WriteString(c, get("a")+get("b"))
	must.NoError(t, err)
	waitUntil(t, "both run", func() bool { return env.backend.startedIDs() == "a b" })
	must.NoError(t, c.CloseWrite())
	statuses, _ := readAnswers(t, c)
	test.Eq(t, []int{499, 499}, statuses)
	test.Eq(t, 2, env.backend.cancelCount())
}

// TestResetCancelsRuns also checks that a request that waits does not start.
func TestResetCancelsRuns(t *testing.T) {
	env, dial := startOnTCP(t, eightConcurrent)
	c := dial()
	_, err := io.WriteString(c, get("a")+get("b")+post("p", "x"))
	must.NoError(t, err)
	waitUntil(t, "both run", func() bool { return env.backend.startedIDs() == "a b" })
	must.NoError(t, c.SetLinger(0))
	must.NoError(t, c.Close())
	waitUntil(t, "both are cancelled", func() bool { return env.backend.cancelCount() == 2 })
	test.Eq(t, "a b", env.backend.startedIDs())
}

// TestDisconnectBehindUnreadBytesIsNoticed: the caller has sent more bytes than are read
// ahead, so that only peerClosed can notice its disconnect. No waiting request starts.
func TestDisconnectBehindUnreadBytesIsNoticed(t *testing.T) {
	env, dial := startOnTCP(t, PipelineLimits{MaxRequests: 8, MaxBytes: 4096})
	c := dial()
	_, err := io.WriteString(c, post("p", "x")+strings.Repeat(post("q", strings.Repeat("x", 900)), 30))
	must.NoError(t, err)
	waitUntil(t, "the first runs", func() bool { return env.backend.startedIDs() == "p" })
	must.NoError(t, c.Close())
	waitUntil(t, "it is cancelled", func() bool { return env.backend.cancelCount() == 1 })
	test.Eq(t, "p", env.backend.startedIDs())
}

// TestUnreadBytesDestroyNoAnswer: a caller that has sent requests behind the one whose
// answer closes the connection receives all answers whole.
func TestUnreadBytesDestroyNoAnswer(t *testing.T) {
	env, dial := startOnTCP(t, eightConcurrent)
	c := dial()
	_, err := io.WriteString(c, get("a")+get("b"))
	must.NoError(t, err)
	waitUntil(t, "both run", func() bool { return env.backend.startedIDs() == "a b" })
	env.server.StopKeepAlives()
	suffix := strings.Repeat("x", 300<<10)
	stop := env.backend.answerAll(suffix)
	defer stop()
	_, err = io.WriteString(c, strings.Repeat(post("behind", strings.Repeat("y", 900)), 100))
	must.NoError(t, err)
	statuses, bodies := readAnswers(t, c)
	test.Greater(t, 1, len(statuses))
	for i, body := range bodies {
		test.Eq(t, 200, statuses[i])
		test.Greater(t, len(suffix), len(body))
	}
	test.Eq(t, len(strings.Fields(env.backend.startedIDs())), len(statuses))
}

// answerAll answers all running calls and, until stop is called, each new one. The body of
// an answer is the id of its request and suffix.
func (b *fakeBackend) answerAll(suffix string) (stop func()) {
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(time.Millisecond):
			}
			b.mu.Lock()
			running := b.running
			b.running = map[string]*fakeRun{}
			b.mu.Unlock()
			for id, run := range running {
				run.onDone(call.Result{Offered: true, Answer: &call.Answer{Status: 200, Body: []byte(id + suffix)}})
			}
		}
	}()
	return func() { close(done) }
}
