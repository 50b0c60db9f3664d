package backend

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/errkind"
	"github.com/rushramp/rushramp/pkg/netdial"
	"github.com/rushramp/rushramp/pkg/wire"
)

const (
	// maxIdleNonRepeatable is how long a connection may have been idle to carry a request
	// that must not be repeated. The backend server may be about to close an older one,
	// and nobody could tell then whether the request ran.
	maxIdleNonRepeatable = time.Second
	// unacknowledgedTimeout is how long data sent to the backend server may stay
	// unacknowledged. Both ends are on one VM, where a round trip takes microseconds. A
	// request on a dead connection thus fails early enough to be sent elsewhere.
	unacknowledgedTimeout = 300 * time.Millisecond
	// maxIdle is how long an idle connection is kept.
	maxIdle = 8 * time.Second
	// keepAliveMargin is how long before the time that the backend server states in a
	// Keep-Alive header a connection is no longer used: it may be about to close it.
	keepAliveMargin = 200 * time.Millisecond
	// maxInlineBodyBytes is the largest request body that is written before the response
	// is awaited. A larger one is written concurrently.
	maxInlineBodyBytes = 2 << 10
)

// TransportOptions are the settings of a Transport.
type TransportOptions struct {
	Address string
	Headers Headers
	// ResponsesLackID is true if responses do not carry the request ID back. Each response is
	// then taken for that to the pending request.
	ResponsesLackID bool
	DialTimeout     time.Duration
	// MaxBodyBytes limits the body of a response, in bytes.
	MaxBodyBytes int
	// Answers limits the bodies of all responses that are held at a time.
	Answers *AnswerBudget
	// Now returns the daemon's clock in nanoseconds, which advances while the VM is
	// suspended, so that connections age in that time.
	Now func() int64
}

// Transport sends requests to the backend server over HTTP/1.1, one at a time per
// connection. It never repeats a request. It is safe for concurrent use.
type Transport struct {
	opts TransportOptions

	mu sync.Mutex
	// idle holds the idle connections, the most recently used one last.
	idle []*conn
}

// NewTransport returns a transport, which opens connections on demand.
func NewTransport(opts TransportOptions) *Transport { return &Transport{opts: opts} }

// Request is one request to the backend server.
type Request struct {
	ID      string
	Method  string
	URI     string
	Host    string
	Headers []wire.Header
	Body    []byte
	// InstanceID is the only instance that may run the request; empty: any.
	InstanceID string
	// Caller is the service on whose VM the request began.
	Caller string
	// Team is the team whose key the request carried; empty: it carried none.
	Team string
	// Repeatable allows the use of a connection that was idle for longer than
	// maxIdleNonRepeatable.
	Repeatable bool
	// OwnConnection sends the request on a new connection, which is closed after it.
	OwnConnection bool
}

// Reply is the result of a request: either Answer or Refusal is set.
type Reply struct {
	Answer  *call.Answer
	Refusal *errkind.Error
	// Offered is true if the request reached the backend server, or may have.
	Offered bool
	// InstanceID is the instance at the address if that was not the expected one.
	InstanceID string
	// Reports are those of the response.
	Reports Reports
	// body is that of Answer; nil if there is none.
	body *heldBody
}

// Release returns the body of the answer, if there is one, to the budget. It is called when the
// answer was passed on.
func (r *Reply) Release() {
	if r.body != nil {
		r.body.release()
	}
}

func newRefusal(kind errkind.Kind, offered bool, format string, args ...any) Reply {
	return Reply{Refusal: errkind.New(kind, format, args...), Offered: offered}
}

// Do sends the request and waits for the whole response. If ctx ends first, Do closes
// the connection, which tells the backend server to stop. The caller must call Release of the
// reply.
func (t *Transport) Do(ctx context.Context, req *Request) Reply {
	if !t.opts.Answers.hasRoom() {
		return newRefusal(errkind.Overloaded, false, "answers hold %d of the %d bytes in limits.answers_bytes", t.opts.Answers.held.Load(), t.opts.Answers.limit)
	}
	ex := newExchange(req)
	c, err := t.acquire(ctx, ex, req)
	if err != nil {
		return newRefusal(errkind.BackendUnreachable, false, "%v", err)
	}
	return t.roundTrip(ctx, c, ex, req)
}

