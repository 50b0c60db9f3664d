package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { plays["foreign"] = playForeign }

// foreignIDs are the ids of the foreign heartbeats, as they stand in their paths: each two bytes
// that are no text.
var foreignIDs = []string{"%FF%FE", "%FF%FD", "%FF%FC"}

// playForeign: a machine gets SIGTERM while orders that its clients sent are at work elsewhere.
// Meanwhile heartbeats of another writer come to that machine.
func playForeign(w *world) (broken bool, err error) {
	specs := []spec{{"sidecar-1", "escuintla", "tileserv"}, {"sidecar-2", "quetzaltepe", "ordenes"}, {"sidecar-3", "sanjose", "tileserv"}}
	if err := w.start(specs); err != nil {
		return false, err
	}
	entry, server, other := w.machines[0], w.machines[1].worker, w.machines[2]
	if !w.served(entry, "/order/first", server) {
		return false, errNotServed
	}
	// No disruption for contact-ms before.
	time.Sleep(contact)
	server.setWork(700 * time.Millisecond)
	var mu sync.Mutex
	var results []result
	var wg sync.WaitGroup
	for i := range 6 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c, err := entry.connect()
			if err != nil {
				return
			}
			defer c.Close()
			r := c.send(http.MethodPost, "orders.example", fmt.Sprintf("/order/%d", i), "two prints", time.Second)
			mu.Lock()
			defer mu.Unlock()
			results = append(results, r)
		}()
	}
	time.Sleep(200 * time.Millisecond)
	w.note("%s gets SIGTERM", entry.name)
	entry.signal(syscall.SIGTERM)
	time.Sleep(100 * time.Millisecond)
	if w.trouble {
		w.sendForeign(entry)
	}
	wg.Wait()
	lost := 0
	for _, r := range results {
		for _, run := range server.runOf(r.id) {
			if run.end == "cancelled" && r.seal == "" && r.took < 900*time.Millisecond {
				lost++
			}
		}
	}
	w.say("%d of %d orders that were at work when %s got SIGTERM were broken off, with an answer of the daemon's own in place of the worker's", lost, len(results), entry.name)
	server.setWork(50 * time.Millisecond)
	if w.trouble {
		w.sendForeign(other)
	}
	served := 0
	for i := range 40 {
		if c, err := other.connect(); err == nil {
			if c.send(http.MethodPost, "orders.example", fmt.Sprintf("/order/later-%d", i), "two prints", time.Second).status == http.StatusOK {
				served++
			}
			_ = c.Close()
		}
		time.Sleep(200 * time.Millisecond)
	}
	w.say("for information: %d of 40 orders that clients of %s sent in the 8 s after that were served", served, other.name)
	return lost > 0, nil
}

// sendForeign sends the heartbeats of another writer to a machine.
func (w *world) sendForeign(m *machine) {
	for _, id := range foreignIDs {
		foreign := m.worker.foreign(id)
		acknowledged := foreign.post("heartbeat", foreign.heartbeat())
		w.note("a heartbeat of another writer came to %s: id %s, acknowledged: %v", m.name, id, acknowledged)
		time.Sleep(60 * time.Millisecond)
	}
}
