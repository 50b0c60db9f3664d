package backend

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/rushramp/rushramp/pkg/clock"
	"github.com/rushramp/rushramp/pkg/errkind"
)

// maxEndlessBytes is how many bytes an endless response has until its server gives up: more than
// the largest response, and the socket buffers of both ends.
const maxEndlessBytes = 48 << 20

// endlessResponses holds responses to the request r without an end, as a beginning and what
// follows it again and again.
var endlessResponses = map[string][2]string{
	"a status line":            {"HTTP/1.1 200 ", strings.Repeat("O", 4096)},
	"a header line":            {"HTTP/1.1 200 OK\r\nRushramp-Request-Id: r\r\nX: ", strings.Repeat("x", 4096)},
	"short header lines":       {"HTTP/1.1 200 OK\r\nRushramp-Request-Id: r\r\n", strings.Repeat("A:\r\n", 1024)},
	"continued header lines":   {"HTTP/1.1 200 OK\r\nRushramp-Request-Id: r\r\nX: x\r\n", strings.Repeat(" x\r\n", 1024)},
	"interim responses":        {"", strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", 100)},
	"other responses":          {"", strings.Repeat("HTTP/1.1 200 OK\r\nRushramp-Request-Id: other\r\nContent-Length: 2\r\n\r\nok", 100)},
	"another response":         {"HTTP/1.1 200 OK\r\nRushramp-Request-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n", "1000\r\n" + strings.Repeat("x", 4096) + "\r\n"},
	"a body without length":    {"HTTP/1.1 200 OK\r\nRushramp-Request-Id: r\r\n\r\n", strings.Repeat("x", 4096)},
	"a body of some terabytes": {"HTTP/1.1 200 OK\r\nRushramp-Request-Id: r\r\nContent-Length: 9000000000000\r\n\r\n", strings.Repeat("x", 4096)},
	"chunks":                   {"HTTP/1.1 200 OK\r\nRushramp-Request-Id: r\r\nTransfer-Encoding: chunked\r\n\r\n", "1000\r\n" + strings.Repeat("x", 4096) + "\r\n"},
	"small chunks":             {"HTTP/1.1 200 OK\r\nRushramp-Request-Id: r\r\nTransfer-Encoding: chunked\r\n\r\n", strings.Repeat("1\r\nx\r\n", 500)},
	"a chunk's extension":      {"HTTP/1.1 200 OK\r\nRushramp-Request-Id: r\r\nTransfer-Encoding: chunked\r\n\r\n1;", strings.Repeat("x", 4096)},
	"trailers":                 {"HTTP/1.1 200 OK\r\nRushramp-Request-Id: r\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", strings.Repeat("A: b\r\n", 500)},
	"no HTTP":                  {"\x00\x01", strings.Repeat("\x00\xff", 2048)},
}

// writeEndless writes a response until the connection is closed, or maxEndlessBytes.
func writeEndless(c net.Conn, response [2]string) (closed bool) {
	if _, err := io.WriteString(c, response[0]); err != nil {
		return true
	}
	for n := 0; n < maxEndlessBytes; n += len(response[1]) {
		if _, err := io.WriteString(c, response[1]); err != nil {
			return true
		}
	}
	return false
}

// TestEndlessResponsesAreCut guards against a backend server in trouble whose bytes are read
// without a limit until the deadline of the request.
func TestEndlessResponsesAreCut(t *testing.T) {
	for name, response := range endlessResponses {
		t.Run(name, func(t *testing.T) {
			closed := make(chan bool, 1)
			address, _ := serve(t, func(c net.Conn, req *http.Request) {
				if id := req.Header.Get("Rushramp-Request-Id"); id != "r" {
					writeOK(c, id, "ordinary")
					return
				}
				closed <- writeEndless(c, response)
				_, _ = io.Copy(io.Discard, c)
			})
			tr := newTestTransport(address)
			got := do(t, tr, newGetRequest("r"))
			must.NotNil(t, got.Refusal)
			test.Eq(t, errkind.RanMaybe, got.Refusal.Ran)
			test.Eq(t, http.StatusBadGateway, got.Refusal.Kind.Row().Status, test.Sprint(got.Refusal))
			test.True(t, got.Offered)
			test.True(t, <-closed, test.Sprint("the connection is closed"))
			ordinary := do(t, tr, newGetRequest("s"))
			must.Nil(t, ordinary.Refusal)
			test.Eq(t, "ordinary", string(ordinary.Answer.Body))
		})
	}
}

// TestSlowEndlessResponsesEndWithTheRequest guards against a response that comes a byte at a time
// and holds its slot beyond the deadline.
func TestSlowEndlessResponsesEndWithTheRequest(t *testing.T) {
	for name, response := range endlessResponses {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			closed := make(chan struct{})
			address, _ := serve(t, func(c net.Conn, _ *http.Request) {
				defer close(closed)
				for text := response[0] + response[1]; ; {
					for i := range len(text) {
						if _, err := io.WriteString(c, text[i:i+1]); err != nil {
							return
						}
						time.Sleep(5 * time.Millisecond)
					}
				}
			})
			ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
			defer cancel()
			got := newTestTransport(address).Do(ctx, newGetRequest("r"))
			must.NotNil(t, got.Refusal)
			test.Eq(t, errkind.RanMaybe, got.Refusal.Ran)
			<-closed
		})
	}
}

