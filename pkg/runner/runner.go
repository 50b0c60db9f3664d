// Package runner runs routed requests at the backend server beside the daemon: it
// asks the gate, hands over, and says of each refusal whether the request ran.
// Source: docs/design/platform.md, "Executor and backend server".
package runner

import (
	"sync/atomic"
	"time"

	"github.com/panjf2000/ants/v2"
	"github.com/pkg/errors"

	"github.com/rushramp/rushramp/pkg/backend"
	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/common"
	"github.com/rushramp/rushramp/pkg/crash"
	"github.com/rushramp/rushramp/pkg/enforcer"
	"github.com/rushramp/rushramp/pkg/errkind"
	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/gate"
	"github.com/rushramp/rushramp/pkg/rollout"
	"github.com/rushramp/rushramp/pkg/routing"
	"github.com/rushramp/rushramp/pkg/speed"
	"github.com/rushramp/rushramp/pkg/wire"
	"github.com/rushramp/rushramp/pkg/worktime"
)

// poolShare is how many goroutines the pool holds a slot: one that runs and one
// that is on its way back.
const poolShare = 2

// Runner runs requests that are routed by host and path at the backend server
// beside this daemon. Source: docs/design/platform.md, "Executor and backend
// server".
type Runner struct {
	*common.Common
	counters
	gate      *gate.Gate
	pool      *ants.Pool
	transport *backend.Transport
	lifecycle *backend.Lifecycle
	load      *backend.Load
	work      *worktime.Times
	origins   *origins
	service   func() (s routing.Service, ok bool)
	route     func(host, path string) (route *routing.CompiledRoute, version uint64)
	// checker is nil where the backend server has no health path.
	checker *backend.HealthChecker
	// lookDue is true while a look for the end of a slow spell is due.
	lookDue atomic.Bool
	leaving atomic.Bool
	// evacuated is true while the data centre of this VM is.
	evacuated atomic.Bool
	// trial is the backend server's part in a roll-out.
	trial *enforcer.Enforcer
	// slowdowns are kept while a roll-out is known.
	slowdowns slowdowns
	// cold is true while the backend server says that it is; coldTold once the gate
	// knows what the backend server bears then.
	cold, coldTold atomic.Bool
	// usable is how many requests ran at once when that was logged last.
	usable atomic.Int64
	// slowed is true while the backend server is too slow for soft attempts.
	slowed   atomic.Bool
	inFlight atomic.Int64
	// callFailedAt is when a call of the backend server last failed, in nanoseconds.
	callFailedAt atomic.Int64
	// quarantineSeen is what the runs under way were last held against; only Tick
	// touches it.
	quarantineSeen uint64
	runs           runs
	crashes        *crash.Detector
	// askedAt is when a request last came, in nanoseconds.
	askedAt atomic.Int64
}

// Deps is what a runner works with besides the shared dependencies.
type Deps struct {
	Headers backend.Headers
	// Lifecycle and Load are kept by those who watch the backend server.
	Lifecycle *backend.Lifecycle
	Load      *backend.Load
	// Recorder counts the outcomes of runs while a roll-out is under way; it may be nil.
	Recorder *rollout.Recorder
	// Checker asks the backend server's health path; it may be nil.
	Checker *backend.HealthChecker
	// Service is what the placement says of the backend server's service; ok is
	// false while there is no placement.
	Service func() (s routing.Service, ok bool)
	// FindRoute finds a request's route in the placement in force; nil where that has
	// none.
	FindRoute func(host, path string) (route *routing.CompiledRoute, version uint64)
	// VMShare is which share of the VMs stands beside certain services, from 0 to 1;
	// nil: not known.
	VMShare func(services []string) float64
}

// shareOf takes all VMs for those of the services where nothing is known.
func (d *Deps) shareOf() func([]string) float64 {
	if d.VMShare == nil {
		return func([]string) float64 { return 1 }
	}
	return d.VMShare
}

// NewRunner makes a runner.
func NewRunner(c *common.Common, deps Deps) (*Runner, error) {
	s := c.Settings
	pool, err := ants.NewPool(poolShare*s.BackendServer.Slots, ants.WithNonblocking(true))
	if err != nil {
		return nil, errors.Wrap(err, "runner pool")
	}
	r := &Runner{
		Common:    c,
		pool:      pool,
		lifecycle: deps.Lifecycle,
		load:      deps.Load,
		service:   deps.Service,
		route:     deps.FindRoute,
		work:      worktime.NewTimes(),
		origins:   newOrigins(deps.shareOf()),
		checker:   deps.Checker,
		trial:     enforcer.New(c, deps.Lifecycle, deps.Recorder),
		transport: backend.NewTransport(backend.TransportOptions{
			Address: s.BackendServer.Address, Headers: deps.Headers,
			DialTimeout: s.BackendServer.DialTimeout, MaxBodyBytes: s.Limits.MaxBodyBytes, Now: c.Now,
		}),
		gate: gate.New(gate.Options{
			Slots: s.BackendServer.Slots, QueueLength: s.Gate.QueueLength, QueueTime: s.Gate.QueueTime,
			Order: gate.Ranked, SoftSlowdown: s.Routing.SoftSlowdown, SlotShare: s.Routing.Use, LearnLimit: true,
			Restarted: !s.Platform.FirstStart, RestartAfter: s.Platform.RestartAfter,
		}),
	}
	r.counters = newCounters(r)
	r.crashes = crash.NewDetector(c, crash.Deps{Running: r.runs.count, Instance: r.incarnation, OnCrash: r.ended})
	return r, nil
}

// incarnation is the backend server's, and whether it has said that it leaves.
func (r *Runner) incarnation() (instance string, leaving bool) {
	current, state := r.lifecycle.Current()
	return current.String(), state == backend.Leaving
}

