package executor

import (
	"context"
	"math"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/rushramp/rushramp/pkg/backend"
	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/errkind"
	"github.com/rushramp/rushramp/pkg/httpstrict"
	"github.com/rushramp/rushramp/pkg/settings"
	"github.com/rushramp/rushramp/pkg/wire"
)

// Headers that the executor adds for the backend server.
const (
	// HeaderCallID carries the id by which a call can be cancelled.
	HeaderCallID = "Rushramp-Call"
	// HeaderTimeout carries the time until the call's deadline, in milliseconds.
	HeaderTimeout = "Rushramp-Timeout"
)

// cancelTimeout bounds a cancellation request, which is useful only while the call runs.
const cancelTimeout = 200 * time.Millisecond

// backendClient sends calls to the backend server over HTTP. It is safe for concurrent use.
type backendClient struct {
	settings  settings.BackendServer
	transport *backend.Transport
	// connections holds an element for each connection in use.
	connections chan struct{}
}

// newBackendClient returns a client. maxBody limits the body of an answer, in bytes. now returns
// the daemon's clock in nanoseconds.
func newBackendClient(s settings.BackendServer, maxBody int, now func() int64) *backendClient {
	return &backendClient{
		settings:    s,
		connections: make(chan struct{}, s.Connections),
		transport: backend.NewTransport(backend.TransportOptions{
			Address: s.Address, Headers: backend.Headers{RequestID: HeaderCallID, TimeoutMS: HeaderTimeout},
			ResponsesLackID: true, DialTimeout: s.DialTimeout, MaxBodyBytes: maxBody, Now: now,
			// Only the connections limit the answers that are held at a time.
			Answers: backend.NewAnswerBudget(math.MaxInt, metrics.NewSet()),
		}),
	}
}

// run sends the call and waits for the whole answer. id identifies the call for cancel.
func (b *backendClient) run(c *wire.Call, id string, body []byte, timeout time.Duration, neverRepeat bool) (*call.Answer, *errkind.Error) {
	if err := httpstrict.CheckRequestLine(c.Method, c.URI); err != nil {
		return nil, errkind.New(errkind.BadRequest, "%v", err)
	}
	return b.send(&backend.Request{
		ID: id, Method: c.Method, URI: c.URI, Headers: c.Headers, Body: body, Repeatable: !neverRepeat,
		// The backend server may close a reused connection while the call is on its way, and nobody
		// could tell then whether the call ran.
		OwnConnection: neverRepeat,
	}, timeout)
}

// send sends a request on a free connection and waits for the whole answer.
func (b *backendClient) send(req *backend.Request, timeout time.Duration) (*call.Answer, *errkind.Error) {
	select {
	case b.connections <- struct{}{}:
		defer func() { <-b.connections }()
	default:
		return nil, errkind.New(errkind.Overloaded, "all connections to the backend server are in use")
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req.Host = b.settings.Address
	reply := b.transport.Do(ctx, req)
	reply.Release()
	return reply.Answer, reply.Refusal
}

// cancel tells the backend server that the caller of the call with this id has gone. It
// does nothing if the settings have no cancel path.
func (b *backendClient) cancel(id string) {
	if b.settings.CancelPath == "" {
		return
	}
	// A failed cancellation is ignored: the call then runs to its end.
	_, _ = b.send(&backend.Request{ID: id, Method: http.MethodPost, URI: b.settings.CancelPath + id, Repeatable: true}, cancelTimeout)
}

// close closes the idle connections.
func (b *backendClient) close() { b.transport.CloseIdle() }
