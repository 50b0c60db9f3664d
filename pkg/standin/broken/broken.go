// Package broken is a stand-in for a server in trouble, whose answers cannot be used: they break
// off, or have a head that is not one of HTTP.
package broken

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Answer is how the server answers a request, and then ends the connection.
type Answer struct {
	// Text is sent as it is, except that idLine stands for the line that names the request.
	Text string
	// Early answers before the body of the request is read, and resets the connection under it.
	Early bool
	// Reset resets the connection after the answer to a request that was read.
	Reset bool
}

const (
	idLine = "{id}"
	head   = "HTTP/1.1 200 OK\r\n" + idLine
	whole  = idLine + "Content-Length: 6\r\n\r\nbroken"
)

// Answers holds answers that no reader may take for one, by name. Where one has a body it is
// "broken" or a part of it.
var Answers = map[string]Answer{
	"reset-under-upload":  {Text: head + "\r\nbroken", Early: true},
	"failure-reset-early": {Text: "HTTP/1.1 500 Internal Server Error\r\n" + idLine + "\r\nbroken", Early: true},
	"reset-after-request": {Text: head + "\r\nbroken", Reset: true},
	"status-000":          {Text: "HTTP/1.1 000 Trouble\r\n" + whole},
	"status-000-then-200": {Text: "HTTP/1.1 000 Trouble\r\n\r\nHTTP/1.1 200 OK\r\n" + whole},
	"status-101":          {Text: "HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 200 OK\r\n" + whole},
	"blank-in-name":       {Text: "HTTP/1.1 200 OK\r\nX Y: broken\r\n" + whole},
	"blank-before-colon":  {Text: "HTTP/1.1 200 OK\r\nX : broken\r\n" + whole},
	"length-with-blank":   {Text: head + "Content-Length : 2\r\n\r\nbroken"},
	"coding-with-blank":   {Text: head + "Transfer-Encoding : chunked\r\n\r\n6\r\nbroken\r\n0\r\n\r\n"},
	"control-in-name":     {Text: "HTTP/1.1 200 OK\r\nX\x01Y: broken\r\n" + whole},
	"control-in-value":    {Text: "HTTP/1.1 200 OK\r\nX: broken\x01\r\n" + whole},
	"coding-in-1.0":       {Text: "HTTP/1.0 200 OK\r\n" + idLine + "Transfer-Encoding: chunked\r\n\r\n6\r\nbroken\r\n0\r\n\r\n"},
	"protocol-2.0":        {Text: "HTTP/2.0 200 OK\r\n" + whole},
	"head-stops-status":   {Text: "HTTP/1.1 200 OK\r\n"},
	"head-stops-field":    {Text: head + "X: brok"},
	"head-stops-end":      {Text: head + "X: broken\r\n"},
	"head-stops-reset":    {Text: head + "Content-Length: 0\r\n", Reset: true},
	"body-stops":          {Text: head + "Content-Length: 60\r\n\r\nbroken"},
	"chunks-stop":         {Text: head + "Transfer-Encoding: chunked\r\n\r\n6\r\nbroken\r\n"},
}

// resetDelay is how long the server waits before it resets a connection under an upload, so that
// the client has read the answer and is blocked in its write.
const resetDelay = 5 * time.Millisecond

// Send reads the request's body unless the answer comes early, answers, and closes c. idHeader is
// the header of the request that the answer repeats; empty: none.
func (a *Answer) Send(c net.Conn, r *http.Request, idHeader string) {
	defer func() { _ = c.Close() }()
	if !a.Early {
		_, _ = io.Copy(io.Discard, r.Body)
	}
	line := ""
	if idHeader != "" {
		line = idHeader + ": " + r.Header.Get(idHeader) + "\r\n"
	}
	_, _ = io.WriteString(c, a.text(line))
	if a.Early {
		time.Sleep(resetDelay)
	}
	if a.Early || a.Reset {
		_ = c.(*net.TCPConn).SetLinger(0)
	}
}

// text returns the bytes of the answer with the given line that names the request.
func (a *Answer) text(line string) string { return strings.ReplaceAll(a.Text, idLine, line) }

// Bytes returns the bytes of an answer that names no request.
func (a *Answer) Bytes() []byte { return []byte(a.text("")) }

// Serve answers each connection of l with answer, until l is closed.
func Serve(l net.Listener, answer Answer) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			r, err := http.ReadRequest(bufio.NewReader(c))
			if err != nil {
				_ = c.Close()
				return
			}
			answer.Send(c, r, "")
		}()
	}
}
