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

// onNetwork starts a server on a loopback socket, where resets and half-closes
// are those of TCP.
func startOnTCP(t *testing.T, bounds PipelineLimits) (env *pipelineEnv, dial func() *net.TCPConn) {
	env = newPipelineEnv(t, bounds)
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

// until waits for something that other goroutines bring about.
func waitUntil(t *testing.T, what string, done func() bool) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(done), wait.Timeout(10*time.Second), wait.Gap(time.Millisecond)), must.Sprint(what))
}

// statuses reads answers until the connection ends.
func readAnswers(t *testing.T, c net.Conn) (out []int, bodies []string) {
	reader := bufio.NewReader(c)
	for {
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			test.ErrorIs(t, err, io.ErrUnexpectedEOF)
			return out, bodies
		}
		body, err := io.ReadAll(resp.Body)
		must.NoError(t, err)
		out, bodies = append(out, resp.StatusCode), append(bodies, string(body))
	}
}

// TestAHalfCloseIsALeaving, as with the standard server: runs are cancelled, and
// the caller is still told so.
func TestAHalfCloseIsALeaving(t *testing.T) {
	env, dial := startOnTCP(t, eightConcurrent)
	c := dial()
	_, err := io.WriteString(c, get("a")+get("b"))
	must.NoError(t, err)
	waitUntil(t, "both run", func() bool { return env.backend.startedIDs() == "a b" })
	must.NoError(t, c.CloseWrite())
	got, _ := readAnswers(t, c)
	test.Eq(t, []int{499, 499}, got)
	test.Eq(t, 2, env.backend.cancelCount())
}

// TestAResetCancels, also of requests that are not read yet.
func TestAResetCancels(t *testing.T) {
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

// TestALeavingBehindUnreadBytesIsNoticed: with more unread bytes than are read
// ahead, the kernel is asked; nothing that waits starts any more.
func TestALeavingBehindUnreadBytesIsNoticed(t *testing.T) {
	env, dial := startOnTCP(t, PipelineLimits{MaxRequests: 8, MaxBytes: 4096})
	c := dial()
	_, err := io.WriteString(c, post("p", "x")+strings.Repeat(post("q", strings.Repeat("x", 900)), 30))
	must.NoError(t, err)
	waitUntil(t, "the first runs", func() bool { return env.backend.startedIDs() == "p" })
	must.NoError(t, c.Close())
	waitUntil(t, "it is cancelled", func() bool { return env.backend.cancelCount() == 1 })
	test.Eq(t, "p", env.backend.startedIDs())
}

// TestUnreadBytesDestroyNoAnswer: a caller that has sent more behind the last
// answer gets all answers whole, however late it reads them.
func TestUnreadBytesDestroyNoAnswer(t *testing.T) {
	env, dial := startOnTCP(t, eightConcurrent)
	c := dial()
	_, err := io.WriteString(c, get("a")+get("b"))
	must.NoError(t, err)
	waitUntil(t, "both run", func() bool { return env.backend.startedIDs() == "a b" })
	env.server.StopKeepAlives()
	long := strings.Repeat("x", 300<<10)
	stop := env.backend.answerAll(long)
	defer stop()
	_, err = io.WriteString(c, strings.Repeat(post("behind", strings.Repeat("y", 900)), 100))
	must.NoError(t, err)
	got, bodies := readAnswers(t, c)
	test.Greater(t, 1, len(got))
	for i, body := range bodies {
		test.Eq(t, 200, got[i])
		test.Greater(t, len(long), len(body))
	}
	test.Eq(t, len(strings.Fields(env.backend.startedIDs())), len(got))
}

// answerAll answers each call at once from now on, those that run already too.
func (b *fakeBackend) answerAll(text string) (stop func()) {
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
				run.done(call.Result{Offered: true, Answer: &call.Answer{Status: 200, Body: []byte(id + text)}})
			}
		}
	}()
	return func() { close(done) }
}
