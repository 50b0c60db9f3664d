package backend

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/rushramp/rushramp/pkg/clock"
	"github.com/rushramp/rushramp/pkg/errkind"
)

// responder writes the response to one request on a raw connection.
type responder func(conn net.Conn, req *http.Request)

// serve runs a backend server that answers each request with respond, and counts its
// connections.
func serve(t *testing.T, respond responder) (address string, connections *atomic.Int64) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	connections = &atomic.Int64{}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			connections.Add(1)
			go func() {
				defer func() { _ = c.Close() }()
				reader := bufio.NewReader(c)
				for {
					req, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					respond(c, req)
				}
			}()
		}
	}()
	return listener.Addr().String(), connections
}

func newTestTransport(address string) *Transport {
	return NewTransport(TransportOptions{Address: address, Headers: DefaultHeaders(), DialTimeout: time.Second, MaxBodyBytes: 1 << 20, Answers: NewAnswerBudget(4<<20, metrics.NewSet()), Now: clock.New().Now})
}

func newGetRequest(id string) *Request {
	return &Request{ID: id, Method: "GET", URI: "/a/b?c=%2f", Host: "h.example", InstanceID: "i-1", Caller: "front", Repeatable: true}
}

func writeOK(conn net.Conn, id, body string) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRushramp-Request-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func do(t *testing.T, tr *Transport, req *Request) Reply {
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	return tr.Do(ctx, req)
}

func TestRequestIsSentUnchanged(t *testing.T) {
	seen := make(chan *http.Request, 1)
	address, _ := serve(t, func(c net.Conn, req *http.Request) {
		body, _ := io.ReadAll(req.Body)
		req.Body = io.NopCloser(strings.NewReader(string(body)))
		seen <- req
		writeOK(c, req.Header.Get("Rushramp-Request-Id"), "done")
	})
	req := newGetRequest("r1")
	req.Method, req.Body = "POST", []byte("payload")
	got := do(t, newTestTransport(address), req)
	must.Nil(t, got.Refusal)
	test.Eq(t, "done", string(got.Answer.Body))
	received := <-seen
	body, _ := io.ReadAll(received.Body)
	test.Eq(t, "payload", string(body))
	test.Eq(t, "/a/b?c=%2f", received.RequestURI)
	test.Eq(t, "h.example", received.Host)
	test.Eq(t, "i-1", received.Header.Get("Rushramp-Expected-Instance"))
	test.Eq(t, "front", received.Header.Get("Rushramp-Caller"))
	test.NotEq(t, "", received.Header.Get("Rushramp-Timeout"))
}

func TestLateResponseToEarlierRequestIsDropped(t *testing.T) {
	address, connections := serve(t, func(c net.Conn, req *http.Request) {
		if id := req.Header.Get("Rushramp-Request-Id"); id == "r2" {
			writeOK(c, "r1", "late")
			writeOK(c, id, "right")
		} else {
			writeOK(c, id, "first")
		}
	})
	tr := newTestTransport(address)
	must.Eq(t, "first", string(do(t, tr, newGetRequest("r1")).Answer.Body))
	must.Eq(t, "right", string(do(t, tr, newGetRequest("r2")).Answer.Body))
	test.Eq(t, 1, connections.Load())
}

func TestUnexpectedBytesCloseTheConnection(t *testing.T) {
	address, connections := serve(t, func(c net.Conn, req *http.Request) {
		id := req.Header.Get("Rushramp-Request-Id")
		text := fmt.Sprintf("HTTP/1.1 200 OK\r\nRushramp-Request-Id: %s\r\nContent-Length: 2\r\n\r\nok", id)
		_, _ = io.WriteString(c, text+"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad")
	})
	tr := newTestTransport(address)
	for i := range 3 {
		must.Eq(t, "ok", string(do(t, tr, newGetRequest(fmt.Sprint(i))).Answer.Body))
	}
	test.Eq(t, 3, connections.Load())
}

