package ingress

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/wire"
)

// answerWith ends the run of a request with the result.
func (b *fakeBackend) answerWith(t *testing.T, id string, result call.Result) {
	t.Helper()
	b.mu.Lock()
	run := b.running[id]
	delete(b.running, id)
	b.mu.Unlock()
	must.NotNil(t, run, must.Sprint(id))
	run.onDone(result)
}

// rawAnswers sends the requests in text, ends their runs in the given order with the given
// results, and returns the bytes that come back.
func rawAnswers(t *testing.T, text string, results map[string]call.Result, order []string) string {
	var out strings.Builder
	withPipeline(t, eightConcurrent, func(t *testing.T, env *pipelineEnv) {
		conn := env.listener.dial().conn
		go func() { _, _ = io.Copy(&out, conn) }()
		go func() { _, _ = io.WriteString(conn, text) }()
		synctest.Wait()
		for _, id := range order {
			env.backend.answerWith(t, id, results[id])
			synctest.Wait()
		}
		_ = conn.Close()
		synctest.Wait()
	})
	return out.String()
}

// TestDetachedAnswersEqualThoseOfHTTPServer compares the answers byte for byte.
func TestDetachedAnswersEqualThoseOfHTTPServer(t *testing.T) {
	for _, method := range []string{"GET", "HEAD", "OPTIONS", "DELETE", "POST"} {
		for _, status := range []int{42, 100, 101, 103, 199, 200, 204, 205, 206, 299, 301, 304, 404, 418, 599, 799, 1000} {
			for name, headers := range map[string][]wire.Header{
				"none":   nil,
				"some":   {{Name: "content-type", Value: "a/b"}, {Name: "X-A", Value: "1"}, {Name: "x-a", Value: "2"}},
				"odd":    {{Name: "Connection", Value: "close"}, {Name: "Bad Name", Value: "1"}, {Name: "X-B", Value: "a\r\nX-C: d"}, {Name: "Date", Value: "now"}, {Name: "Content-Encoding", Value: "gzip"}, {Name: "Trailer:X", Value: "1"}, {Name: "Content-Length", Value: "999"}, {Name: "Transfer-Encoding", Value: "chunked"}},
				"nodate": {{Name: "Date", Value: ""}},
			} {
				for _, body := range []string{"", "some body"} {
					t.Run(fmt.Sprintf("%s %d %s %q", method, status, name, body), func(t *testing.T) {
						result := call.Result{Offered: true, Answer: &call.Answer{Status: status, Headers: headers, Body: []byte(body)}}
						a := strings.Replace(get("a"), "GET", method, 1)
						if method == "POST" {
							a = strings.Replace(a, "\r\n\r\n", "\r\nContent-Length: 0\r\n\r\n", 1)
						}
						alone := rawAnswers(t, a, map[string]call.Result{"a": result}, []string{"a"})
						second := call.Result{Offered: true, Answer: &call.Answer{Status: 200, Body: []byte("B")}}
						both := rawAnswers(t, a+get("b"), map[string]call.Result{"a": result, "b": second}, []string{"a", "b"})
						test.StrHasPrefix(t, alone, both)
						if alone == "" {
							test.Eq(t, "", both)
						}
					})
				}
			}
		}
	}
}

// TestInformationalStatusDoesNotMixUpAnswers: when a backend server answers with a status
// that does not end a request (1xx), the caller must not take the answer to its next request
// for the answer to this one.
func TestInformationalStatusDoesNotMixUpAnswers(t *testing.T) {
	for _, status := range []int{100, 103, 199} {
		bad := call.Result{Offered: true, Answer: &call.Answer{Status: status}}
		good := call.Result{Offered: true, Answer: &call.Answer{Status: 200, Body: []byte("B")}}
		raw := rawAnswers(t, get("a")+get("b"), map[string]call.Result{"a": bad, "b": good}, []string{"a", "b"})
		reader := bufio.NewReader(strings.NewReader(raw))
		for {
			resp, err := http.ReadResponse(reader, nil)
			if err != nil {
				break // without a final answer, none can be mixed up
			}
			if resp.StatusCode < 200 {
				continue
			}
			test.Eq(t, "a", resp.Header.Get("Rushramp-Request-Id"), test.Sprintf("status %d: first final answer", status))
			break
		}
	}
}

// TestInvalidStatusIsNotPassedOn: an invalid status would make a malformed status line.
func TestInvalidStatusIsNotPassedOn(t *testing.T) {
	for _, status := range []int{7, 42, 1000} {
		bad := call.Result{Offered: true, Answer: &call.Answer{Status: status, Body: []byte("x")}}
		raw := rawAnswers(t, get("a")+get("b"), map[string]call.Result{"a": bad, "b": bad}, []string{"a"})
		test.False(t, strings.HasPrefix(raw, fmt.Sprintf("HTTP/1.1 %d ", status)), test.Sprint(raw))
	}
}
