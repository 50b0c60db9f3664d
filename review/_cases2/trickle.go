package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["trickle"] = trickle }

const (
	// trickleClients is the number of clients whose bodies do not end, calmClients that of clients
	// without the disruption, whose bodies end.
	trickleClients = 2000
	calmClients    = 50
	// uploadTime is the deadline and the route's timeout of the uploads.
	uploadTime = 12 * time.Second
	// triers is the number of ordinary clients, and tryTime how long they try.
	triers  = 8
	tryTime = 7 * time.Second
)

// trickle: many clients of one machine send chunked bodies in chunks of one byte that do not come
// to their end. Ordinary clients of that machine try meanwhile.
func trickle(trouble bool) (*world, error) {
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err != nil || files.Cur < trickleClients+500 {
		return nil, fmt.Errorf("the limit on open files is %d: too few for %d clients", files.Cur, trickleClients)
	}
	w, err := newWorld([]string{"alpha", "alpha", "beta"})
	if err != nil {
		return nil, err
	}
	if err := w.begin(configuration(1, []route{
		{"read", "/read/", "idempotent", "alpha", 3000, 1000, 2},
		{"upload", "/upload/", "non_idempotent", "beta", int(uploadTime.Milliseconds()), 2000, 1},
	}, []string{"alpha", "beta"})); err != nil {
		return w, err
	}
	m := w.machines[0]
	clients := calmClients
	if trouble {
		clients = trickleClients
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for range clients {
		wg.Go(func() {
			for !closed(stop) {
				w.upload(m, stop, trouble)
			}
		})
	}
	time.Sleep(3 * time.Second)
	var mu sync.Mutex
	asked, answered := 0, 0
	end := time.Now().Add(tryTime)
	var tries sync.WaitGroup
	w.logf("%d ordinary clients try from here on, for %v; the machine is ready: %v", triers, tryTime, m.ready())
	for range triers {
		tries.Go(func() {
			for time.Now().Before(end) {
				_, a := w.send(m, "GET", "/read/x", "", time.Second)
				mu.Lock()
				asked++
				if a.status != 0 {
					answered++
				}
				mu.Unlock()
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	tries.Wait()
	ready := m.ready()
	close(stop)
	wg.Wait()
	w.logf("ordinary clients: %d of %d requests answered, each on a new connection; the machine is ready: %v; peak memory %d MB", answered, asked, ready, m.statusMB("VmHWM"))
	if ready && answered == 0 {
		w.breakRule("RECOVER, and the letter (ordinary callers still get answers): ready, and no new connection was taken for %v while %d clients tried %d times", tryTime, triers, asked)
	}
	return w, nil
}

// upload sends one chunked body, in chunks of a byte. An endless one goes on until the daemon
// answers or closes; any other ends after a second.
func (w *world) upload(m *machine, stop chan struct{}, endless bool) {
	c, err := net.DialTimeout("tcp", m.at(portOutbound), time.Second)
	if err != nil {
		time.Sleep(50 * time.Millisecond)
		return
	}
	defer func() { _ = c.Close() }()
	id := w.nextID()
	_, err = io.WriteString(c, strings.Replace(head(id, "POST", "/upload/x", uploadTime, 1), "Content-Length: 1", "Transfer-Encoding: chunked", 1))
	chunks := strings.Repeat("1\r\nb\r\n", 40)
	sent := 0
	for n := 0; err == nil && !closed(stop) && (endless || n < 7); n++ {
		_, err = io.WriteString(c, chunks)
		sent += 40
		time.Sleep(150 * time.Millisecond)
	}
	if err == nil && !endless {
		_, _ = io.WriteString(c, "0\r\n\r\n")
		_ = c.SetReadDeadline(time.Now().Add(2 * time.Second))
		buf := make([]byte, 512)
		n, _ := c.Read(buf)
		status, _, _ := strings.Cut(string(buf[:n]), "\r\n")
		w.logf("%s: sent %s POST /upload/x, %d chunks and the end; answered %q", m.name, id, sent, status)
		return
	}
	if closed(stop) {
		err = nil
	}
	if sent > 40 || err == nil {
		w.logf("%s: sent %s POST /upload/x, %d chunks without the end; %v", m.name, id, sent, err)
	}
}