func TestTruncatedResponseMeansMayHaveRun(t *testing.T) {
	texts := map[string]string{
		"truncated body":                       "HTTP/1.1 200 OK\r\nRushramp-Request-Id: r\r\nContent-Length: 10\r\n\r\nabc",
		"truncated head":                       "HTTP/1.1 200 OK\r\nRushramp-Req",
		"no response":                          "",
		"not HTTP":                             "\x00\x01\x02 nonsense\r\n\r\n",
		"truncated chunk":                      "HTTP/1.1 200 OK\r\nRushramp-Request-Id: r\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
		"only the response to another request": "HTTP/1.1 200 OK\r\nRushramp-Request-Id: x\r\nConnection: close\r\nContent-Length: 2\r\n\r\nab",
	}
	for name, text := range texts {
		t.Run(name, func(t *testing.T) {
			address, _ := serve(t, func(c net.Conn, _ *http.Request) {
				_, _ = io.WriteString(c, text)
				_ = c.Close()
			})
			got := do(t, newTestTransport(address), newGetRequest("r"))
			must.NotNil(t, got.Refusal)
			test.Eq(t, errkind.BackendFailed, got.Refusal.Kind)
			test.Eq(t, errkind.RanMaybe, got.Refusal.Ran)
			test.True(t, got.Offered)
		})
	}
}

func TestCloseDelimitedResponseNeedsCleanClose(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nRushramp-Request-Id: r\r\n\r\n"
	for name, reset := range map[string]bool{"closed": false, "reset": true} {
		t.Run(name, func(t *testing.T) {
			address, _ := serve(t, func(c net.Conn, _ *http.Request) {
				_, _ = io.WriteString(c, head+"part")
				if reset {
					_ = c.(*net.TCPConn).SetLinger(0)
				}
				_ = c.Close()
			})
			got := do(t, newTestTransport(address), newGetRequest("r"))
			if reset {
				must.NotNil(t, got.Refusal)
				test.Eq(t, errkind.RanMaybe, got.Refusal.Ran)
				return
			}
			must.NotNil(t, got.Answer)
			test.Eq(t, "part", string(got.Answer.Body))
		})
	}
}

func TestOnlyMarkedResponsesProveNotRun(t *testing.T) {
	scenarios := []struct {
		name, text string
		kind       errkind.Kind
		instanceID string
	}{
		{"marked", "HTTP/1.1 503 X\r\nRushramp-Request-Id: r\r\nRushramp-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", errkind.BackendRefused, ""},
		{"replaced", "HTTP/1.1 421 X\r\nRushramp-Request-Id: r\r\nRushramp-Instance: i-2\r\nContent-Length: 0\r\n\r\n", errkind.BackendReplaced, "i-2"},
		{"its own 503", "HTTP/1.1 503 X\r\nRushramp-Request-Id: r\r\nContent-Length: 0\r\n\r\n", errkind.None, ""},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			address, _ := serve(t, func(c net.Conn, _ *http.Request) { _, _ = io.WriteString(c, s.text) })
			got := do(t, newTestTransport(address), newGetRequest("r"))
			if s.kind == errkind.None {
				must.NotNil(t, got.Answer)
				test.Eq(t, 503, got.Answer.Status)
				return
			}
			must.NotNil(t, got.Refusal)
			test.Eq(t, s.kind, got.Refusal.Kind)
			test.Eq(t, errkind.RanNo, got.Refusal.Ran)
			test.Eq(t, s.instanceID, got.InstanceID)
		})
	}
}

