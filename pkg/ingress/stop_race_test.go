package ingress

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// TestNoRequestStartsOnAClosingConnection replays one interleaving: a planned stop closes an idle
// connection whose next request http.Server has just read. The request was sent to a
// backend server although its answer could not be written any more.
func TestNoRequestStartsOnAClosingConnection(t *testing.T) {
	env, dial := startOnTCP(t, eightConcurrent)
	caller := dial()
	_, err := io.WriteString(caller, get("a")+get("b"))
	must.NoError(t, err)
	waitUntil(t, "both run", func() bool { return env.backend.startedIDs() == "a b" })
	env.backend.answer(t, "a", "")
	env.backend.answer(t, "b", "")
	reader := bufio.NewReader(caller)
	for range 2 {
		resp, err := http.ReadResponse(reader, nil)
		must.NoError(t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		must.NoError(t, err)
	}
	conn := env.server.acceptor.servers()[0].openConns()[0]
	waitUntil(t, "the connection is idle", func() bool {
		_, idle := conn.answers.lastAnswer()
		return idle
	})
	conn.closeIfIdle()
	_, ok := conn.answers.waitToStart(context.Background(), true, 1)
	test.False(t, ok)
}

// TestIdleCloseSparesAStartedRequest replays the other order: a connection that was found idle was
// closed although its next request had started meanwhile.
func TestIdleCloseSparesAStartedRequest(t *testing.T) {
	withPipeline(t, eightConcurrent, func(t *testing.T, env *pipelineEnv) {
		c := env.caller()
		c.send(post("a", "x"))
		conn := env.server.acceptor.servers()[0].openConns()[0]
		conn.onState(http.StateIdle)
		_, ok := conn.answers.waitToStart(context.Background(), false, 1)
		must.True(t, ok)
		conn.closeIfIdle()
		env.backend.answer(t, "a", "")
		test.Eq(t, "a", c.answers())
	})
}

// TestRequestSentDuringAnAnswerDoesNotResetIt: an answer that closes its connection was reset by
// the bytes of a request that the caller had sent while it received the answer.
func TestRequestSentDuringAnAnswerDoesNotResetIt(t *testing.T) {
	for name, text := range map[string]string{"repeatable": get("a"), "not repeatable": post("a", "x")} {
		t.Run(name, func(t *testing.T) {
			env, dial := startOnTCP(t, eightConcurrent)
			caller := dial()
			_, err := io.WriteString(caller, text)
			must.NoError(t, err)
			waitUntil(t, "the request runs", func() bool { return env.backend.startedIDs() == "a" })
			env.server.StopKeepAlives()
			// More than the buffers of both sockets hold.
			const size = 16 << 20
			go env.backend.answer(t, "a", strings.Repeat("x", size))
			reader := bufio.NewReader(caller)
			resp, err := http.ReadResponse(reader, nil)
			must.NoError(t, err)
			_, err = io.WriteString(caller, post("b", "x"))
			must.NoError(t, err)
			var received int64
			for err == nil {
				var n int64
				n, err = io.CopyN(io.Discard, resp.Body, 256<<10)
				received += n
				time.Sleep(time.Millisecond)
			}
			test.ErrorIs(t, err, io.EOF)
			test.Eq(t, resp.ContentLength, received)
			test.Eq(t, "a", env.backend.startedIDs())
		})
	}
}
