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
	"strings"
	"sync"
	"time"
)

// run is one request that a worker has begun to work on.
type run struct {
	id   string
	path string
	at   time.Time
	// end tells how the run ended: "answered", or "cancelled" if its connection closed.
	end  string
	took time.Duration
}

// worker is a stand-in of a worker. It works on each request for as long as behave says.
type worker struct {
	world   *world
	m       *machine
	id      string
	service string
	// behave returns how long the worker works on a request, further header lines of its
	// answer, and whether it never answers.
	behave func(r *http.Request) (work time.Duration, header string, hangs bool)

	// kinds, if there are any, take the place of behave.
	kinds []kind

	listener net.Listener
	mu       sync.Mutex
	runs     []*run
	running  int
	seq      int
	// silent is true once the worker sends no heartbeats, leaving once its health path says
	// that it leaves, draining once its heartbeats say so, closed once it has ended.
	silent, leaving, draining, closed bool
	// open holds the open connections.
	open map[net.Conn]bool
}

const workerSlots = 12

// setWork sets how long the worker works on each request from now on.
func (w *worker) setWork(work time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.behave = func(*http.Request) (time.Duration, string, bool) { return work, "", false }
}

func newWorker(m *machine, id, service string) *worker {
	return &worker{world: m.world, m: m, id: id, service: service,
		behave: func(*http.Request) (time.Duration, string, bool) { return 20 * time.Millisecond, "", false }}
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
	r := &run{id: id, path: req.URL.Path, at: time.Now()}
	w.mu.Lock()
	w.runs = append(w.runs, r)
	w.running++
	w.mu.Unlock()
	w.world.note("worker %s of %s runs %s %s (%d bytes)", w.id, w.service, req.Method, id, len(body))
	w.mu.Lock()
	behave := w.behave
	w.mu.Unlock()
	work, header, hangs := behave(req)
	var calls []kind
	if w.kinds != nil {
		work, calls = callsOf(w.kinds, req.URL.Path)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if hangs {
		work = time.Hour
	}
	gone := watchClose(ctx, c, reader)
	timer := time.NewTimer(work)
	defer timer.Stop()
	end := "answered"
	select {
	case <-timer.C:
	case <-gone:
		end = "cancelled"
	}
	w.mu.Lock()
	r.end, r.took = end, time.Since(r.at)
	w.running--
	w.mu.Unlock()
	w.world.note("worker %s: run of %s ends after %v: %s", w.id, id, r.took.Round(time.Millisecond), end)
	if end != "answered" {
		return false
	}
	cancel()
	<-gone
	status, text := "200 OK", w.service+" did "+id+"\n"
	if !w.call(calls) {
		status, text = "500 Internal Server Error", "a call failed\n"
	}
	header += name("seal") + ": " + w.id + "." + id + "\r\n"
	_, err := io.WriteString(c, w.head(status, id, len(text), header)+text)
	return err == nil
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

// runOf returns the runs of a request.
func (w *worker) runOf(id string) (out []run) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.runs {
		if r.id == id || strings.HasPrefix(r.id, id+".") {
			out = append(out, *r)
		}
	}
	return out
}
