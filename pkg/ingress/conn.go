package ingress

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rushramp/rushramp/pkg/connections"
)

// lingerTime is how long closeGracefully keeps a connection half open: if the caller has sent
// more than was read, closing it would send a reset, which destroys answers that the caller has
// not received yet. http.Server uses the same time.
const lingerTime = 500 * time.Millisecond

// PipelineLimits limits the requests of one connection that run concurrently.
type PipelineLimits struct {
	// MaxRequests is the largest number of unanswered requests; below 2, requests run
	// one after another.
	MaxRequests int
	// MaxBytes limits two quantities, each in bytes: the unanswered requests with their
	// buffered answers, and the bytes that are read ahead.
	MaxBytes int
}

// connOptions holds what a pipelinedConn needs to know of its server.
type connOptions struct {
	idleTimeout time.Duration
	limits      PipelineLimits
	// maxHeldBytes limits the bytes of an incomplete head that are held back.
	maxHeldBytes int
	// closeAfterAnswer reports whether answers should close their connections.
	closeAfterAnswer func() bool
	// onClosed is called once when the connection has closed, with the number of
	// requests that were not answered and the number of bytes that were not read.
	onClosed func(unanswered, unreadBytes int)
	// entry is the connection's entry in the table of the listener, or nil.
	entry *connections.Entry
}

// pipelinedConn is a caller's connection as http.Server sees it. http.Server reads one
// request after another from it. To run requests concurrently, a handler detaches its
// request (detach) and returns at once, so that http.Server reads the next one. What
// http.Server writes for a detached request is discarded; the goroutine that runs the
// request passes its answer to deliver. Source: docs/design/pipelining.md.
type pipelinedConn struct {
	net.Conn
	reader  *connReader
	answers *answerQueue
	options connOptions
	// ctx ends when the caller disconnects, the connection closes or abort is called.
	ctx    context.Context
	cancel context.CancelCauseFunc

	openedAt time.Time

	mu sync.Mutex
	// state is the newest state that http.Server has reported.
	state http.ConnState
	// detached is true from detach until http.Server has finished with the request.
	detached bool
	// awaitingHead is true while http.Server waits for the next head.
	awaitingHead bool
	// closing is true once closeGracefully has been called.
	closing   bool
	closeOnce sync.Once
}

func newPipelinedConn(nc net.Conn, options connOptions) *pipelinedConn {
	out := &pipelinedConn{Conn: nc, options: options, openedAt: time.Now()}
	out.ctx, out.cancel = context.WithCancelCause(context.Background())
	out.reader = newConnReader(nc, max(options.limits.MaxBytes, maxReadBytes), out.onDisconnect)
	out.reader.entry, out.reader.maxHeldBytes = options.entry, options.maxHeldBytes
	out.answers = newAnswerQueue(&answerWriter{Conn: nc, entry: options.entry}, options.limits, options.closeAfterAnswer)
	return out
}

// connContextKey is the context key of a request's connection.
type connContextKey struct{}

// connContext implements http.Server.ConnContext. The context of a request ends with that
// of its connection.
func connContext(ctx context.Context, nc net.Conn) context.Context {
	c, ok := nc.(*pipelinedConn)
	if !ok {
		return ctx
	}
	return context.WithValue(c.ctx, connContextKey{}, c)
}

// connOf returns the connection of a request, or nil if it is not a pipelinedConn.
func connOf(r *http.Request) *pipelinedConn {
	c, _ := r.Context().Value(connContextKey{}).(*pipelinedConn)
	return c
}

// onDisconnect cancels the requests of a caller that has disconnected. The connReader
// calls it with its lock held, so that the rest happens on a goroutine of its own.
func (c *pipelinedConn) onDisconnect() {
	c.cancel(nil)
	go c.afterDisconnect()
}

// afterDisconnect wakes the requests that wait to start, and ends the linger time.
func (c *pipelinedConn) afterDisconnect() {
	c.answers.wake()
	c.mu.Lock()
	closing := c.closing
	c.mu.Unlock()
	if closing {
		c.closeNow()
	}
}

// Read implements net.Conn.
func (c *pipelinedConn) Read(p []byte) (int, error) { return c.reader.Read(p) }

// Write implements net.Conn. It discards what http.Server writes for a detached request.
func (c *pipelinedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	detached := c.detached
	c.mu.Unlock()
	if detached {
		return len(p), nil
	}
	return c.answers.write(p)
}

