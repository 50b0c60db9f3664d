// Package daemon puts the parts of rushrampd together.
package daemon

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/callers"
	"github.com/rushramp/rushramp/pkg/certs"
	"github.com/rushramp/rushramp/pkg/choose"
	"github.com/rushramp/rushramp/pkg/common"
	"github.com/rushramp/rushramp/pkg/entry"
	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/executor"
	"github.com/rushramp/rushramp/pkg/link"
	"github.com/rushramp/rushramp/pkg/once"
	"github.com/rushramp/rushramp/pkg/operators"
	"github.com/rushramp/rushramp/pkg/placement"
	"github.com/rushramp/rushramp/pkg/platform"
	"github.com/rushramp/rushramp/pkg/settings"
	"github.com/rushramp/rushramp/pkg/systems"
	"github.com/rushramp/rushramp/pkg/tables"
)

// Options replace parts in tests and in the bench. Each may be nil.
type Options struct {
	Platform platform.Platform
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
	if opts.Platform == nil {
		http, err := platform.NewHTTP(s.Platform.Address, s.Platform.Timeout)
		if err != nil {
			return nil, err
		}
		opts.Platform = http
	}
	if opts.Policy == nil {
		policy, err := choose.New(s.Choosing.Policy, choose.Options{HalfLife: s.Choosing.StampHalfLife})
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
	background, endWork := context.WithCancel(context.Background())
	self := &Daemon{
		Common:  c,
		World:   tables.NewWorld(s.VM.ID, s.VM.DataCentre),
		certs:   reloader,
		store:   placement.NewStore(opts.Platform, opts.Platform),
		policy:  opts.Policy,
		endWork: endWork,
		left:    make(chan struct{}),
	}
	claims := once.NewClaims(background, c, opts.Platform)
	if err := self.newExecutor(claims); err != nil {
		endWork()
		return nil, err
	}
	self.Entry = entry.NewEntry(c, self.World, opts.Policy, claims)
	self.control = systems.NewControl(c, self.World, uint64(time.Now().UnixNano()))
	self.env = &systems.Env{
		Common: c, World: self.World, Platform: opts.Platform, Store: self.store,
		Executor: self.Executor, Control: self.control, Background: background,
		Dial:  link.DialOptions{Dial: opts.Dial, TLS: reloader.Client(), Heartbeat: systems.Heartbeat},
		Sweep: claims.Sweep,
		Leave: self.Leave,
	}
	self.scheduler = systems.NewScheduler(self.env)
	self.operators = self.newOperators()
	return self, nil
}

// dialFrom dials from the IP number that the daemon listens on, so that others
// see which VM a link comes from.
func dialFrom(listen string) link.Dial {
	dialer := &net.Dialer{}
	if host, _, err := net.SplitHostPort(listen); err == nil {
		if ip := net.ParseIP(host); ip != nil && !ip.IsUnspecified() {
			dialer.LocalAddr = &net.TCPAddr{IP: ip}
		}
	}
	return dialer.DialContext
}

func (self *Daemon) newExecutor(claims *once.Claims) error {
	if self.Settings.BackendServer.Address == "" {
		return nil
	}
	var err error
	self.Executor, err = executor.NewExecutor(self.Common, claims, self.World.View.Placement)
	return err
}

// Start opens the listeners and starts the systems.
func (self *Daemon) Start() error {
	if err := self.listen(); err != nil {
		self.Log.Event(events.ListenerFailed, events.F("cause", err))
		self.stopAll()
		return err
	}
	go self.scheduler.Run(self.env.Background)
	self.Log.Event(events.DaemonStarted, events.F("data_centre", self.Settings.VM.DataCentre), events.F("service", self.Settings.BackendServer.Service))
	return nil
}

func (self *Daemon) listen() error {
	listener, err := net.Listen("tcp", self.Settings.Listen.Links)
	if err != nil {
		return errors.Errorf("cannot listen on %s: %v. Choose an address of this VM that no other process uses.", self.Settings.Listen.Links, err)
	}
	links := link.Listen(self.Common, self.control, self.runner(), listener, self.certs.Server(), systems.Heartbeat)
	self.stops = append(self.stops, links.Close)
	starts := []func() (func(), error){
		func() (func(), error) { return startMetrics(self) },
		func() (func(), error) { return operators.Start(self.operators, self.certs.Server()) },
		func() (func(), error) { return callers.Start(self.Common, self.Entry) },
	}
	for _, start := range starts {
		stop, err := start()
		if err != nil {
			return err
		}
		self.stops = append(self.stops, stop)
	}
	return nil
}

// runner is who runs calls from links; a nil interface on an entry only.
func (self *Daemon) runner() call.Runner {
	if self.Executor == nil {
		return nil
	}
	return self.Executor
}

func (self *Daemon) newOperators() *operators.Server {
	return &operators.Server{
		Common: self.Common, World: self.World, Store: self.store,
		Policy: self.policy, Executor: self.Executor,
		Leave: self.Leave, InFlight: self.InFlight,
	}
}

// InFlight counts the calls that have not ended, entry side and executor side.
func (self *Daemon) InFlight() int64 {
	out := self.Entry.InFlight()
	if self.Executor != nil {
		out += self.Executor.InFlight()
	}
	return out
}

// Leave begins the drain; it returns at once. SIGTERM, an operator's drain and
// the platform's leaving mark all come here. Source: docs/design/members.md.
func (self *Daemon) Leave() {
	self.leave.Do(func() {
		self.Log.Event(events.DaemonDraining, events.F("calls_in_flight", self.InFlight()))
		self.World.View.SetLeaving()
		if self.Executor != nil {
			self.Executor.Leave()
		}
		self.World.Inbox.Post(true, func(*tables.Mail) {})
		go self.drain()
	})
}

const drainPoll = 5 * time.Millisecond

func (self *Daemon) drain() {
	defer close(self.left)
	began := time.Now()
	bound := self.Settings.Drain.Bound
	// Others learn at once over their links; those without one learn it from
	// the refusals of this linger.
	for time.Since(began) < self.Settings.Drain.Linger || (self.InFlight() > 0 && time.Since(began) < bound) {
		time.Sleep(drainPoll)
	}
	self.cut.Store(self.InFlight())
}

// Cut counts the calls that were in flight when the drain's bound passed.
func (self *Daemon) Cut() int64 { return self.cut.Load() }

// Left is closed when the drain has ended.
func (self *Daemon) Left() <-chan struct{} { return self.left }

// Stop ends the daemon: at once, unless it drained before.
func (self *Daemon) Stop() { self.stopped.Do(self.stop) }

func (self *Daemon) stop() {
	self.endWork()
	self.stopAll()
	if self.Executor != nil {
		self.Executor.Close()
	}
	self.Log.Event(events.DaemonStopped, events.F("cut", self.Cut()))
}

func (self *Daemon) stopAll() {
	for i := len(self.stops) - 1; i >= 0; i-- {
		self.stops[i]()
	}
	self.stops = nil
}
