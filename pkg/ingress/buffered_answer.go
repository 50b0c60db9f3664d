package ingress

import (
	"bytes"
	"net"
	"net/http"
	"strconv"
	"time"
)

// answer is a whole answer that waits for its turn. It implements
// http.ResponseWriter.
type answer struct {
	header http.Header
	status int
	body   []byte
	// head is true for answers to HEAD requests, which have no body.
	head bool
}

func newAnswer(method string) *answer {
	return &answer{header: http.Header{}, head: method == http.MethodHead}
}

// Header implements http.ResponseWriter.
func (a *answer) Header() http.Header { return a.header }

// WriteHeader implements http.ResponseWriter.
func (a *answer) WriteHeader(status int) { a.status = status }

// Write implements http.ResponseWriter, but that it keeps p: bodies are written
// in one piece and never change, and a copy would cost as much as all else.
func (a *answer) Write(p []byte) (int, error) {
	if a.body == nil {
		a.body = p
		return len(p), nil
	}
	a.body = append(a.body, p...)
	return len(p), nil
}

// write writes the answer as the standard server does: the same headers, in
// the same order, and none of those that belong to the connection.
func (a *answer) write(to net.Conn, closes bool) error {
	a.header.Del("Connection")
	if a.status == http.StatusNoContent || a.status == http.StatusNotModified {
		a.header.Del("Content-Length")
		a.body = nil
	}
	if a.status == http.StatusNotModified {
		a.header.Del("Content-Type")
	}
	var head bytes.Buffer
	a.writeHead(&head, closes)
	if a.head || len(a.body) == 0 {
		_, err := to.Write(head.Bytes())
		return err
	}
	parts := net.Buffers{head.Bytes(), a.body}
	_, err := parts.WriteTo(to)
	return err
}

func (a *answer) writeHead(to *bytes.Buffer, closes bool) {
	to.WriteString("HTTP/1.1 ")
	to.WriteString(strconv.Itoa(a.status))
	to.WriteByte(' ')
	if text := http.StatusText(a.status); text != "" {
		to.WriteString(text)
	} else {
		to.WriteString("status code " + strconv.Itoa(a.status))
	}
	to.WriteString("\r\n")
	// A bytes.Buffer takes everything.
	_ = a.header.Write(to)
	if _, has := a.header["Date"]; !has {
		to.WriteString("Date: " + time.Now().UTC().Format(http.TimeFormat) + "\r\n")
	}
	if closes {
		to.WriteString("Connection: close\r\n")
	}
	to.WriteString("\r\n")
}
