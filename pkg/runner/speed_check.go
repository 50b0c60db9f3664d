package runner

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// heldLookEvery is how often the backend server is asked whether a slow spell
// has ended while starts are held for that: the delay of half of it is a tenth
// of the shortest work on the users' sites, and more often costs more checks.
const heldLookEvery = 15 * time.Millisecond

// looksFirst has the backend server asked how fast it is now, where the request
// could start and may run longer than expected since the newest word on that is
// old: a run keeps the speed of the moment at which it starts. The request is
// admitted when the answer is there; false: nothing is asked, and the caller
// admits it.
func (r *Runner) looksFirst(now int64, run *routedRun) bool {
	if r.checker == nil || r.gate.StalenessCost(now, &run.job) < r.Settings.Routing.LookCost {
		return false
	}
	if !r.checker.Check(run.admit) {
		return false
	}
	r.looks.Inc()
	return true
}

// lookForEnd has the backend server asked again soon while starts are held for
// the end of a slow spell. Its answer starts them, or makes the next look due.
func (r *Runner) lookForEnd() {
	if r.checker == nil || !r.gate.AwaitsReport(r.Now()) || r.lookDue.Swap(true) {
		return
	}
	time.AfterFunc(heldLookEvery, func() {
		r.lookDue.Store(false)
		if r.load.Age(r.Now()) >= heldLookEvery/2 && r.checker.Check(r.lookForEnd) {
			return
		}
		r.lookForEnd()
	})
}

// counters are the metrics of this package.
type counters struct {
	// looks counts the requests that waited for a look before the gate decided.
	looks *metrics.Counter
	// held counts the starts that waited for the end of a slow spell.
	held *metrics.Counter
}

// asNumber is 1 for true, as metrics have it.
func asNumber(is bool) float64 {
	if is {
		return 1
	}
	return 0
}

// newCounters registers the metrics of a runner.
func newCounters(r *Runner) counters {
	r.Metrics.GetOrCreateGauge("rushramp_routed_runs_allowed", func() float64 { return float64(r.gate.UsableSlots()) })
	r.Metrics.GetOrCreateGauge("rushramp_routed_cold", func() float64 { return asNumber(r.cold.Load()) })
	r.Metrics.GetOrCreateGauge("rushramp_routed_evacuated", func() float64 { return asNumber(r.evacuated.Load()) })
	return counters{
		looks: r.Metrics.GetOrCreateCounter("rushramp_routed_looks_total"),
		held:  r.Metrics.GetOrCreateCounter("rushramp_routed_held_total"),
	}
}
