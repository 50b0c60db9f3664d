package backend

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/errkind"
	"github.com/rushramp/rushramp/pkg/netdial"
	"github.com/rushramp/rushramp/pkg/wire"
)

const (
	// freshFor is how long a connection may have rested before a request that
	// may not be repeated goes on a new one: the backend server may be about
	// to close it, and a request lost in that moment is a "maybe".
	freshFor = time.Second
	// unacknowledgedFor is how long bytes to the backend server may stay without an
	// acknowledgement. Both are on one VM, where a round trip takes microseconds: a
	// request that was written into a silent connection ends after it, and may go
	// elsewhere, rather than at its deadline.
	unacknowledgedFor = 300 * time.Millisecond
	// keepIdle is how long a resting connection is kept.
	keepIdle = 8 * time.Second
	// inlineBytes is the largest body that is written before the answer is
	// awaited; a longer one is written beside it.
	inlineBytes = 2 << 10
)

// TransportOptions say how the backend server is reached.
type TransportOptions struct {
	Address     string
	Headers     Headers
	DialTimeout time.Duration
	// MaxBodyBytes bounds the body of an answer, in bytes.
	MaxBodyBytes int
	// Now is the daemon's clock, in nanoseconds: a connection rests on while the VM is
	// suspended.
	Now func() int64
}

// Transport hands requests to the backend server, one at a time a connection.
// It never repeats anything by itself. It is safe for concurrent use.
type Transport struct {
	opts TransportOptions

	mu sync.Mutex
	// idle are the resting connections, the one used last at the end.
	idle   []*conn
	opened int64
}

// NewTransport makes a transport; it opens connections as requests need them.
func NewTransport(opts TransportOptions) *Transport { return &Transport{opts: opts} }

// Request is one request for the backend server.
type Request struct {
	ID      string
	Method  string
	URI     string
	Host    string
	Headers []wire.Header
	Body    []byte
	// InstanceID is the incarnation that alone may run the request.
	InstanceID string
	// Caller is the service on whose VM the request began.
	Caller string
	// Team is the one whose key the request carried; empty: it carried none.
	Team string
	// Repeatable allows a connection that has rested for long.
	Repeatable bool
}

// Reply is how a request ended at the backend server: one of Answer and Refusal
// is set.
type Reply struct {
	Answer  *call.Answer
	Refusal *errkind.Error
	// Offered is true when the request reached the backend server, or may have.
	Offered bool
	// InstanceID is the incarnation that answered that it is another one.
	InstanceID string
	// LoadHeader is the text of the answer's load header.
	LoadHeader string
}

func refused(kind errkind.Kind, offered bool, format string, args ...any) Reply {
	return Reply{Refusal: errkind.New(kind, format, args...), Offered: offered}
}

// Do hands the request over and waits for its whole answer. When ctx ends
// first, the connection is closed, which tells the backend server to stop.
func (t *Transport) Do(ctx context.Context, req *Request) Reply {
	ex := &exchange{
		id: req.ID, head: &http.Request{Method: req.Method},
		answers: make(chan *http.Response, 1), failed: make(chan error, 1),
	}
	c, err := t.take(ctx, ex, req.Repeatable)
	if err != nil {
		return refused(errkind.BackendUnreachable, false, "%v", err)
	}
	return t.exchange(ctx, c, ex, req)
}

// exchange writes the request and waits for the answer.
func (t *Transport) exchange(ctx context.Context, c *conn, ex *exchange, req *Request) Reply {
	written := make(chan error, 1)
	head := t.head(ctx, req)
	if len(req.Body) <= inlineBytes {
		written <- write(c, head, req.Body)
	} else {
		go func() { written <- write(c, head, req.Body) }()
	}
	select {
	case resp := <-ex.answers:
		t.release(c, written)
		return t.reply(resp)
	case err := <-ex.failed:
		return refused(errkind.BackendFailed, true, "%v", err)
	case <-ctx.Done():
		c.fail(ctx.Err())
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			return refused(errkind.DeadlineWhileRunning, true, "no answer in time")
		}
		out := refused(errkind.CallerGone, true, "the caller left")
		out.Refusal = out.Refusal.WithRanMaybe()
		return out
	}
}

