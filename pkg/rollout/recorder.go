package rollout

import (
	"maps"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Recorder counts the outcomes at one backend server while its service has an order.
// It is safe for concurrent use.
type Recorder struct {
	vm, service string
	process     uint64
	// counting spares runs the lock while there is no order.
	counting atomic.Bool

	mu      sync.Mutex
	order   uint64
	version string
	seq     uint32
	routes  map[string]*RouteCounts
}

// NewRecorder returns a recorder that counts nothing until Begin. process identifies the
// process of the VM's daemon.
func NewRecorder(vm, service string, process uint64) *Recorder {
	return &Recorder{vm: vm, service: service, process: process, routes: map[string]*RouteCounts{}}
}

// Begin restarts the counts for the revision of an order and the version of the backend
// server. It does nothing where both are the same as before. Order 0 ends the counting.
func (r *Recorder) Begin(order uint64, version string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.order == order && r.version == version {
		return
	}
	r.order, r.version = order, version
	r.routes = map[string]*RouteCounts{}
	r.counting.Store(order != 0)
}

// Counting is true while there is an order to count for.
func (r *Recorder) Counting() bool { return r.counting.Load() }

// Count adds an outcome to the counts of its route.
func (r *Recorder) Count(o Outcome) {
	if !r.Counting() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := r.countsOf(o.Route)
	counts.Runs++
	switch {
	case o.Failed:
		counts.Failures++
	case !o.Cold:
		counts.addDuration(o.normalisedDuration())
	}
}

// countsOf returns the counts of a route. Routes beyond maxRoutes share the counts of the
// route with the empty name.
func (r *Recorder) countsOf(route string) *RouteCounts {
	if counts, found := r.routes[route]; found {
		return counts
	}
	if len(route) > maxNameBytes || len(r.routes) >= maxRoutes-1 {
		route = ""
	}
	counts, found := r.routes[route]
	if !found {
		counts = &RouteCounts{Route: route, DurationCounts: make([]uint32, histogramSteps)}
		r.routes[route] = counts
	}
	return counts
}

func (c *RouteCounts) addDuration(d time.Duration) { c.DurationCounts[histogramStep(d)]++ }

// Report returns a report with the counts, the revision of the plan that the executor
// follows and its requests in flight. ok is false while there is no order.
func (r *Recorder) Report(plan uint64, inFlight int64) (report Report, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.order == 0 {
		return Report{}, false
	}
	r.seq++
	report = Report{
		Service: r.service, Order: r.order, VM: r.vm, Version: r.version, Process: r.process, Seq: r.seq,
		Plan: plan, InFlight: uint32(min(max(inFlight, 0), math.MaxUint32)),
	}
	for _, route := range slices.Sorted(maps.Keys(r.routes)) {
		counts := *r.routes[route]
		counts.DurationCounts = slices.Clone(counts.DurationCounts)
		report.Routes = append(report.Routes, counts)
	}
	return report, true
}
