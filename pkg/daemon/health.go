package daemon

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/rushramp/rushramp/pkg/backend"
	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/routing"
)

const (
	// probeTimeout is the timeout of one health check.
	probeTimeout = 400 * time.Millisecond
	// notAcceptingInterval is the time between two health checks while the backend server
	// may not get requests or no placement names the health path.
	notAcceptingInterval = 60 * time.Millisecond
	// idleAfter is the time without a request after which the interval of the health checks
	// is idleFactor times as long.
	idleAfter  = 500 * time.Millisecond
	idleFactor = 4
)

// errNoHealthPath is the result of a health check before a placement names the path.
var errNoHealthPath = errors.New("no placement names the health path yet")

// runHealthChecks checks the backend server's health path whenever its last load report is
// older than the settings allow, until ctx ends. Answers to requests carry load reports,
// too. The first placement names the path: a backend server that waits for a good health check
// is checked at once.
func (r *routed) runHealthChecks(ctx context.Context) {
	defer r.prober.Close()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-r.daemon.World.View.PlacementChanged():
		}
		timer.Reset(r.checkIfDue(ctx))
	}
}

// checkIfDue makes a health check if one is due, and returns the time until the next.
func (r *routed) checkIfDue(ctx context.Context) time.Duration {
	now := r.daemon.Now()
	interval := healthInterval(r.daemon.Settings.Routing.HealthEvery, r.runner.IdleFor(now))
	if r.healthPath() == "" {
		return notAcceptingInterval
	}
	_, accepting := r.lifecycle.Accepting()
	if age := r.load.Age(now); accepting && age < interval {
		return interval - age
	}
	r.forceCheck(ctx)
	if !accepting {
		return notAcceptingInterval
	}
	return interval
}

// forceCheck makes a health check, or joins the running one, and waits for its end.
func (r *routed) forceCheck(ctx context.Context) {
	done := make(chan struct{})
	r.checker.ForceCheck(func() { close(done) })
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// onPauseChange logs that health checks are paused, or that they succeed again (pause 0).
func (r *routed) onPauseChange(pause, took time.Duration, err error) {
	id := events.ChecksResumed
	fields := []events.Field{events.F("took", events.Milliseconds(took))}
	if pause > 0 {
		id = events.ChecksPaused
		fields = append(fields, events.F("pause", events.Milliseconds(pause)), events.F("cause", err))
	}
	r.daemon.Log.Event(id, fields...)
}

// healthInterval returns the age of the last load report at which a health check is due. It
// is longer while the backend server is idle, because nothing depends on its load then.
func healthInterval(interval, idleFor time.Duration) time.Duration {
	if idleFor > idleAfter {
		return idleFactor * interval
	}
	return interval
}

// checkHealth makes one health check and applies its result.
func (r *routed) checkHealth(ctx context.Context) error {
	path := r.healthPath()
	if path == "" {
		return errNoHealthPath
	}
	askedAt := r.daemon.Now()
	health, err := r.prober.Probe(ctx, path)
	if err != nil {
		return err
	}
	r.applyDeparture(&health, askedAt)
	if health.Healthy && health.InstanceID != "" {
		r.lifecycle.RecordGoodHealthCheck(r.daemon.Now(), health.InstanceID)
	}
	r.lifecycle.RecordCold(askedAt, r.daemon.Now(), health.InstanceID, health.ColdFor)
	r.runner.UpdateColdState()
	r.runner.UpdateLoad(health.Reports.Load)
	r.applyRateLimit(&health, askedAt)
	return nil
}

// applyDeparture records the departure that a health response announces. It comes before the
// good health check, so that a backend server that leaves does not become live in between.
func (r *routed) applyDeparture(health *backend.ProbeResult, askedAt int64) {
	if !health.Reports.Leaving || health.InstanceID == "" {
		return
	}
	incarnation := backend.Incarnation{ID: health.InstanceID}
	if current, _ := r.lifecycle.Current(); current.ID == health.InstanceID {
		incarnation = current
	}
	r.handleDepartureInResponse(incarnation, askedAt)
}

// applyRateLimit applies the rate limit in a health response of the current incarnation.
func (r *routed) applyRateLimit(health *backend.ProbeResult, askedAt int64) {
	current, _ := r.lifecycle.Current()
	if health.InstanceID == "" || health.InstanceID != current.ID {
		return
	}
	r.runner.ApplyRateLimit(backend.RateLimitReport{
		Values: health.Reports.RateLimit, Incarnation: current, SentAt: askedAt, ReceivedAt: r.daemon.Now(), FromHealthCheck: true,
	})
}

// healthPath returns the path for health checks, or "" until a placement names it.
func (r *routed) healthPath() string {
	service, _ := r.service()
	return service.HealthPath
}

// service returns the backend server's service in the placement in force; ok is false
// without a placement.
func (r *routed) service() (s routing.Service, ok bool) {
	p := r.daemon.World.View.Placement()
	if p == nil {
		return routing.Service{}, false
	}
	s, _ = p.Routes.Service(r.daemon.Settings.BackendServer.Service)
	return s, true
}
