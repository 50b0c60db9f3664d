package backend

import (
	"bufio"
	"bytes"
	"io"
	"math"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/rushramp/rushramp/pkg/httpstrict"
)

// errUnexpectedBytes closes a connection that received bytes which belong to no pending
// request.
var errUnexpectedBytes = errors.New("received bytes that belong to no pending request")

const (
	// maxHeadBytes is the maximum size of the head of a response. Parsed, a head
	// of short lines takes up to 20 times its size.
	maxHeadBytes = 64 << 10
	// maxDroppedResponses is how many responses that are not the one to the request may come
	// before it: interim responses, and late ones to earlier requests.
	maxDroppedResponses = 16
)

// errHeadTooLarge closes a connection whose response has a head without an end.
var errHeadTooLarge = errors.Errorf("response head exceeds %d bytes", maxHeadBytes)

// errTooManyDropped closes a connection on which other responses come without an end.
var errTooManyDropped = errors.Errorf("over %d responses that are interim or to other requests", maxDroppedResponses)

// errBodyTooLarge closes a connection whose response body exceeds the limit.
var errBodyTooLarge = errors.New("response body exceeds the size limit")

// exchange is one request and its pending response on a connection.
type exchange struct {
	id      string
	request *http.Request
	// written is closed when the write of the request has ended, with writeErr if it failed.
	written  chan struct{}
	writeErr error
	// Each channel has a buffer of one; at most one of them receives a value.
	response chan *response
	failure  chan error
}

func newExchange(req *Request) *exchange {
	return &exchange{
		id: req.ID, request: &http.Request{Method: req.Method}, written: make(chan struct{}),
		response: make(chan *response, 1), failure: make(chan error, 1),
	}
}

// write writes the request to w. It is called once.
func (ex *exchange) write(w io.Writer, head, body []byte) {
	ex.writeErr = writeRequest(w, head, body)
	close(ex.written)
}

// isWritten reports whether the request has been written whole.
func (ex *exchange) isWritten() bool {
	select {
	case <-ex.written:
		return ex.writeErr == nil
	default:
		return false
	}
}

// response is a whole response. The receiver releases its body.
type response struct {
	status int
	header http.Header
	body   *heldBody
}

// conn is one connection to the backend server and carries one request at a time. Its
// own goroutine reads from it, so that a close is noticed at once, and so is a response
// that arrives before a long request body is written.
type conn struct {
	net.Conn
	// source limits the bytes that reader may read from the connection. Only readLoop uses both.
	source *limitedSource
	reader *bufio.Reader
	// idHeader is the name of the header that carries the request ID; empty: responses have none.
	idHeader     string
	maxBodyBytes int64
	answers      *AnswerBudget
	// lastUsed is in nanoseconds of the daemon's clock, and idleTimeout is after how long
	// without a request the backend server closes the connection; 0: not stated. Transport
	// sets both.
	lastUsed    int64
	idleTimeout time.Duration

	mu sync.Mutex
	// current is the pending exchange; nil if there is none.
	current *exchange
	// closeErr is why the connection must not be used any more; nil while it may.
	closeErr error
}

func newConn(c net.Conn, opts *TransportOptions) *conn {
	source := &limitedSource{source: c}
	out := &conn{
		Conn: c, source: source, reader: bufio.NewReader(source),
		maxBodyBytes: int64(opts.MaxBodyBytes), answers: opts.Answers,
	}
	if !opts.ResponsesLackID {
		out.idHeader = opts.Headers.RequestID
	}
	go out.readLoop()
	return out
}

// limitedSource reads up to remaining bytes from source, and fails with errHeadTooLarge then.
type limitedSource struct {
	source    io.Reader
	remaining int64
	// record gets what is read; nil: nothing does.
	record *bytes.Buffer
}

// Read implements io.Reader.
func (l *limitedSource) Read(p []byte) (int, error) {
	if l.remaining <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := l.source.Read(p[:min(int64(len(p)), l.remaining)])
	l.remaining -= int64(n)
	if l.record != nil {
		_, _ = l.record.Write(p[:n])
	}
	return n, err
}

// startExchange makes ex the exchange that the next response belongs to. It returns
// false if the connection is closed; nothing of the request has been sent then.
func (c *conn) startExchange(ex *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closeErr != nil {
		return false
	}
	c.current = ex
	return true
}

// isOpen is true until the connection has failed or must not be reused.
func (c *conn) isOpen() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closeErr == nil
}

// closeWithError closes the connection and fails the pending exchange with cause.
func (c *conn) closeWithError(cause error) {
	c.mu.Lock()
	if c.closeErr == nil {
		c.closeErr = cause
	}
	ex := c.current
	c.current = nil
	c.mu.Unlock()
	_ = c.Close()
	if ex != nil {
		ex.failure <- cause
	}
}

func (c *conn) currentExchange() *exchange {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current
}

func (c *conn) readLoop() {
	for {
		if err := c.readResponse(); err != nil {
			c.closeWithError(err)
			return
		}
	}
}

// readResponse reads the response to a request. Responses before it are read to their end and
// dropped: late ones to earlier requests, which their ID header tells, and interim (1xx) ones.
func (c *conn) readResponse() error {
	for range maxDroppedResponses + 1 {
		if delivered, err := c.readNext(); delivered || err != nil {
			return err
		}
	}
	return errTooManyDropped
}

// readNext reads one response. delivered is true if it was that to the request.
func (c *conn) readNext() (delivered bool, err error) {
	c.source.remaining = maxHeadBytes
	if _, err := c.reader.Peek(1); err != nil {
		return false, err
	}
	ex := c.currentExchange()
	if ex == nil {
		return false, errUnexpectedBytes
	}
	resp, err := c.readHead(ex)
	if err != nil {
		return false, err
	}
	if httpstrict.IsInterim(resp.StatusCode) {
		return false, nil
	}
	// maxBodyBytes limits the body; net/http limits trailers and the lines of chunks.
	c.source.remaining = math.MaxInt64
	last := resp.Close || !isFramed(resp)
	if c.idHeader != "" && resp.Header.Get(c.idHeader) != ex.id {
		if last {
			return false, errUnexpectedBytes
		}
		return false, c.dropBody(resp.Body)
	}
	body, err := c.readBody(ex, resp)
	if err != nil {
		return false, errors.Wrap(err, "response body")
	}
	return true, c.deliver(ex, &response{status: resp.StatusCode, header: resp.Header, body: body}, last)
}

// dropBody reads the body of a response to another request.
func (c *conn) dropBody(body io.Reader) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, c.maxBodyBytes+1))
	if err == nil && n > c.maxBodyBytes {
		err = errBodyTooLarge
	}
	return err
}

// deliver hands the response to its exchange, unless that has ended meanwhile. It returns an
// error, which closes the connection, if this was the last response or if further bytes have
// arrived: those belong to no request.
func (c *conn) deliver(ex *exchange, resp *response, last bool) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current != ex {
		resp.body.release()
		return errUnexpectedBytes
	}
	c.current = nil
	ex.response <- resp
	if last || c.reader.Buffered() > 0 {
		c.closeErr = errUnexpectedBytes
		return errUnexpectedBytes
	}
	return nil
}
