// Package daemon builds rushrampd from its parts, starts it and drains it.
package daemon

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/rushramp/rushramp/pkg/atmostonce"
	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/callers"
	"github.com/rushramp/rushramp/pkg/certs"
	"github.com/rushramp/rushramp/pkg/choose"
	"github.com/rushramp/rushramp/pkg/common"
	"github.com/rushramp/rushramp/pkg/entry"
	"github.com/rushramp/rushramp/pkg/evacuation"
	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/executor"
	"github.com/rushramp/rushramp/pkg/link"
	"github.com/rushramp/rushramp/pkg/operators"
	"github.com/rushramp/rushramp/pkg/placement"
	"github.com/rushramp/rushramp/pkg/rollout"
	"github.com/rushramp/rushramp/pkg/settings"
	"github.com/rushramp/rushramp/pkg/store"
	"github.com/rushramp/rushramp/pkg/systems"
	"github.com/rushramp/rushramp/pkg/tables"
)

// Options replace parts of a daemon. Each may be nil: the daemon then uses its default.
type Options struct {
	// Adapters are the adapters for platforms other than rushramp's own HTTP interface.
	Adapters Adapters
	// Platform replaces the store of the adapter.
	Platform store.Platform
	// Policy replaces the one that settings choosing.policy names.
	Policy choose.Policy
	// Dial opens links to other daemons.
	Dial link.Dial
	Log  *events.Log
}

// Daemon is one rushrampd: an entry for calls and, beside a backend server, the executor
// that runs calls there.
type Daemon struct {
	*common.Common
	World *tables.World
	// Executor is nil on a daemon without a backend server.
	Executor *executor.Executor
	Entry    *entry.Entry

	env       *systems.Env
	scheduler *systems.Scheduler
	certs     *certs.Reloader
	store     *placement.Store
	policy    choose.Policy
	control   *systems.Control
	operators *operators.Server
	// storeClock is Adapter.Clock.
	storeClock func() time.Duration
	// routed is nil on a daemon that accepts no routed requests.
	routed *routed
	// cancelBackground ends the background goroutines, after the drain.
	cancelBackground context.CancelFunc
	// links accepts links from other daemons; nil until listen has opened its listener.
	links atomic.Pointer[link.Server]
	// callers serves rushramp's own HTTP interface; nil until listen has opened its listener.
	callers atomic.Pointer[callers.Server]
	stops   []func()
	// started is closed once all listeners are open.
	started   chan struct{}
	leaveOnce sync.Once
	// drainEnd is when the drain ends; nil until the daemon drains.
	drainEnd atomic.Pointer[time.Time]
	drained  chan struct{}
	cutCalls atomic.Int64
	stopOnce sync.Once
}