// head writes the request's head as it goes over the connection. The method, the
// path and the headers came through the standard library's parser, so that none
// of them holds a line break.
func (t *Transport) head(ctx context.Context, req *Request) []byte {
	h := t.opts.Headers
	header := make(http.Header, len(req.Headers)+6)
	for _, field := range req.Headers {
		header.Add(field.Name, field.Value)
	}
	header.Set(h.RequestID, req.ID)
	header.Set(h.Caller, req.Caller)
	header.Del(h.Team)
	if req.Team != "" {
		header.Set(h.Team, req.Team)
	}
	header.Del(h.ExpectedInstanceID)
	if req.InstanceID != "" {
		header.Set(h.ExpectedInstanceID, req.InstanceID)
	}
	if deadline, ok := ctx.Deadline(); ok {
		header.Set(h.TimeoutMS, strconv.FormatInt(max(time.Until(deadline).Milliseconds(), 1), 10))
	}
	if len(req.Body) > 0 || takesBody(req.Method) {
		header.Set("Content-Length", strconv.Itoa(len(req.Body)))
	}
	var out bytes.Buffer
	out.WriteString(req.Method + " " + req.URI + " HTTP/1.1\r\nHost: " + req.Host + "\r\n")
	// Writing to a buffer has no error to give.
	_ = header.Write(&out)
	out.WriteString("\r\n")
	return out.Bytes()
}

// takesBody is true for methods whose requests say a length even without a body.
func takesBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// write sends the request; a short one in one piece.
func write(w io.Writer, head, body []byte) error {
	if len(body) <= inlineBytes {
		_, err := w.Write(append(head, body...))
		return err
	}
	if _, err := w.Write(head); err != nil {
		return err
	}
	_, err := w.Write(body)
	return err
}

// take returns a connection with ex begun on it: the resting one that was used
// last, or a new one.
func (t *Transport) take(ctx context.Context, ex *exchange, repeatable bool) (*conn, error) {
	for {
		c := t.popIdle(repeatable)
		if c == nil {
			break
		}
		if c.begin(ex) {
			return c, nil
		}
	}
	raw, err := netdial.New(t.opts.DialTimeout, unacknowledgedFor).DialContext(ctx, "tcp", t.opts.Address)
	if err != nil {
		return nil, err
	}
	t.mu.Lock()
	t.opened++
	t.mu.Unlock()
	c := newConn(raw, t.opts.Headers.RequestID, t.opts.MaxBodyBytes)
	c.lastUsed = t.opts.Now()
	if !c.begin(ex) {
		return nil, errors.New("the backend server closed the new connection")
	}
	return c, nil
}

// popIdle takes the connection that was used last; those that rested for too
// long are closed.
func (t *Transport) popIdle(repeatable bool) *conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	for len(t.idle) > 0 {
		last := len(t.idle) - 1
		c := t.idle[last]
		rested := time.Duration(t.opts.Now() - c.lastUsed)
		if rested > keepIdle || !c.usable() {
			t.idle[last] = nil
			t.idle = t.idle[:last]
			_ = c.Close()
			continue
		}
		if !repeatable && rested > freshFor {
			return nil
		}
		t.idle[last] = nil
		t.idle = t.idle[:last]
		return c
	}
	return nil
}

// release keeps the connection for the next request, unless the request's body
// was not written to its end: then other bytes would come where it is due.
func (t *Transport) release(c *conn, written <-chan error) {
	select {
	case err := <-written:
		if err == nil && c.usable() {
			c.lastUsed = t.opts.Now()
			t.mu.Lock()
			t.idle = append(t.idle, c)
			t.mu.Unlock()
			return
		}
	default:
	}
	_ = c.Close()
}

// reply classifies an answer. Only the backend server's own mark proves that a
// request did not run.
func (t *Transport) reply(resp *http.Response) Reply {
	h := t.opts.Headers
	load := resp.Header.Get(h.Load)
	switch {
	case resp.StatusCode == http.StatusMisdirectedRequest:
		out := refused(errkind.BackendReplaced, false, "another incarnation has the address")
		out.InstanceID = resp.Header.Get(h.InstanceID)
		out.LoadHeader = load
		return out
	case resp.Header.Get(h.NotExecuted) != "":
		out := refused(errkind.BackendRefused, true, "the backend server refused with status %d", resp.StatusCode)
		out.LoadHeader = load
		return out
	}
	body, _ := io.ReadAll(resp.Body)
	answer := &call.Answer{Status: resp.StatusCode, Body: body}
	for name, values := range resp.Header {
		if t.spent(name) {
			continue
		}
		for _, v := range values {
			answer.Headers = append(answer.Headers, wire.Header{Name: name, Value: v})
		}
	}
	return Reply{Answer: answer, Offered: true, LoadHeader: load}
}

// spent is true for headers of an answer that end here: the daemon has taken
// them over, or the entry writes them anew.
func (t *Transport) spent(name string) bool {
	switch name {
	case http.CanonicalHeaderKey(t.opts.Headers.Load), http.CanonicalHeaderKey(t.opts.Headers.RequestID),
		"Content-Length", "Connection", "Keep-Alive":
		return true
	}
	return false
}

// ConnectionsOpened counts the connections that were opened.
func (t *Transport) ConnectionsOpened() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.opened
}

// CloseIdle closes the resting connections.
func (t *Transport) CloseIdle() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range t.idle {
		_ = c.Close()
	}
	t.idle = nil
}