// ended notes that the process of an incarnation has ended.
func (r *Runner) ended(instance string) {
	r.lifecycle.RecordProcessEnd(backend.ParseIncarnation(instance))
}

// InFlight counts requests that were taken in and have not ended.
func (r *Runner) InFlight() int64 { return r.inFlight.Load() }

// IdleFor is how long no request has come.
func (r *Runner) IdleFor(now int64) time.Duration { return time.Duration(now - r.askedAt.Load()) }

// Close frees the pool and the connections.
func (r *Runner) Close() {
	r.pool.Release()
	r.transport.CloseIdle()
}

// Stamp reports the load now.
func (r *Runner) Stamp() wire.Stamp { return r.gate.Stamp(r.Now()) }

// Gate returns the gate.
func (r *Runner) Gate() *gate.Gate { return r.gate }

// Tick starts waiting requests when there are more slots than before, and refuses
// all that wait when the backend server takes no more.
func (r *Runner) Tick() {
	r.recallHeld()
	if _, refusal := r.accepting(); refusal != nil {
		r.dismiss(refusal)
		return
	}
	start, sendBack := r.gate.Tick(r.Now())
	r.startAll(start)
	for _, job := range sendBack {
		job.SendBack()
	}
}

// dismiss refuses all that wait: another backend server may still run it in time.
func (r *Runner) dismiss(why *errkind.Error) {
	for _, job := range r.gate.DrainQueue() {
		job.Dismiss(why)
	}
}

// UpdateSlots takes over how many requests the backend server runs at once; 0 is
// passed over.
func (r *Runner) UpdateSlots(slots int) {
	r.load.SetSlots(slots)
	if before := r.gate.Slots(); slots > 0 && slots != before {
		r.gate.SetSlots(slots)
		r.Log.Event(events.SlotsChanged, events.F("slots", slots), events.F("before", before))
	}
}

// UpdateLoad takes over a load header's text that came now.
func (r *Runner) UpdateLoad(text string) {
	if text == "" {
		return
	}
	r.load.Update(r.Now(), text)
	r.UpdateSlots(r.load.Slots())
	if slowdown := r.load.Slowdown(); slowdown > 0 {
		if _, is := r.trial.PlanRevision(); is {
			r.slowdowns.note(r.Now(), slowdown)
		}
		r.noteSpeed(slowdown)
		r.startAll(r.gate.ObserveSlowdown(r.Now(), speed.FromPercent(int64(slowdown))))
		r.lookForEnd()
	}
}

// noteSpeed logs when the backend server becomes too slow for soft attempts, or
// as fast as usual again.
func (r *Runner) noteSpeed(slowdown int) {
	slowed := speed.FromPercent(int64(slowdown)) > r.Settings.Routing.SoftSlowdown
	if r.slowed.Swap(slowed) == slowed {
		return
	}
	r.Log.Event(events.SpeedChanged, events.F("slowed", slowed), events.F("slowdown", slowdown), events.F("in_flight", r.gate.InFlight()))
}

// noteLimit logs when the gate has learnt another number of runs at once.
func (r *Runner) noteLimit() {
	usable := int64(r.gate.UsableSlots())
	before := r.usable.Swap(usable)
	if before == usable || before == 0 {
		return
	}
	r.Log.Event(events.LimitChanged, events.F("usable", usable), events.F("before", before), events.F("slots", r.gate.Slots()))
}

// Execute implements call.Runner.
func (r *Runner) Execute(c *wire.Call, body []byte, done func(call.Result)) (cancel func()) {
	r.inFlight.Add(1)
	now := r.Now()
	r.askedAt.Store(now)
	run := &routedRun{owner: r, call: c, body: body, done: done, deadline: now + int64(c.Remaining)}
	if refusal := r.check(c, body); refusal != nil {
		run.refuse(refusal)
		return func() {}
	}
	run.origin = r.origins.note(c.Kind, c.Routed.Caller)
	called := run.origin == wire.OriginService
	run.job = gate.Job{
		Rank: rankOf(c), Team: c.Routed.Team, Nested: called, Deadline: run.deadline, Work: r.work.LookupOrEstimate(c.Kind, c.Routed.TargetRemaining),
		Soft: c.Routed.Soft, Near: c.Routed.Near, EndBy: r.endBy(now, run, called), Start: run.start, SendBack: run.sendBack, Dismiss: run.dismiss,
	}
	if !r.looksFirst(now, run) {
		run.admit()
	}
	return run.cancel
}

// rankOf puts the priority of the team before that of the route. Calls of backend servers
// have no team and go first: a run waits for each of them with its slot held.
func rankOf(c *wire.Call) uint16 {
	return uint16(c.Routed.TeamPriority)<<8 | uint16(c.Routed.Priority)
}

func (r *Runner) startAll(jobs []*gate.Job) {
	for _, job := range jobs {
		r.start(job)
	}
}

func (r *Runner) start(job *gate.Job) {
	if err := r.pool.Submit(job.Start); err != nil {
		go job.Start()
	}
}

// note takes over what a reply tells of the backend server.
func (r *Runner) note(reply *backend.Reply) {
	r.UpdateLoad(reply.LoadHeader)
	switch {
	case reply.Refusal == nil || reply.Refusal.Kind == errkind.BackendRefused:
		r.lifecycle.RecordAnswer(r.Now())
	case reply.Refusal.Kind == errkind.BackendUnreachable:
		r.lifecycle.RecordRefusedConnection()
		r.Log.Event(events.BackendDown, events.F("address", r.Settings.BackendServer.Address), events.F("cause", reply.Refusal.Detail))
	case reply.Refusal.Kind == errkind.BackendReplaced:
		r.lifecycle.RecordReplacement(r.Now(), reply.InstanceID)
	}
}
