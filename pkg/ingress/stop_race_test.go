package ingress

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"testing"

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
