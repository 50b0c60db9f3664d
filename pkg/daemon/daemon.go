// Package daemon puts the parts of rushrampd together.
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

// Options replace parts in tests and in the bench. Each may be nil.
type Options struct {
	// Adapters are the platforms that this program knows besides rushramp's own.
	Adapters Adapters
	// Platform replaces the store of the adapter.
	Platform store.Platform
	Policy   choose.Policy
	Dial     link.Dial
	Log      *events.Log
}

// Daemon is one rushrampd.
type Daemon struct {
	*common.Common
	World    *tables.World
	Executor *executor.Executor
	Entry    *entry.Entry

	env       *systems.Env
	scheduler *systems.Scheduler
	certs     *certs.Reloader
	store     *placement.Store
	policy    choose.Policy
	control   *systems.Control
	operators *operators.Server
	// storeClock is the adapter's Clock.
	storeClock func() time.Duration
	// routed is nil on a daemon that takes no routed requests.
	routed *routed
	// endWork ends what runs in the background, after the drain.
	endWork context.CancelFunc
	stops   []func()
	leave   sync.Once
	left    chan struct{}
	cut     atomic.Int64
	stopped sync.Once
}

// New makes a daemon from its settings. It opens no listener yet.
func New(s *settings.Settings, opts Options) (*Daemon, error) {
	adapter, err := opts.Adapters.adapter(s)
	if err != nil {
		return nil, err
	}
	// The file's own settings stay as they are: the reloader compares them.
	inForce := *s
	adapter.Bounds.apply(&inForce.Routing)
	adapter.Bounds.applyTeams(&inForce.Teams)
	s = &inForce
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
	background, endWork := context.WithCancel(context.Background())
	d := &Daemon{
		Common: c,
		World:  tables.NewWorld(s.VM.ID, s.VM.DataCentre),
		certs:  reloader, storeClock: adapter.Clock,
		store:   placement.NewStore(opts.Platform, opts.Platform),
		policy:  opts.Policy,
		endWork: endWork,
		left:    make(chan struct{}),
	}
	d.World.Region = s.VM.Region
	if s.Listen.Routed != "" {
		c.Quota = newQuota(s, d.World.View)
		measureQuota(c.Metrics, c.Quota)
	}
	claims := atmostonce.NewClaims(background, c, opts.Platform)
	if err := d.newExecutor(claims); err != nil {
		endWork()
		return nil, err
	}
	d.Entry = entry.NewEntry(c, d.World, opts.Policy, claims)
	if d.routed, err = newRouted(d, adapter); err != nil {
		endWork()
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
		Runner:    d.runner(),
		PlanStore: adapter.Rollouts, RolloutLimits: adapter.Bounds.rollouts(),
	}
	if adapter.Feed == nil {
		d.env.Evacuation = evacuation.NewRegister(opts.Platform)
		d.env.Orders = rollout.NewOrderStore(opts.Platform)
	}
	if d.routed != nil {
		d.env.RoutedRunner, d.env.Backend, d.env.Recorder = d.routed.runner, d.routed.lifecycle, d.routed.recorder
		d.env.Enforcer = d.routed.runner.Trial()
	} else if d.Executor != nil && s.BackendServer.Version != "" {
		d.beginTrial()
	}
	if adapter.OnForeign != nil {
		adapter.OnForeign(d.noteForeign)
	}
	if adapter.OnRestored != nil {
		adapter.OnRestored(d.noteRestored)
	}
	d.scheduler = systems.NewScheduler(d.env)
	d.operators = d.newOperators()
	return d, nil
}

// noteForeign logs a word of another writer, which was passed over.
func (d *Daemon) noteForeign(what string, why error) {
	d.Metrics.GetOrCreateCounter("rushramp_foreign_words_total").Inc()
	d.Log.Event(events.InvalidRecord, events.F("what", what), events.F("cause", why))
}

// noteRestored has the systems write again what the store has lost.
func (d *Daemon) noteRestored() {
	d.Log.Event(events.StoreRestored)
	d.World.Inbox.Post(true, func(m *tables.Mail) { m.StoreRestored = true })
}

// dialFrom dials from the IP number that the daemon listens on, so that others
// see which VM a link comes from.
func dialFrom(listen string) link.Dial {
	// Links watch each other by heartbeats; probes besides would cost a packet a
	// second on each idle one.
	dialer := &net.Dialer{}
	if host, _, err := net.SplitHostPort(listen); err == nil {
		if ip := net.ParseIP(host); ip != nil && !ip.IsUnspecified() {
			dialer.LocalAddr = &net.TCPAddr{IP: ip}
		}
	}
	return dialer.DialContext
}

