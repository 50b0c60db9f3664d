package test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/rushramp/rushramp/pkg/standin/backend"
)

// slowCall is a call whose caller has not read its answer.
type slowCall struct {
	conn   net.Conn
	reader *bufio.Reader
}

// slowCallerBuffer is the size of the receive buffer of a slow caller, in bytes.
const slowCallerBuffer = 16 << 10

// cmdSlowCall sends a call and waits for the first byte of its answer, or reads the answer and
// stores it for expect. An answer that is not complete has status 0 there.
func cmdSlowCall(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, neg, args, 1, "slowcall begin WORKER METHOD SERVICE PATH [words] | slowcall finish")
	sc := scenarioOf(ts)
	if args[0] == "finish" {
		sc.last = sc.slowCall.finish()
		return
	}
	c := parseCall(ts, sc, args[1:])
	conn, err := net.Dial("tcp", c.to.vm.Callers)
	ts.Check(err)
	ts.Defer(func() { _ = conn.Close() })
	ts.Check(conn.(*net.TCPConn).SetReadBuffer(slowCallerBuffer))
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: h\r\nRushramp-Service: %s\r\n%s: %s\r\n", c.method, c.path, c.service, backend.HeaderCallID, c.id)
	for name, value := range c.headers {
		fmt.Fprintf(&head, "%s: %s\r\n", name, value)
	}
	_, err = io.WriteString(conn, head.String()+"\r\n")
	ts.Check(err)
	sc.slowCall = &slowCall{conn: conn, reader: bufio.NewReader(conn)}
	_, err = sc.slowCall.reader.Peek(1)
	ts.Check(err)
}

func (c *slowCall) finish() *answer {
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return &answer{err: err, header: http.Header{}}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return &answer{err: err, header: resp.Header}
	}
	return &answer{status: resp.StatusCode, header: resp.Header, body: string(body)}
}
