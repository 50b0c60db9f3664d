package executor

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/clock"
	"github.com/rushramp/rushramp/pkg/errkind"
	"github.com/rushramp/rushramp/pkg/settings"
	"github.com/rushramp/rushramp/pkg/standin/broken"
	"github.com/rushramp/rushramp/pkg/wire"
)

const (
	// uploadBytes is the size of a body that the socket buffers of both ends do not hold.
	uploadBytes = 48 << 20
	// brokenRounds is how often each broken answer is asked for.
	brokenRounds = 20
)

// newTestClient returns a client of the backend server that accept serves.
func newTestClient(t *testing.T, accept func(l net.Listener)) *backendClient {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go accept(l)
	s := settings.Default().BackendServer
	s.Address = l.Addr().String()
	return newBackendClient(s, 1<<20, clock.New().Now)
}

func runCall(c *backendClient, method, uri string, body []byte) (*call.Answer, *errkind.Error) {
	return c.run(&wire.Call{Method: method, URI: uri}, "r", body, 20*time.Second, true)
}

// TestBrokenAnswersAreFailedCalls that may have run.
func TestBrokenAnswersAreFailedCalls(t *testing.T) {
	for name, answer := range broken.Answers {
		t.Run(name, func(t *testing.T) {
			c := newTestClient(t, func(l net.Listener) { broken.Serve(l, answer) })
			var body []byte
			if answer.Early {
				body = make([]byte, uploadBytes)
			}
			for n := range brokenRounds {
				got, refusal := runCall(c, "POST", "/x", body)
				if refusal == nil {
					t.Errorf("round %d: taken as an answer with status %d, headers %v and body %.40q", n, got.Status, got.Headers, got.Body)
					continue
				}
				test.Eq(t, errkind.BackendFailed, refusal.Kind)
				test.Eq(t, errkind.RanMaybe, refusal.Ran)
			}
		})
	}
}

// answerWith answers each request with text and closes its connection.
func answerWith(text string) func(l net.Listener) {
	return func(l net.Listener) { broken.Serve(l, broken.Answer{Text: text}) }
}

// TestOddAnswersAreAnswers checks answers that look like broken ones.
func TestOddAnswersAreAnswers(t *testing.T) {
	for name, text := range map[string]string{
		"no length":             "HTTP/1.1 200 OK\r\n\r\nwhole",
		"HTTP/1.0":              "HTTP/1.0 200 OK\r\n\r\nwhole",
		"chunks":                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nwh\r\n3\r\nole\r\n0\r\n\r\n",
		"an interim response":   "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
		"no reason":             "HTTP/1.1 200\r\nContent-Length: 5\r\n\r\nwhole",
		"a name of odd letters": "HTTP/1.1 200 OK\r\n!#$%: x\r\nContent-Length: 5\r\n\r\nwhole",
	} {
		got, refusal := runCall(newTestClient(t, answerWith(text)), "POST", "/x", []byte("body"))
		must.Nil(t, refusal, must.Sprint(name, ": ", refusal))
		test.Eq(t, http.StatusOK, got.Status, test.Sprint(name))
		test.Eq(t, "whole", string(got.Body), test.Sprint(name))
	}
	got, refusal := runCall(newTestClient(t, answerWith("HTTP/1.1 421 Misdirected Request\r\nContent-Length: 5\r\n\r\nwhole")), "POST", "/x", nil)
	must.Nil(t, refusal)
	test.Eq(t, http.StatusMisdirectedRequest, got.Status)
}

// TestACompleteAnswerBeforeTheEndOfAnUpload such as a 413, is kept.
func TestACompleteAnswerBeforeTheEndOfAnUpload(t *testing.T) {
	c := newTestClient(t, answerEarly("HTTP/1.1 413 Content Too Large\r\nContent-Length: 5\r\n\r\nwhole"))
	for range brokenRounds {
		got, refusal := runCall(c, "POST", "/x", make([]byte, uploadBytes))
		must.Nil(t, refusal)
		test.Eq(t, http.StatusRequestEntityTooLarge, got.Status)
		test.Eq(t, "whole", string(got.Body))
	}
}

// answerEarly answers each request before its body is read, and resets the connection under it.
func answerEarly(text string) func(l net.Listener) {
	return func(l net.Listener) { broken.Serve(l, broken.Answer{Text: text, Early: true}) }
}

// TestCallsAreSentUnchanged also those whose line and fields the callers' listener takes although
// they are odd. What cannot be sent unchanged is refused and does not run.
func TestCallsAreSentUnchanged(t *testing.T) {
	seen := make(chan *http.Request, 1)
	c := newTestClient(t, func(l net.Listener) { recordRequests(l, seen) })
	for _, uri := range []string{"/", "/a/b?c=%2f&d", "//a", "/a#b", "/ü"} {
		got, refusal := c.run(&wire.Call{Method: "PURGE", URI: uri, Headers: []wire.Header{{Name: "X-Y", Value: "z"}}}, "id-1", []byte("payload"), 2*time.Second, false)
		must.Nil(t, refusal, must.Sprint(uri, ": ", refusal))
		test.Eq(t, "payload", string(got.Body))
		r := <-seen
		test.Eq(t, "PURGE", r.Method)
		test.Eq(t, uri, r.RequestURI)
		test.Eq(t, c.settings.Address, r.Host)
		test.Eq(t, "id-1", r.Header.Get(HeaderCallID))
		test.Eq(t, "z", r.Header.Get("X-Y"))
		test.NotEq(t, "", r.Header.Get(HeaderTimeout))
	}
	for _, line := range [][2]string{{"GET", "/a b"}, {"GET", "/a HTTP/1.1\r\nX: y\r\n\r\nGET /b"}, {"GET", "/\x00"}, {"G ET", "/"}, {"GET\r\n", "/"}, {"", "/"}, {"GET", ""}} {
		_, refusal := runCall(c, line[0], line[1], nil)
		must.NotNil(t, refusal, must.Sprintf("%q", line))
		test.Eq(t, errkind.BadRequest, refusal.Kind, test.Sprintf("%q", line))
		test.Eq(t, errkind.RanNo, refusal.Ran, test.Sprintf("%q", line))
	}
	test.Eq(t, 0, len(seen), test.Sprint("nothing else was sent"))
}

// TestCallsThatMayNeverBeRepeatedGetTheirOwnConnection guards against a call that is lost on a
// connection which the backend server closes.
func TestCallsThatMayNeverBeRepeatedGetTheirOwnConnection(t *testing.T) {
	seen := make(chan *http.Request, 10)
	connections := &countingListener{}
	c := newTestClient(t, func(l net.Listener) {
		connections.Listener = l
		recordRequests(connections, seen)
	})
	for _, neverRepeat := range []bool{false, false, true, true, false} {
		_, refusal := c.run(&wire.Call{Method: "POST", URI: "/x"}, "r", nil, 2*time.Second, neverRepeat)
		must.Nil(t, refusal)
	}
	test.Eq(t, 3, connections.accepted.Load(), test.Sprint("one for three calls, and one each for two"))
}

// countingListener counts the connections that it has accepted.
type countingListener struct {
	net.Listener
	accepted atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.accepted.Add(1)
	}
	return c, err
}

// recordRequests answers each request with its body and puts it into seen.
func recordRequests(l net.Listener, seen chan<- *http.Request) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = c.Close() }()
			for reader := bufio.NewReader(c); ; {
				r, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				seen <- r
				body, _ := io.ReadAll(r.Body)
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			}
		}()
	}
}
