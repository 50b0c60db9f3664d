package ingress

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rushramp/rushramp/pkg/routing"
)

const (
	// defaultHeadTime is the time of a head until a placement names one.
	defaultHeadTime = 10 * time.Second
	// defaultIdleTime is how long a connection may rest until a placement names
	// a bound.
	defaultIdleTime = 2 * time.Minute
	// defaultMaxHead bounds a request's head until a placement names a bound, in
	// bytes.
	defaultMaxHead = 64 << 10
	// boundSlack is added to the times in a placement, so that a caller that
	// uses them up meets no close, also while a processor quota holds the
	// process up.
	boundSlack = time.Second
)

// bounds are what one connection may take. The standard server reads them when
// it begins, so a change of them needs a server of its own.
type bounds struct {
	maxHead  int
	headTime time.Duration
	idleTime time.Duration
}

// boundsOf returns the bounds that limits set, with defaults where they say
// nothing.
func boundsOf(l routing.Limits) bounds {
	out := bounds{maxHead: defaultMaxHead, headTime: defaultHeadTime, idleTime: defaultIdleTime}
	if l.MaxHeaderBytes > 0 {
		out.maxHead = l.MaxHeaderBytes
	}
	if l.HeaderTimeout > 0 {
		out.headTime = l.HeaderTimeout + boundSlack
	}
	if l.IdleTimeout > 0 {
		out.idleTime = l.IdleTimeout + boundSlack
	}
	return out
}

// boundedServer serves the connections that were opened under one set of
// bounds. It implements net.Listener for its own HTTP server, which accepts
// what hand passes on.
type boundedServer struct {
	bounds bounds
	http   *http.Server
	addr   net.Addr
	hooks  hooks
	conns  chan net.Conn
	done   chan struct{}
	close  sync.Once
	// ended closes when the server is replaced and its last connection ended.
	ended chan struct{}
	end   sync.Once

	mu sync.Mutex
	// open counts connections that have not ended.
	open map[*conn]bool
	// replaced is true once newer connections go to another server; it closes
	// when its last connection has ended.
	replaced bool
}

// newBoundedServer begins to serve the connections that are handed to it.
func newBoundedServer(b bounds, addr net.Addr, handler http.Handler, h hooks) *boundedServer {
	s := &boundedServer{
		bounds: b, addr: addr, hooks: h, conns: make(chan net.Conn),
		done: make(chan struct{}), ended: make(chan struct{}), open: map[*conn]bool{},
	}
	s.http = &http.Server{
		Handler:           s.ending(handler),
		ReadHeaderTimeout: b.headTime,
		// Connections count their idle time themselves, from the last answer.
		IdleTimeout:    -1,
		MaxHeaderBytes: b.maxHead,
		ConnContext:    attach,
		ConnState:      noteIdle,
	}
	go func() { _ = s.http.Serve(s) }()
	return s
}

// ending tells callers on connections with older bounds to open a new one.
func (s *boundedServer) ending(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.isReplaced() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

func (s *boundedServer) isReplaced() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replaced
}

// hand passes a connection on.
func (s *boundedServer) hand(c net.Conn) {
	handed := s.opened(c)
	select {
	case s.conns <- handed:
	case <-s.done:
		handed.end()
	}
}

// noteIdle implements http.Server.ConnState.
func noteIdle(c net.Conn, state http.ConnState) {
	if of, ok := c.(*conn); ok && state == http.StateIdle {
		of.idle()
	}
}

func (s *boundedServer) opened(c net.Conn) *conn {
	var out *conn
	out = newConn(c, connDeps{
		idleTime: s.bounds.idleTime, bounds: s.hooks.pipelining,
		closing: func() bool { return s.isReplaced() || s.hooks.isLeaving() },
		closed:  func(unanswered, unread int) { s.closed(out, unanswered, unread) },
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[out] = true
	return out
}

func (s *boundedServer) closed(c *conn, unanswered, unread int) {
	s.mu.Lock()
	delete(s.open, c)
	s.mu.Unlock()
	s.endIfOver()
	s.hooks.noteClosed(unanswered, unread)
}

// endIfOver ends a server that gets no more connections and has none.
func (s *boundedServer) endIfOver() {
	s.mu.Lock()
	over := s.replaced && len(s.open) == 0
	s.mu.Unlock()
	if over {
		_ = s.Close()
		s.end.Do(func() { close(s.ended) })
	}
}

// replace notes that newer connections go to another server.
func (s *boundedServer) replace() {
	s.mu.Lock()
	s.replaced = true
	s.mu.Unlock()
	s.endIfOver()
}

// shutdown ends resting connections, waits for requests until ctx ends, and
// then ends those, too.
func (s *boundedServer) shutdown(ctx context.Context) {
	s.replace()
	if err := s.http.Shutdown(ctx); err != nil {
		_ = s.http.Close()
	}
	select {
	case <-s.ended:
	case <-ctx.Done():
		s.endAll()
	}
}

// endAll ends all connections at once.
func (s *boundedServer) endAll() {
	s.mu.Lock()
	open := make([]*conn, 0, len(s.open))
	for c := range s.open {
		open = append(open, c)
	}
	s.mu.Unlock()
	for _, c := range open {
		c.end()
	}
}

// Accept implements net.Listener.
func (s *boundedServer) Accept() (net.Conn, error) {
	select {
	case c := <-s.conns:
		return c, nil
	case <-s.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (s *boundedServer) Close() error {
	s.close.Do(func() { close(s.done) })
	return nil
}

// Addr implements net.Listener.
func (s *boundedServer) Addr() net.Addr { return s.addr }
