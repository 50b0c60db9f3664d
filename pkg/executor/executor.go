// Package executor runs calls from entries at the backend server beside this daemon. The
// gate decides when each call starts. The error of a call that fails says whether the call
// may have run.
// Source: docs/design/gate.md and docs/design/retries.md.
package executor

import (
	"fmt"
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
	"github.com/rushramp/rushramp/pkg/quarantine"
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
	b, err := newBackendClient(s.BackendServer, s.Limits.MaxBodyBytes)
	if err != nil {
		return nil, err
	}
	workers, err := ants.NewPool(2*s.BackendServer.Slots, ants.WithNonblocking(true))
	if err != nil {
		return nil, errors.Wrap(err, "create the worker pool")
	}
	e := &Executor{
		Common:    c,
		backend:   b,
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

// Close releases the worker pool.
func (e *Executor) Close() { e.workers.Release() }

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

// run is the state of one call from Execute to its end.
type run struct {
	executor *Executor
	call     *wire.Call
	body     []byte
	kind     *placement.CompiledKind
	// id identifies the call to the backend server.
	id string
	// deadline is a time of the executor's monotonic clock, in nanoseconds.
	deadline int64
	job      gate.Job
	done     func(call.Result)
	// queueTimer withdraws the call from the gate's queue at the deadline. The call may
	// start before the timer is stored; firing then has no effect.
	queueTimer atomic.Pointer[time.Timer]
	// sent is set right before the call is sent to the backend server.
	sent  atomic.Bool
	ended atomic.Bool
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

// newRun returns the run of a call that has just arrived.
func (e *Executor) newRun(c *wire.Call, done func(call.Result)) *run {
	e.inFlight.Add(1)
	return &run{
		executor: e, call: c, done: done,
		id:       fmt.Sprintf("%s-%d", e.Settings.VM.ID, e.callSeq.Add(1)),
		deadline: e.Now() + int64(c.Remaining),
	}
}

// setJob sets the kind and the job of a run, or returns an error if this executor must not
// run the call.
func (r *run) setJob() *errkind.Error {
	kind, refusal := r.executor.checkCall(r.call)
	if refusal != nil {
		return refusal
	}
	r.kind = kind
	r.job = gate.Job{
		Class: kind.Class, Deadline: r.deadline, MaxCost: r.call.MaxCost,
		Start: r.start, RefuseOverMaxCost: r.refuseOverMaxCost, RefuseDrained: r.refuse,
	}
	return nil
}

// passToGate has the gate start, queue or refuse the call.
func (r *run) passToGate() {
	e := r.executor
	now := e.Now()
	admitted, refusal := e.gate.Admit(now, &r.job)
	switch {
	case refusal != nil:
		r.refuse(refusal)
	case admitted:
		e.start(&r.job)
	default:
		left := time.Duration(r.deadline - now)
		r.queueTimer.Store(time.AfterFunc(left, func() { r.withdraw(errkind.DeadlineBeforeRun) }))
	}
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

// start runs the call, and then starts the queued jobs that the gate selects for the
// freed slot.
func (r *run) start() {
	r.stopQueueTimer()
	result, representative := r.checkAndRun()
	next := r.executor.gate.Finish(r.executor.Now(), &r.job, representative)
	r.executor.startJobs(next)
	r.end(result)
}

// checkAndRun checks again, because the call may have been queued, that its deadline has
// not passed and that neither the quarantine nor a roll-out refuses it. It claims a call
// that may never be repeated, and then runs the call at the backend server. representative
// is true if the duration of the run is a sample of the service time.
func (r *run) checkAndRun() (result call.Result, representative bool) {
	remaining := time.Duration(r.deadline - r.executor.Now())
	if remaining <= 0 || r.ended.Load() {
		// The process may have been paused since the gate started the job.
		return call.Result{Refusal: errkind.New(errkind.DeadlineBeforeRun, "the deadline passed before the call was sent to the backend server")}, false
	}
	if refusal, _ := r.executor.Quarantine.Refusal(r.executor.Now(), r.fingerprint); refusal != nil {
		return call.Result{Refusal: refusal}, false
	}
	if refusal := r.executor.rolloutRefusal(); refusal != nil {
		// A roll-out may have stopped or switched versions while the call was queued.
		return call.Result{Refusal: refusal}, false
	}
	if !r.kind.NeverRepeat || r.call.Key == "" {
		return r.runAtBackend(remaining)
	}
	permit, claimResult := r.executor.claims.Claim(r.call, r.body, time.Now().Add(remaining))
	if permit == nil {
		return claimResult, false
	}
	remaining = time.Duration(r.deadline - r.executor.Now())
	if remaining <= 0 {
		permit.Finish(nil, errkind.RanNo)
		return call.Result{Refusal: errkind.New(errkind.DeadlineBeforeRun, "the deadline passed before the call was sent to the backend server")}, false
	}
	result, representative = r.runAtBackend(remaining)
	permit.Finish(result.Answer, ranOf(result))
	return result, representative
}

// ranOf returns whether a call with this result may have run.
func ranOf(result call.Result) errkind.Ran {
	if result.Refusal != nil {
		return result.Refusal.Ran
	}
	return errkind.RanMaybe
}

// runAtBackend runs the call at the backend server and records the outcome. The second
// result is true if the duration of the run is a sample of the service time.
func (r *run) runAtBackend(remaining time.Duration) (call.Result, bool) {
	r.sent.Store(true)
	startedAt := r.executor.Now()
	answer, refusal := r.sendToBackend(remaining)
	r.executor.logBackendState(refusal)
	r.recordOutcome(answer, refusal, time.Duration(r.executor.Now()-startedAt))
	if refusal != nil {
		return call.Result{Refusal: refusal}, false
	}
	answer.Queued = r.job.WaitTime()
	answer.Run = time.Duration(r.executor.Now() - startedAt)
	return call.Result{Answer: answer}, answer.Status < 500
}

// sendToBackend sends the call, and reports the outcome for its content to the
// quarantine or the crash detector.
func (r *run) sendToBackend(remaining time.Duration) (*call.Answer, *errkind.Error) {
	e := r.executor
	e.running.Add(1)
	defer e.running.Add(-1)
	answer, refusal := e.backend.run(r.call, r.id, r.body, remaining, r.kind.NeverRepeat)
	switch {
	case refusal == nil:
		e.Quarantine.RecordAnswer(e.Now(), r.fingerprint, answer.Status)
	case refusal.Kind == errkind.BackendFailed:
		e.crashes.ReportAborted(crash.AbortedRun{ID: r.id, Content: r.fingerprint()})
	}
	return answer, refusal
}

// fingerprint returns the fingerprint of the call's content.
func (r *run) fingerprint() quarantine.Fingerprint { return r.call.Fingerprint(r.body) }

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

func (r *run) stopQueueTimer() {
	if t := r.queueTimer.Load(); t != nil {
		t.Stop()
	}
}

// refuseOverMaxCost refuses a call that Tick took out of the gate's queue.
func (r *run) refuseOverMaxCost() {
	r.stopQueueTimer()
	r.refuse(errkind.New(errkind.Overloaded, "the backend server has slowed down since the call was queued"))
}

// refuse ends the call with an error.
func (r *run) refuse(refusal *errkind.Error) { r.end(call.Result{Refusal: refusal}) }

// end passes the result to done. Later calls of end have no effect.
func (r *run) end(result call.Result) {
	if !r.ended.CompareAndSwap(false, true) {
		return
	}
	result.Stamp = r.executor.Stamp()
	result.FromExecutor = true
	r.done(result)
	r.executor.inFlight.Add(-1)
}

// withdraw refuses the call if it is still queued at the gate, and returns whether it was.
func (r *run) withdraw(kind errkind.Kind) bool {
	if !r.executor.gate.Withdraw(&r.job) {
		return false
	}
	r.refuse(errkind.New(kind, "the call was still queued at the gate"))
	return true
}

// cancel ends the call for a caller that has gone: it withdraws a queued call, and asks
// the backend server to abort a running one.
func (r *run) cancel() {
	if r.ended.Load() || r.withdraw(errkind.CallerGone) {
		return
	}
	if r.sent.Load() {
		r.executor.backend.cancel(r.id)
	}
}