// New returns a daemon with the given settings. Start opens its listeners.
func New(s *settings.Settings, opts Options) (*Daemon, error) {
	adapter, err := opts.Adapters.adapter(s)
	if err != nil {
		return nil, err
	}
	// The caller's settings stay as in the file: the reloader compares them with the file.
	effective := *s
	adapter.Bounds.apply(&effective.Routing)
	adapter.Bounds.applyTeams(&effective.Teams)
	adapter.Bounds.applyDrain(&effective.Drain)
	fitAnswers(&effective.Limits)
	s = &effective
	if opts.Platform == nil {
		opts.Platform = adapter.Store
	}
	if opts.Policy == nil {
		policy, err := choose.New(s.Choosing.Policy, choose.Options{StampHalfLife: s.Choosing.StampHalfLife})
		if err != nil {
			return nil, err
		}
		opts.Policy = policy
	}
	if opts.Log == nil {
		opts.Log = events.Discard()
	}
	reloader, err := certs.NewReloader(s.TLS)
	if err != nil {
		return nil, err
	}
	if opts.Dial == nil {
		opts.Dial = dialFrom(s.Listen.Links)
	}
	c := common.NewCommon(opts.Log, s)
	opts.Platform = store.NewInstrumented(opts.Platform, c.Metrics)
	background, cancelBackground := context.WithCancel(context.Background())
	d := &Daemon{
		Common: c,
		World:  tables.NewWorld(s.VM.ID, s.VM.DataCentre),
		certs:  reloader, storeClock: adapter.Clock,
		store:            placement.NewStore(opts.Platform, opts.Platform),
		policy:           opts.Policy,
		cancelBackground: cancelBackground,
		started:          make(chan struct{}),
		drained:          make(chan struct{}),
	}
	d.World.Region = s.VM.Region
	if s.Listen.Routed != "" {
		c.Quota = newQuota(s, d.World.View)
		registerQuotaMetrics(c.Metrics, c.Quota)
	}
	claims := atmostonce.NewClaims(background, c, opts.Platform)
	if err := d.newExecutor(claims); err != nil {
		cancelBackground()
		return nil, err
	}
	d.Entry = entry.NewEntry(c, d.World, opts.Policy, claims)
	if d.routed, err = newRouted(d, adapter); err != nil {
		cancelBackground()
		return nil, err
	}
	d.control = systems.NewControl(c, d.World, uint64(time.Now().UnixNano()))
	d.env = &systems.Env{
		Common: c, World: d.World, Platform: opts.Platform, Store: d.store,
		Executor: d.Executor, Control: d.control, DaemonContext: background,
		DialOptions:   link.DialOptions{Dial: opts.Dial, TLS: reloader.Client(), HeartbeatTiming: link.NewHeartbeatTiming(s.Links.Heartbeat)},
		SweepOnceRows: claims.Sweep,
		Leave:         d.Leave,
		Feed:          adapter.Feed, Registrar: adapter.Registrar,
		Runner:    d.callRunner(),
		PlanStore: adapter.Rollouts, RolloutLimits: adapter.Bounds.rolloutLimits(),
	}
	if adapter.Feed == nil {
		d.env.Evacuation = evacuation.NewRegister(opts.Platform)
		d.env.Orders = rollout.NewOrderStore(opts.Platform)
	}
	if d.routed != nil {
		d.env.RoutedRunner, d.env.Backend, d.env.Recorder = d.routed.runner, d.routed.lifecycle, d.routed.recorder
		d.env.Enforcer = d.routed.runner.Enforcer()
	} else if d.Executor != nil && s.BackendServer.Version != "" {
		d.setUpEnforcer()
	}
	if adapter.OnInvalidInput != nil {
		adapter.OnInvalidInput(d.logInvalidInput)
	}
	if adapter.OnStoreRestored != nil {
		adapter.OnStoreRestored(d.onStoreRestored)
	}
	d.scheduler = systems.NewScheduler(d.env)
	d.operators = d.newOperators()
	return d, nil
}

// logInvalidInput logs and counts an announcement or a row of the store that was invalid
// and is ignored. what names it.
func (d *Daemon) logInvalidInput(what string, err error) {
	d.Metrics.GetOrCreateCounter("rushramp_foreign_words_total").Inc()
	d.Log.Event(events.InvalidRecord, events.F("what", what), events.F("cause", err))
}

// onStoreRestored tells the systems that the store was restored from an older copy, so that
// they write again what it has lost.
func (d *Daemon) onStoreRestored() {
	d.Log.Event(events.StoreRestored)
	d.World.Inbox.Post(true, func(m *tables.Mail) { m.StoreRestored = true })
}

// dialFrom returns a dialler whose connections come from the IP address that the daemon
// listens on, so that peers see which VM a link comes from.
func dialFrom(listen string) link.Dial {
	// Heartbeats detect dead links. TCP keep-alive probes as frequent as these would cost
	// one more packet per second on each idle link.
	dialer := &net.Dialer{}
	if host, _, err := net.SplitHostPort(listen); err == nil {
		if ip := net.ParseIP(host); ip != nil && !ip.IsUnspecified() {
			dialer.LocalAddr = &net.TCPAddr{IP: ip}
		}
	}
	return dialer.DialContext
}

// newExecutor sets Executor if the settings name a backend server.
func (d *Daemon) newExecutor(claims *atmostonce.Claims) error {
	if d.Settings.BackendServer.Address == "" {
		return nil
	}
	var err error
	d.Executor, err = executor.NewExecutor(d.Common, claims, d.World.View.Placement)
	return err
}