// TestEndlessHealthResponsesAreCut guards against a health path whose bytes have no end, and against
// a head that takes more memory than the VM has although it ends.
func TestEndlessHealthResponsesAreCut(t *testing.T) {
	responses := maps.Clone(endlessResponses)
	responses["a head of 1 MB"] = [2]string{"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + strings.Repeat("A:\r\n", 256<<10) + "\r\n", "x"}
	for name, response := range responses {
		t.Run(name, func(t *testing.T) {
			closed := make(chan bool, 1)
			address, _ := serve(t, func(c net.Conn, req *http.Request) {
				if req.URL.Path == "/ordinary" {
					writeOK(c, "", "")
					return
				}
				closed <- writeEndless(c, response)
			})
			p := NewProber(address, DefaultHeaders(), 5*time.Second)
			defer p.Close()
			got, err := p.Probe(t.Context(), "/health")
			if strings.Contains(name, "head") || strings.Contains(name, "line") || name == "interim responses" {
				test.Error(t, err, test.Sprint(got))
			}
			test.True(t, <-closed, test.Sprint("the connection is closed"))
			got, err = p.Probe(t.Context(), "/ordinary")
			test.NoError(t, err)
			test.True(t, got.Healthy)
		})
	}
}

// TestAHeadWithinTheLimitIsRead checks heads with long and with many lines, interim responses
// and surplus responses before them.
func TestAHeadWithinTheLimitIsRead(t *testing.T) {
	var served atomic.Int64
	address, connections := serve(t, func(c net.Conn, req *http.Request) {
		served.Add(1)
		for range maxDroppedResponses / 2 {
			_, _ = io.WriteString(c, "HTTP/1.1 103 Early Hints\r\nLink: "+strings.Repeat("x", 10_000)+"\r\n\r\n")
			writeOK(c, "other", strings.Repeat("x", 10_000))
		}
		lines := strings.Repeat("A: b\r\n", 2000) + "X: " + strings.Repeat("x", 40_000) + "\r\n"
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sRushramp-Request-Id: %s\r\nContent-Length: 2\r\n\r\nok", lines, req.Header.Get("Rushramp-Request-Id"))
	})
	tr := newTestTransport(address)
	for n := range 3 {
		got := do(t, tr, newGetRequest(fmt.Sprint(n)))
		must.Nil(t, got.Refusal, must.Sprint(got.Refusal))
		test.Eq(t, "ok", string(got.Answer.Body))
	}
	test.Eq(t, 1, connections.Load())
}

// TestAnswersTogetherStayWithinTheBudget guards against answers that each are within the maximum
// size of a body and together take more memory than the VM has.
func TestAnswersTogetherStayWithinTheBudget(t *testing.T) {
	const maxBody, limit, size = 1 << 20, 7 << 19, 900_000
	var seen atomic.Int64
	proceed := make(chan struct{})
	address, _ := serve(t, func(c net.Conn, req *http.Request) {
		seen.Add(1)
		id := req.Header.Get("Rushramp-Request-Id")
		if id == "ordinary" {
			writeOK(c, id, "ok")
			return
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRushramp-Request-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", id, size, strings.Repeat("x", size))
		<-proceed
		_, _ = io.WriteString(c, "0\r\n\r\n")
	})
	budget := NewAnswerBudget(limit, metrics.NewSet())
	tr := NewTransport(TransportOptions{Address: address, Headers: DefaultHeaders(), DialTimeout: time.Second, MaxBodyBytes: maxBody, Answers: budget, Now: clock.New().Now})
	replies := make(chan Reply, 3)
	for n := range int64(3) {
		go func() { replies <- do(t, tr, newGetRequest(fmt.Sprint("held-", n))) }()
		for budget.held.Load() != (n+1)*maxBody {
			time.Sleep(time.Millisecond)
		}
	}
	cut := do(t, tr, newGetRequest("cut"))
	must.NotNil(t, cut.Refusal)
	test.Eq(t, errkind.AnswerCut, cut.Refusal.Kind)
	test.Eq(t, errkind.RanMaybe, cut.Refusal.Ran)
	test.Eq(t, 3*maxBody, budget.held.Load(), test.Sprint("a cut answer holds nothing"))

	test.True(t, budget.reserve(limit-3*maxBody-minAnswerRoom+1))
	refused := do(t, tr, newGetRequest("refused"))
	must.NotNil(t, refused.Refusal)
	test.Eq(t, errkind.Overloaded, refused.Refusal.Kind)
	test.Eq(t, errkind.RanNo, refused.Refusal.Ran)
	test.False(t, refused.Offered)
	test.Eq(t, 4, seen.Load())

	close(proceed)
	for range 3 {
		got := <-replies
		must.Nil(t, got.Refusal, must.Sprint(got.Refusal))
		test.Eq(t, size, len(got.Answer.Body))
		got.Release()
		got.Release()
	}
	ordinary := do(t, tr, newGetRequest("ordinary"))
	must.Nil(t, ordinary.Refusal)
	ordinary.Release()
	test.Eq(t, limit-3*maxBody-minAnswerRoom+1, budget.held.Load())
}

// TestReadBodyHoldsWhatItReturns compares bodies of all kinds of length with what was written, and
// what they hold with the budget.
func TestReadBodyHoldsWhatItReturns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const maxSize = 20_000
		limit := rapid.IntRange(1, 50_000).Draw(t, "limit")
		text := strings.Repeat("x", rapid.IntRange(0, maxSize+100).Draw(t, "size"))
		length := int64(-1)
		if rapid.Bool().Draw(t, "stated") {
			length = int64(len(text))
		}
		budget := NewAnswerBudget(limit, metrics.NewSet())
		got, err := budget.readBody(iotest.OneByteReader(strings.NewReader(text)), length, maxSize)
		if err != nil {
			test.True(t, len(text) > maxSize || errors.Is(err, errAnswersFull))
			test.Eq(t, 0, budget.held.Load())
			return
		}
		test.Eq(t, text, string(got.data))
		test.Eq(t, int64(cap(got.data)), budget.held.Load())
		test.LessEq(t, int64(limit), budget.held.Load())
		got.release()
		test.Eq(t, 0, budget.held.Load())
	})
}
