package backend

import (
	"bufio"
	"bytes"
	"net/http"
	"net/textproto"

	"github.com/pkg/errors"

	"github.com/rushramp/rushramp/pkg/httpstrict"
)

// http10 begins a response of HTTP/1.0.
const http10 = "HTTP/1.0"

// errCodingInHTTP10 closes a connection whose response cannot be framed: HTTP/1.0 has no transfer
// codings, and net/http drops the field (RFC 9112, section 6.1).
var errCodingInHTTP10 = errors.New("the response of HTTP/1.0 has a transfer coding")

// readHead reads the head of a response and checks it before its body is framed.
func (c *conn) readHead(ex *exchange) (*http.Response, error) {
	start, err := c.reader.Peek(len(http10))
	if err != nil {
		return nil, err
	}
	isHTTP10 := string(start) == http10
	if isHTTP10 {
		c.source.record = &bytes.Buffer{}
		defer func() { c.source.record = nil }()
		buffered, _ := c.reader.Peek(c.reader.Buffered())
		_, _ = c.source.record.Write(buffered)
	}
	resp, err := http.ReadResponse(c.reader, ex.request)
	if err != nil {
		return nil, err
	}
	if isHTTP10 {
		head := c.source.record.Bytes()
		if hasCoding(head[:len(head)-c.reader.Buffered()]) {
			return nil, errCodingInHTTP10
		}
	}
	return resp, httpstrict.CheckResponse(resp)
}

// hasCoding reports whether a head, which net/http has read, has a Transfer-Encoding field.
func hasCoding(head []byte) bool {
	reader := textproto.NewReader(bufio.NewReader(bytes.NewReader(head)))
	if _, err := reader.ReadLine(); err != nil {
		return false
	}
	header, err := reader.ReadMIMEHeader()
	return err == nil && len(header["Transfer-Encoding"]) > 0
}
