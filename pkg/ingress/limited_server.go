package ingress

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rushramp/rushramp/pkg/forward"
	"github.com/rushramp/rushramp/pkg/routing"
)

const (
	// defaultHeadTimeout limits the time to receive a request's head where the
	// placement sets no limit.
	defaultHeadTimeout = 10 * time.Second
	// defaultIdleTimeout limits how long a connection may stay idle where the
	// placement sets no limit.
	defaultIdleTimeout = 2 * time.Minute
	// defaultMaxHeadBytes limits the size of a request's head where the placement
	// sets no limit.
	defaultMaxHeadBytes = 64 << 10
	// headSlackBytes is what http.Server reads beyond the limit before it refuses a head.
	headSlackBytes = 4 << 10
	// timeoutSlack is added to the timeouts in a placement, so that a caller that
	// uses them up does not find its connection closed, even while a processor
	// quota delays the process.
	timeoutSlack = time.Second
)

// connLimits holds the limits of one connection. http.Server reads them when it starts,
// so that new limits need a new http.Server.
type connLimits struct {
	maxHeadBytes int
	headTimeout  time.Duration
	idleTimeout  time.Duration
}

// connLimitsOf returns the limits that a placement sets, with defaults for those that it
// does not set.
func connLimitsOf(l routing.Limits) connLimits {
	out := connLimits{maxHeadBytes: defaultMaxHeadBytes, headTimeout: defaultHeadTimeout, idleTimeout: defaultIdleTimeout}
	if l.MaxHeaderBytes > 0 {
		out.maxHeadBytes = l.MaxHeaderBytes
	}
	if l.HeaderTimeout > 0 {
		out.headTimeout = l.HeaderTimeout + timeoutSlack
	}
	if l.IdleTimeout > 0 {
		out.idleTimeout = l.IdleTimeout + timeoutSlack
	}
	return out
}

// limitedServer serves the connections that were opened while one set of limits was in
// force. It implements net.Listener for its own http.Server, which accepts the
// connections that serveConn is called with.
type limitedServer struct {
	limits     connLimits
	httpServer *http.Server
	addr       net.Addr
	hooks      connHooks
	conns      chan net.Conn
	// done is closed by Close, once.
	done  chan struct{}
	close sync.Once
	// drained is closed when the server is retired and its last connection has closed.
	drained     chan struct{}
	drainedOnce sync.Once

	mu sync.Mutex
	// open holds the connections that have not closed.
	open map[*pipelinedConn]bool
	// retired is true once the server gets no new connections, because another one has
	// replaced it or the acceptor shuts down.
	retired bool
}

// newLimitedServer returns a server that serves the connections passed to serveConn.
func newLimitedServer(limits connLimits, addr net.Addr, handler http.Handler, hooks connHooks) *limitedServer {
	s := &limitedServer{
		limits: limits, addr: addr, hooks: hooks, conns: make(chan net.Conn),
		done: make(chan struct{}), drained: make(chan struct{}), open: map[*pipelinedConn]bool{},
	}
	s.httpServer = &http.Server{
		Handler:           s.closeIfRetired(handler),
		ReadHeaderTimeout: limits.headTimeout,
		// pipelinedConn has an idle timeout of its own, which starts at the last answer.
		IdleTimeout:    -1,
		MaxHeaderBytes: limits.maxHeadBytes,
		ConnContext:    connContext,
		ConnState:      onConnState,
	}
	go func() { _ = s.httpServer.Serve(s) }()
	return s
}

// closeIfRetired returns a handler whose answers close their connections once the server
// is retired, so that callers open connections with the limits in force.
func (s *limitedServer) closeIfRetired(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.isRetired() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

func (s *limitedServer) isRetired() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.retired
}

// serveConn hands a connection to the http.Server, or closes it when the limits on connections
// do not admit it.
func (s *limitedServer) serveConn(nc net.Conn) {
	c := s.track(nc)
	if !s.hooks.table.Open(c.options.entry, c.evict) {
		c.closeNow()
		return
	}
	select {
	case s.conns <- c:
	case <-s.done:
		c.closeNow()
	}
}

// onConnState implements http.Server.ConnState.
func onConnState(nc net.Conn, state http.ConnState) {
	if c, ok := nc.(*pipelinedConn); ok {
		c.onState(state)
	}
}

