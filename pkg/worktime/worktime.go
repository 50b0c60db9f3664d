// Package worktime follows, route by route, how long requests run at a backend
// server that works as usual.
package worktime

import (
	"sync"
	"time"

	"github.com/rushramp/rushramp/pkg/speed"
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
	// guessShare stands in for a work time that is not known yet, as a share of
	// the target latency: that of the users' requests is 0.3 to 0.4.
	guessShare = 0.3
	// longestGuess bounds that: a generous target tells little of the work.
	longestGuess = 300 * time.Millisecond
)

// Times holds the work times. It is safe for concurrent use.
type Times struct {
	mu      sync.Mutex
	byRoute map[string]*mean
}

// mean is the work time of one route and the number of runs in it.
type mean struct {
	work float64
	runs int
}

// NewTimes makes empty work times.
func NewTimes() *Times { return &Times{byRoute: map[string]*mean{}} }

// Lookup returns the work time of a route; 0: not known.
func (t *Times) Lookup(route string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if known := t.byRoute[route]; known != nil {
		return time.Duration(known.work)
	}
	return 0
}

// LookupOrEstimate returns the work time of a route, or a guess from its target latency
// while no run of it has ended here; 0 where the target has passed.
func (t *Times) LookupOrEstimate(route string, target time.Duration) time.Duration {
	if work := t.Lookup(route); work > 0 {
		return work
	}
	return min(time.Duration(guessShare*float64(max(target, 0))), longestGuess)
}

// Record takes a run over. slowdown is what the backend server said of its speed,
// in percent of what is usual; 0: nothing.
func (t *Times) Record(route string, took time.Duration, slowdown int) {
	work := float64(took)
	if slowdown > 0 {
		work /= speed.FromPercent(int64(slowdown))
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.byRoute[route]
	if known == nil {
		if len(t.byRoute) >= mostRoutes {
			return
		}
		known = &mean{}
		t.byRoute[route] = known
	}
	known.note(work)
}

// note takes one run over; the first few count alike.
func (m *mean) note(work float64) {
	m.runs++
	weight := fallWeight
	if work > m.work {
		weight = riseWeight
	}
	m.work += (work - m.work) * max(weight, 1/float64(m.runs))
}
