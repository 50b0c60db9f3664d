package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { scenarios["foreign"] = runForeign }

// recoverBound is the bound after which the system serves again once all machines are back.
const recoverBound = 15 * time.Second

// foreignIDs are the ids of the foreign heartbeats, as they stand in their paths: each two bytes
// that are no text.
var foreignIDs = []string{"%FF%FE", "%FF%FD"}

// kind is a kind of requests, with its share of the traffic.
type kind struct {
	share              float64
	once               bool
	method, host, path string
	body               string
	deadline, work     time.Duration
	// calls are the calls that seven runs in ten make.
	calls []kind
}

const ms = time.Millisecond

// kinds are those of the small site cnp-rushramp.
func kinds() []kind {
	stock := kind{method: http.MethodGet, host: "orders.example", path: "/stock/", work: 15 * ms, deadline: 200 * ms}
	hazard := kind{method: http.MethodGet, host: "notices.example", path: "/hazard/", work: 15 * ms, deadline: 200 * ms}
	gauge := kind{method: http.MethodGet, host: "tides.example", path: "/gauge/", work: 15 * ms, deadline: 200 * ms}
	return []kind{
		{share: 4.2, method: http.MethodGet, host: "tiles.example", path: "/tile/", work: 60 * ms, deadline: 800 * ms, calls: []kind{stock, stock}},
		{share: 2.3, once: true, method: http.MethodPost, host: "orders.example", path: "/order/", body: "two prints", work: 78 * ms, deadline: 1000 * ms, calls: []kind{hazard}},
		{share: 1.3, once: true, method: http.MethodPut, host: "notices.example", path: "/notice/", body: "a wreck", work: 42 * ms, deadline: 600 * ms, calls: []kind{gauge, gauge}},
		{share: 1.3, method: http.MethodGet, host: "tides.example", path: "/tide/", work: 24 * ms, deadline: 400 * ms},
		stock, hazard, gauge,
	}
}

// pickKind picks a kind by its share.
func pickKind(all []kind) kind {
	sum := 0.0
	for _, k := range all {
		sum += k.share
	}
	at := rand.Float64() * sum
	for _, k := range all {
		if at -= k.share; at < 0 {
			return k
		}
	}
	return all[0]
}

// runForeign: all daemons are killed at the same moment, the final fault. They are started
// again, and two heartbeats of another writer come to each machine.
func runForeign(w *world) (broken bool, err error) {
	var specs []spec
	zones := []string{"escuintla", "quetzaltepe", "sanjose"}
	for i, service := range []string{"tileserv", "tileserv", "tileserv", "tileserv", "ordenes", "ordenes", "ordenes", "avisos", "avisos", "avisos", "mareas", "mareas", "mareas"} {
		specs = append(specs, spec{fmt.Sprintf("sidecar-%d", i+1), zones[i%len(zones)], service})
	}
	if err := w.start(specs); err != nil {
		return false, err
	}
	all := kinds()
	for _, m := range w.machines {
		m.worker.setKinds(all)
	}
	if !w.wait(20*time.Second, func() bool { return w.sendAll(all[:4]) == len(w.machines)*4 }) {
		return false, errNotServed
	}
	t := &traffic{world: w, kinds: all[:4], stop: make(chan struct{})}
	t.begin()
	time.Sleep(6 * time.Second)
	fault := time.Now()
	w.killAll(500 * time.Millisecond)
	back := time.Now()
	if !w.wait(10*time.Second, func() bool {
		for _, m := range w.machines {
			if !m.ready() {
				return false
			}
		}
		return true
	}) {
		return false, fmt.Errorf("not all machines are back")
	}
	w.note("all daemons are ready again, %.1f s after they were started", time.Since(back).Seconds())
	if w.trouble {
		for _, m := range w.machines {
			w.sendForeign(m)
		}
	}
	late := back.Add(recoverBound)
	time.Sleep(time.Until(late.Add(8 * time.Second)))
	t.end()
	served, sent := t.count(time.Time{}, fault.Add(-time.Second))
	servedLate, sentLate := t.count(late, late.Add(time.Hour))
	w.say("before the final fault %d of %d requests were served; of those sent later than %v after the machines were back, %d of %d", served, sent, recoverBound, servedLate, sentLate)
	if sent == 0 || sentLate == 0 || 4*served < sent {
		return false, fmt.Errorf("too little was served before the fault")
	}
	return 4*servedLate < sentLate, nil
}

// sendForeign sends the heartbeats of another writer to a machine.
func (w *world) sendForeign(m *machine) {
	for _, id := range foreignIDs {
		foreign := m.worker.foreign(id)
		acknowledged := foreign.post("heartbeat", foreign.heartbeat())
		w.note("a heartbeat of another writer came to %s: id %s, acknowledged: %v", m.name, id, acknowledged)
	}
}

// sendAll sends a request of each kind on each machine and returns how many were served.
func (w *world) sendAll(kinds []kind) int {
	served := 0
	for _, m := range w.machines {
		for _, k := range kinds {
			if m.try(k) {
				served++
			}
		}
	}
	return served
}

// try sends a request as clients do: on a new connection, and once more where the pages allow it.
func (m *machine) try(k kind) bool {
	began := time.Now()
	for attempt := range 2 {
		left := k.deadline - time.Since(began)
		c, err := m.connect()
		if err != nil || left <= 0 {
			return false
		}
		r := c.send(k.method, k.host, k.path+"a", k.body, left)
		_ = c.Close()
		promise := r.err == nil && (r.status == http.StatusServiceUnavailable || r.status == http.StatusTooManyRequests)
		switch {
		case r.err == nil && r.status == http.StatusOK && r.seal != "":
			return true
		case attempt > 0 || k.once && !promise:
			return false
		}
		time.Sleep(min(r.retryAfter, (k.deadline-time.Since(began))/3))
	}
	return false
}

// traffic is the requests of the clients of all machines.
type traffic struct {
	world *world
	kinds []kind
	stop  chan struct{}
	done  sync.WaitGroup

	mu   sync.Mutex
	sent []sentRequest
}

type sentRequest struct {
	at     time.Time
	served bool
}

// trafficGap is the time between two requests of a machine's clients: some 130 a second in all.
const trafficGap = 100 * ms

func (t *traffic) begin() {
	for _, m := range t.world.machines {
		t.done.Add(1)
		go func() {
			defer t.done.Done()
			for {
				select {
				case <-t.stop:
					return
				case <-time.After(trafficGap):
				}
				t.done.Add(1)
				go func() {
					defer t.done.Done()
					at := time.Now()
					served := m.try(pickKind(t.kinds))
					t.mu.Lock()
					defer t.mu.Unlock()
					t.sent = append(t.sent, sentRequest{at, served})
				}()
			}
		}()
	}
}

func (t *traffic) end() {
	close(t.stop)
	t.done.Wait()
}

// count returns how many requests that were sent in a period were served, and their number.
func (t *traffic) count(from, to time.Time) (served, sent int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.sent {
		if r.at.Before(from) || r.at.After(to) {
			continue
		}
		sent++
		if r.served {
			served++
		}
	}
	return served, sent
}

// callsOf returns the calls that a run of a request makes, and its work.
func callsOf(kinds []kind, path string) (work time.Duration, calls []kind) {
	for _, k := range kinds {
		if strings.HasPrefix(path, k.path) {
			if rand.Float64() < 0.7 {
				calls = k.calls
			}
			return k.work, calls
		}
	}
	return defaultWork, nil
}