// roundTrip writes the request and waits for the response.
func (t *Transport) roundTrip(ctx context.Context, c *conn, ex *exchange, req *Request) Reply {
	head := t.buildHead(ctx, req)
	if len(req.Body) <= maxInlineBodyBytes {
		ex.write(c, head, req.Body)
	} else {
		go ex.write(c, head, req.Body)
	}
	select {
	case resp := <-ex.response:
		t.release(c, ex, req, parseKeepAlive(resp.header.Get("Keep-Alive")))
		return t.classify(resp)
	case err := <-ex.failure:
		return newRefusal(failureKind(err), true, "%v", err)
	case <-ctx.Done():
		c.closeWithError(ctx.Err())
		select {
		case resp := <-ex.response:
			// It arrived at the same time.
			return t.classify(resp)
		default:
		}
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			return newRefusal(errkind.DeadlineWhileRunning, true, "no response before the deadline")
		}
		out := newRefusal(errkind.CallerGone, true, "the caller cancelled the request")
		out.Refusal = out.Refusal.WithRanMaybe()
		return out
	}
}

// failureKind returns the kind of the refusal for a request whose connection has failed.
func failureKind(err error) errkind.Kind {
	if errors.Is(err, errAnswersFull) {
		return errkind.AnswerCut
	}
	return errkind.BackendFailed
}

// buildHead returns the request line and the header as sent. Method, URI and header
// fields have passed the standard library's HTTP parser, so none contains a line break.
func (t *Transport) buildHead(ctx context.Context, req *Request) []byte {
	names := t.opts.Headers
	header := make(http.Header, len(req.Headers)+6)
	for _, field := range req.Headers {
		header.Add(field.Name, field.Value)
	}
	header.Set(names.RequestID, req.ID)
	if names.Caller != "" {
		header.Set(names.Caller, req.Caller)
	}
	header.Del(names.Team)
	if req.Team != "" {
		header.Set(names.Team, req.Team)
	}
	header.Del(names.ExpectedInstanceID)
	if req.InstanceID != "" {
		header.Set(names.ExpectedInstanceID, req.InstanceID)
	}
	if deadline, ok := ctx.Deadline(); ok {
		header.Set(names.TimeoutMS, strconv.FormatInt(max(time.Until(deadline).Milliseconds(), 1), 10))
	}
	if len(req.Body) > 0 || needsContentLength(req.Method) {
		header.Set("Content-Length", strconv.Itoa(len(req.Body)))
	}
	var out bytes.Buffer
	out.WriteString(req.Method + " " + req.URI + " HTTP/1.1\r\nHost: " + req.Host + "\r\n")
	// Writing to a bytes.Buffer cannot fail.
	_ = header.Write(&out)
	out.WriteString("\r\n")
	return out.Bytes()
}

// needsContentLength is true for methods whose requests carry a Content-Length header
// even without a body.
func needsContentLength(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// writeRequest writes head and body, in one call to w if the body is small.
func writeRequest(w io.Writer, head, body []byte) error {
	if len(body) <= maxInlineBodyBytes {
		_, err := w.Write(append(head, body...))
		return err
	}
	if _, err := w.Write(head); err != nil {
		return err
	}
	_, err := w.Write(body)
	return err
}

// acquire returns a connection on which ex has started: the most recently used idle one
// that is open and that req may use, or a new one.
func (t *Transport) acquire(ctx context.Context, ex *exchange, req *Request) (*conn, error) {
	for !req.OwnConnection {
		c := t.popIdle(req.Repeatable)
		if c == nil {
			break
		}
		if c.startExchange(ex) {
			return c, nil
		}
	}
	netConn, err := netdial.New(t.opts.DialTimeout, unacknowledgedTimeout).DialContext(ctx, "tcp", t.opts.Address)
	if err != nil {
		return nil, err
	}
	c := newConn(netConn, &t.opts)
	c.lastUsed = t.opts.Now()
	if !c.startExchange(ex) {
		return nil, errors.New("the backend server closed the new connection")
	}
	return c, nil
}

// popIdle removes and returns the most recently used idle connection; nil if there is
// none that the request may use. It closes those that were idle for too long or have
// failed.
func (t *Transport) popIdle(repeatable bool) *conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	for len(t.idle) > 0 {
		last := len(t.idle) - 1
		c := t.idle[last]
		idleFor := time.Duration(t.opts.Now() - c.lastUsed)
		if idleFor > c.maxIdle() || !c.isOpen() {
			t.idle[last] = nil
			t.idle = t.idle[:last]
			_ = c.Close()
			continue
		}
		if !repeatable && idleFor > maxIdleNonRepeatable {
			return nil
		}
		t.idle[last] = nil
		t.idle = t.idle[:last]
		return c
	}
	return nil
}

