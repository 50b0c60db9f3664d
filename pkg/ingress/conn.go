package ingress

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// lingerTime is how long a connection of which more was sent than read stays
// half open after its last answer, so that the reset for the unread bytes does
// not destroy answers on their way. It is the standard server's own time.
const lingerTime = 500 * time.Millisecond

// PipelineLimits bounds the requests of one connection that run side by side.
type PipelineLimits struct {
	// MaxRequests is how many may be unanswered; below 2 none runs beside another.
	MaxRequests int
	// MaxBytes bounds the requests and answers that are held, and what is read
	// ahead, each.
	MaxBytes int
}

// connDeps are what a connection needs of its server.
type connDeps struct {
	idleTime time.Duration
	bounds   PipelineLimits
	// closing is true when answers should end their connections.
	closing func() bool
	// closed is told once that the connection has ended, with how many requests
	// were not answered and how many bytes were not read.
	closed func(unanswered, unread int)
}

// conn is a caller's connection as the standard server sees it. The server
// reads requests from it one after the other, as strictly as ever. A handler
// may leave a request's answer to the connection (place) and return at once,
// so that the server reads the next one: what the server writes for such a
// request is thrown away. Source: docs/design/pipelining.md.
type conn struct {
	net.Conn
	in    *inbound
	turns *turns
	deps  connDeps
	// ctx ends when the caller leaves or the connection ends.
	ctx    context.Context
	cancel context.CancelFunc

	mu sync.Mutex
	// detached is true from place until the server is done with
	// the request.
	detached bool
	// resting is true while the server waits for the next head.
	resting bool
	closing bool
	once    sync.Once
}

func newConn(c net.Conn, deps connDeps) *conn {
	out := &conn{Conn: c, deps: deps}
	out.ctx, out.cancel = context.WithCancel(context.Background())
	out.in = newInbound(c, max(deps.bounds.MaxBytes, readSize), out.left)
	out.turns = newTurns(c, deps.bounds, deps.closing)
	return out
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// attach implements http.Server.ConnContext: requests end with their caller.
func attach(ctx context.Context, c net.Conn) context.Context {
	of, ok := c.(*conn)
	if !ok {
		return ctx
	}
	return context.WithValue(of.ctx, connKey{}, of)
}

// connOf returns the connection of a request, or nil where it came another way.
func connOf(r *http.Request) *conn {
	c, _ := r.Context().Value(connKey{}).(*conn)
	return c
}

// left ends what runs for a caller that has left.
func (c *conn) left() {
	c.cancel()
	go c.afterLeft()
}

func (c *conn) afterLeft() {
	c.turns.wake()
	c.mu.Lock()
	closing := c.closing
	c.mu.Unlock()
	if closing {
		c.end()
	}
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) { return c.in.Read(p) }

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	detached := c.detached
	c.mu.Unlock()
	if detached {
		return len(p), nil
	}
	return c.turns.write(p)
}

// CloseWrite ends the sending half, as the standard server does where it
// refuses what is still being sent.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// SetReadDeadline implements net.Conn. The standard server has no idle time of
// its own here and takes the deadline away when it begins to wait for the next
// head: idle time is counted from the last answer.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !t.IsZero() {
		c.resting = false
	}
	if c.resting {
		return c.rest()
	}
	return c.in.SetReadDeadline(t)
}

// rest begins the idle time, unless answers are still to come. The caller holds
// the lock.
func (c *conn) rest() error {
	at, ok := c.turns.lastAnswer()
	if !ok {
		return c.in.SetReadDeadline(time.Time{})
	}
	return c.in.SetReadDeadline(at.Add(c.deps.idleTime))
}

// idle notes that the server is done with a request.
func (c *conn) idle() {
	c.mu.Lock()
	detached := c.detached
	c.detached, c.resting = false, true
	c.mu.Unlock()
	if !detached {
		c.turns.answered()
	}
	c.in.next()
}

// begin takes over that a request was read whole, with a body of that length.
// It returns how many of its connection were unanswered when it came.
func (c *conn) begin(body int64) (behind int) {
	c.in.watch(body)
	behind = c.turns.unanswered()
	last, _ := c.turns.lastAnswer()
	cameBefore := c.in.lastArrival().Before(last)
	if behind == 0 && cameBefore {
		// The one before was answered between the bytes' coming and their reading.
		return 1
	}
	return behind
}

// place detaches the request that is being handled: its answer is left to the
// connection. It returns nil where that has ended.
func (c *conn) place(size int, closes bool) *turn {
	out := c.turns.add(size, closes)
	if out == nil {
		return nil
	}
	c.mu.Lock()
	c.detached = true
	c.mu.Unlock()
	return out
}

// finish takes the answer of a detached request.
func (c *conn) finish(of *turn, a *answer) {
	empty, err := c.turns.finish(of, a)
	switch {
	case err != nil:
		// The caller takes nothing more; whatever runs for it ends.
		c.end()
	case empty:
		c.allAnswered()
	}
}

// allAnswered ends a connection that takes no more, or lets it rest.
func (c *conn) allAnswered() {
	if c.turns.isOver() {
		c.shut()
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.resting {
		// It fails on a connection that has ended only.
		_ = c.rest()
	}
}

// Close implements net.Conn for the standard server: no further request is
// read, and what has started is answered first.
func (c *conn) Close() error {
	c.in.stop()
	if c.turns.endReading() {
		c.shut()
		return nil
	}
	c.in.untilLeft()
	return nil
}

// shut ends the connection after its last answer. One of which more was sent
// than read is half closed first.
func (c *conn) shut() {
	c.in.stop()
	c.mu.Lock()
	c.closing = true
	c.mu.Unlock()
	left, _ := c.in.ended()
	_, half := c.Conn.(interface{ CloseWrite() error })
	if left || !half || !c.in.isAhead() || c.CloseWrite() != nil {
		c.end()
		return
	}
	time.AfterFunc(lingerTime, c.end)
}

// end ends the connection at once.
func (c *conn) end() {
	c.once.Do(func() {
		unanswered := c.turns.end()
		c.cancel()
		// The error would say that it has ended already.
		_ = c.Conn.Close()
		c.in.stop()
		_, unread := c.in.ended()
		c.deps.closed(unanswered, unread)
	})
}
