package main

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["crowd"] = crowd }

const (
	// longAnswerBytes is the length of a long answer, crowdClients the number of clients that
	// read one slowly, crowdTime how long they stay.
	longAnswerBytes = 8_000_000
	crowdClients    = 300
	crowdTime       = 15 * time.Second
	// ordinaryClients is the number of clients that read long answers at once.
	ordinaryClients = 3
)

// crowd: many clients of one machine read long answers slowly; the answers come from workers of
// other machines. Without the disruption a few clients read the same answers at once.
func crowd(trouble bool) (*world, error) {
	w, err := newWorld([]string{"alpha", "beta", "beta", "beta"})
	if err != nil {
		return nil, err
	}
	long := strings.Repeat("p", longAnswerBytes)
	for _, m := range w.machines {
		m.worker = newWorker(m, "i-"+m.name)
		m.worker.answer = func(out http.ResponseWriter, r *http.Request) {
			time.Sleep(20 * time.Millisecond)
			if strings.HasPrefix(r.URL.Path, "/long/") {
				_, _ = io.WriteString(out, long)
				return
			}
			_, _ = io.WriteString(out, "short")
		}
	}
	if err := w.begin(configuration(1, []route{
		{"long", "/long/", "idempotent", "beta", 30000, 20000, 2},
		{"short", "/short/", "idempotent", "beta", 3000, 1000, 2},
	}, []string{"alpha", "beta"})); err != nil {
		return w, err
	}
	entry := w.machines[0]
	stop := time.Now().Add(crowdTime)
	var wg sync.WaitGroup
	for range ordinaryClients {
		wg.Go(func() {
			for !trouble && time.Now().Before(stop) {
				w.send(entry, "GET", "/long/x", "", 20*time.Second)
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	for range crowdClients {
		wg.Go(func() {
			for trouble && time.Now().Before(stop) {
				w.readSlowly(entry, "/long/x", stop)
			}
		})
	}
	for time.Now().Before(stop) {
		w.send(entry, "GET", "/short/x", "", 3*time.Second)
		line := "memory now and at its peak:"
		for _, m := range w.machines {
			line += " " + m.name + " " + strconv.Itoa(m.statusMB("VmRSS")) + "/" + strconv.Itoa(m.statusMB("VmHWM")) + " MB"
		}
		w.logf("%s", line)
		time.Sleep(500 * time.Millisecond)
	}
	for _, m := range w.machines {
		if peak := m.statusMB("VmHWM"); peak > memoryMB || !m.running() {
			w.breakRule("letter (no process ends, each stays within the memory of its machine): %s, peak memory %d MB of %d, running %v", m.name, peak, memoryMB, m.running())
		}
	}
	wg.Wait()
	return w, nil
}

// readSlowly sends one request and reads its answer at some 5 kB a second.
func (w *world) readSlowly(m *machine, path string, stop time.Time) {
	c, err := net.DialTimeout("tcp", m.at(portOutbound), time.Second)
	if err != nil {
		time.Sleep(100 * time.Millisecond)
		return
	}
	defer func() { _ = c.Close() }()
	_ = c.(*net.TCPConn).SetReadBuffer(4096)
	_ = c.SetDeadline(stop.Add(time.Second))
	id := w.nextID()
	if _, err := io.WriteString(c, head(id, "GET", path, 20*time.Second, 0)); err != nil {
		return
	}
	buf := make([]byte, 512)
	n, err := c.Read(buf)
	status, _, _ := strings.Cut(string(buf[:n]), "\r\n")
	w.logf("%s: slow client sent %s GET %s; answered %q %v", m.name, id, path, status, err)
	if err != nil || !strings.HasPrefix(status, "HTTP/1.1 200") {
		time.Sleep(100 * time.Millisecond)
		return
	}
	for time.Now().Before(stop) {
		if _, err := c.Read(buf); err != nil {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}