// track wraps a connection and adds it to the open ones until it closes.
func (s *limitedServer) track(nc net.Conn) *pipelinedConn {
	var out *pipelinedConn
	out = newPipelinedConn(nc, connOptions{
		idleTimeout: s.limits.idleTimeout, limits: s.hooks.pipelineLimits,
		closeAfterAnswer: func() bool { return s.isRetired() || s.hooks.areKeepAlivesStopped() },
		maxHeldBytes:     s.limits.maxHeadBytes + headSlackBytes,
		entry:            s.hooks.table.NewEntry(),
		onClosed:         func(unanswered, unreadBytes int) { s.untrack(out, unanswered, unreadBytes) },
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[out] = true
	return out
}

// untrack removes a connection that has closed.
func (s *limitedServer) untrack(c *pipelinedConn, unanswered, unreadBytes int) {
	s.mu.Lock()
	delete(s.open, c)
	s.mu.Unlock()
	s.closeIfDrained()
	s.hooks.reportClosed(unanswered, unreadBytes)
}

// closeIfDrained closes a retired server that has no open connections.
func (s *limitedServer) closeIfDrained() {
	s.mu.Lock()
	isDrained := s.retired && len(s.open) == 0
	s.mu.Unlock()
	if isDrained {
		_ = s.Close()
		s.drainedOnce.Do(func() { close(s.drained) })
	}
}

// retire marks a server that gets no new connections. It closes when its last connection
// has closed.
func (s *limitedServer) retire() {
	s.mu.Lock()
	s.retired = true
	s.mu.Unlock()
	s.closeIfDrained()
}

// idlePollInterval is the time between two checks for idle connections during a shutdown.
const idlePollInterval = 20 * time.Millisecond

// maxAbortPolls limits how often awaitAnswers checks for answers. It counts checks instead of time,
// since the answers need the processor as well.
const maxAbortPolls = 10

// shutdown closes idle connections and waits for requests in flight until ctx ends. It then aborts
// the remaining requests, waits until they are answered and closes the remaining connections.
func (s *limitedServer) shutdown(ctx context.Context) {
	s.retire()
	_ = s.Close()
	ticker := time.NewTicker(idlePollInterval)
	defer ticker.Stop()
	for {
		for _, c := range s.openConns() {
			c.closeIfIdle()
		}
		select {
		case <-s.drained:
			return
		case <-ctx.Done():
			s.abortAll()
			s.awaitAnswers(ticker)
			s.closeAll()
			return
		case <-ticker.C:
		}
	}
}

// awaitAnswers waits until all aborted requests are answered, for at most maxAbortPolls ticks.
func (s *limitedServer) awaitAnswers(ticker *time.Ticker) {
	for range maxAbortPolls {
		if !slices.ContainsFunc(s.openConns(), (*pipelinedConn).awaitsAnswer) {
			return
		}
		<-ticker.C
	}
}

// closeAll closes all connections without waiting for answers. It aborts their requests first,
// so that the log tells them from those of callers that have disconnected.
func (s *limitedServer) closeAll() {
	for _, c := range s.openConns() {
		c.abort(forward.ErrDrainEnded)
		c.closeNow()
	}
}

// abortAll aborts the requests of all connections. Their callers get refusals.
func (s *limitedServer) abortAll() {
	for _, c := range s.openConns() {
		c.abort(forward.ErrDrainEnding)
	}
}

// openConns returns the connections that have not closed.
func (s *limitedServer) openConns() []*pipelinedConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*pipelinedConn, 0, len(s.open))
	for c := range s.open {
		out = append(out, c)
	}
	return out
}

// Accept implements net.Listener.
func (s *limitedServer) Accept() (net.Conn, error) {
	select {
	case c := <-s.conns:
		select {
		case <-s.done:
			c.(*pipelinedConn).closeNow()
			return nil, net.ErrClosed
		default:
			return c, nil
		}
	case <-s.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (s *limitedServer) Close() error {
	s.close.Do(func() { close(s.done) })
	return nil
}

// Addr implements net.Listener.
func (s *limitedServer) Addr() net.Addr { return s.addr }
