// Package executor is the gate's owner: it takes calls from entries, asks the
// gate, hands them to the backend server, and says of each refusal whether the
// call ran. Source: docs/design/gate.md and docs/design/retries.md.
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

// Claims guards kinds that may never be repeated. Source:
// docs/design/at-most-once.md.
type Claims interface {
	// Claim decides right before hand-over whether this executor may run the
	// call. A nil Permit comes with the result to give instead: a refusal, or
	// the answer of an earlier run.
	Claim(c *wire.Call, body []byte, deadline time.Time) (Permit, call.Result)
}

// Permit is the right to run a call once.
type Permit interface {
	// Finish records how the run ended; answer is nil when that is not known.
	// ran says whether the call may have reached the backend server.
	Finish(answer *call.Answer, ran errkind.Ran)
}

// Executor runs calls at the one backend server beside this daemon.
type Executor struct {
	*common.Common
	gate      *gate.Gate
	pool      *ants.Pool
	backend   *backend
	claims    Claims
	placement func() *placement.Compiled
	leaving   atomic.Bool
	evacuated atomic.Bool
	// trial is nil where the backend server takes part in no roll-outs.
	trial   *enforcer.Enforcer
	down    atomic.Bool
	crashes *crash.Detector
	// running counts the calls at the backend server.
	running  atomic.Int64
	callSeq  atomic.Uint64
	inFlight atomic.Int64
}

// NewExecutor makes the executor for the backend server in the settings.
// current returns the placement in force, or nil.
func NewExecutor(c *common.Common, claims Claims, current func() *placement.Compiled) (*Executor, error) {
	s := c.Settings
	b, err := newBackend(s.BackendServer, s.Limits.MaxBodyBytes)
	if err != nil {
		return nil, err
	}
	pool, err := ants.NewPool(2*s.BackendServer.Slots, ants.WithNonblocking(true))
	if err != nil {
		return nil, errors.Wrap(err, "executor pool")
	}
	e := &Executor{
		Common:    c,
		backend:   b,
		pool:      pool,
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
		// This backend server says neither which incarnation it is nor that it leaves.
		Instance: func() (string, bool) { return s.VM.ID, false },
		OnCrash:  func(string) {},
	})
	return e, nil
}

// Gate returns the gate, for stamps and for the bench.
func (e *Executor) Gate() *gate.Gate { return e.gate }

// Leave makes the executor refuse new calls from now on.
func (e *Executor) Leave() { e.leaving.Store(true) }

// SetEvacuated makes the executor refuse new calls while its data centre is
// evacuated.
func (e *Executor) SetEvacuated(evacuated bool) { e.evacuated.Store(evacuated) }

// InFlight counts calls that were taken in and have not ended.
func (e *Executor) InFlight() int64 { return e.inFlight.Load() }

// Close frees the pool.
func (e *Executor) Close() { e.pool.Release() }

// Stamp reports the load now.
func (e *Executor) Stamp() wire.Stamp { return e.gate.Stamp(e.Now()) }

// Tick lets waiting calls start when the gate's limit rose, and sends those back
// that wait behind a server that has slowed.
func (e *Executor) Tick() {
	start, sendBack := e.gate.Tick(e.Now())
	e.startAll(start)
	for _, job := range sendBack {
		job.RefuseOverMaxCost()
	}
}

// run is one call on its way through the executor.
type run struct {
	owner    *Executor
	call     *wire.Call
	body     []byte
	kind     *placement.CompiledKind
	id       string
	deadline int64
	job      gate.Job
	done     func(call.Result)
	// expiry withdraws a call that waits too long. A call may start before it
	// is set; then it fires in vain.
	expiry atomic.Pointer[time.Timer]
	handed atomic.Bool
	ended  atomic.Bool
}

// Execute implements call.Runner.
func (e *Executor) Execute(c *wire.Call, body []byte, done func(call.Result)) (cancel func()) {
	e.inFlight.Add(1)
	now := e.Now()
	r := &run{
		owner: e, call: c, body: body, done: done,
		id:       fmt.Sprintf("%s-%d", e.Settings.VM.ID, e.callSeq.Add(1)),
		deadline: now + int64(c.Remaining),
	}
	kind, refusal := e.check(c)
	if refusal != nil {
		r.refuse(refusal)
		return func() {}
	}
	r.kind = kind
	r.job = gate.Job{Class: kind.Class, Deadline: r.deadline, MaxCost: c.MaxCost, Start: r.start, RefuseOverMaxCost: r.sendBack}
	admitted, refusal := e.gate.Admit(now, &r.job)
	switch {
	case refusal != nil:
		r.refuse(refusal)
	case admitted:
		e.start(&r.job)
	default:
		r.expiry.Store(time.AfterFunc(c.Remaining, func() { r.withdraw(errkind.DeadlineBeforeRun) }))
	}
	return r.cancel
}

