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

// pipeListener is a net.Listener whose connections are in-memory pipes, so that tests run
// under the fake clock of synctest.
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
	client, server := net.Pipe()
	p.conns <- server
	return &pipeCaller{conn: client, reader: bufio.NewReader(client)}
}

// pipeCaller is the caller's end of a connection to a pipeListener.
type pipeCaller struct {
	conn   net.Conn
	reader *bufio.Reader
}

// roundTrip sends a request whose head has a header of padBytes bytes, and reads the
// answer.
func (c *pipeCaller) roundTrip(t *testing.T, padBytes int) *http.Response {
	t.Helper()
	_ = c.conn.SetReadDeadline(time.Time{})
	go func() {
		_, _ = io.WriteString(c.conn, "GET / HTTP/1.1\r\nHost: h\r\nX-Pad: "+strings.Repeat("x", padBytes)+"\r\n\r\n")
	}()
	resp, err := http.ReadResponse(c.reader, nil)
	must.NoError(t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	must.NoError(t, err)
	return resp
}

// closesWithin reports whether the server closes the connection within d.
func (c *pipeCaller) closesWithin(d time.Duration) bool {
	_ = c.conn.SetReadDeadline(time.Now().Add(d))
	_, err := io.Copy(io.Discard, c.reader)
	return err == nil
}

// withAcceptor runs a test against an acceptor under the fake clock of synctest.
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

func TestHeadLargerThanThePlacementAllowsIsRefused(t *testing.T) {
	withAcceptor(t, func(t *testing.T, limits *atomic.Pointer[routing.Limits], l *pipeListener, _ *acceptor) {
		limits.Store(&routing.Limits{MaxHeaderBytes: 2000})
		test.Eq(t, http.StatusOK, l.dial().roundTrip(t, 1500).StatusCode)
		test.Eq(t, http.StatusRequestHeaderFieldsTooLarge, l.dial().roundTrip(t, 10_000).StatusCode)
	})
}

func TestSlowHeadClosesItsConnection(t *testing.T) {
	withAcceptor(t, func(t *testing.T, limits *atomic.Pointer[routing.Limits], l *pipeListener, _ *acceptor) {
		limits.Store(&routing.Limits{HeaderTimeout: 3 * time.Second})
		slow := l.dial()
		_, err := io.WriteString(slow.conn, "GET / HT")
		must.NoError(t, err)
		test.False(t, slow.closesWithin(3*time.Second))
		test.True(t, slow.closesWithin(2*timeoutSlack))
	})
}

// TestIdleConnectionClosesAfterThePlacementsIdleTimeout checks that the connection closes
// neither earlier nor much later.
func TestIdleConnectionClosesAfterThePlacementsIdleTimeout(t *testing.T) {
	withAcceptor(t, func(t *testing.T, limits *atomic.Pointer[routing.Limits], l *pipeListener, _ *acceptor) {
		limits.Store(&routing.Limits{IdleTimeout: 15 * time.Second})
		caller := l.dial()
		caller.roundTrip(t, 0)
		test.False(t, caller.closesWithin(15*time.Second))
		test.True(t, caller.closesWithin(2*timeoutSlack))
	})
}

// TestConnectionsOpenedUnderOldLimitsAreClosed: the next answer closes a connection that
// was opened under another idle timeout, and the server with the old limits closes with
// its last connection.
func TestConnectionsOpenedUnderOldLimitsAreClosed(t *testing.T) {
	withAcceptor(t, func(t *testing.T, limits *atomic.Pointer[routing.Limits], l *pipeListener, a *acceptor) {
		limits.Store(&routing.Limits{IdleTimeout: 15 * time.Second})
		old := l.dial()
		test.False(t, old.roundTrip(t, 0).Close)
		limits.Store(&routing.Limits{IdleTimeout: 60 * time.Second})
		fresh := l.dial()
		test.False(t, fresh.roundTrip(t, 0).Close)
		test.True(t, old.roundTrip(t, 0).Close)
		test.True(t, old.closesWithin(time.Millisecond))
		synctest.Wait()
		test.SliceEmpty(t, a.retiredWithConns())
		test.False(t, fresh.closesWithin(60*time.Second))
		test.False(t, fresh.roundTrip(t, 0).Close)
	})
}
