package ingress

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/rushramp/rushramp/pkg/routing"
)

// pipeListener is a listener whose connections are pipes in memory, so that
// tests run under the fake clock.
type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
}

func (p *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

func (p *pipeListener) Close() error   { close(p.done); return nil }
func (p *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// dial opens a connection to the listener.
func (p *pipeListener) dial() *pipeCaller {
	near, far := net.Pipe()
	p.conns <- far
	return &pipeCaller{conn: near, reader: bufio.NewReader(near)}
}

type pipeCaller struct {
	conn   net.Conn
	reader *bufio.Reader
}

// get sends a request, with a head of the given size besides, and reads the
// answer.
func (c *pipeCaller) get(t *testing.T, headBytes int) *http.Response {
	t.Helper()
	_ = c.conn.SetReadDeadline(time.Time{})
	go func() {
		_, _ = io.WriteString(c.conn, "GET / HTTP/1.1\r\nHost: h\r\nX-Pad: "+strings.Repeat("x", headBytes)+"\r\n\r\n")
	}()
	resp, err := http.ReadResponse(c.reader, nil)
	must.NoError(t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	must.NoError(t, err)
	return resp
}

// endsWithin tells whether the server ends the connection in that time.
func (c *pipeCaller) closesWithin(d time.Duration) bool {
	_ = c.conn.SetReadDeadline(time.Now().Add(d))
	_, err := io.Copy(io.Discard, c.reader)
	return err == nil
}

// withAcceptor runs a test against an acceptor under the fake clock.
func withAcceptor(t *testing.T, run func(t *testing.T, limits *atomic.Pointer[routing.Limits], l *pipeListener, a *acceptor)) {
	synctest.Test(t, func(t *testing.T) {
		var limits atomic.Pointer[routing.Limits]
		limits.Store(&routing.Limits{})
		l := &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
		handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
		a := newAcceptor(l, handler, func() routing.Limits { return *limits.Load() })
		go a.run()
		run(t, &limits, l, a)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		a.shutdown(ctx)
		synctest.Wait()
	})
}

func TestAHeadOverThePlacementsBoundIsRefused(t *testing.T) {
	withAcceptor(t, func(t *testing.T, limits *atomic.Pointer[routing.Limits], l *pipeListener, _ *acceptor) {
		limits.Store(&routing.Limits{MaxHeaderBytes: 2000})
		test.Eq(t, http.StatusOK, l.dial().get(t, 1500).StatusCode)
		test.Eq(t, http.StatusRequestHeaderFieldsTooLarge, l.dial().get(t, 10_000).StatusCode)
	})
}

func TestAHeadThatTakesTooLongEndsItsConnection(t *testing.T) {
	withAcceptor(t, func(t *testing.T, limits *atomic.Pointer[routing.Limits], l *pipeListener, _ *acceptor) {
		limits.Store(&routing.Limits{HeaderTimeout: 3 * time.Second})
		slow := l.dial()
		_, err := io.WriteString(slow.conn, "GET / HT")
		must.NoError(t, err)
		test.False(t, slow.closesWithin(3*time.Second))
		test.True(t, slow.closesWithin(2*timeoutSlack))
	})
}

// TestAConnectionMayRestForAsLongAsThePlacementSays: neither shorter, so that
// its caller meets no close, nor much longer.
func TestAConnectionMayRestForAsLongAsThePlacementSays(t *testing.T) {
	withAcceptor(t, func(t *testing.T, limits *atomic.Pointer[routing.Limits], l *pipeListener, _ *acceptor) {
		limits.Store(&routing.Limits{IdleTimeout: 15 * time.Second})
		caller := l.dial()
		caller.get(t, 0)
		test.False(t, caller.closesWithin(15*time.Second))
		test.True(t, caller.closesWithin(2*timeoutSlack))
	})
}

// TestConnectionsWithOlderBoundsMoveOver: a caller on a connection that was
// opened under another idle time is told to open a new one, and the server of
// the older bounds ends with its last connection.
func TestConnectionsWithOlderBoundsMoveOver(t *testing.T) {
	withAcceptor(t, func(t *testing.T, limits *atomic.Pointer[routing.Limits], l *pipeListener, a *acceptor) {
		limits.Store(&routing.Limits{IdleTimeout: 15 * time.Second})
		old := l.dial()
		test.False(t, old.get(t, 0).Close)
		limits.Store(&routing.Limits{IdleTimeout: 60 * time.Second})
		fresh := l.dial()
		test.False(t, fresh.get(t, 0).Close)
		test.True(t, old.get(t, 0).Close)
		test.True(t, old.closesWithin(time.Millisecond))
		synctest.Wait()
		test.SliceEmpty(t, a.retiredWithConns())
		test.False(t, fresh.closesWithin(60*time.Second))
		test.False(t, fresh.get(t, 0).Close)
	})
}
