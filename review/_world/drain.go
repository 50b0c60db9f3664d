package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { scenarios["drain"] = runDrain }

// The bounds of the small deployment that the scenario needs.
const (
	contact    = 3 * time.Second
	drainBound = 2 * time.Second
)

// An order takes orderWork, and clients send one every orderGap: too many at once for the slots
// of one worker.
const (
	orderWork = 150 * time.Millisecond
	orderGap  = 10 * time.Millisecond
)

// runDrain: a worker says that it leaves while the store is down, and its daemon acknowledges
// that. Then all daemons are killed at the same moment and started again, and a heartbeat that
// the worker had sent before comes late.
func runDrain(w *world) (broken bool, err error) {
	specs := []spec{{"sidecar-1", "escuintla", "tileserv"}, {"sidecar-2", "quetzaltepe", "ordenes"}, {"sidecar-3", "sanjose", "ordenes"}}
	if err := w.start(specs); err != nil {
		return false, err
	}
	entry, leaving, staying := w.machines[0], w.machines[1].worker, w.machines[2].worker
	if !w.served(entry, "/order/first", leaving) || !w.served(entry, "/order/first", staying) {
		return false, errNotServed
	}
	late := leaving.heartbeat()
	leaving.quiet()
	if w.trouble {
		w.note("the store is down: it answers no more")
		if err := w.setStore(`{"silent": true}`); err != nil {
			return false, err
		}
		time.Sleep(200 * time.Millisecond)
	}
	leaving.leave()
	if !leaving.post("deregister", []byte("{}")) {
		return false, fmt.Errorf("the worker's leaving was not acknowledged")
	}
	acknowledged := time.Now()
	w.note("the daemon of %s has acknowledged that worker %s leaves", leaving.m.name, leaving.id)
	stable := acknowledged
	if w.trouble {
		time.Sleep(300 * time.Millisecond)
		w.killAll(500 * time.Millisecond)
		if !w.wait(5*time.Second, func() bool { return listens(leaving.m.addr(portControl)) }) || !leaving.post("heartbeat", late) {
			return false, fmt.Errorf("the late heartbeat did not arrive")
		}
		w.note("a heartbeat that worker %s had sent before it left has arrived late", leaving.id)
		time.Sleep(time.Until(acknowledged.Add(3 * time.Second)))
		w.note("the store is back")
		if err := w.setStore(`{}`); err != nil {
			return false, err
		}
		stable = time.Now()
	}
	time.Sleep(time.Until(stable.Add(contact + 500*time.Millisecond)))
	time.Sleep(time.Until(acknowledged.Add(drainBound + 500*time.Millisecond)))
	for _, m := range w.machines {
		if !m.ready() {
			return false, fmt.Errorf("%s is not ready", m.name)
		}
	}
	w.note("all machines are in touch; clients send 60 requests")
	before := leaving.count()
	leaving.setWork(orderWork)
	staying.setWork(orderWork)
	sent := time.Now()
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
			c.send(http.MethodPost, "orders.example", fmt.Sprintf("/order/%d", i), "two prints", time.Second)
		}()
		time.Sleep(orderGap)
	}
	wg.Wait()
	reached := leaving.count() - before
	w.say("%d of 60 requests reached worker %s, the first of them sent %.1f s after its leaving was acknowledged; the bound is %v",
		reached, leaving.id, sent.Sub(acknowledged).Seconds(), drainBound)
	return reached > 0, nil
}

// killAll kills all daemons at the same moment; the platform starts them again after a delay.
func (w *world) killAll(delay time.Duration) {
	w.note("all daemons are killed")
	for _, m := range w.machines {
		m.signal(syscall.SIGKILL)
	}
	for _, m := range w.machines {
		<-m.done
	}
	time.Sleep(delay)
	for _, m := range w.machines {
		if err := m.start(false); err != nil {
			w.note("%s does not start: %v", m.name, err)
		}
	}
	w.note("all daemons are started again")
}

// listens reports whether an address takes connections.
func listens(addr string) bool {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}
