// Package executor runs calls from entries at the backend server beside this daemon. The
// gate decides when each call starts. The error of a call that fails says whether the call
// may have run.
// Source: docs/design/gate.md and docs/design/retries.md.
package executor

import (
	"sync/atomic"
	"time"

	"github.com/panjf2000/ants/v2"
	"github.com/pkg/errors"

	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/common"
	"github.com/rushramp/rushramp/pkg/crash"
	"github.com/rushramp/rushramp/pkg/enforcer"
	"github.com/rushramp/rushramp/pkg/errkind"
	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/gate"
	"github.com/rushramp/rushramp/pkg/placement"
	"github.com/rushramp/rushramp/pkg/wire"
)

// Claims makes sure that a call of a kind that may never be repeated runs at most once.
// Source: docs/design/at-most-once.md.
type Claims interface {
	// Claim returns a Permit if this executor may run the call. Otherwise the Permit is
	// nil, and the result is a refusal or the stored answer of an earlier run. Claim is
	// called right before the call is sent to the backend server.
	Claim(c *wire.Call, body []byte, deadline time.Time) (Permit, call.Result)
}

// Permit is the right to run a call once.
type Permit interface {
	// Finish records how the run ended. answer is nil if there is none; ran says whether
	// the call may have run.
	Finish(answer *call.Answer, ran errkind.Ran)
}

// Executor runs calls at the backend server beside this daemon. It is safe for
// concurrent use.
type Executor struct {
	*common.Common
	gate      *gate.Gate
	workers   *ants.Pool
	backend   *backendClient
	claims    Claims
	placement func() *placement.Compiled
	leaving   atomic.Bool
	evacuated atomic.Bool
	// enforcer is nil if roll-outs are not enforced at this backend server.
	enforcer *enforcer.Enforcer
	// down is true if the backend server refused the connection of the last call.
	down    atomic.Bool
	crashes *crash.Detector
	// running counts the calls that were sent to the backend server and have not ended.
	running atomic.Int64
	callSeq atomic.Uint64
	// inFlight counts the calls that Execute accepted and that have not ended.
	inFlight atomic.Int64
}

// NewExecutor returns an Executor for the backend server in the settings. current
// returns the placement in force, or nil if there is none yet.
func NewExecutor(c *common.Common, claims Claims, current func() *placement.Compiled) (*Executor, error) {
	s := c.Settings
	workers, err := ants.NewPool(2*s.BackendServer.Slots, ants.WithNonblocking(true))
	if err != nil {
		return nil, errors.Wrap(err, "create the worker pool")
	}
	e := &Executor{
		Common:    c,
		backend:   newBackendClient(s.BackendServer, s.Limits.MaxBodyBytes, c.Now),
		workers:   workers,
		claims:    claims,
		placement: current,
		gate: gate.New(gate.Options{
			Slots:       s.BackendServer.Slots,
			QueueLength: s.Gate.QueueLength,
			QueueTime:   s.Gate.QueueTime,
			Order:       gate.Order(s.Gate.Order),
			Adaptive:    s.Gate.Adaptive,
		}),
	}
	e.crashes = crash.NewDetector(c, crash.Deps{
		Running: func() int { return int(e.running.Load()) },
		// A backend server behind this interface does not announce incarnations or
		// departures.
		Instance: func() (string, bool) { return s.VM.ID, false },
		OnCrash:  func(string) {},
	})
	return e, nil
}

// Gate returns the executor's gate.
func (e *Executor) Gate() *gate.Gate { return e.gate }

// Leave makes the executor refuse all new calls, and those whose bodies are on the way.
func (e *Executor) Leave() {
	e.leaving.Store(true)
	e.releasePlaces()
}

// SetEvacuated makes the executor refuse new calls while evacuated is true: operators
// have evacuated its data centre.
func (e *Executor) SetEvacuated(evacuated bool) { e.evacuated.Store(evacuated) }

// InFlight returns the number of calls that have not ended.
func (e *Executor) InFlight() int64 { return e.inFlight.Load() }

// Close releases the worker pool and closes the idle connections to the backend server.
func (e *Executor) Close() {
	e.workers.Release()
	e.backend.close()
}

// Stamp returns the current load.
func (e *Executor) Stamp() wire.Stamp { return e.gate.Stamp(e.Now()) }

// Tick starts queued calls if the gate allows more concurrent calls than before, and
// refuses queued calls whose expected time has grown far beyond their MaxCost.
func (e *Executor) Tick() {
	start, overMaxCost := e.gate.Tick(e.Now())
	e.startJobs(start)
	for _, job := range overMaxCost {
		job.RefuseOverMaxCost()
	}
}

// Execute implements call.Runner. It calls done exactly once.
func (e *Executor) Execute(c *wire.Call, body []byte, done func(call.Result)) (cancel func()) {
	r := e.newRun(c, done)
	r.body = body
	if refusal := r.setJob(); refusal != nil {
		r.refuse(refusal)
		return func() {}
	}
	r.passToGate()
	return r.cancel
}

// checkCall returns the kind of the call, or an error if this executor must not run it.
// The entry may have another version of the placement.
func (e *Executor) checkCall(c *wire.Call) (*placement.CompiledKind, *errkind.Error) {
	if e.leaving.Load() {
		return nil, errLeaving()
	}
	if e.evacuated.Load() {
		return nil, errkind.New(errkind.DataCentreEvacuated, "data centre %s is evacuated", e.Settings.VM.DataCentre)
	}
	if refusal := e.rolloutRefusal(); refusal != nil {
		return nil, refusal
	}
	current := e.placement()
	if current == nil {
		return nil, errkind.New(errkind.PlacementUnknown, "the executor has no placement yet")
	}
	var kind *placement.CompiledKind
	if service := current.Service(c.Service); service != nil && c.Service == e.Settings.BackendServer.Service {
		kind = service.Match(c.Method, PathOf(c.URI))
	}
	if kind != nil && kind.Name == c.Kind && kind.Allows(e.Settings.VM.DataCentre) {
		return kind, nil
	}
	if current.Version != c.Placement {
		return nil, errkind.New(errkind.PlacementStale, "the entry has placement version %d, the executor %d", c.Placement, current.Version)
	}
	return nil, errkind.New(errkind.WrongPlace, "data centre %s may not handle this kind of request", e.Settings.VM.DataCentre)
}

// PathOf returns the path of a URI, without its query.
func PathOf(uri string) string {
	for i := range len(uri) {
		if uri[i] == '?' {
			return uri[:i]
		}
	}
	return uri
}

func (e *Executor) startJobs(jobs []*gate.Job) {
	for _, job := range jobs {
		e.start(job)
	}
}

// start runs a job on a worker, or on a new goroutine if all workers are busy.
func (e *Executor) start(job *gate.Job) {
	// At most one job runs per slot, and the worker of the job before it may not be back
	// in the pool yet, so the pool holds two workers per slot. Submit must not block,
	// because workers call start, too.
	if err := e.workers.Submit(job.Start); err != nil {
		go job.Start()
	}
}

// logBackendState logs when the backend server stops or resumes accepting connections.
func (e *Executor) logBackendState(refusal *errkind.Error) {
	down := refusal != nil && refusal.Kind == errkind.BackendUnreachable
	if e.down.Load() == down || !e.down.CompareAndSwap(!down, down) {
		return
	}
	if down {
		e.Log.Event(events.BackendDown, events.F("address", e.Settings.BackendServer.Address))
		return
	}
	e.Log.Event(events.BackendUp, events.F("address", e.Settings.BackendServer.Address))
}
