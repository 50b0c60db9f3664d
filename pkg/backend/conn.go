package backend

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// errUnexpectedBytes closes a connection that received bytes which belong to no pending
// request.
var errUnexpectedBytes = errors.New("received bytes that belong to no pending request")

// errBodyTooLarge closes a connection whose response body exceeds the limit.
var errBodyTooLarge = errors.New("response body exceeds the size limit")

// exchange is one request and its pending response on a connection.
type exchange struct {
	id      string
	request *http.Request
	// Each channel has a buffer of one; at most one of them receives a value.
	response chan *http.Response
	failure  chan error
}

// conn is one connection to the backend server and carries one request at a time. Its
// own goroutine reads from it, so that a close is noticed at once, and so is a response
// that arrives before a long request body is written.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// idHeader is the name of the header that carries the request ID.
	idHeader     string
	maxBodyBytes int64
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

func newConn(c net.Conn, idHeader string, maxBodyBytes int) *conn {
	out := &conn{Conn: c, reader: bufio.NewReader(c), idHeader: idHeader, maxBodyBytes: int64(maxBodyBytes)}
	go out.readLoop()
	return out
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

// readResponse reads one response. A late response to an earlier request, which its ID
// header tells, is read to its end and dropped; so is an interim (1xx) response.
func (c *conn) readResponse() error {
	if _, err := c.reader.Peek(1); err != nil {
		return err
	}
	ex := c.currentExchange()
	if ex == nil {
		return errUnexpectedBytes
	}
	resp, err := http.ReadResponse(c.reader, ex.request)
	if err != nil {
		return err
	}
	if resp.StatusCode < http.StatusOK {
		return nil
	}
	closeDelimited := resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
	body, err := io.ReadAll(io.LimitReader(resp.Body, c.maxBodyBytes+1))
	if err != nil {
		return errors.Wrap(err, "response truncated")
	}
	if int64(len(body)) > c.maxBodyBytes {
		return errBodyTooLarge
	}
	resp.Body = io.NopCloser(bytes.NewReader(body))
	last := resp.Close || closeDelimited
	if resp.Header.Get(c.idHeader) != ex.id {
		if last {
			return errUnexpectedBytes
		}
		return nil
	}
	return c.deliver(ex, resp, last)
}

// deliver hands the response to its exchange. It returns an error, which closes the
// connection, if this was the last response or if further bytes have arrived: those
// belong to no request.
func (c *conn) deliver(ex *exchange, resp *http.Response, last bool) error {
	c.mu.Lock()
	c.current = nil
	var err error
	if last || c.reader.Buffered() > 0 {
		err = errUnexpectedBytes
		c.closeErr = err
	}
	c.mu.Unlock()
	ex.response <- resp
	return err
}
