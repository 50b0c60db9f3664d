package daemon

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/routing"
)

const (
	// probeTimeout bounds one question to the health path.
	probeTimeout = 400 * time.Millisecond
	// seekEvery is the time between two questions while no incarnation is known.
	seekEvery = 60 * time.Millisecond
	// idleAfter is how long no request must have come for the backend server to
	// be asked idlePace times less often.
	idleAfter = 500 * time.Millisecond
	idlePace  = 4
)

// errNoHealthPath is how a check ends before a placement names the health path.
var errNoHealthPath = errors.New("no placement names the health path yet")

// watch asks the backend server's health path where its own word on its speed
// is older than the settings want. Answers of requests carry that word, too.
func (r *routed) watch(ctx context.Context) {
	defer r.prober.Close()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		timer.Reset(r.look(ctx))
	}
}

// look asks once where that is due, and returns when to look again.
func (r *routed) look(ctx context.Context) time.Duration {
	now := r.daemon.Now()
	every := healthPace(r.daemon.Settings.Routing.HealthEvery, r.runner.IdleFor(now))
	if r.healthPath() == "" {
		return seekEvery
	}
	_, accepting := r.lifecycle.Accepting()
	if age := r.load.Age(now); accepting && age < every {
		return every - age
	}
	r.checkAndWait(ctx)
	if !accepting {
		return seekEvery
	}
	return every
}

// checkAndWait makes one health check, or shares the one under way.
func (r *routed) checkAndWait(ctx context.Context) {
	done := make(chan struct{})
	r.checker.ForceCheck(func() { close(done) })
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// checksPaused logs that the health path does not answer in time, or does again.
func (r *routed) checksPaused(pause, took time.Duration, err error) {
	id := events.ChecksResumed
	fields := []events.Field{events.F("took", events.Milliseconds(took))}
	if pause > 0 {
		id = events.ChecksPaused
		fields = append(fields, events.F("pause", events.Milliseconds(pause)), events.F("cause", err))
	}
	r.daemon.Log.Event(id, fields...)
}

// healthPace is how old the backend server's word may be: older while nobody
// sends it requests, so that asking costs little where nothing depends on it.
func healthPace(every, idleFor time.Duration) time.Duration {
	if idleFor > idleAfter {
		return idlePace * every
	}
	return every
}

// ask makes one health check and takes its answer over.
func (r *routed) ask(ctx context.Context) error {
	path := r.healthPath()
	if path == "" {
		return errNoHealthPath
	}
	asked := r.daemon.Now()
	health, err := r.prober.Probe(ctx, path)
	if err != nil {
		return err
	}
	if health.Healthy && health.InstanceID != "" {
		r.lifecycle.RecordInstanceID(r.daemon.Now(), health.InstanceID)
	}
	r.lifecycle.RecordCold(asked, r.daemon.Now(), health.InstanceID, health.ColdFor)
	r.runner.UpdateColdState()
	r.runner.UpdateLoad(health.LoadHeader)
	return nil
}

// healthPath is empty until a placement names it.
func (r *routed) healthPath() string {
	service, _ := r.service()
	return service.HealthPath
}

// service is what the placement in force says of the backend server's service; ok
// is false without a placement.
func (r *routed) service() (s routing.Service, ok bool) {
	p := r.daemon.World.View.Placement()
	if p == nil {
		return routing.Service{}, false
	}
	s, _ = p.Routes.Service(r.daemon.Settings.BackendServer.Service)
	return s, true
}
