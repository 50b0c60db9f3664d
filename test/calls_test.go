package test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/rushramp/rushramp/pkg/standin/backend"
)

// callArgs holds the parsed arguments of a call.
type callArgs struct {
	to              *worker
	method, service string
	path, id, body  string
	headers         map[string]string
}

// parseCall parses WORKER METHOD SERVICE PATH and the NAME=VALUE words of a
// call. Without id=, the call's id is its path without the leading slash.
func parseCall(ts *testscript.TestScript, sc *scenario, args []string) callArgs {
	out := callArgs{to: sc.worker(ts, args[0]), method: args[1], service: args[2], path: args[3], headers: map[string]string{}}
	out.id = strings.TrimPrefix(args[3], "/")
	for _, word := range args[4:] {
		name, value, _ := strings.Cut(word, "=")
		switch name {
		case "id":
			out.id = value
		case "body":
			out.body = value
		case "work":
			d, err := time.ParseDuration(value)
			ts.Check(err)
			out.headers[backend.HeaderWork] = strconv.FormatInt(d.Microseconds(), 10)
		case "answer":
			out.headers[backend.HeaderAnswer] = value
		case "key":
			out.headers["Idempotency-Key"] = value
		case "timeout":
			d, err := time.ParseDuration(value)
			ts.Check(err)
			out.headers["Rushramp-Timeout"] = strconv.FormatInt(d.Milliseconds(), 10)
		default:
			out.headers[name] = value
		}
	}
	return out
}

// cmdCall sends a call and stores its answer for expect.
func cmdCall(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, neg, args, 4, "call WORKER METHOD SERVICE PATH [id= body= work= answer= key= timeout= HEADER=]")
	sc := scenarioOf(ts)
	c := parseCall(ts, sc, args)
	sc.last = sc.send(c.to, c.method, c.service, c.path, c.id, c.headers, c.body)
}

// cmdRaw sends the content of a file unchanged, except that $PAD becomes PAD
// letters and line ends become CRLF, and then closes the sending side of the
// connection. It tests input that no HTTP client sends.
func cmdRaw(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, neg, args, 2, "raw WORKER FILE [PAD]")
	sc := scenarioOf(ts)
	text := strings.ReplaceAll(ts.ReadFile(args[1]), "\n", "\r\n")
	if len(args) > 2 {
		n, err := strconv.Atoi(args[2])
		ts.Check(err)
		text = strings.ReplaceAll(text, "$PAD", strings.Repeat("x", n))
	}
	conn, err := net.Dial("tcp", sc.worker(ts, args[0]).vm.Callers)
	ts.Check(err)
	defer func() { _ = conn.Close() }()
	ts.Check(conn.SetDeadline(time.Now().Add(waitTimeout)))
	_, err = conn.Write([]byte(text))
	ts.Check(err)
	// The server may have answered and closed the connection already.
	_ = conn.(*net.TCPConn).CloseWrite()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		sc.last = &answer{err: err, header: http.Header{}}
		return
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	sc.last = &answer{status: resp.StatusCode, header: resp.Header, body: string(body), err: err}
}

// load returns the load of a name, which must have been started.
func (sc *scenario) load(ts *testscript.TestScript, name string) *load {
	l := sc.loads[name]
	if l == nil {
		ts.Fatalf("there is no load %q", name)
	}
	return l
}

// cmdLoad starts sending calls at a constant rate in the background, or stops
// that. A "#" in a header value becomes the number of the call.
func cmdLoad(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, neg, args, 2, "load NAME stop | load NAME PER_SECOND WORKER METHOD SERVICE PATH_PREFIX [words]")
	sc := scenarioOf(ts)
	if args[1] == "stop" {
		sc.load(ts, args[0]).end()
		return
	}
	rate, err := strconv.Atoi(args[1])
	ts.Check(err)
	if rate <= 0 {
		ts.Fatalf("the rate of a load must be positive")
	}
	c := parseCall(ts, sc, args[2:])
	l := &load{stop: make(chan struct{})}
	sc.loads[args[0]] = l
	l.wait.Add(1)
	go func() {
		defer l.wait.Done()
		ticker := time.NewTicker(time.Second / time.Duration(rate))
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-l.stop:
				return
			case <-ticker.C:
			}
			l.wait.Add(1)
			go func() {
				defer l.wait.Done()
				id := fmt.Sprintf("%s-%d", args[0], i)
				headers := map[string]string{}
				for name, value := range c.headers {
					headers[name] = strings.ReplaceAll(value, "#", strconv.Itoa(i))
				}
				l.record(sc.send(c.to, c.method, c.service, c.path, id, headers, c.body))
			}()
		}
	}()
}
