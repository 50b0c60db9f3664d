package daemon

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/rushramp/rushramp/pkg/backend"
	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/forward"
	"github.com/rushramp/rushramp/pkg/ingress"
	"github.com/rushramp/rushramp/pkg/rollout"
	"github.com/rushramp/rushramp/pkg/routing"
	"github.com/rushramp/rushramp/pkg/runner"
	"github.com/rushramp/rushramp/pkg/tables"
)

const (
	// ackWithin bounds how long an announcement waits for the store before it
	// is acknowledged; the backend server gives up after a second.
	ackWithin = 600 * time.Millisecond
	// closeWithin bounds the end of the callers' connections.
	closeWithin = 300 * time.Millisecond
)

// routed holds the parts of a daemon that takes routed requests. Source:
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

// newRouted makes the parts; nil when the settings name no listener for routed
// requests.
func newRouted(d *Daemon, adapter *Adapter) (*routed, error) {
	s := d.Settings
	if s.Listen.Routed == "" {
		return nil, nil
	}
	r := &routed{
		daemon: d, adapter: adapter, load: &backend.Load{},
		// The wall clock tells the processes of one VM's daemon apart.
		recorder: rollout.NewRecorder(s.VM.ID, s.BackendServer.Service, uint64(time.Now().UnixNano())),
		prober:   backend.NewProber(s.BackendServer.Address, adapter.Backend, probeTimeout),
	}
	r.lifecycle = backend.NewLifecycle(s.Platform.FirstStart, r.stateChanged)
	r.checker = backend.NewHealthChecker(backend.HealthCheckerOptions{
		MaxWait: s.Routing.LookWithin, MaxPerSecond: s.Routing.LooksPerSecond, OnPauseChange: r.checksPaused,
	}, r.ask)
	var err error
	r.runner, err = runner.NewRunner(d.Common, runner.Deps{
		Headers: adapter.Backend, Lifecycle: r.lifecycle, Load: r.load, Checker: r.checker, Service: r.service, FindRoute: r.route,
		VMShare:  d.World.View.VMShareOf,
		Recorder: r.recorder,
	})
	if err != nil {
		return nil, err
	}
	r.forwarder = forward.NewForwarder(d.Common, d.World.View, r.runner)
	return r, err
}

// stateChanged logs the new belief and wakes the systems, which pass it on.
func (r *routed) stateChanged(instance backend.Incarnation, state backend.State) {
	r.daemon.Log.Event(events.BackendState, events.F("instance", instance), events.F("state", state), events.F("version", r.lifecycle.Version()))
	r.daemon.World.Inbox.Post(true, func(*tables.Mail) {})
}

// start opens the listeners and begins to watch the backend server.
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
	handlers := map[string]http.Handler{}
	if address := d.Settings.Listen.Readiness; address != "" {
		handlers[address] = http.HandlerFunc(r.serveReadiness)
	}
	if address := d.Settings.Listen.Announcements; address != "" && r.adapter.Announcements != nil {
		handlers[address] = r.adapter.Announcements(r)
	}
	for address, handler := range handlers {
		stop, err := serveHTTP(address, handler)
		if err != nil {
			stopAll()
			return nil, err
		}
		stops = append(stops, stop)
	}
	go r.watch(d.env.DaemonContext)
	return stopAll, nil
}

// route finds a request's route in the placement in force; nil where there is none.
func (r *routed) route(host, path string) (route *routing.CompiledRoute, version uint64) {
	p := r.daemon.World.View.Placement()
	if p == nil {
		return nil, 0
	}
	return p.Routes.Match(host, path), p.Version
}

func (r *routed) limits() routing.Limits {
	if p := r.daemon.World.View.Placement(); p != nil {
		return p.Routes.Limits()
	}
	return routing.Limits{}
}

func (r *routed) closeIngress() {
	ctx, cancel := context.WithTimeout(context.Background(), closeWithin)
	defer cancel()
	r.ingress.Close(ctx)
}

// serveHTTP serves a small listener beside the main ones.
func serveHTTP(address string, handler http.Handler) (stop func(), err error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Errorf("cannot listen on %s: %v. Choose an address of this VM that no other process uses.", address, err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: probeTimeout * 10}
	go func() { _ = server.Serve(listener) }()
	return func() { _ = server.Close() }, nil
}

// serveReadiness says whether callers should send requests here.
func (r *routed) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if r.draining.Load() || !r.daemon.World.View.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// HandleHeartbeat implements backend.Announcer.
func (r *routed) HandleHeartbeat(ctx context.Context, h backend.Heartbeat) {
	r.runner.UpdateSlots(h.Slots)
	departed := r.lifecycle.RecordHeartbeat(r.daemon.Now(), h)
	r.runner.UpdateColdState()
	if departed {
		r.keep(ctx, h.Incarnation())
	}
}

// HandleDeparture implements backend.Announcer.
func (r *routed) HandleDeparture(ctx context.Context, of backend.Incarnation) {
	if r.lifecycle.RecordDeparture(r.daemon.Now(), of) {
		r.keep(ctx, of)
	}
}

// HandleInvalid implements backend.Announcer.
func (r *routed) HandleInvalid(id string, why error) {
	r.daemon.noteForeign("announcement of "+id, why)
}

// keep makes a departure outlive this process before it is acknowledged.
func (r *routed) keep(ctx context.Context, of backend.Incarnation) {
	ctx, cancel := context.WithTimeout(ctx, ackWithin)
	defer cancel()
	r.daemon.env.SaveDeparture(ctx, of)
}

// drain is a planned stop: readiness falls at once, and requests go on being
// taken until callers have seen that. None is cut.
func (r *routed) drain(began time.Time) {
	r.draining.Store(true)
	r.ingress.StopKeepAlives()
	time.Sleep(time.Until(began.Add(r.daemon.Settings.Routing.Linger)))
	r.runner.StopAccepting()
	// Callers may go on coming, as when too few daemons of their data centre
	// are in: what would be taken from here on might have to be cut.
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(r.daemon.Settings.Drain.Bound))
	defer cancel()
	r.ingress.Close(ctx)
}
