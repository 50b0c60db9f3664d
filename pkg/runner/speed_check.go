package runner

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// heldCheckInterval is how often the backend server is asked whether a slow spell
// has ended while starts are held for that: the delay of half of it is a tenth
// of the shortest work on the users' sites, and more often costs more checks.
const heldCheckInterval = 15 * time.Millisecond

// checkSpeedFirst has the backend server asked how fast it is now, where the request
// could start and may run longer than expected since the newest word on that is
// old: a run keeps the speed of the moment at which it starts. The request is
// admitted when the answer is there; false: nothing is asked, and the caller
// admits it.
func (r *Runner) checkSpeedFirst(now int64, run *routedRun) bool {
	if r.checker == nil || r.gate.StalenessCost(now, &run.job) < r.Settings.Routing.LookCost {
		return false
	}
	if !r.checker.Check(run.admit) {
		return false
	}
	r.speedChecks.Inc()
	return true
}

// scheduleSpeedCheck has the backend server asked again soon while starts are held for
// the end of a slow spell. Its answer starts them, or makes the next look due.
func (r *Runner) scheduleSpeedCheck() {
	if r.checker == nil || !r.gate.AwaitsReport(r.Now()) || r.speedCheckDue.Swap(true) {
		return
	}
	time.AfterFunc(heldCheckInterval, func() {
		r.speedCheckDue.Store(false)
		if r.load.Age(r.Now()) >= heldCheckInterval/2 && r.checker.Check(r.scheduleSpeedCheck) {
			return
		}
		r.scheduleSpeedCheck()
	})
}

// counters are the metrics of this package.
type counters struct {
	// speedChecks counts the requests that waited for a look before the gate decided.
	speedChecks *metrics.Counter
	// heldStarts counts the starts that waited for the end of a slow spell.
	heldStarts *metrics.Counter
}

// boolToFloat is 1 for true, as metrics have it.
func boolToFloat(is bool) float64 {
	if is {
		return 1
	}
	return 0
}

// newCounters registers the metrics of a runner.
func newCounters(r *Runner) counters {
	r.Metrics.GetOrCreateGauge("rushramp_routed_runs_allowed", func() float64 { return float64(r.gate.UsableSlots()) })
	r.Metrics.GetOrCreateGauge("rushramp_routed_cold", func() float64 { return boolToFloat(r.cold.Load()) })
	r.Metrics.GetOrCreateGauge("rushramp_routed_evacuated", func() float64 { return boolToFloat(r.evacuated.Load()) })
	return counters{
		speedChecks: r.Metrics.GetOrCreateCounter("rushramp_routed_looks_total"),
		heldStarts:  r.Metrics.GetOrCreateCounter("rushramp_routed_held_total"),
	}
}
