// Package runner runs routed requests at the backend server beside the daemon: it
// passes them through the gate, sends them, and reports of each refusal whether the
// request ran. The entry is the daemon that received a request, and the executor is the
// daemon beside the backend server that runs it.
// Source: docs/design/platform.md, "Executor and backend server".
package runner

import (
	"sync"
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

// goroutinesPerSlot is the size of the goroutine pool per slot: one goroutine for the
// run and one for the previous run, which is just ending.
const goroutinesPerSlot = 2

// Runner runs requests that are routed by host and path at the backend server beside
// this daemon. Source: docs/design/platform.md, "Executor and backend server".
type Runner struct {
	*common.Common
	counters
	gate      *gate.Gate
	pool      *ants.Pool
	transport *backend.Transport
	lifecycle *backend.Lifecycle
	// onDeparture is Deps.OnDeparture or does nothing.
	onDeparture func(incarnation backend.Incarnation, sentAt int64)
	load        *backend.Load
	// rateLimitMu makes the gate see the changes of rateLimit in their order.
	// rateLimitReported is true once the gate knows what the backend server says.
	rateLimitMu       sync.Mutex
	rateLimit         backend.RateLimit
	rateLimitReported bool
	// rateLimitInvalid is true while responses name an invalid rate limit.
	rateLimitInvalid atomic.Bool
	workTimes        *worktime.Times
	origins          *originTracker
	service          func() (s routing.Service, ok bool)
	findRoute        func(host, path string) (route *routing.CompiledRoute, version uint64)
	// checker is nil if the backend server has no health path.
	checker *backend.HealthChecker
	// speedCheckDue is true while a health check is scheduled for held starts.
	speedCheckDue atomic.Bool
	leaving       atomic.Bool
	// lastDeadline is the latest deadline of a call that is accepted, in nanoseconds of the
	// daemon's clock; 0: the daemon does not drain.
	lastDeadline atomic.Int64
	// evacuated is true while this VM's data centre is evacuated.
	evacuated atomic.Bool
	// enforcer applies the service's roll-out to the backend server.
	enforcer *enforcer.Enforcer
	// slowdowns are the slowdowns reported while a roll-out of the service is known.
	slowdowns slowdownHistory
	// cold is true while the backend server reports that it is cold. coldLimitSet is true
	// once the gate knows how many starts it tolerates then.
	cold, coldLimitSet atomic.Bool
	// lastLimit is the gate's limit of concurrent runs after the last run; 0: none has
	// ended yet.
	lastLimit atomic.Int64
	// slowed is true while the backend server is too slow for soft attempts.
	slowed   atomic.Bool
	inFlight atomic.Int64
	// callFailedAt is when a call made by the backend server last failed, in nanoseconds.
	callFailedAt atomic.Int64
	// checkedQuarantine is the version of the quarantine that the active runs were last
	// checked against; only Tick uses it.
	checkedQuarantine uint64
	activeRuns        runSet
	crashDetector     *crash.Detector
	// lastRequestAt is when the last request arrived, in nanoseconds.
	lastRequestAt atomic.Int64
}

// Deps are the dependencies of a runner besides the shared ones.
type Deps struct {
	Headers backend.Headers
	// Lifecycle and Load are also updated by the daemon's health checks and by heartbeats.
	Lifecycle *backend.Lifecycle
	Load      *backend.Load
	// Recorder counts the outcomes of runs during a roll-out; it may be nil.
	Recorder *rollout.Recorder
	// Checker makes health checks; it may be nil.
	Checker *backend.HealthChecker
	// OnDeparture is called for each answer in which an incarnation says that it leaves; it
	// may be nil.
	OnDeparture func(incarnation backend.Incarnation, sentAt int64)
	// Service returns the backend server's service in the placement in force; ok is false
	// if there is no placement.
	Service func() (s routing.Service, ok bool)
	// FindRoute returns the route of a request in the placement in force, and the version
	// of that placement; the route is nil if none matches.
	FindRoute func(host, path string) (route *routing.CompiledRoute, version uint64)
	// VMShare returns the share of the VMs that run the given services, from 0 to 1; 0:
	// unknown. If VMShare is nil, the share counts as 1.
	VMShare func(services []string) float64
}

// vmShare returns VMShare, or a function that always returns 1.
func (d *Deps) vmShare() func([]string) float64 {
	if d.VMShare == nil {
		return func([]string) float64 { return 1 }
	}
	return d.VMShare
}

// NewRunner returns a runner. An error means that its goroutine pool cannot be created.
func NewRunner(c *common.Common, deps Deps) (*Runner, error) {
	s := c.Settings
	pool, err := ants.NewPool(goroutinesPerSlot*s.BackendServer.Slots, ants.WithNonblocking(true))
	if err != nil {
		return nil, errors.Wrap(err, "create the runner's goroutine pool")
	}
	r := &Runner{
		Common:    c,
		pool:      pool,
		lifecycle: deps.Lifecycle, onDeparture: deps.OnDeparture,
		load:      deps.Load,
		service:   deps.Service,
		findRoute: deps.FindRoute,
		workTimes: worktime.NewTimes(),
		origins:   newOriginTracker(deps.vmShare()),
		checker:   deps.Checker,
		enforcer:  enforcer.New(c, deps.Lifecycle, deps.Recorder),
		transport: backend.NewTransport(backend.TransportOptions{
			Address: s.BackendServer.Address, Headers: deps.Headers,
			DialTimeout: s.BackendServer.DialTimeout, MaxBodyBytes: s.Limits.MaxBodyBytes, Now: c.Now,
			Answers: backend.NewAnswerBudget(s.Limits.AnswersBytes, c.Metrics),
		}),
		gate: gate.New(gate.Options{
			Slots: s.BackendServer.Slots, QueueLength: s.Gate.QueueLength, QueueTime: s.Gate.QueueTime,
			Order: gate.Ranked, SoftSlowdown: s.Routing.SoftSlowdown, UsableShare: s.Routing.Use, LearnLimit: true,
			Restarted: !s.Platform.FirstStart, RestartAfter: s.Platform.RestartAfter,
		}),
	}
	if r.onDeparture == nil {
		r.onDeparture = func(backend.Incarnation, int64) {}
	}
	r.counters = newCounters(r)
	r.crashDetector = crash.NewDetector(c, crash.Deps{Running: r.activeRuns.count, Instance: r.incarnation, OnCrash: r.processEnded})
	return r, nil
}

// incarnation returns the current incarnation of the backend server, and whether it has
// announced its departure.
func (r *Runner) incarnation() (name string, leaving bool) {
	current, state := r.lifecycle.Current()
	return current.String(), state == backend.Leaving
}

// processEnded records that the process of an incarnation has ended.
func (r *Runner) processEnded(incarnation string) {
	r.lifecycle.RecordProcessEnd(backend.ParseIncarnation(incarnation))
}

// InFlight returns the number of requests that have arrived and not ended.
func (r *Runner) InFlight() int64 { return r.inFlight.Load() }

// IdleFor returns the time since the last request arrived.
func (r *Runner) IdleFor(now int64) time.Duration { return time.Duration(now - r.lastRequestAt.Load()) }

// Close releases the goroutine pool and closes idle connections.
func (r *Runner) Close() {
	r.pool.Release()
	r.transport.CloseIdle()
}

// Stamp returns the current load of the gate.
func (r *Runner) Stamp() wire.Stamp { return r.gate.Stamp(r.Now()) }

// Gate returns the gate.
func (r *Runner) Gate() *gate.Gate { return r.gate }

// Tick does the periodic work. It recalls runs of quarantined content. If the backend
// server takes requests, it starts the waiting ones that the gate now admits and refuses
// those whose expected time has grown too long; otherwise it refuses all waiting requests.
func (r *Runner) Tick() {
	r.recallQuarantined()
	if _, refusal := r.acceptingIncarnation(); refusal != nil {
		r.RefuseWaiting(refusal)
		return
	}
	start, overMaxCost := r.gate.Tick(r.Now())
	r.startAll(start)
	for _, job := range overMaxCost {
		job.RefuseOverMaxCost()
	}
}

// RefuseWaiting refuses all waiting requests, so that other backend servers may still
// run them in time.
func (r *Runner) RefuseWaiting(reason *errkind.Error) {
	for _, job := range r.gate.DrainQueue() {
		job.RefuseDrained(reason)
	}
}

// UpdateSlots sets how many requests the backend server runs at once; 0 is ignored.
func (r *Runner) UpdateSlots(slots int) {
	r.load.SetSlots(slots)
	if before := r.gate.Slots(); slots > 0 && slots != before {
		r.gate.SetSlots(slots)
		r.Log.Event(events.SlotsChanged, events.F("slots", slots), events.F("before", before))
	}
}

// UpdateLoad applies the text of a load header that has just arrived; an empty text is
// ignored.
func (r *Runner) UpdateLoad(text string) {
	if text == "" {
		return
	}
	r.load.Update(r.Now(), text)
	r.UpdateSlots(r.load.Slots())
	if slowdown := r.load.Slowdown(); slowdown > 0 {
		if _, known := r.enforcer.PlanRevision(); known {
			r.slowdowns.record(r.Now(), slowdown)
		}
		r.logSpeedChange(slowdown)
		r.startAll(r.gate.ObserveSlowdown(r.Now(), speed.FromPercent(int64(slowdown))))
		r.scheduleSpeedCheck()
	}
}

// logSpeedChange logs when the backend server becomes too slow for soft attempts, or
// fast enough again. slowdown is in percent.
func (r *Runner) logSpeedChange(slowdown int) {
	slowed := speed.FromPercent(int64(slowdown)) > r.Settings.Routing.SoftSlowdown
	if r.slowed.Swap(slowed) == slowed {
		return
	}
	r.Log.Event(events.SpeedChanged, events.F("slowed", slowed), events.F("slowdown", slowdown), events.F("in_flight", r.gate.InFlight()))
}

// logLimitChange logs when the gate has changed its limit of concurrent runs.
func (r *Runner) logLimitChange() {
	usable := int64(r.gate.UsableSlots())
	before := r.lastLimit.Swap(usable)
	if before == usable || before == 0 {
		return
	}
	r.Log.Event(events.LimitChanged, events.F("usable", usable), events.F("before", before), events.F("slots", r.gate.Slots()))
}

// Execute implements call.Runner.
func (r *Runner) Execute(c *wire.Call, body []byte, done func(call.Result)) (cancel func()) {
	run := r.newRun(c, done)
	run.body = body
	if refusal := r.checkCall(c, body); refusal != nil {
		run.refuse(refusal)
		return func() {}
	}
	run.setJob()
	run.passToGate()
	return run.cancel
}

// newRun returns the run of a call that has just arrived.
func (r *Runner) newRun(c *wire.Call, done func(call.Result)) *routedRun {
	r.inFlight.Add(1)
	now := r.Now()
	r.lastRequestAt.Store(now)
	return &routedRun{runner: r, call: c, done: done, arrived: now, deadline: now + int64(c.Remaining)}
}

// setJob sets the job of a run that has passed the checks of its call.
func (run *routedRun) setJob() {
	r, c := run.runner, run.call
	run.origin = r.origins.record(c.Kind, c.Routed.Caller)
	nested := run.origin == wire.OriginService
	run.job = gate.Job{
		Rank: c.Routed.Rank(), Team: c.Routed.Team, Nested: nested, Deadline: run.deadline, Work: r.workTimes.LookupOrEstimate(c.Kind, c.Routed.TargetRemaining),
		Soft: c.Routed.Soft, SameDataCentre: c.Routed.Near, EndBy: r.latestEnd(run.arrived, run, nested), Due: run.arrived + int64(c.Routed.TargetRemaining), Start: run.start, RefuseOverMaxCost: run.refuseOverMaxCost, RateLimit: c.Routed.RateLimit(), RefuseDrained: run.refuseDrained,
	}
}

// passToGate has a run admitted, after a check of the backend server's speed if that is
// needed.
func (run *routedRun) passToGate() {
	if !run.runner.checkSpeedFirst(run.runner.Now(), run) {
		run.admit()
	}
}

func (r *Runner) startAll(jobs []*gate.Job) {
	for _, job := range jobs {
		r.start(job)
	}
}

// start runs a job in the pool, or in a goroutine of its own if the pool is full.
func (r *Runner) start(job *gate.Job) {
	if err := r.pool.Submit(job.Start); err != nil {
		go job.Start()
	}
}

// applyReply updates the load and the lifecycle of the backend server from a reply.
func (r *Runner) applyReply(reply *backend.Reply) {
	r.UpdateLoad(reply.Reports.Load)
	switch {
	case reply.Refusal == nil || reply.Refusal.Kind == errkind.BackendRefused:
		r.lifecycle.RecordAnswer(r.Now())
	case reply.Refusal.Kind == errkind.BackendUnreachable:
		r.lifecycle.RecordConnectFailure()
		r.Log.Event(events.BackendDown, events.F("address", r.Settings.BackendServer.Address), events.F("cause", reply.Refusal.Detail))
	case reply.Refusal.Kind == errkind.BackendReplaced:
		r.lifecycle.RecordReplacement(r.Now(), reply.InstanceID)
	}
}
