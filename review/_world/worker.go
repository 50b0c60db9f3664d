package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// worker is a stand-in of a worker of the users' platform.
type worker struct {
	world   *world
	m       *machine
	id      string
	service string
	// kinds gives the work time and the calls of each kind of requests; if it is empty, each
	// request takes work.
	kinds []kind
	work  time.Duration

	listener net.Listener
	mu       sync.Mutex
	// runs holds the ids of the requests that the worker has begun to work on.
	runs    []string
	running int
	seq     int
	// silent is true once the worker sends no heartbeats, leaving once its health path says
	// that it leaves, draining once its heartbeats say so, closed once it has ended.
	silent, leaving, draining, closed bool
	// open holds the open connections.
	open map[net.Conn]bool
}

const workerSlots = 12

// defaultWork is how long a worker works on a request if nothing else is said.
const defaultWork = 20 * time.Millisecond

func newWorker(m *machine, id, service string) *worker {
	return &worker{world: m.world, m: m, id: id, service: service, work: defaultWork}
}

// setWork sets how long the worker works on each request from now on.
func (w *worker) setWork(work time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.work = work
}

// setKinds sets the kinds of requests that the worker knows.
func (w *worker) setKinds(kinds []kind) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.kinds = kinds
}

func (w *worker) start() error {
	var err error
	if w.listener, err = net.Listen("tcp", w.m.addr(portWorker)); err != nil {
		return err
	}
	go func() {
		for {
			c, err := w.listener.Accept()
			if err != nil {
				return
			}
			if w.track(c) {
				go w.serve(c)
			}
		}
	}()
	go w.beat()
	return nil
}

// track adds an open connection. It closes the connection and returns false if the worker has
// ended.
func (w *worker) track(c net.Conn) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		_ = c.Close()
		return false
	}
	if w.open == nil {
		w.open = map[net.Conn]bool{}
	}
	w.open[c] = true
	return true
}

// stop ends the worker: it listens and sends heartbeats no more, and its connections close.
func (w *worker) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	_ = w.listener.Close()
	for c := range w.open {
		_ = c.Close()
	}
}

// beat sends a heartbeat every 1.5 s to the control address of its machine.
func (w *worker) beat() {
	for {
		w.mu.Lock()
		closed, silent := w.closed, w.silent
		w.mu.Unlock()
		if closed {
			return
		}
		wait := 1500 * time.Millisecond
		if !silent && !w.post("heartbeat", w.heartbeat()) {
			wait = 200 * time.Millisecond
		}
		time.Sleep(wait)
	}
}

// heartbeat returns the body of the worker's next heartbeat.
func (w *worker) heartbeat() []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seq++
	state := "ready"
	if w.draining {
		state = "draining"
	}
	body, _ := json.Marshal(map[string]any{
		"service": w.service, "address": w.m.addr(portWorker), "zone": w.m.zone, "version": "v1", "slots": workerSlots,
		"state": state, "cold-remaining-ms": 0, "call-seq": w.seq,
	})
	return body
}

// foreign returns another writer's stand-in, which sends heartbeats with an id to this worker's
// machine.
func (w *worker) foreign(id string) *worker {
	return &worker{world: w.world, m: w.m, id: id, service: w.service, draining: true}
}

// post sends a call to the control address of the worker's machine. It returns true if the
// call is acknowledged within a second.
func (w *worker) post(call string, body []byte) bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Post("http://"+w.m.addr(portControl)+"/instances/"+w.id+"/"+call, "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode >= 200 && resp.StatusCode < 300
}

// quiet ends the periodic heartbeats. leave makes the health path say that the worker leaves.
func (w *worker) quiet() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.silent = true
}

func (w *worker) leave() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaving = true
}

// count returns how many requests the worker has begun to run.
func (w *worker) count() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.runs)
}

// serve serves one connection, one request at a time.
func (w *worker) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.open, c)
	}()
	reader := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if !w.answer(c, reader, req, body) {
			return
		}
	}
}

