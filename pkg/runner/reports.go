package runner

import (
	"github.com/rushramp/rushramp/pkg/backend"
	"github.com/rushramp/rushramp/pkg/errkind"
	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/gate"
)

// ApplyRateLimit applies what a response says of the backend server's rate limit.
func (r *Runner) ApplyRateLimit(report backend.RateLimitReport) {
	if !r.lifecycle.IsCurrent(report.Incarnation) {
		return
	}
	r.rateLimitMu.Lock()
	changed, err := r.rateLimit.Apply(report)
	perSecond, limited := r.rateLimit.Limit()
	var start []*gate.Job
	if changed || err == nil && !report.FromHealthCheck && !r.rateLimitReported {
		r.rateLimitReported = true
		start = r.gate.SetRateLimit(r.Now(), perSecond, limited)
	}
	r.rateLimitMu.Unlock()
	r.startAll(start)
	r.logInvalidRateLimit(&report, err)
	if !changed {
		return
	}
	r.Log.Event(events.RateLimitChanged, events.F("instance", report.Incarnation), events.F("limited", limited),
		events.F("per_second", perSecond), events.F("in_health_check", report.FromHealthCheck), events.F("requests", r.requests.Get()))
}

// logInvalidRateLimit counts an invalid rate limit, and logs the first after a valid response.
func (r *Runner) logInvalidRateLimit(report *backend.RateLimitReport, err error) {
	if err == nil {
		r.rateLimitInvalid.Store(false)
		return
	}
	r.invalidRateLimits.Inc()
	if !r.rateLimitInvalid.Swap(true) {
		r.Log.Event(events.RateLimitInvalid, events.F("instance", report.Incarnation), events.F("cause", err))
	}
}

// applyReports applies what a reply says of the rate limit and of the departure of the backend
// server. A reply without a response, or of another instance, says nothing.
func (r *Runner) applyReports(reply *backend.Reply, incarnation backend.Incarnation, sentAt int64) {
	if reply.Answer == nil && reply.Refusal.Kind != errkind.BackendRefused {
		return
	}
	if reply.Reports.Leaving {
		r.onDeparture(incarnation, sentAt)
	}
	r.ApplyRateLimit(backend.RateLimitReport{Values: reply.Reports.RateLimit, Incarnation: incarnation, SentAt: sentAt, ReceivedAt: r.Now()})
}
