package ingress

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"

	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/wire"
)

// recordingRunner answers each call at once and records what a backend server would have
// received.
type recordingRunner struct {
	mu    sync.Mutex
	calls []string
}

func (r *recordingRunner) Execute(c *wire.Call, body []byte, onDone func(call.Result)) func() {
	slices.SortFunc(c.Headers, func(a, b wire.Header) int { return bytes.Compare([]byte(a.Name), []byte(b.Name)) })
	text := fmt.Sprintf("%s %s %q %q %v %q", c.Method, c.Routed.Host, c.URI, c.Routed.ID, c.Headers, body)
	r.mu.Lock()
	r.calls = append(r.calls, text)
	r.mu.Unlock()
	onDone(call.Result{Offered: true, Answer: &call.Answer{Status: 200, Body: []byte(c.URI)}})
	return func() {}
}

// exchange is the outcome of the bytes that a caller sent: the calls, sorted, and all
// bytes that came back.
type exchange struct {
	calls   []string
	answers string
}

// dateHeader matches the Date header, whose value depends on the time.
var dateHeader = regexp.MustCompile(`Date: [^\r]*`)

// runExchange sends the pieces one after another to a new server, which serve starts, and
// waits until that server has closed the connection.
func runExchange(t *testing.T, pieces [][]byte, serve func(env *pipelineEnv, l net.Listener) (stop func())) exchange {
	var out exchange
	synctest.Test(t, func(t *testing.T) {
		env := newPipelineEnv(t, eightConcurrent)
		runner := &recordingRunner{}
		env.view.Service("s").Match("GET", "/").LinkedCandidates[0].Endpoint.SetRunner(runner)
		l := &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
		stop := serve(env, l)
		caller := l.dial().conn
		received := make(chan []byte, 1)
		go func() {
			all, _ := io.ReadAll(caller)
			received <- all
		}()
		for _, piece := range pieces {
			if _, err := caller.Write(piece); err != nil {
				break
			}
			synctest.Wait()
		}
		out.answers = dateHeader.ReplaceAllString(string(<-received), "Date: D")
		_ = caller.Close()
		stop()
		synctest.Wait()
		slices.Sort(runner.calls)
		out.calls = runner.calls
	})
	return out
}

// startIngress serves l with pipelining, as Start does.
func startIngress(env *pipelineEnv, l net.Listener) func() {
	env.server.serveListener(l)
	return func() { env.server.Close(env.t.Context()) }
}

// startStandardServer serves l with the same handler on an http.Server alone.
func startStandardServer(env *pipelineEnv, l net.Listener) func() {
	server := &http.Server{Handler: env.server, ReadHeaderTimeout: defaultHeadTimeout, IdleTimeout: defaultIdleTimeout, MaxHeaderBytes: defaultMaxHeadBytes}
	go func() { _ = server.Serve(l) }()
	return func() { _ = server.Close() }
}

// split cuts data into pieces. The i-th piece has 1 + sizes[i] bytes; the last one has the
// rest.
func split(data, sizes []byte) [][]byte {
	var out [][]byte
	for i := 0; len(data) > 0; i++ {
		n := len(data)
		if i < len(sizes) {
			n = min(n, 1+int(sizes[i]))
		}
		out = append(out, data[:n])
		data = data[n:]
	}
	return out
}

// FuzzFraming checks that the listener reads the same requests from a stream of bytes as
// http.Server alone, and returns the same bytes, whatever pieces the stream arrives in.
func FuzzFraming(f *testing.F) {
	const headers = "Host: h\r\nRushramp-Request-Id: i\r\n"
	for _, text := range []string{
		get("a") + get("b") + get("c"),
		get("a") + post("p", "GET /read/ HTTP/1.1\r\n\r\n") + get("b") + get("c"),
		post("p", "x") + "\r\n" + get("a") + "\r\n\r\n" + get("b"),
		get("a") + "POST /post/ HTTP/1.1\r\n" + headers + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n" + get("b"),
		get("a") + "POST /post/ HTTP/1.1\r\n" + headers + "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n3\r\nabc\r\n0\r\n\r\n" + get("b"),
		get("a") + "POST /post/ HTTP/1.1\r\n" + headers + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd" + get("b"),
		get("a") + "GET /read/ HTTP/1.1\n" + "Host: h\nRushramp-Request-Id: i\n\n" + get("b"),
		get("a") + "GET /read/ HTTP/1.1\r\n" + headers + "Bad Name: x\r\n\r\n" + get("b"),
		get("a") + "GET /read/ HTTP/1.1\r\n" + headers + "X: a\rb\r\n\r\n" + get("b"),
		get("a") + "GET /read/ HTTP/1.1\r\n" + headers + " folded: x\r\n\r\n" + get("b"),
		get("a") + "GET http://h/read/ HTTP/1.1\r\nRushramp-Request-Id: i\r\n\r\n" + get("b"),
		get("a") + "GET http://h/read/ HTTP/1.1\r\nHost: a b\r\nRushramp-Request-Id: i\r\n\r\n" + get("b"),
		get("a") + "GET /read/ HTTP/1.1\r\nHost: h\r\n" + headers + "\r\n" + get("b"),
		get("a") + "GET /read/ HTTP/1.0\r\n" + headers + "Connection: keep-alive\r\n\r\n" + get("b"),
		get("a") + "GET /read/ HTTP/1.0\r\n" + headers + "\r\n" + get("b"),
		get("a") + "HEAD /read/ HTTP/1.1\r\n" + headers + "\r\n" + get("b"),
		get("a") + "GET /read/ HTTP/1.1\r\n" + headers + "Connection: close\r\n\r\n" + get("b"),
		get("a") + "POST /post/ HTTP/1.1\r\n" + headers + "Expect: 100-continue\r\nContent-Length: 3\r\n\r\nabc" + get("b"),
		get("a") + "GET /read/ HTTP/1.1\r\n" + headers + "Content-Length: 2\r\n\r\nxy" + get("b") + get("c"),
		get("a") + "POST /post/ HTTP/1.1\r\n" + headers + "Content-Length: +3\r\n\r\nabc" + get("b"),
		get("a") + "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + get("b"),
		get("a") + "\x00\r\n\r\n" + get("b"),
		"\r\n\r\n" + get("a") + get("b")[:40],
	} {
		f.Add([]byte(text), []byte{})
		f.Add([]byte(text), []byte{0, 1, 70, 0, 2, 69, 71, 3})
	}
	f.Fuzz(func(t *testing.T, data, sizes []byte) {
		data = data[:min(len(data), 8<<10)]
		want := runExchange(t, split(data, nil), startStandardServer)
		got := runExchange(t, split(data, sizes), startIngress)
		test.Eq(t, want.calls, got.calls)
		test.Eq(t, want.answers, got.answers)
	})
}

