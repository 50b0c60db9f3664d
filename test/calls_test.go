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

// callArgs are the words of a call.
type callArgs struct {
	to              *worker
	method, service string
	path, id, body  string
	headers         map[string]string
}

func parseCall(ts *testscript.TestScript, w *world, args []string) callArgs {
	out := callArgs{to: w.worker(ts, args[0]), method: args[1], service: args[2], path: args[3], headers: map[string]string{}}
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

// cmdCall sends a call and keeps its answer for expect.
func cmdCall(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, neg, args, 4, "call WORKER METHOD SERVICE PATH [id= body= work= answer= key= timeout= HEADER=]")
	w := worldOf(ts)
	c := parseCall(ts, w, args)
	w.last = w.send(c.to, c.method, c.service, c.path, c.id, c.headers, c.body)
}

// cmdRaw sends bytes as they stand in a file, with $PAD for as many letters as
// asked, and ends its side of the connection: input that no client sends.
func cmdRaw(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, neg, args, 2, "raw WORKER FILE [PAD]")
	w := worldOf(ts)
	text := strings.ReplaceAll(ts.ReadFile(args[1]), "\n", "\r\n")
	if len(args) > 2 {
		n, err := strconv.Atoi(args[2])
		ts.Check(err)
		text = strings.ReplaceAll(text, "$PAD", strings.Repeat("x", n))
	}
	conn, err := net.Dial("tcp", w.worker(ts, args[0]).vm.Callers)
	ts.Check(err)
	defer func() { _ = conn.Close() }()
	ts.Check(conn.SetDeadline(time.Now().Add(patience)))
	_, err = conn.Write([]byte(text))
	ts.Check(err)
	// A server that has answered and closed already is no failure.
	_ = conn.(*net.TCPConn).CloseWrite()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		w.last = &answer{err: err, header: http.Header{}}
		return
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	w.last = &answer{status: resp.StatusCode, header: resp.Header, body: string(body), err: err}
}

// cmdLoad sends calls at a steady rate in the background, or ends that.
func cmdLoad(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, neg, args, 2, "load NAME stop | load NAME PER_SECOND WORKER METHOD SERVICE PATH_PREFIX [words]")
	w := worldOf(ts)
	if args[1] == "stop" {
		w.loads[args[0]].end()
		return
	}
	rate, err := strconv.Atoi(args[1])
	ts.Check(err)
	c := parseCall(ts, w, args[2:])
	l := &load{stop: make(chan struct{})}
	w.loads[args[0]] = l
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
				l.note(w.send(c.to, c.method, c.service, c.path, id, headers, c.body))
			}()
		}
	}()
}
