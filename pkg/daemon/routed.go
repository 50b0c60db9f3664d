package daemon

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/rushramp/rushramp/pkg/backend"
	"github.com/rushramp/rushramp/pkg/connections"
	"github.com/rushramp/rushramp/pkg/errkind"
	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/forward"
	"github.com/rushramp/rushramp/pkg/ingress"
	"github.com/rushramp/rushramp/pkg/rollout"
	"github.com/rushramp/rushramp/pkg/routing"
	"github.com/rushramp/rushramp/pkg/runner"
	"github.com/rushramp/rushramp/pkg/tables"
)

const (
	// ackTimeout is how long an announcement waits for the store before it is acknowledged.
	// The backend server gives up after a second.
	ackTimeout = 600 * time.Millisecond
	// closeTimeout is how long the ingress waits for the callers' connections to end.
	closeTimeout = 300 * time.Millisecond
)

// routed holds the parts of a daemon that only routed requests need. Source:
// docs/design/platform.md.
type routed struct {
	daemon    *Daemon
	adapter   *Adapter
	lifecycle *backend.Lifecycle
	load      *backend.Load
	runner    *runner.Runner
	recorder  *rollout.Recorder
	forwarder *forward.Forwarder
	prober    *backend.Prober
	checker   *backend.HealthChecker
	ingress   *ingress.Server
	draining  atomic.Bool
}

// newRouted returns the parts for routed requests, or nil if the settings name no listener
// for them.
func newRouted(d *Daemon, adapter *Adapter) (*routed, error) {
	s := d.Settings
	if s.Listen.Routed == "" {
		return nil, nil
	}
	r := &routed{
		daemon: d, adapter: adapter, load: &backend.Load{},
		// The wall clock identifies the process of this daemon: each restart gets a later time.
		recorder: rollout.NewRecorder(s.VM.ID, s.BackendServer.Service, uint64(time.Now().UnixNano())),
		prober:   backend.NewProber(s.BackendServer.Address, adapter.Backend, probeTimeout),
	}
	r.lifecycle = backend.NewLifecycle(s.Platform.FirstStart, r.onStateChange)
	r.checker = backend.NewHealthChecker(backend.HealthCheckerOptions{
		MaxWait: s.Routing.LookWithin, MaxPerSecond: s.Routing.LooksPerSecond, OnPauseChange: r.onPauseChange,
	}, r.checkHealth)
	var err error
	r.runner, err = runner.NewRunner(d.Common, runner.Deps{
		Headers: adapter.Backend, Lifecycle: r.lifecycle, Load: r.load, Checker: r.checker, Service: r.service, FindRoute: r.route,
		VMShare:  d.World.View.VMShareOf,
		Recorder: r.recorder, OnDeparture: r.handleDepartureInResponse,
	})
	if err != nil {
		return nil, err
	}
	r.forwarder = forward.NewForwarder(d.Common, d.World.View, r.runner)
	return r, err
}

// onStateChange logs the new state of the backend server and wakes the systems, which send
// it to other daemons.
func (r *routed) onStateChange(instance backend.Incarnation, state backend.State) {
	fields := []events.Field{events.F("instance", instance), events.F("state", state), events.F("version", r.lifecycle.Version())}
	if age, source, departed := r.lifecycle.CurrentDeparture(r.daemon.Now()); departed {
		fields = append(fields, events.F("departure_from", source), events.F("departure_age", events.Milliseconds(age)))
	}
	r.daemon.Log.Event(events.BackendState, fields...)
	r.daemon.World.Inbox.Post(true, func(*tables.Mail) {})
}

// start opens the listeners and starts the health checks of the backend server. stop
// closes the listeners.
func (r *routed) start() (stop func(), err error) {
	d := r.daemon
	var stops []func()
	stopAll := func() {
		for i := len(stops) - 1; i >= 0; i-- {
			stops[i]()
		}
	}
	r.ingress, err = ingress.Start(d.Common, r.adapter.Callers, r.forwarder, r.limits)
	if err != nil {
		return nil, err
	}
	stops = append(stops, r.closeIngress)
	handlers := map[string]probeHandler{}
	if address := d.Settings.Listen.Readiness; address != "" {
		handlers[address] = probeHandler{"readiness", http.HandlerFunc(r.serveReadiness)}
	}
	if address := d.Settings.Listen.Announcements; address != "" && r.adapter.Announcements != nil {
		handlers[address] = probeHandler{"announcements", r.adapter.Announcements(r)}
	}
	for address, handler := range handlers {
		stop, err := d.serveProbes(address, handler)
		if err != nil {
			stopAll()
			return nil, err
		}
		stops = append(stops, stop)
	}
	go r.runHealthChecks(d.env.DaemonContext)
	return stopAll, nil
}

// route returns the route for a host and path in the placement in force, or nil if there
// is none.
func (r *routed) route(host, path string) (route *routing.CompiledRoute, version uint64) {
	p := r.daemon.World.View.Placement()
	if p == nil {
		return nil, 0
	}
	return p.Routes.Match(host, path), p.Version
}

// limits returns the limits of the placement in force.
func (r *routed) limits() routing.Limits {
	if p := r.daemon.World.View.Placement(); p != nil {
		return p.Routes.Limits()
	}
	return routing.Limits{}
}

