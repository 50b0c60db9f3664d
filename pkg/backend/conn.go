package backend

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"sync"

	"github.com/pkg/errors"
)

// errUnexpectedBytes ends a connection on which bytes came while no request was waiting:
// they belong to no request.
var errUnexpectedBytes = errors.New("bytes that belong to no request")

// errBodyTooLarge ends a connection whose answer is over the bound.
var errBodyTooLarge = errors.New("the answer is over the bound")

// exchange is one request on its connection.
type exchange struct {
	id   string
	request *http.Request
	// response has room for the one answer, failed for the one error.
	response chan *http.Response
	failure  chan error
}

// conn is one connection to the backend server. It carries one request at a
// time. A goroutine of its own reads, so that a close is seen at once, and an
// answer that comes before a long body is written, too.
type conn struct {
	net.Conn
	reader   *bufio.Reader
	idHeader string
	maxBodyBytes  int64
	lastUsed int64

	mu      sync.Mutex
	current *exchange
	closeErr  error
}

func newConn(c net.Conn, idHeader string, maxBody int) *conn {
	out := &conn{Conn: c, reader: bufio.NewReader(c), idHeader: idHeader, maxBodyBytes: int64(maxBody)}
	go out.readLoop()
	return out
}

// startExchange makes ex the request that the next answer belongs to; false when the
// connection has ended: then nothing of the request was sent.
func (c *conn) startExchange(ex *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closeErr != nil {
		return false
	}
	c.current = ex
	return true
}

// isOpen is true for an idle connection that has not ended.
func (c *conn) isOpen() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closeErr == nil
}

// closeWithError ends the connection and the request that waits on it.
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

// readResponse reads one answer. An answer to an older request, which may come late
// in the place of the next one, is read to its end and dropped.
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
	unframed := resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
	body, err := io.ReadAll(io.LimitReader(resp.Body, c.maxBodyBytes+1))
	if err != nil {
		return errors.Wrap(err, "answer cut")
	}
	if int64(len(body)) > c.maxBodyBytes {
		return errBodyTooLarge
	}
	resp.Body = io.NopCloser(bytes.NewReader(body))
	last := resp.Close || unframed
	if resp.Header.Get(c.idHeader) != ex.id {
		if last {
			return errUnexpectedBytes
		}
		return nil
	}
	return c.deliver(ex, resp, last)
}

// deliver hands the answer over. What follows it on the connection belongs to
// no request, so the connection is not used again then.
func (c *conn) deliver(ex *exchange, resp *http.Response, last bool) error {
	c.mu.Lock()
	c.current = nil
	var end error
	if last || c.reader.Buffered() > 0 {
		end = errUnexpectedBytes
		c.closeErr = end
	}
	c.mu.Unlock()
	ex.response <- resp
	return end
}
