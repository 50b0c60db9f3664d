// Package worktime estimates, for each route, the work time of its requests: how long
// they run at a backend server at normal speed.
package worktime

import (
	"sync"
	"time"

	"github.com/rushramp/rushramp/pkg/speed"
)

const (
	// shorterWeight and longerWeight are the weights of a run that is shorter, and of one
	// that is longer, than the estimate. Long runs mostly have other reasons than their
	// route (unreported slow periods, slow calls that they make), so the estimate follows
	// short runs faster.
	shorterWeight = 1.0 / 4
	longerWeight  = 1.0 / 8
	// maxRoutes is how many routes have an estimate; further ones get none.
	maxRoutes = 4096
	// targetShare is the share of a route's target latency that is taken as its work time
	// before its first run: that of the users' requests is 0.3 to 0.4.
	targetShare = 0.3
	// maxInitial is the upper bound of that work time, because a generous target tells
	// little about the work.
	maxInitial = 300 * time.Millisecond
)

// Times holds the work times of the routes. It is safe for concurrent use.
type Times struct {
	mu      sync.Mutex
	byRoute map[string]*estimate
}

// estimate is the estimated work time of one route, in nanoseconds, and the number of
// runs that it was computed from.
type estimate struct {
	work float64
	runs int
}

// NewTimes returns empty work times.
func NewTimes() *Times { return &Times{byRoute: map[string]*estimate{}} }

// Lookup returns the work time of a route; 0: unknown.
func (t *Times) Lookup(route string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if known := t.byRoute[route]; known != nil {
		return time.Duration(known.work)
	}
	return 0
}

// LookupOrEstimate returns the work time of a route. Before the first run of the route
// has ended, it returns an estimate from the route's target latency; 0 for a target of 0
// or less.
func (t *Times) LookupOrEstimate(route string, target time.Duration) time.Duration {
	if work := t.Lookup(route); work > 0 {
		return work
	}
	return min(time.Duration(targetShare*float64(max(target, 0))), maxInitial)
}

// Record updates the work time of a route from a run that took the given time. slowdown
// is the slowdown that the backend server reported, in percent; 0: it reported none.
func (t *Times) Record(route string, took time.Duration, slowdown int) {
	work := float64(took)
	if slowdown > 0 {
		work /= speed.FromPercent(int64(slowdown))
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.byRoute[route]
	if known == nil {
		if len(t.byRoute) >= maxRoutes {
			return
		}
		known = &estimate{}
		t.byRoute[route] = known
	}
	known.add(work)
}

// add adds the work time of one run. The first runs have equal weights.
func (e *estimate) add(work float64) {
	e.runs++
	weight := shorterWeight
	if work > e.work {
		weight = longerWeight
	}
	e.work += (work - e.work) * max(weight, 1/float64(e.runs))
}