// CloseWrite closes the sending half. http.Server calls it when it refuses a request
// that the caller is still sending.
func (c *pipelinedConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// SetReadDeadline implements net.Conn. http.Server runs without an idle timeout, and
// clears the deadline when it starts to wait for the next head. The idle timeout is set
// then instead.
func (c *pipelinedConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !t.IsZero() {
		c.awaitingHead = false
	}
	if c.awaitingHead {
		return c.setIdleDeadline()
	}
	return c.reader.SetReadDeadline(t)
}

// setIdleDeadline starts the idle timeout at the last answer, or clears the deadline
// while there are unanswered requests. c.mu must be held.
func (c *pipelinedConn) setIdleDeadline() error {
	at, ok := c.answers.lastAnswer()
	if !ok {
		return c.reader.SetReadDeadline(time.Time{})
	}
	return c.reader.SetReadDeadline(at.Add(c.options.idleTimeout))
}

// onState implements http.Server.ConnState.
func (c *pipelinedConn) onState(state http.ConnState) {
	c.mu.Lock()
	c.state = state
	c.mu.Unlock()
	if state == http.StateIdle {
		c.onIdle()
	}
}

// onIdle is called when http.Server has finished with a request.
func (c *pipelinedConn) onIdle() {
	c.mu.Lock()
	detached := c.detached
	c.detached, c.awaitingHead = false, true
	c.mu.Unlock()
	if !detached {
		c.answers.answeredDirectly()
	}
	c.reader.expectHead()
}

// beginRequest is called when a request with a body of bodyLength bytes has been read
// (below 0: of unknown length). It returns the number of earlier requests on the
// connection that were unanswered when the request arrived.
func (c *pipelinedConn) beginRequest(bodyLength int64) (unanswered int) {
	c.reader.watch(bodyLength)
	c.options.entry.BeginRun()
	unanswered = c.answers.unanswered()
	last, _ := c.answers.lastAnswer()
	arrivedBefore := c.reader.lastArrival().Before(last)
	if unanswered == 0 && arrivedBefore {
		// The previous request was answered after this one's bytes had arrived and
		// before they were read.
		return 1
	}
	return unanswered
}

// detach queues the answer of the request that is being handled, so that the handler may
// return before the answer is known. It returns nil where the connection has closed.
func (c *pipelinedConn) detach(size int, closeConn bool) *queuedAnswer {
	out := c.answers.add(size, closeConn)
	if out == nil {
		return nil
	}
	c.mu.Lock()
	c.detached = true
	c.mu.Unlock()
	return out
}

// deliver passes the answer of a detached request to the queue.
func (c *pipelinedConn) deliver(queued *queuedAnswer, a *bufferedAnswer) {
	empty, err := c.answers.deliver(queued, a)
	switch {
	case err != nil:
		// The answer cannot be written, so that the remaining requests are cancelled.
		c.closeNow()
	case empty:
		c.onQueueEmpty()
	}
}

// onQueueEmpty closes the connection where no further answer is due, and starts the idle
// timeout otherwise.
func (c *pipelinedConn) onQueueEmpty() {
	if c.answers.isFinished() {
		c.closeGracefully()
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.awaitingHead {
		// This fails only on a connection that has closed.
		_ = c.setIdleDeadline()
	}
}

// firstRequestTime is how long after it was opened a connection without a request stays open in a
// planned stop. http.Server uses the same time.
const firstRequestTime = 5 * time.Second

// closeIfIdle closes the connection for a planned stop, unless it has a request. A request that
// has been read but has not started counts as not read. http.Server.Shutdown instead may close a
// connection whose next request starts at the same time.
func (c *pipelinedConn) closeIfIdle() {
	c.mu.Lock()
	idle := c.state == http.StateIdle || c.state == http.StateNew && time.Since(c.openedAt) > firstRequestTime
	c.mu.Unlock()
	if idle && c.answers.closeIfIdle() {
		c.closeGracefully()
	}
}

// awaitsAnswer reports whether the connection has a request that has started and is not answered.
func (c *pipelinedConn) awaitsAnswer() bool {
	c.mu.Lock()
	closing := c.closing
	c.mu.Unlock()
	return !closing && !c.answers.isIdle()
}

// Close implements net.Conn for http.Server. No further request is read; the connection
// closes when the requests that have started are answered.
func (c *pipelinedConn) Close() error {
	c.reader.stop()
	if c.answers.endReading() {
		c.closeGracefully()
		return nil
	}
	c.reader.watchForDisconnect()
	return nil
}

// closeGracefully closes the connection after its last answer. It closes the sending half
// first, and the rest when the caller has closed its own or after lingerTime: the caller may
// send more while it receives the answer.
func (c *pipelinedConn) closeGracefully() {
	c.reader.stop()
	c.mu.Lock()
	c.closing = true
	c.mu.Unlock()
	disconnected, _ := c.reader.status()
	_, half := c.Conn.(interface{ CloseWrite() error })
	if disconnected || !half || c.CloseWrite() != nil {
		c.closeNow()
		return
	}
	c.reader.watchForDisconnect()
	time.AfterFunc(lingerTime, c.closeNow)
}

// abort cancels the requests of the connection because the drain of the daemon ends. cause is
// one of those of pkg/forward.
func (c *pipelinedConn) abort(cause error) {
	c.cancel(cause)
	c.answers.wake()
}

// evict closes the connection because the table of connections needs its room. Bytes of an
// answer that the caller does not take are discarded in the kernel, too.
func (c *pipelinedConn) evict() {
	if c.options.entry.IsWriting() {
		if socket, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok {
			// This fails only on a connection that has closed already.
			_ = socket.SetLinger(0)
		}
		c.closeNow()
		return
	}
	// A request may have started since the table has chosen this connection.
	if c.answers.closeIfIdle() {
		c.closeNow()
	}
}

// closeNow closes the connection and cancels its requests.
func (c *pipelinedConn) closeNow() {
	c.closeOnce.Do(func() {
		unanswered := c.answers.markClosed()
		c.cancel(nil)
		// This fails only on a connection that has closed already.
		_ = c.Conn.Close()
		c.reader.stop()
		c.options.entry.Close()
		_, unreadBytes := c.reader.status()
		c.options.onClosed(unanswered, unreadBytes)
	})
}