func TestHeadEndIsFoundWhereverTheHeadIsSplit(t *testing.T) {
	for text, want := range map[string]int{
		"GET / HTTP/1.1\r\nA: b\r\n\r\nrest": 24, "GET / HTTP/1.1\nA: b\n\nrest": 21,
		"\r\nGET / HTTP/1.1\r\n\r\n": 20, "GET / HTTP/1.1\r\nA: b\r\n": 0, "a\n\r\r\n": 5,
	} {
		for cut := range len(text) {
			var finder headEndFinder
			end := finder.find([]byte(text[:cut]))
			if rest := finder.find([]byte(text[cut:])); end == 0 && rest > 0 {
				end = cut + rest
			}
			test.Eq(t, want, end, test.Sprintf("%q cut at %d", text, cut))
		}
	}
}

// TestHeadTimeoutStartsWithTheFirstByteOfTheHead: as in http.Server, the time before that
// byte does not count, even while earlier requests are unanswered.
func TestHeadTimeoutStartsWithTheFirstByteOfTheHead(t *testing.T) {
	withPipeline(t, eightConcurrent, func(t *testing.T, env *pipelineEnv) {
		c := env.caller()
		c.send(get("a") + get("b"))
		time.Sleep(defaultHeadTimeout * 2)
		c.send(get("c")[:30])
		time.Sleep(defaultHeadTimeout / 2)
		c.send(get("c")[30:])
		test.Eq(t, "a b c", env.backend.startedIDs())
		for _, id := range []string{"a", "b", "c"} {
			env.backend.answer(t, id, "")
		}
		test.Eq(t, "a b c", c.answers())
	})
}

// TestRefusalsAreWrittenInOrder: a refusal by the listener or by http.Server is written
// after the answers to all earlier requests.
func TestRefusalsAreWrittenInOrder(t *testing.T) {
	const headers = "\r\nHost: h\r\nRushramp-Request-Id: x\r\n"
	for name, s := range map[string]struct{ text, answers string }{
		"no id":               {"GET /read/ HTTP/1.1\r\nHost: h\r\n\r\n", "a b 400"},
		"no route":            {"GET /none/ HTTP/1.1" + headers + "\r\n", "a b 404"},
		"body too large":      {"POST /post/ HTTP/1.1" + headers + "Content-Length: 2000\r\n\r\n" + strings.Repeat("x", 2000), "a b 413(close) end"},
		"chunks too large":    {"POST /post/ HTTP/1.1" + headers + "Transfer-Encoding: chunked\r\n\r\n7d0\r\n" + strings.Repeat("x", 2000) + "\r\n0\r\n\r\n", "a b 413(close) end"},
		"head too large":      {"GET /read/ HTTP/1.1" + headers + "X: " + strings.Repeat("x", 80_000) + "\r\n\r\n", "a b 431(close) end"},
		"bad head":            {"GET /read/ HTTP/1.1" + headers + "bad line\r\n\r\n", "a b 400(close) end"},
		"two lengths":         {"POST /post/ HTTP/1.1" + headers + "Content-Length: 1\r\nContent-Length: 2\r\n\r\n12", "a b 400(close) end"},
		"unknown coding":      {"POST /post/ HTTP/1.1" + headers + "Transfer-Encoding: gzip\r\n\r\n", "a b 501(close) end"},
		"no host":             {"GET /read/ HTTP/1.1\r\nRushramp-Request-Id: x\r\n\r\n", "a b 400(close) end"},
		"unknown version":     {"GET /read/ HTTP/3.0" + headers + "\r\n", "a b 505(close) end"},
		"unknown expectation": {"GET /read/ HTTP/1.1" + headers + "Expect: more\r\n\r\n", "a b 417(close) end"},
	} {
		t.Run(name, func(t *testing.T) {
			withPipeline(t, eightConcurrent, func(t *testing.T, env *pipelineEnv) {
				c := env.caller()
				c.send(get("a") + get("b") + s.text)
				test.Eq(t, "", c.answers())
				env.backend.answer(t, "b", "")
				env.backend.answer(t, "a", "")
				time.Sleep(time.Second)
				test.Eq(t, s.answers, c.answers())
				test.Eq(t, "a b", env.backend.startedIDs())
			})
		})
	}
}
