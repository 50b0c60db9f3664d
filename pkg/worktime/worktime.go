// Package worktime follows, route by route, how long requests run at a backend
// server that works as usual.
package worktime

import (
	"sync"
	"time"
)

const (
	// fallWeight and riseWeight are the weights of a run that is shorter, and of
	// one that is longer, than the work time of its route. Runs are mostly long
	// for reasons that are not the route's (slow times that nobody told of, slow
	// calls), so the work time follows short ones sooner.
	fallWeight = 1.0 / 4
	riseWeight = 1.0 / 8
	// mostRoutes bounds the routes whose work times are kept.
	mostRoutes = 4096
	// usualPercent is the slowdown of a backend server that works as usual.
	usualPercent = 100
)

// Times holds the work times. It is safe for concurrent use.
type Times struct {
	mu      sync.Mutex
	byRoute map[string]float64
}

// NewTimes makes empty work times.
func NewTimes() *Times { return &Times{byRoute: map[string]float64{}} }

// Of returns the work time of a route; 0: not known.
func (t *Times) Of(route string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Duration(t.byRoute[route])
}

// Note takes a run over. slowdown is what the backend server said of its speed,
// in percent of what is usual; 0: nothing.
func (t *Times) Note(route string, took time.Duration, slowdown int) {
	work := float64(took)
	if slowdown > 0 {
		work = work * usualPercent / float64(slowdown)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	old, known := t.byRoute[route]
	if !known {
		if len(t.byRoute) >= mostRoutes {
			return
		}
		old = work
	}
	weight := fallWeight
	if work > old {
		weight = riseWeight
	}
	t.byRoute[route] = old + (work-old)*weight
}