// check refuses what this executor must not take, whatever the entry believed.
func (e *Executor) check(c *wire.Call) (*placement.CompiledKind, *errkind.Error) {
	if e.leaving.Load() {
		return nil, errkind.New(errkind.Leaving, "the executor is leaving")
	}
	if e.evacuated.Load() {
		return nil, errkind.New(errkind.DataCentreEvacuated, "%s is evacuated", e.Settings.VM.DataCentre)
	}
	if refusal := e.barred(); refusal != nil {
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
		return nil, errkind.New(errkind.PlacementStale, "the entry has version %d and the executor %d", c.Placement, current.Version)
	}
	return nil, errkind.New(errkind.WrongPlace, "%s may not handle this kind", e.Settings.VM.DataCentre)
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

func (e *Executor) startAll(jobs []*gate.Job) {
	for _, job := range jobs {
		e.start(job)
	}
}

func (e *Executor) start(job *gate.Job) {
	// The gate starts no more than a job a slot, and a worker whose job just
	// ended may still be on its way back: the pool has room for both. It must
	// not block here, since a worker calls this, too.
	if err := e.pool.Submit(job.Start); err != nil {
		go job.Start()
	}
}

// start runs the call, and hands the slot on to the job that waits next.
func (r *run) start() {
	r.stopExpiry()
	result, counts := r.handOver()
	next := r.owner.gate.Finish(r.owner.Now(), &r.job, counts)
	r.owner.startAll(next)
	r.end(result)
}

// handOver runs the call at the backend server. counts says whether the run
// tells of the service time.
func (r *run) handOver() (result call.Result, counts bool) {
	left := time.Duration(r.deadline - r.owner.Now())
	if left <= 0 || r.ended.Load() {
		// The process may have been paused since the gate said yes.
		return call.Result{Refusal: errkind.New(errkind.DeadlineBeforeRun, "the time ran out before hand-over")}, false
	}
	if refusal, _ := r.owner.Quarantine.Refusal(r.owner.Now(), r.content); refusal != nil {
		return call.Result{Refusal: refusal}, false
	}
	if refusal := r.owner.barred(); refusal != nil {
		// A roll-out's stop or switch came while the call waited.
		return call.Result{Refusal: refusal}, false
	}
	if !r.kind.NeverRepeat || r.call.Key == "" {
		return r.runBackend(left)
	}
	permit, instead := r.owner.claims.Claim(r.call, r.body, time.Now().Add(left))
	if permit == nil {
		return instead, false
	}
	left = time.Duration(r.deadline - r.owner.Now())
	if left <= 0 {
		permit.Finish(nil, errkind.RanNo)
		return call.Result{Refusal: errkind.New(errkind.DeadlineBeforeRun, "the time ran out before hand-over")}, false
	}
	result, counts = r.runBackend(left)
	permit.Finish(result.Answer, ranOf(result))
	return result, counts
}

func ranOf(result call.Result) errkind.Ran {
	if result.Refusal != nil {
		return result.Refusal.Ran
	}
	return errkind.RanMaybe
}

func (r *run) runBackend(left time.Duration) (call.Result, bool) {
	r.handed.Store(true)
	began := r.owner.Now()
	answer, refusal := r.runWatched(left)
	r.owner.noteBackend(refusal)
	r.record(answer, refusal, time.Duration(r.owner.Now()-began))
	if refusal != nil {
		return call.Result{Refusal: refusal}, false
	}
	answer.Queued = r.job.WaitTime()
	answer.Run = time.Duration(r.owner.Now() - began)
	return call.Result{Answer: answer}, answer.Status < 500
}

// runWatched runs the call and tells how its content went with the backend server.
func (r *run) runWatched(left time.Duration) (*call.Answer, *errkind.Error) {
	e := r.owner
	e.running.Add(1)
	defer e.running.Add(-1)
	answer, refusal := e.backend.run(r.call, r.id, r.body, left, r.kind.NeverRepeat)
	switch {
	case refusal == nil:
		e.Quarantine.RecordAnswer(e.Now(), r.content, answer.Status)
	case refusal.Kind == errkind.BackendFailed:
		e.crashes.ReportAborted(crash.AbortedRun{ID: r.id, Content: r.content()})
	}
	return answer, refusal
}

// content is that of the call.
func (r *run) content() quarantine.Fingerprint { return r.call.Fingerprint(r.body) }

// noteBackend logs when the backend server stops or starts accepting.
func (e *Executor) noteBackend(refusal *errkind.Error) {
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

func (r *run) stopExpiry() {
	if t := r.expiry.Load(); t != nil {
		t.Stop()
	}
}

// sendBack refuses a call that the gate took out of its queue.
func (r *run) sendBack() {
	r.stopExpiry()
	r.refuse(errkind.New(errkind.Overloaded, "the backend server has slowed since the call came"))
}

func (r *run) refuse(refusal *errkind.Error) { r.end(call.Result{Refusal: refusal}) }

func (r *run) end(result call.Result) {
	if !r.ended.CompareAndSwap(false, true) {
		return
	}
	result.Stamp = r.owner.Stamp()
	result.FromExecutor = true
	r.done(result)
	r.owner.inFlight.Add(-1)
}

func (r *run) withdraw(kind errkind.Kind) bool {
	if !r.owner.gate.Withdraw(&r.job) {
		return false
	}
	r.refuse(errkind.New(kind, "the call waited at the gate"))
	return true
}

func (r *run) cancel() {
	if r.ended.Load() || r.withdraw(errkind.CallerGone) {
		return
	}
	if r.handed.Load() {
		r.owner.backend.cancel(r.id)
	}
}