func (w *worker) head(status string, id string, length int, extra string) string {
	w.mu.Lock()
	load := fmt.Sprintf("%d,0,%d,100", w.running, workerSlots)
	w.mu.Unlock()
	out := "HTTP/1.1 " + status + "\r\n" + name("instance") + ": " + w.id + "\r\n" + name("load") + ": " + load + "\r\n"
	if id != "" {
		out += name("request-id") + ": " + id + "\r\n"
	}
	return out + extra + fmt.Sprintf("Content-Length: %d\r\n\r\n", length)
}

// answer works on one request and answers it. It returns false if the connection is to close.
func (w *worker) answer(c net.Conn, reader *bufio.Reader, req *http.Request, body []byte) bool {
	if req.URL.Path == "/health" {
		status := "200 OK"
		w.mu.Lock()
		if w.leaving {
			status = "503 Service Unavailable"
		}
		w.mu.Unlock()
		_, err := io.WriteString(c, w.head(status, "", 0, ""))
		return err == nil
	}
	id := req.Header.Get(name("request-id"))
	if expected := req.Header.Get(name("expected")); expected != "" && expected != w.id {
		_, err := io.WriteString(c, w.head("421 Misdirected Request", id, 0, ""))
		return err == nil
	}
	began := time.Now()
	work, calls := w.begin(id, req.URL.Path)
	w.world.note("worker %s of %s runs %s %s (%d bytes)", w.id, w.service, req.Method, id, len(body))
	answered := w.workOn(work, c, reader)
	w.mu.Lock()
	w.running--
	w.mu.Unlock()
	outcome := "answered"
	if !answered {
		outcome = "cancelled"
	}
	w.world.note("worker %s: run of %s ends after %v: %s", w.id, id, time.Since(began).Round(time.Millisecond), outcome)
	if !answered {
		return false
	}
	status, text := "200 OK", w.service+" did "+id+"\n"
	if !w.call(calls) {
		status, text = "500 Internal Server Error", "a call failed\n"
	}
	seal := name("seal") + ": " + w.id + "." + id + "\r\n"
	_, err := io.WriteString(c, w.head(status, id, len(text), seal)+text)
	return err == nil
}

// begin records a run and returns its work time and calls.
func (w *worker) begin(id, path string) (work time.Duration, calls []kind) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs = append(w.runs, id)
	w.running++
	if len(w.kinds) > 0 {
		return callsOf(w.kinds, path)
	}
	return w.work, nil
}

// workOn waits for the work time of a run. It returns false if the connection closes before.
func (w *worker) workOn(work time.Duration, c net.Conn, reader *bufio.Reader) bool {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	closed := watchClose(ctx, c, reader)
	timer := time.NewTimer(work)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-closed:
		return false
	}
	cancel()
	<-closed
	return true
}

// call makes the calls of a run, at the same time, through the worker's own machine. It returns
// false if one fails.
func (w *worker) call(calls []kind) bool {
	results := make(chan bool, len(calls))
	for _, k := range calls {
		go func() {
			c, err := w.m.connect()
			if err != nil {
				results <- false
				return
			}
			defer c.Close()
			r := c.send(k.method, k.host, k.path+"a", k.body, k.deadline)
			results <- r.err == nil && r.status == http.StatusOK
		}()
	}
	ok := true
	for range calls {
		ok = <-results && ok
	}
	return ok
}

// watchClose returns a channel that is closed when the peer closes the connection, or when ctx
// has ended.
func watchClose(ctx context.Context, c net.Conn, reader *bufio.Reader) <-chan struct{} {
	gone := make(chan struct{})
	stopped := context.AfterFunc(ctx, func() { _ = c.SetReadDeadline(time.Unix(1, 0)) })
	go func() {
		defer close(gone)
		_, err := reader.Peek(1)
		stopped()
		if err == nil {
			<-ctx.Done()
		}
		if ctx.Err() != nil {
			_ = c.SetReadDeadline(time.Time{})
		}
	}()
	return gone
}

// ran reports whether the worker has begun to work on a request.
func (w *worker) ran(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Contains(w.runs, id)
}
