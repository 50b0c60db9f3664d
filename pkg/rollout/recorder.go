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
	// counting lets runs pass without the lock while there is no order.
	counting atomic.Bool

	mu      sync.Mutex
	order   uint64
	version string
	seq     uint32
	routes  map[string]*RouteCounts
}

// NewRecorder makes the recorder of the daemon process on a VM.
func NewRecorder(vm, service string, process uint64) *Recorder {
	return &Recorder{vm: vm, service: service, process: process, routes: map[string]*RouteCounts{}}
}

// Begin starts the counts anew for an order and the version of the backend server; the
// same ones again change nothing. Order 0 ends the counting.
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

// Count counts an outcome.
func (r *Recorder) Count(o Outcome) {
	if !r.Counting() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := r.ofRoute(o.Route)
	counts.Runs++
	switch {
	case o.Failed:
		counts.Failures++
	case !o.Cold:
		counts.addTime(o.usualTime())
	}
}

// ofRoute returns the counts of a route. Routes beyond the bound share those of the
// route without a name.
func (r *Recorder) ofRoute(route string) *RouteCounts {
	if counts, found := r.routes[route]; found {
		return counts
	}
	if len(route) > mostName || len(r.routes) >= mostRoutes-1 {
		route = ""
	}
	counts, found := r.routes[route]
	if !found {
		counts = &RouteCounts{Route: route, DurationCounts: make([]uint32, timeSteps)}
		r.routes[route] = counts
	}
	return counts
}

func (c *RouteCounts) addTime(d time.Duration) { c.DurationCounts[timeStep(d)]++ }

// Report returns the counts; ok is false while there is no order.
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
