package main

import (
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["reuse"] = reuse }

// The times of the case reuse.
const (
	// restartDelay is how long the platform waits before it starts a process again.
	restartDelay = 500 * time.Millisecond
	// addressReuse is addr-reuse-s of the bounds.
	addressReuse = 2 * time.Second
	// beatInterval is heartbeat-ms of the settings.
	beatInterval = 1500 * time.Millisecond
)

// reuse: a worker ends for good, the daemon beside it is stopped and started again, and the
// worker's address goes to a worker of another service. Without the disruption the daemon is not
// stopped.
func reuse(trouble bool) (*world, error) {
	w, err := newWorld([]string{"alpha", "alpha", "alpha", "beta"})
	if err != nil {
		return nil, err
	}
	if err := w.begin(configuration(1, []route{
		{"post", "/post/", "non_idempotent", "alpha", 3000, 1000, 1},
		{"other", "/other/", "idempotent", "beta", 3000, 1000, 2},
	}, []string{"alpha", "beta"})); err != nil {
		return w, err
	}
	m := w.machines[0]
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for _, at := range w.machines[1:] {
		for range 4 {
			wg.Go(func() {
				for !closed(stop) {
					w.send(at, "POST", "/post/x", "body", 3*time.Second)
					time.Sleep(10 * time.Millisecond)
				}
			})
		}
	}
	time.Sleep(time.Second)
	w.logf("worker %s of service alpha ends for good", m.worker.id)
	ended := time.Now()
	m.worker.stop()
	if trouble {
		m.signal(syscall.SIGTERM)
		<-m.done
		time.Sleep(restartDelay)
		if err := m.startDaemon(false); err != nil {
			return w, err
		}
		time.Sleep(time.Second)
	}
	time.Sleep(max(addressReuse+100*time.Millisecond-time.Since(ended), 0))
	m.service = "beta"
	if err := m.writeSettings(false); err != nil {
		return w, err
	}
	next := newWorker(m, "i-next")
	next.beatAfter = beatInterval
	w.logf("%v later the settings file names service beta, and the address goes to %s of beta; its first heartbeat comes after %v", time.Since(ended).Round(time.Millisecond), next.id, beatInterval)
	if err := next.start(); err != nil {
		return w, err
	}
	time.Sleep(5 * time.Second)
	close(stop)
	wg.Wait()
	next.stop()
	for _, r := range next.allRuns() {
		if strings.HasPrefix(r.Path, "/post/") {
			w.breakRule("ROUTE: %s of service beta ran request %s, %s, %v after it got the address", next.id, r.ID, r.Path, r.At.Sub(next.startedAt).Round(time.Millisecond))
		}
	}
	return w, nil
}

// closed reports whether a channel is closed.
func closed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
