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

// TestAnAnswerIsNotLostToACloseThatCameBehindTheOneBefore plays one order of two
// goroutines: the run of a has written the last answer there was and is about to
// look whether the connection is over (conn.finish, between turns.finish and
// allAnswered); just then the server places b, whose handler said Connection: close,
// and closes the connection for reading.
func TestAnAnswerIsNotLostToACloseThatCameBehindTheOneBefore(t *testing.T) {
	server, client := net.Pipe()
	c := newPipelinedConn(server, connOptions{
		idleTimeout: time.Minute, limits: eightConcurrent,
		closeAfterAnswer: func() bool { return false }, onClosed: func(int, int) {},
	})
	got := make(chan string, 2)
	go func() {
		defer close(got)
		reader := bufio.NewReader(client)
		for range 2 {
			resp, err := http.ReadResponse(reader, nil)
			if err != nil {
				return
			}
			got <- resp.Header.Get("Id")
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
	test.Eq(t, "a", <-got)

	b := c.detach(1, true)
	must.NoError(t, c.Close())

	c.onQueueEmpty()
	c.deliver(b, answerOf("b"))
	test.Eq(t, "b", <-got)
}
