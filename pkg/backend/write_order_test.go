package backend

import (
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// endedConn is a connection that has ended for its reader while a write is under way, which ends
// with what writeEnds receives.
type endedConn struct {
	net.Conn
	received  io.Reader
	writeEnds chan error
}

func (c *endedConn) Read(p []byte) (int, error)  { return c.received.Read(p) }
func (c *endedConn) Write(p []byte) (int, error) { return len(p), <-c.writeEnds }
func (c *endedConn) Close() error                { return nil }

// TestTheEndIsSeenBeforeTheWritersError: the reader waits with a body that has no length, and does
// not with others.
func TestTheEndIsSeenBeforeTheWritersError(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nRushramp-Request-Id: r\r\n"
	for name, s := range map[string]struct {
		received          string
		writeErr          error
		waits, isAnswered bool
	}{
		"reset":         {head + "\r\nbody", errors.New("connection reset by peer"), true, false},
		"written whole": {head + "\r\nbody", nil, true, true},
		"a length":      {head + "Content-Length: 4\r\n\r\nbody", errors.New("connection reset by peer"), false, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				writeEnds := make(chan error)
				opts := TransportOptions{Headers: DefaultHeaders(), MaxBodyBytes: 1 << 20, Answers: NewAnswerBudget(1<<20, metrics.NewSet())}
				// The reader starts with the connection, so it gets the response after the exchange has started.
				reader, writer := io.Pipe()
				c := newConn(&endedConn{received: reader, writeEnds: writeEnds}, &opts)
				ex := newExchange(&Request{ID: "r", Method: "POST"})
				must.True(t, c.startExchange(ex))
				go ex.write(c, nil, nil)
				_, _ = io.Copy(writer, strings.NewReader(s.received))
				_ = writer.Close()
				synctest.Wait()
				test.Eq(t, s.waits, len(ex.response)+len(ex.failure) == 0)
				writeEnds <- s.writeErr
				synctest.Wait()
				must.Eq(t, 1, len(ex.response)+len(ex.failure))
				test.Eq(t, s.isAnswered, len(ex.response) == 1)
			})
		})
	}
}
