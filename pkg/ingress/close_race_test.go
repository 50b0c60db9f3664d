package ingress

import (
	"bufio"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// TestCloseBehindAnAnswerDoesNotLoseTheNextOne replays one interleaving of two goroutines.
// The goroutine that answers request a has emptied the queue and is about to check whether
// the connection is finished (in pipelinedConn.deliver, between answerQueue.deliver and
// onQueueEmpty). At that moment the handler of request b, which asks for Connection: close,
// detaches b, and http.Server closes the connection. The answer to b must still be written.
func TestCloseBehindAnAnswerDoesNotLoseTheNextOne(t *testing.T) {
	server, client := net.Pipe()
	c := newPipelinedConn(server, connOptions{
		idleTimeout: time.Minute, limits: eightConcurrent,
		closeAfterAnswer: func() bool { return false }, onClosed: func(int, int) {},
	})
	answeredIDs := make(chan string, 2)
	go func() {
		defer close(answeredIDs)
		reader := bufio.NewReader(client)
		for range 2 {
			resp, err := http.ReadResponse(reader, nil)
			if err != nil {
				return
			}
			answeredIDs <- resp.Header.Get("Id")
		}
	}()
	answerOf := func(id string) *bufferedAnswer {
		out := newBufferedAnswer("GET")
		out.Header().Set("Id", id)
		out.Header().Set("Content-Length", "0")
		out.WriteHeader(200)
		return out
	}
	a := c.detach(1, false)
	empty, err := c.answers.deliver(a, answerOf("a"))
	must.NoError(t, err)
	must.True(t, empty)
	test.Eq(t, "a", <-answeredIDs)

	b := c.detach(1, true)
	must.NoError(t, c.Close())

	c.onQueueEmpty()
	c.deliver(b, answerOf("b"))
	test.Eq(t, "b", <-answeredIDs)
}