// Start opens the listeners and starts the systems. If a listener cannot be opened, it
// closes the others and returns the error.
func (d *Daemon) Start() error {
	if err := d.listen(); err != nil {
		d.Log.Event(events.ListenerFailed, events.F("cause", err))
		d.stopAll()
		return err
	}
	close(d.started)
	go d.scheduler.Run(d.env.DaemonContext)
	routing := &d.Settings.Routing
	d.Log.Event(events.DaemonStarted, events.F("data_centre", d.Settings.VM.DataCentre), events.F("service", d.Settings.BackendServer.Service),
		events.F("first_start", d.Settings.Platform.FirstStart), events.F("retry_ratio", routing.RetryRatio),
		events.F("retry_slack", routing.RetrySlack), events.F("looks_per_second", routing.LooksPerSecond),
		events.F("drain_bound", events.Milliseconds(d.Settings.Drain.Bound)))
	return nil
}

// listen opens all listeners and adds the functions that close them to stops.
func (d *Daemon) listen() error {
	listener, err := net.Listen("tcp", d.Settings.Listen.Links)
	if err != nil {
		return errors.Errorf("cannot listen on %s: %v. Choose an address of this VM that no other process uses.", d.Settings.Listen.Links, err)
	}
	links := link.Listen(d.Common, d.control, d.callRunner(), listener, d.certs.Server(), d.env.DialOptions.HeartbeatTiming)
	d.links.Store(links)
	d.stops = append(d.stops, links.Close)
	starts := []func() (func(), error){
		func() (func(), error) { return startMetrics(d) },
		func() (func(), error) { return operators.Start(d.operators, d.certs.Server()) },
		d.listenForCallers,
	}
	if d.routed != nil {
		starts = append(starts, d.routed.start)
	}
	for _, start := range starts {
		stop, err := start()
		if err != nil {
			return err
		}
		d.stops = append(d.stops, stop)
	}
	return nil
}

func (d *Daemon) listenForCallers() (stop func(), err error) {
	server, stop, err := callers.Start(d.Common, d.Entry)
	d.callers.Store(server)
	return stop, err
}

// callRunner returns the runner of calls that arrive on links. On a daemon without a backend
// server it is a nil interface.
func (d *Daemon) callRunner() call.Runner {
	if d.routed != nil {
		return d.routed.runner
	}
	if d.Executor == nil {
		return nil
	}
	return d.Executor
}

func (d *Daemon) newOperators() *operators.Server {
	return &operators.Server{
		Common: d.Common, World: d.World, Store: d.store,
		Policy: d.policy, Executor: d.Executor,
		Evacuation: d.env.Evacuation, Orders: d.env.Orders, StoreClock: d.storeClock,
		Leave: d.Leave, InFlight: d.InFlight,
	}
}

// InFlight returns the number of calls and routed requests that have not ended, or whose results
// are not sent to their callers or entries yet. One whose entry and executor are both this daemon
// counts twice.
func (d *Daemon) InFlight() int64 {
	out := int64(0)
	if server := d.callers.Load(); server != nil {
		out += server.InFlight()
	}
	if d.Executor != nil {
		out += d.Executor.InFlight()
	}
	if d.routed != nil {
		out += d.routed.forwarder.InFlight() + d.routed.runner.InFlight()
	}
	if links := d.links.Load(); links != nil {
		out += links.UnsentResults()
	}
	return out
}

// Stop ends the daemon at once. Calls that are still in flight are cut.
func (d *Daemon) Stop() { d.stopOnce.Do(d.stop) }

func (d *Daemon) stop() {
	d.cancelBackground()
	d.shutdownLinks()
	d.stopAll()
	if d.Executor != nil {
		d.Executor.Close()
	}
	if d.routed != nil {
		d.routed.runner.Close()
	}
	d.Log.Event(events.DaemonStopped, events.F("cut", d.CutCalls()))
}

// stopAll closes the listeners. It does so at the same time, because each may wait for the
// answers that its callers have not read.
func (d *Daemon) stopAll() {
	var wg sync.WaitGroup
	for _, stop := range d.stops {
		wg.Go(stop)
	}
	wg.Wait()
	d.stops = nil
}
