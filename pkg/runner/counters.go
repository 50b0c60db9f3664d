package runner

import "github.com/VictoriaMetrics/metrics"

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

// rateLimitGauge returns the rate limit in requests per second; 0 stands for none.
func (r *Runner) rateLimitGauge() float64 {
	perSecond, limited := r.rateLimit.Limit()
	if !limited {
		return 0
	}
	return perSecond
}
