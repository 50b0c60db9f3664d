package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["hold"] = hold }

const (
	// holdWorkers is the number of workers, crashTime how long one is down after a crash.
	holdWorkers = 4
	crashTime   = 4 * time.Second
	// badPath is the path of the request that crashes the workers that begin to run it. It comes at
	// badClients machines at the same moment.
	badPath    = "/first/bad"
	badClients = 2
	// holdWork is how long a request takes, homeClients the number of clients of each machine that
	// ask for the same page. One more asks for other pages.
	holdWork    = 150 * time.Millisecond
	homeClients = 3
	// steadyTime is how long is counted in steady state.
	steadyTime = 8 * time.Second
)

// hold: on a route that was added later, many clients ask for the same page. A request on another
// route crashes the workers that begin to run it.
func hold(trouble bool) (*world, error) {
	var services []string
	for range holdWorkers {
		services = append(services, "alpha")
	}
	w, err := newWorld(services)
	if err != nil {
		return nil, err
	}
	var crashed atomic.Int64
	for _, m := range w.machines {
		m.worker = newWorker(m, "i-"+m.name)
		m.worker.workTime = holdWork
		m.worker.crashOn = badPath
		m.worker.onCrash = func() {
			crashed.Add(1)
			w.logf("worker %s has crashed", m.worker.id)
			time.Sleep(crashTime)
			next := newWorker(m, "i-again-"+m.name)
			next.workTime, next.crashOn, next.onCrash = holdWork, badPath, m.worker.onCrash
			m.worker = next
			if err := next.start(); err != nil {
				w.logf("%v", err)
			}
		}
	}
	routes := []route{
		{"first", "/first/", "idempotent", "alpha", 3000, 1000, 2},
		{"home", "/home/", "idempotent", "alpha", 3000, 1000, 2},
	}
	if err := w.begin(configuration(1, routes[:1], []string{"alpha"})); err != nil {
		return w, err
	}
	w.logf("version 2 adds the route /home/")
	w.store.Put("op", "config", configuration(2, routes, []string{"alpha"}))
	time.Sleep(contactTime + time.Second)
	var mu sync.Mutex
	type count struct{ asked, served int }
	counts := map[string]*count{"first": {}, "home": {}}
	statuses := map[string]map[int]int{}
	counting := false
	stop := make(chan struct{})
	var wg sync.WaitGroup
	client := func(m *machine, route string, path func() string) {
		wg.Go(func() {
			for !closed(stop) {
				mu.Lock()
				counted := counting
				mu.Unlock()
				_, a := w.send(m, "GET", path(), "", 2*time.Second)
				second := fmt.Sprintf("second %2.0f, route %s", time.Since(w.start).Seconds(), route)
				mu.Lock()
				if statuses[second] == nil {
					statuses[second] = map[int]int{}
				}
				statuses[second][a.status]++
				if counted {
					counts[route].asked++
					if a.status == 200 {
						counts[route].served++
					}
				}
				mu.Unlock()
				time.Sleep(time.Duration(20+rand.IntN(20)) * time.Millisecond)
			}
		})
	}
	for _, m := range w.machines {
		for range homeClients {
			client(m, "home", func() string { return "/home/" })
		}
		client(m, "first", func() string { return "/first/" + w.nextID() })
	}
	time.Sleep(3 * time.Second)
	if trouble {
		for i := range badClients {
			wg.Go(func() { w.send(w.machines[i], "GET", badPath, "", 2*time.Second) })
		}
		time.Sleep(crashTime + 2*time.Second)
		w.logf("%d workers have crashed and are back", crashed.Load())
	}
	time.Sleep(contactTime + time.Second)
	w.logf("steady state, counted from here")
	mu.Lock()
	counting = true
	mu.Unlock()
	time.Sleep(steadyTime)
	mu.Lock()
	counting = false
	mu.Unlock()
	close(stop)
	wg.Wait()
	for _, second := range sortedKeys(statuses) {
		w.logf("answers by status in %s: %v", second, statuses[second])
	}
	first, home := counts["first"], counts["home"]
	w.logf("in steady state: /first/ served %d of %d, /home/ served %d of %d", first.served, first.asked, home.served, home.asked)
	if first.asked == 0 || home.asked < 20 {
		return w, fmt.Errorf("too few requests")
	}
	if float64(home.served)/float64(home.asked) < 0.25*float64(first.served)/float64(first.asked) {
		w.breakRule("CONFIG: the route added later is served less than a quarter as often: %d of %d, the first one %d of %d", home.served, home.asked, first.served, first.asked)
	}
	return w, nil
}
