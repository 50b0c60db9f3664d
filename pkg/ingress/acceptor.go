package ingress

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rushramp/rushramp/pkg/connections"
	"github.com/rushramp/rushramp/pkg/routing"
)

// connHooks holds the settings and callbacks of the Server that its connections use.
type connHooks struct {
	pipelineLimits PipelineLimits
	// keepAlivesStopped reports whether each answer should close its connection;
	// nil: none should.
	keepAlivesStopped func() bool
	// onClosed is called when a connection has closed with unanswered requests or
	// unread bytes; nil: nothing is called.
	onClosed func(unanswered, unreadBytes int)
	// table limits the connections; nil: there are no limits.
	table *connections.Table
}

func (h *connHooks) areKeepAlivesStopped() bool {
	return h.keepAlivesStopped != nil && h.keepAlivesStopped()
}

func (h *connHooks) reportClosed(unanswered, unreadBytes int) {
	if h.onClosed != nil && unanswered+unreadBytes > 0 {
		h.onClosed(unanswered, unreadBytes)
	}
}

// acceptor accepts connections and hands each one to a limitedServer with the limits
// that are in force when the connection opens.
type acceptor struct {
	listener net.Listener
	handler  http.Handler
	limits   func() routing.Limits
	hooks    connHooks

	mu      sync.Mutex
	current *limitedServer
	// stopped is true once shutdown has been called. The current server, which accepts no
	// further connections, is not replaced then.
	stopped bool
	// retired holds the earlier servers that may still have open connections.
	retired []*limitedServer
}

func newAcceptor(l net.Listener, handler http.Handler, limits func() routing.Limits) *acceptor {
	return &acceptor{listener: l, handler: handler, limits: limits}
}

// run accepts connections until the listener is closed.
func (a *acceptor) run() {
	for {
		conn, err := a.listener.Accept()
		if err != nil {
			if !a.isTemporary(err) {
				return
			}
			time.Sleep(acceptRetryDelay)
			continue
		}
		a.currentServer().serveConn(conn)
	}
}

// acceptRetryDelay is the pause after a temporary error of Accept, such as a lack of
// file descriptors.
const acceptRetryDelay = 5 * time.Millisecond

// isTemporary reports whether accepting can go on after err.
func (a *acceptor) isTemporary(err error) bool {
	temporary, ok := err.(interface{ Temporary() bool })
	return ok && temporary.Temporary()
}

// currentServer returns the server for a connection that opens now. When the limits have
// changed, it retires the current server and starts a new one.
func (a *acceptor) currentServer() *limitedServer {
	limits := connLimitsOf(a.limits())
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.current != nil && (a.stopped || a.current.limits == limits) {
		return a.current
	}
	if a.current != nil {
		a.current.retire()
		a.retired = append(a.retiredWithConns(), a.current)
	}
	a.current = newLimitedServer(limits, a.listener.Addr(), a.handler, a.hooks)
	return a.current
}

// retiredWithConns returns the retired servers that still have open connections.
func (a *acceptor) retiredWithConns() []*limitedServer {
	var out []*limitedServer
	for _, s := range a.retired {
		select {
		case <-s.drained:
		default:
			out = append(out, s)
		}
	}
	return out
}

// shutdown closes the listener and shuts down all servers. They wait for requests in
// flight until ctx ends, and abort those that are left.
func (a *acceptor) shutdown(ctx context.Context) {
	_ = a.listener.Close()
	a.currentServer()
	a.mu.Lock()
	a.stopped = true
	a.mu.Unlock()
	var wg sync.WaitGroup
	for _, s := range a.servers() {
		wg.Go(func() { s.shutdown(ctx) })
	}
	wg.Wait()
}

// abortAll aborts the requests of all connections.
func (a *acceptor) abortAll() {
	for _, s := range a.servers() {
		s.abortAll()
	}
}

// servers returns the servers that may have open connections.
func (a *acceptor) servers() []*limitedServer {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := a.retiredWithConns()
	if a.current != nil {
		out = append(out, a.current)
	}
	return out
}
