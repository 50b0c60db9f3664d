package ingress

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rushramp/rushramp/pkg/routing"
)

// hooks are what connections need of the listener that they came by.
type hooks struct {
	pipelining PipelineLimits
	// leaving is true when answers should end their connections.
	leaving func() bool
	// closed is told how many requests a connection leaves unanswered, and how
	// many bytes unread, at its end.
	closed func(unanswered, unread int)
}

func (h *hooks) isLeaving() bool { return h.leaving != nil && h.leaving() }

func (h *hooks) noteClosed(unanswered, unread int) {
	if h.closed != nil && unanswered+unread > 0 {
		h.closed(unanswered, unread)
	}
}

// acceptor hands each new connection to the server whose bounds are in force.
type acceptor struct {
	listener net.Listener
	handler  http.Handler
	limits   func() routing.Limits
	hooks    hooks

	mu      sync.Mutex
	current *boundedServer
	// older still have connections.
	older []*boundedServer
}

func newAcceptor(l net.Listener, handler http.Handler, limits func() routing.Limits) *acceptor {
	return &acceptor{listener: l, handler: handler, limits: limits}
}

// run accepts until the listener is closed.
func (a *acceptor) run() {
	for {
		conn, err := a.listener.Accept()
		if err != nil {
			if !a.passes(err) {
				return
			}
			time.Sleep(acceptPause)
			continue
		}
		a.server().hand(conn)
	}
}

// acceptPause is the pause after an accept that failed for want of descriptors.
const acceptPause = 5 * time.Millisecond

// passes is true for errors after which accepting goes on.
func (a *acceptor) passes(err error) bool {
	temporary, ok := err.(interface{ Temporary() bool })
	return ok && temporary.Temporary()
}

// server returns the server for a connection that opens now.
func (a *acceptor) server() *boundedServer {
	want := boundsOf(a.limits())
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.current != nil && a.current.bounds == want {
		return a.current
	}
	if a.current != nil {
		a.current.replace()
		a.older = append(a.stillOpen(), a.current)
	}
	a.current = newBoundedServer(want, a.listener.Addr(), a.handler, a.hooks)
	return a.current
}

// stillOpen returns the older servers that have connections.
func (a *acceptor) stillOpen() []*boundedServer {
	var out []*boundedServer
	for _, s := range a.older {
		select {
		case <-s.done:
		default:
			out = append(out, s)
		}
	}
	return out
}

// shutdown stops accepting and ends all servers.
func (a *acceptor) shutdown(ctx context.Context) {
	_ = a.listener.Close()
	a.mu.Lock()
	servers := a.stillOpen()
	if a.current != nil {
		servers = append(servers, a.current)
	}
	a.mu.Unlock()
	var all sync.WaitGroup
	for _, s := range servers {
		all.Go(func() { s.shutdown(ctx) })
	}
	all.Wait()
}
