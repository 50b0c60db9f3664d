package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { scenarios["reuse"] = runReuse }

// addrReuse is the bound after which the address of an ended worker may go to another one.
const addrReuse = 2 * time.Second

// runReuse: a worker ends, and its address goes to a worker of another service. The machine's
// settings file changes with it, and its daemon gets SIGHUP.
func runReuse(w *world) (broken bool, err error) {
	specs := []spec{{"sidecar-1", "escuintla", "tileserv"}, {"sidecar-2", "quetzaltepe", "ordenes"}, {"sidecar-3", "sanjose", "ordenes"}}
	if err := w.start(specs); err != nil {
		return false, err
	}
	entry, reused, staying := w.machines[0], w.machines[1], w.machines[2].worker
	if !w.served(entry, "/order/first", reused.worker) || !w.served(entry, "/order/first", staying) {
		return false, errNotServed
	}
	w.note("worker %s of %s ends", reused.worker.id, reused.worker.service)
	reused.worker.stop()
	time.Sleep(addrReuse + 200*time.Millisecond)
	service := "ordenes"
	if w.trouble {
		service = "tileserv"
		reused.service = service
		if err := reused.writeSettings(false); err != nil {
			return false, err
		}
		w.note("the settings file of %s now names service %s; its daemon gets SIGHUP", reused.name, service)
		reused.signal(syscall.SIGHUP)
	}
	next := newWorker(reused, fmt.Sprintf("i-%08x", rand.Uint32()), service)
	if err := next.start(); err != nil {
		return false, err
	}
	w.note("worker %s of %s starts at the address %s", next.id, service, reused.addr(portWorker))
	time.Sleep(contact + time.Second)
	w.note("clients send 60 requests for ordenes")
	staying.setWork(orderWork)
	next.setWork(orderWork)
	var mu sync.Mutex
	foreign := 0
	var wg sync.WaitGroup
	for i := range 60 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c, err := entry.connect()
			if err != nil {
				return
			}
			defer c.Close()
			r := c.send(http.MethodPost, "orders.example", fmt.Sprintf("/order/%d", i), "two prints", time.Second)
			if next.service != "ordenes" && next.ran(r.id) {
				mu.Lock()
				foreign++
				mu.Unlock()
			}
		}()
		time.Sleep(orderGap)
	}
	wg.Wait()
	w.say("worker %s of %s ran %d of 60 requests of a route that only ever led to ordenes", next.id, next.service, foreign)
	return foreign > 0, nil
}
