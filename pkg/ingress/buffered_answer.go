package ingress

import (
	"bytes"
	"net"
	"net/http"
	"strconv"
	"time"
)

// bufferedAnswer holds a complete answer until all earlier answers on its connection are
// written. It implements http.ResponseWriter.
type bufferedAnswer struct {
	header http.Header
	status int
	body   []byte
	// toHead is true for an answer to a HEAD request, which has no body.
	toHead bool
	// release is called when the answer is not held any more; nil: nothing is called.
	release func()
}

func newBufferedAnswer(method string) *bufferedAnswer {
	return &bufferedAnswer{header: http.Header{}, toHead: method == http.MethodHead}
}

// Header implements http.ResponseWriter.
func (a *bufferedAnswer) Header() http.Header { return a.header }

// WriteHeader implements http.ResponseWriter.
func (a *bufferedAnswer) WriteHeader(status int) { a.status = status }

// Write implements http.ResponseWriter, except that it keeps p instead of copying it:
// bodies are written in one piece and never change, and a copy would be expensive.
func (a *bufferedAnswer) Write(p []byte) (int, error) {
	if a.body == nil {
		a.body = p
		return len(p), nil
	}
	a.body = append(a.body, p...)
	return len(p), nil
}

// writeTo writes the same bytes to conn that http.Server would write for this answer.
// The Connection header depends on closeConn alone.
func (a *bufferedAnswer) writeTo(conn net.Conn, closeConn bool) error {
	a.header.Del("Connection")
	if a.status == http.StatusNoContent || a.status == http.StatusNotModified {
		a.header.Del("Content-Length")
		a.body = nil
	}
	if a.status == http.StatusNotModified {
		a.header.Del("Content-Type")
	}
	var head bytes.Buffer
	a.writeHead(&head, closeConn)
	if a.toHead || len(a.body) == 0 {
		_, err := conn.Write(head.Bytes())
		return err
	}
	if w, ok := conn.(*answerWriter); ok {
		return w.writeParts(head.Bytes(), a.body)
	}
	parts := net.Buffers{head.Bytes(), a.body}
	_, err := parts.WriteTo(conn)
	return err
}

// writeHead writes the status line and the headers.
func (a *bufferedAnswer) writeHead(buf *bytes.Buffer, closeConn bool) {
	buf.WriteString("HTTP/1.1 ")
	buf.WriteString(strconv.Itoa(a.status))
	buf.WriteByte(' ')
	if reason := http.StatusText(a.status); reason != "" {
		buf.WriteString(reason)
	} else {
		buf.WriteString("status code " + strconv.Itoa(a.status))
	}
	buf.WriteString("\r\n")
	// Writing to a bytes.Buffer never fails.
	_ = a.header.Write(buf)
	if _, ok := a.header["Date"]; !ok {
		buf.WriteString("Date: " + time.Now().UTC().Format(http.TimeFormat) + "\r\n")
	}
	if closeConn {
		buf.WriteString("Connection: close\r\n")
	}
	buf.WriteString("\r\n")
}