func (d *Daemon) newExecutor(claims *atmostonce.Claims) error {
	if d.Settings.BackendServer.Address == "" {
		return nil
	}
	var err error
	d.Executor, err = executor.NewExecutor(d.Common, claims, d.World.View.Placement)
	return err
}

// Start opens the listeners and starts the systems.
func (d *Daemon) Start() error {
	if err := d.listen(); err != nil {
		d.Log.Event(events.ListenerFailed, events.F("cause", err))
		d.stopAll()
		return err
	}
	go d.scheduler.Run(d.env.DaemonContext)
	routing := &d.Settings.Routing
	d.Log.Event(events.DaemonStarted, events.F("data_centre", d.Settings.VM.DataCentre), events.F("service", d.Settings.BackendServer.Service),
		events.F("first_start", d.Settings.Platform.FirstStart), events.F("retry_ratio", routing.RetryRatio),
		events.F("retry_slack", routing.RetrySlack), events.F("looks_per_second", routing.LooksPerSecond))
	return nil
}

func (d *Daemon) listen() error {
	listener, err := net.Listen("tcp", d.Settings.Listen.Links)
	if err != nil {
		return errors.Errorf("cannot listen on %s: %v. Choose an address of this VM that no other process uses.", d.Settings.Listen.Links, err)
	}
	links := link.Listen(d.Common, d.control, d.runner(), listener, d.certs.Server(), d.env.DialOptions.HeartbeatTiming)
	d.stops = append(d.stops, links.Close)
	starts := []func() (func(), error){
		func() (func(), error) { return startMetrics(d) },
		func() (func(), error) { return operators.Start(d.operators, d.certs.Server()) },
		func() (func(), error) { return callers.Start(d.Common, d.Entry) },
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

// runner is who runs calls from links; a nil interface on an entry only.
func (d *Daemon) runner() call.Runner {
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

// InFlight counts the calls that have not ended, entry side and executor side.
func (d *Daemon) InFlight() int64 {
	out := d.Entry.InFlight()
	if d.Executor != nil {
		out += d.Executor.InFlight()
	}
	if d.routed != nil {
		out += d.routed.forwarder.InFlight() + d.routed.runner.InFlight()
	}
	return out
}

// Leave begins the drain; it returns at once. SIGTERM, an operator's drain and
// the platform's leaving mark all come here. Source: docs/design/members.md.
func (d *Daemon) Leave() {
	d.leave.Do(func() {
		d.Log.Event(events.DaemonDraining, events.F("calls_in_flight", d.InFlight()))
		go d.leaveInTurn(time.Now())
	})
}

// leaveInTurn lets callers of routed requests see that this daemon leaves
// before other daemons do, so that its backend server is used meanwhile.
func (d *Daemon) leaveInTurn(began time.Time) {
	if d.routed != nil {
		d.routed.drain(began)
	}
	d.World.View.SetLeaving()
	if d.Executor != nil {
		d.Executor.Leave()
	}
	d.World.Inbox.Post(true, func(*tables.Mail) {})
	d.drain(began)
}

const drainPoll = 5 * time.Millisecond

func (d *Daemon) drain(began time.Time) {
	defer close(d.left)
	bound := d.Settings.Drain.Bound
	// Others learn at once over their links; those without one learn it from
	// the refusals of this linger.
	for time.Since(began) < d.Settings.Drain.Linger || (d.InFlight() > 0 && time.Since(began) < bound) {
		time.Sleep(drainPoll)
	}
	d.cut.Store(d.InFlight())
}

// Cut counts the calls that were in flight when the drain's bound passed.
func (d *Daemon) Cut() int64 { return d.cut.Load() }

// Left is closed when the drain has ended.
func (d *Daemon) Left() <-chan struct{} { return d.left }

// Stop ends the daemon: at once, unless it drained before.
func (d *Daemon) Stop() { d.stopped.Do(d.stop) }

func (d *Daemon) stop() {
	d.endWork()
	d.stopAll()
	if d.Executor != nil {
		d.Executor.Close()
	}
	if d.routed != nil {
		d.routed.runner.Close()
	}
	d.Log.Event(events.DaemonStopped, events.F("cut", d.Cut()))
}

func (d *Daemon) stopAll() {
	for i := len(d.stops) - 1; i >= 0; i-- {
		d.stops[i]()
	}
	d.stops = nil
}