// maxIdle returns how long the connection may have been idle to carry a request.
func (c *conn) maxIdle() time.Duration {
	if c.idleTimeout == 0 {
		return maxIdle
	}
	return min(maxIdle, c.idleTimeout-keepAliveMargin)
}

// parseKeepAlive returns the timeout in a Keep-Alive header, which is in whole seconds; 0: it
// states none.
func parseKeepAlive(header string) time.Duration {
	for _, parameter := range strings.Split(header, ",") {
		name, value, _ := strings.Cut(parameter, "=")
		if !strings.EqualFold(strings.TrimSpace(name), "timeout") {
			continue
		}
		if seconds, err := strconv.ParseUint(strings.TrimSpace(value), 10, 31); err == nil {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}

// release keeps the connection for further requests; idleTimeout is what the response states
// of it, 0 for nothing. It closes the connection instead if it was for this request only, or if the
// request's body was not fully written: the rest of it would be read as the next request.
func (t *Transport) release(c *conn, ex *exchange, req *Request, idleTimeout time.Duration) {
	if req.OwnConnection || !ex.isWritten() || !c.isOpen() {
		_ = c.Close()
		return
	}
	c.lastUsed = t.opts.Now()
	if idleTimeout > 0 {
		c.idleTimeout = idleTimeout
	}
	t.mu.Lock()
	t.idle = append(t.idle, c)
	t.mu.Unlock()
}

// classify turns a response into a reply. Only status 421 and the NotExecuted header
// prove that the request did not run.
func (t *Transport) classify(resp *response) Reply {
	names := t.opts.Headers
	reports := names.parseReports(resp.header)
	switch {
	case resp.status == http.StatusMisdirectedRequest && names.ExpectedInstanceID != "":
		resp.body.release()
		out := newRefusal(errkind.BackendReplaced, false, "another instance answers at the backend server's address")
		out.InstanceID = names.instanceID(resp.header)
		out.Reports = reports
		return out
	case resp.header.Get(names.NotExecuted) != "":
		resp.body.release()
		out := newRefusal(errkind.BackendRefused, true, "the backend server refused with status %d", resp.status)
		out.Reports = reports
		return out
	}
	answer := &call.Answer{Status: resp.status, Body: resp.body.data}
	for name, values := range resp.header {
		if t.dropsHeader(name) {
			continue
		}
		for _, v := range values {
			answer.Headers = append(answer.Headers, wire.Header{Name: name, Value: v})
		}
	}
	return Reply{Answer: answer, Offered: true, Reports: reports, body: resp.body}
}

// dropsHeader is true for response headers that are not passed on: the daemon has
// evaluated them, or the entry sets them itself.
func (t *Transport) dropsHeader(name string) bool {
	switch name {
	case http.CanonicalHeaderKey(t.opts.Headers.Load), http.CanonicalHeaderKey(t.opts.Headers.RequestID),
		"Content-Length", "Connection", "Keep-Alive":
		return true
	}
	return false
}

// CloseIdle closes the idle connections.
func (t *Transport) CloseIdle() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range t.idle {
		_ = c.Close()
	}
	t.idle = nil
}
