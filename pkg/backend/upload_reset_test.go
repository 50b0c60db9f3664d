package backend

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/rushramp/rushramp/pkg/errkind"
)

// uploadBytes is the size of an upload that the socket buffers of both ends do not hold.
const uploadBytes = 48 << 20

// resetRounds is how often a reset is repeated: whether the reader or the writer of a connection
// gets it depends on timing.
const resetRounds = 40

func newUpload(id string) *Request {
	req := newGetRequest(id)
	req.Method, req.Body = "POST", make([]byte, uploadBytes)
	return req
}

// serveHeads runs a backend server that passes each connection to answer once the head of a
// request has arrived. unread holds what follows the head.
func serveHeads(t *testing.T, answer func(c *net.TCPConn, unread io.Reader, id string)) (address string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				reader := bufio.NewReader(c)
				if req, err := http.ReadRequest(reader); err == nil {
					answer(c.(*net.TCPConn), req.Body, req.Header.Get("Rushramp-Request-Id"))
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// reset closes a connection such that its peer gets a reset.
func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// expectBroken checks the reply to a request that ran and whose response cannot be used.
func expectBroken(t *testing.T, got Reply, what string) {
	t.Helper()
	if got.Refusal == nil {
		t.Errorf("%s: taken as an answer with status %d, headers %v and body %.40q", what, got.Answer.Status, got.Answer.Headers, got.Answer.Body)
		return
	}
	test.Eq(t, errkind.BackendFailed, got.Refusal.Kind, test.Sprint(what))
	test.Eq(t, errkind.RanMaybe, got.Refusal.Ran, test.Sprint(what))
	test.True(t, got.Offered, test.Sprint(what))
}

func expectAnswer(t *testing.T, got Reply, body, what string) {
	t.Helper()
	must.Nil(t, got.Refusal, must.Sprint(what, ": ", got.Refusal))
	test.Eq(t, http.StatusOK, got.Answer.Status, test.Sprint(what))
	test.Eq(t, body, string(got.Answer.Body), test.Sprint(what))
}

// TestAResetUnderAnUploadEndsNoBody guards against a part of a response that is taken for the
// whole: the writer of the request gets the reset, and the reader an orderly end.
func TestAResetUnderAnUploadEndsNoBody(t *testing.T) {
	for name, head := range map[string]string{
		"no length":         "HTTP/1.1 200 OK\r\n",
		"a failure":         "HTTP/1.1 500 Internal Server Error\r\n",
		"connection: close": "HTTP/1.1 200 OK\r\nConnection: close\r\n",
		"HTTP/1.0":          "HTTP/1.0 200 OK\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			address := serveHeads(t, func(c *net.TCPConn, _ io.Reader, id string) {
				_, _ = fmt.Fprintf(c, "%sRushramp-Request-Id: %s\r\n\r\npart", head, id)
				time.Sleep(5 * time.Millisecond)
				reset(c)
			})
			tr := newTestTransport(address)
			for n := range resetRounds {
				expectBroken(t, do(t, tr, newUpload(fmt.Sprint(n))), fmt.Sprint("round ", n))
			}
			test.Eq(t, 0, tr.opts.Answers.held.Load(), test.Sprint("a dropped body holds nothing"))
		})
	}
}

// TestACompleteResponseBeforeTheEndOfAnUpload checks responses whose framing shows their end, such
// as a 413, although the connection is reset under the upload.
func TestACompleteResponseBeforeTheEndOfAnUpload(t *testing.T) {
	for name, framed := range map[string]string{
		"length": "Content-Length: 5\r\n\r\nwhole",
		"chunks": "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			answered := make(chan struct{}, 1)
			address := serveHeads(t, func(c *net.TCPConn, _ io.Reader, id string) {
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRushramp-Request-Id: %s\r\n%s", id, framed)
				<-answered
				reset(c)
			})
			tr := newTestTransport(address)
			for n := range resetRounds {
				expectAnswer(t, do(t, tr, newUpload(fmt.Sprint(n))), "whole", fmt.Sprint("round ", n))
				answered <- struct{}{}
			}
		})
	}
}

// TestABodyWithoutALengthEndsWithTheConnection if the request was written whole, also when it was
// not yet when the body ended.
func TestABodyWithoutALengthEndsWithTheConnection(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\nRushramp-Request-Id: %s\r\n\r\nwhole"
	for name, respond := range map[string]func(c *net.TCPConn, unread io.Reader, id string){
		"after the request": func(c *net.TCPConn, unread io.Reader, id string) {
			_, _ = io.Copy(io.Discard, unread)
			_, _ = fmt.Fprintf(c, answer, id)
		},
		"before the end of the request": func(c *net.TCPConn, unread io.Reader, id string) {
			_, _ = fmt.Fprintf(c, answer, id)
			_ = c.CloseWrite()
			time.Sleep(20 * time.Millisecond)
			_, _ = io.Copy(io.Discard, unread)
		},
	} {
		t.Run(name, func(t *testing.T) {
			tr := newTestTransport(serveHeads(t, respond))
			for n := range 10 {
				expectAnswer(t, do(t, tr, newUpload(fmt.Sprint("upload-", n))), "whole", "an upload")
				expectAnswer(t, do(t, tr, newGetRequest(fmt.Sprint("get-", n))), "whole", "no body")
			}
		})
	}
}

// TestAResetAfterTheRequestEndsNoBody of a response without a length.
func TestAResetAfterTheRequestEndsNoBody(t *testing.T) {
	address := serveHeads(t, func(c *net.TCPConn, unread io.Reader, id string) {
		_, _ = io.Copy(io.Discard, unread)
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRushramp-Request-Id: %s\r\n\r\npart", id)
		reset(c)
	})
	tr := newTestTransport(address)
	for n := range resetRounds {
		expectBroken(t, do(t, tr, newGetRequest(fmt.Sprint(n))), fmt.Sprint("round ", n))
	}
}
