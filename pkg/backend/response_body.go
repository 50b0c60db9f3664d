package backend

import (
	"net/http"

	"github.com/pkg/errors"
)

// errResetUnderRequest closes a connection that ended before the request was written whole, with a
// response that has no length: the body may be incomplete.
var errResetUnderRequest = errors.New("the connection ended before the request was written, and the response has no length")

// isFramed reports whether the head of a response tells where the body ends. Otherwise the end of the
// connection ends it.
func isFramed(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}

// readBody reads the whole body of the response to ex.
func (c *conn) readBody(ex *exchange, resp *http.Response) (*heldBody, error) {
	body, err := c.answers.readBody(resp.Body, resp.ContentLength, c.maxBodyBytes)
	if err != nil || isFramed(resp) || resp.Body == http.NoBody {
		return body, err
	}
	if err := ex.confirmEnd(); err != nil {
		body.release()
		return nil, err
	}
	return body, nil
}

// confirmEnd returns an error if the end of the connection, which the reader has seen, may have been
// a reset. The kernel reports a reset only once: to the writer of the request, if that is the next to
// use the connection. confirmEnd therefore waits until the write has ended.
func (ex *exchange) confirmEnd() error {
	<-ex.written
	if ex.writeErr != nil {
		return errors.Wrap(errResetUnderRequest, ex.writeErr.Error())
	}
	return nil
}