func TestEarlyResponseClosesTheConnection(t *testing.T) {
	readBody := make(chan struct{})
	address, connections := serve(t, func(c net.Conn, req *http.Request) {
		writeOK(c, req.Header.Get("Rushramp-Request-Id"), "no")
		if req.ContentLength > 0 {
			<-readBody
		}
		_, _ = io.Copy(io.Discard, req.Body)
	})
	defer close(readBody)
	tr := newTestTransport(address)
	big := newGetRequest("r1")
	// The body exceeds the socket buffers of both ends, so it cannot be fully written.
	big.Method, big.Body = "POST", make([]byte, 32<<20)
	must.Eq(t, "no", string(do(t, tr, big).Answer.Body))
	must.Eq(t, "no", string(do(t, tr, newGetRequest("r2")).Answer.Body))
	test.Eq(t, 2, connections.Load())
}

func TestCancelledRequestClosesTheConnection(t *testing.T) {
	arrived, closed := make(chan struct{}), make(chan struct{})
	address, _ := serve(t, func(c net.Conn, _ *http.Request) {
		close(arrived)
		_, _ = c.Read(make([]byte, 1))
		close(closed)
	})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-arrived
		cancel()
	}()
	got := newTestTransport(address).Do(ctx, newGetRequest("r"))
	must.NotNil(t, got.Refusal)
	test.Eq(t, errkind.CallerGone, got.Refusal.Kind)
	test.Eq(t, errkind.RanMaybe, got.Refusal.Ran)
	<-closed
}

func TestNonRepeatableRequestAvoidsIdleConnection(t *testing.T) {
	address, connections := serve(t, func(c net.Conn, req *http.Request) {
		writeOK(c, req.Header.Get("Rushramp-Request-Id"), "ok")
	})
	tr := newTestTransport(address)
	must.NotNil(t, do(t, tr, newGetRequest("r1")).Answer)
	tr.mu.Lock()
	tr.idle[0].lastUsed -= int64(2 * maxIdleNonRepeatable)
	tr.mu.Unlock()
	nonRepeatable := newGetRequest("r2")
	nonRepeatable.Repeatable = false
	must.NotNil(t, do(t, tr, nonRepeatable).Answer)
	must.Eq(t, 2, connections.Load())
	must.NotNil(t, do(t, tr, newGetRequest("r3")).Answer)
	test.Eq(t, 2, connections.Load())
}

func TestNoListener(t *testing.T) {
	got := do(t, newTestTransport("127.0.0.1:1"), newGetRequest("r"))
	must.NotNil(t, got.Refusal)
	test.Eq(t, errkind.BackendUnreachable, got.Refusal.Kind)
	test.Eq(t, errkind.RanNo, got.Refusal.Ran)
	test.False(t, got.Offered)
}

// TestConnectionIsNotUsedWhenTheBackendServerMayCloseIt: a request on a connection that the
// backend server closes at the same moment may have run, and one that must not be repeated
// then fails.
func TestConnectionIsNotUsedWhenTheBackendServerMayCloseIt(t *testing.T) {
	for _, s := range []struct {
		header string
		idle   time.Duration
		reused bool
	}{
		{"timeout=1", 700 * time.Millisecond, true},
		{"timeout=1", 900 * time.Millisecond, false},
		{"max=5, Timeout = 2", 1500 * time.Millisecond, true},
		{"max=5, Timeout = 2", 1900 * time.Millisecond, false},
		{"timeout=soon", 5 * time.Second, true},
		{"timeout=-1", 5 * time.Second, true},
		{"timeout=3600", 7 * time.Second, true},
		{"timeout=3600", 9 * time.Second, false},
	} {
		address, connections := serve(t, func(c net.Conn, req *http.Request) {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nKeep-Alive: %s\r\nRushramp-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", s.header, req.Header.Get("Rushramp-Request-Id"))
		})
		tr := newTestTransport(address)
		must.NotNil(t, tr.Do(t.Context(), newGetRequest("a")).Answer)
		tr.idle[0].lastUsed -= int64(s.idle)
		must.NotNil(t, tr.Do(t.Context(), newGetRequest("b")).Answer)
		test.Eq(t, s.reused, connections.Load() == 1, test.Sprintf("%s after %v", s.header, s.idle))
		tr.CloseIdle()
	}
}
