package runner

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// heldCheckInterval is the time between health checks while starts are held until a
// slow period of the backend server ends. On average they delay a start by half of it,
// a tenth of the shortest work on the users' sites.
const heldCheckInterval = 15 * time.Millisecond

// checkSpeedFirst starts a health check before the admission of a request that could
// start at once, if the last known speed of the backend server is so old that the run
// may take longer than expected, since a run keeps the speed that it starts with. It returns
// true if the request is admitted after the check; if false, the caller admits it.
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

// scheduleSpeedCheck schedules a health check if starts are held until a slow period
// ends. Its result starts them or schedules the next check.
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

// counters are the counter metrics of a runner.
type counters struct {
	// speedChecks counts requests that waited for a health check before their admission.
	speedChecks *metrics.Counter
	// heldStarts counts starts that were held until a slow period ended.
	heldStarts *metrics.Counter
	// requests counts the requests that were sent to the backend server, invalidRateLimits
	// its responses with an invalid rate limit.
	requests, invalidRateLimits *metrics.Counter
}

// boolToFloat returns 1 for true and 0 for false.
func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// newCounters registers the metrics of a runner and returns its counters.
func newCounters(r *Runner) counters {
	r.Metrics.GetOrCreateGauge("rushramp_routed_runs_allowed", func() float64 { return float64(r.gate.UsableSlots()) })
	r.Metrics.GetOrCreateGauge("rushramp_routed_cold", func() float64 { return boolToFloat(r.cold.Load()) })
	r.Metrics.GetOrCreateGauge("rushramp_routed_evacuated", func() float64 { return boolToFloat(r.evacuated.Load()) })
	r.Metrics.GetOrCreateGauge("rushramp_backend_rate_limit", r.rateLimitGauge)
	return counters{
		requests:          r.Metrics.GetOrCreateCounter("rushramp_backend_requests_total"),
		invalidRateLimits: r.Metrics.GetOrCreateCounter("rushramp_backend_rate_limit_invalid_total"),
		speedChecks:       r.Metrics.GetOrCreateCounter("rushramp_routed_looks_total"),
		heldStarts:        r.Metrics.GetOrCreateCounter("rushramp_routed_held_total"),
	}
}
