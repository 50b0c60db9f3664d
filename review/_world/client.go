package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// conn is a client's connection to the outbound address of its machine.
type conn struct {
	net.Conn
	reader *bufio.Reader
	m      *machine
	nr     int
}

var connCount, requestCount atomic.Int64

func (m *machine) connect() (*conn, error) {
	c, err := net.DialTimeout("tcp", m.addr(portOutbound), time.Second)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, reader: bufio.NewReader(c), m: m, nr: int(connCount.Add(1))}, nil
}

// result is what a client got.
type result struct {
	id     string
	status int
	seal   string
	body   string
	close  bool
	err    error
	took   time.Duration
	// retryAfter is the time after which the answer asks the client to come back.
	retryAfter time.Duration
}

func (r result) String() string {
	if r.err != nil {
		return fmt.Sprintf("no answer (%v)", r.err)
	}
	seal := "no seal"
	if r.seal != "" {
		seal = "seal " + r.seal
	}
	return fmt.Sprintf("%d, %s, %q", r.status, seal, strings.TrimSpace(r.body))
}

// send sends one request and waits for its answer, for deadline at most.
func (c *conn) send(method, host, path, body string, deadline time.Duration) result {
	out := result{id: fmt.Sprintf("q%05d", requestCount.Add(1))}
	length := ""
	if body != "" {
		length = fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n%s\r\n", method, path, host, name("request-id"), out.id, name("deadline"), deadline.Milliseconds(), length)
	began := time.Now()
	c.m.world.note("client on %s, connection %d: sends %s %s %s, deadline %v", c.m.name, c.nr, method, path, out.id, deadline)
	defer func() {
		out.took = time.Since(began)
		c.m.world.note("client on %s, connection %d: %s after %v: %v", c.m.name, c.nr, out.id, out.took.Round(time.Millisecond), out)
	}()
	_ = c.SetDeadline(began.Add(deadline))
	if _, out.err = io.WriteString(c, head+body); out.err != nil {
		return out
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		out.err = err
		return out
	}
	if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		out.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	text, err := io.ReadAll(resp.Body)
	out.status, out.seal, out.body, out.close, out.err = resp.StatusCode, resp.Header.Get(name("seal")), string(text), resp.Close, err
	return out
}