func (r *routed) closeIngress() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	r.ingress.Close(ctx)
}

// probeHandler serves the listener with the given name.
type probeHandler struct {
	listener string
	handler  http.Handler
}

// maxProbeHeadBytes limits the heads of readiness checks and announcements; http.Server allows
// another 4 kB.
const maxProbeHeadBytes = 4 << 10

// newProbeTable returns the table of connections of a listener of readiness checks,
// announcements or metrics.
func (d *Daemon) newProbeTable(listener string) *connections.Table {
	return connections.NewTable(listener, connections.LimitsOfProbes(d.Settings.Limits.MemoryBytes), d.Metrics)
}

// serveProbes serves a handler at an address until stop is called.
func (d *Daemon) serveProbes(address string, h probeHandler) (stop func(), err error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Errorf("cannot listen on %s: %v. Choose an address of this VM that no other process uses.", address, err)
	}
	server := &http.Server{Handler: h.handler, ReadHeaderTimeout: probeTimeout * 10, MaxHeaderBytes: maxProbeHeadBytes}
	limited := d.newProbeTable(h.listener).Listener(listener)
	go func() { _ = server.Serve(limited) }()
	return func() { _ = server.Close() }, nil
}

// serveReadiness answers 200 if callers should send routed requests to this daemon, and
// 503 otherwise.
func (r *routed) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if r.draining.Load() || !r.daemon.World.View.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// HandleHeartbeat implements backend.AnnouncementHandler.
func (r *routed) HandleHeartbeat(ctx context.Context, h backend.Heartbeat) {
	h.ReceivedAtMS = time.Now().UnixMilli()
	r.runner.UpdateSlots(h.Slots)
	departed := r.lifecycle.RecordHeartbeat(r.daemon.Now(), h)
	r.runner.UpdateColdState()
	if departed {
		r.saveDeparture(ctx, h.InstanceID)
	}
}

// HandleDeparture implements backend.AnnouncementHandler.
func (r *routed) HandleDeparture(ctx context.Context, incarnation backend.Incarnation) {
	departure := backend.Departure{Incarnation: incarnation, StartedByMS: time.Now().UnixMilli(), Source: backend.FromDeregistration}
	if r.lifecycle.RecordDeparture(r.daemon.Now(), departure) {
		r.saveDeparture(ctx, incarnation.ID)
	}
}

// handleDepartureInResponse records a departure that a backend server announced in the
// response to a request sent at sentAt. No acknowledgement waits for the store.
func (r *routed) handleDepartureInResponse(incarnation backend.Incarnation, sentAt int64) {
	now := r.daemon.Now()
	sentAtMS := time.Now().Add(time.Duration(sentAt - now)).UnixMilli()
	departure := backend.Departure{Incarnation: incarnation, StartedByMS: sentAtMS, Source: backend.FromResponse}
	if r.lifecycle.RecordDeparture(now, departure) {
		go r.saveDeparture(r.daemon.env.DaemonContext, incarnation.ID)
	}
}

// HandleOtherService implements backend.AnnouncementHandler.
func (r *routed) HandleOtherService(instanceID string) {
	r.lifecycle.RecordOtherService(r.daemon.Now(), instanceID)
}

// HandleInvalid implements backend.AnnouncementHandler.
func (r *routed) HandleInvalid(instanceID string, err error) {
	r.daemon.logInvalidInput("announcement of "+instanceID, err)
}

// saveDeparture stores the recorded departure of an instance before it is acknowledged, so
// that this daemon knows it after a restart.
func (r *routed) saveDeparture(ctx context.Context, instanceID string) {
	ctx, cancel := context.WithTimeout(ctx, ackTimeout)
	defer cancel()
	r.daemon.env.SaveDeparture(ctx, r.lifecycle.RecordedDeparture(instanceID))
}

// drain makes the daemon not ready and accepts requests until schedule.acceptUntil, so that
// callers notice it, if they end before the drain does. It then closes the ingress, which waits
// for the requests in flight until the drain ends.
func (r *routed) drain(schedule drainSchedule) {
	r.draining.Store(true)
	r.forwarder.Drain(r.daemon.clockTime(schedule.lastDeadline), r.daemon.clockTime(schedule.acceptUntil))
	r.runner.Drain(r.daemon.clockTime(schedule.lastDeadline))
	r.ingress.StopKeepAlives()
	time.Sleep(time.Until(schedule.acceptUntil))
	r.runner.StopAccepting()
	ctx, cancel := context.WithDeadline(context.Background(), schedule.end)
	defer cancel()
	r.ingress.Close(ctx)
}

// abort ends the requests that are still in flight at the end of a drain. Those that wait at the
// gate have not run, so that their entries may still send them to another executor.
func (r *routed) abort() {
	r.runner.RefuseWaiting(errkind.New(errkind.Leaving, "the daemon has stopped before the request started"))
	r.ingress.Abort()
}

// clockTime converts a time to nanoseconds of the daemon's clock.
func (d *Daemon) clockTime(t time.Time) int64 { return d.Now() + int64(time.Until(t)) }
