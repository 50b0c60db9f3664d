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
	"github.com/rushramp/rushramp/pkg/errkind"
	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/gate"
	"github.com/rushramp/rushramp/pkg/placement"
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
	down      atomic.Bool
	callSeq   atomic.Uint64
	inFlight  atomic.Int64
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
	self := &Executor{
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
	return self, nil
}

// Gate returns the gate, for stamps and for the bench.
func (self *Executor) Gate() *gate.Gate { return self.gate }

// Leave makes the executor refuse new calls from now on.
func (self *Executor) Leave() { self.leaving.Store(true) }

// InFlight counts calls that were taken in and have not ended.
func (self *Executor) InFlight() int64 { return self.inFlight.Load() }

// Close frees the pool.
func (self *Executor) Close() { self.pool.Release() }

// Stamp reports the load now.
func (self *Executor) Stamp() wire.Stamp { return self.gate.Stamp(self.Now()) }

// Tick lets waiting calls start when the gate's limit rose, and sends those back
// that wait behind a server that has slowed.
func (self *Executor) Tick() {
	start, sendBack := self.gate.Tick(self.Now())
	self.startAll(start)
	for _, job := range sendBack {
		job.SendBack()
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
func (self *Executor) Execute(c *wire.Call, body []byte, done func(call.Result)) (cancel func()) {
	self.inFlight.Add(1)
	now := self.Now()
	r := &run{
		owner: self, call: c, body: body, done: done,
		id:       fmt.Sprintf("%s-%d", self.Settings.VM.ID, self.callSeq.Add(1)),
		deadline: now + int64(c.Remaining),
	}
	kind, refusal := self.check(c)
	if refusal != nil {
		r.refuse(refusal)
		return func() {}
	}
	r.kind = kind
	r.job = gate.Job{Class: kind.Class, Deadline: r.deadline, MaxCost: c.MaxCost, Start: r.start, SendBack: r.sendBack}
	admitted, refusal := self.gate.Admit(now, &r.job)
	switch {
	case refusal != nil:
		r.refuse(refusal)
	case admitted:
		self.start(&r.job)
	default:
		r.expiry.Store(time.AfterFunc(c.Remaining, func() { r.withdraw(errkind.DeadlineBeforeRun) }))
	}
	return r.cancel
}

// check refuses what this executor must not take, whatever the entry believed.
func (self *Executor) check(c *wire.Call) (*placement.CompiledKind, *errkind.Error) {
	if self.leaving.Load() {
		return nil, errkind.New(errkind.Leaving, "the executor is leaving")
	}
	current := self.placement()
	if current == nil {
		return nil, errkind.New(errkind.PlacementUnknown, "the executor has no placement yet")
	}
	var kind *placement.CompiledKind
	if service := current.Service(c.Service); service != nil && c.Service == self.Settings.BackendServer.Service {
		kind = service.Match(c.Method, PathOf(c.URI))
	}
	if kind != nil && kind.Name == c.Kind && kind.Allows(self.Settings.VM.DataCentre) {
		return kind, nil
	}
	if current.Version != c.Placement {
		return nil, errkind.New(errkind.PlacementStale, "the entry has version %d and the executor %d", c.Placement, current.Version)
	}
	return nil, errkind.New(errkind.WrongPlace, "%s may not handle this kind", self.Settings.VM.DataCentre)
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

func (self *Executor) startAll(jobs []*gate.Job) {
	for _, job := range jobs {
		self.start(job)
	}
}

func (self *Executor) start(job *gate.Job) {
	// The gate starts no more than a job a slot, and a worker whose job just
	// ended may still be on its way back: the pool has room for both. It must
	// not block here, since a worker calls this, too.
	if err := self.pool.Submit(job.Start); err != nil {
		go job.Start()
	}
}

// start runs the call, and hands the slot on to the job that waits next.
func (self *run) start() {
	self.stopExpiry()
	result, counts := self.handOver()
	next := self.owner.gate.Finish(self.owner.Now(), &self.job, counts)
	self.owner.startAll(next)
	self.end(result)
}

// handOver runs the call at the backend server. counts says whether the run
// tells of the service time.
func (self *run) handOver() (result call.Result, counts bool) {
	left := time.Duration(self.deadline - self.owner.Now())
	if left <= 0 || self.ended.Load() {
		// The process may have been paused since the gate said yes.
		return call.Result{Refusal: errkind.New(errkind.DeadlineBeforeRun, "the time ran out before hand-over")}, false
	}
	if !self.kind.NeverRepeat || self.call.Key == "" {
		return self.runBackend(left)
	}
	permit, instead := self.owner.claims.Claim(self.call, self.body, time.Now().Add(left))
	if permit == nil {
		return instead, false
	}
	left = time.Duration(self.deadline - self.owner.Now())
	if left <= 0 {
		permit.Finish(nil, errkind.RanNo)
		return call.Result{Refusal: errkind.New(errkind.DeadlineBeforeRun, "the time ran out before hand-over")}, false
	}
	result, counts = self.runBackend(left)
	permit.Finish(result.Answer, ranOf(result))
	return result, counts
}

func ranOf(result call.Result) errkind.Ran {
	if result.Refusal != nil {
		return result.Refusal.Ran
	}
	return errkind.RanMaybe
}

func (self *run) runBackend(left time.Duration) (call.Result, bool) {
	self.handed.Store(true)
	began := self.owner.Now()
	answer, refusal := self.owner.backend.run(self.call, self.id, self.body, left, self.kind.NeverRepeat)
	self.owner.noteBackend(refusal)
	if refusal != nil {
		return call.Result{Refusal: refusal}, false
	}
	answer.Queued = self.job.Queued()
	answer.Run = time.Duration(self.owner.Now() - began)
	return call.Result{Answer: answer}, answer.Status < 500
}

// noteBackend logs when the backend server stops or starts accepting.
func (self *Executor) noteBackend(refusal *errkind.Error) {
	down := refusal != nil && refusal.Kind == errkind.BackendUnreachable
	if self.down.Load() == down || !self.down.CompareAndSwap(!down, down) {
		return
	}
	if down {
		self.Log.Event(events.BackendDown, events.F("address", self.Settings.BackendServer.Address))
		return
	}
	self.Log.Event(events.BackendUp, events.F("address", self.Settings.BackendServer.Address))
}

func (self *run) stopExpiry() {
	if t := self.expiry.Load(); t != nil {
		t.Stop()
	}
}

// sendBack refuses a call that the gate took out of its queue.
func (self *run) sendBack() {
	self.stopExpiry()
	self.refuse(errkind.New(errkind.Overloaded, "the backend server has slowed since the call came"))
}

func (self *run) refuse(refusal *errkind.Error) { self.end(call.Result{Refusal: refusal}) }

func (self *run) end(result call.Result) {
	if !self.ended.CompareAndSwap(false, true) {
		return
	}
	result.Stamp = self.owner.Stamp()
	result.Spoke = true
	self.done(result)
	self.owner.inFlight.Add(-1)
}

func (self *run) withdraw(kind errkind.Kind) bool {
	if !self.owner.gate.Withdraw(&self.job) {
		return false
	}
	self.refuse(errkind.New(kind, "the call waited at the gate"))
	return true
}

func (self *run) cancel() {
	if self.ended.Load() || self.withdraw(errkind.CallerGone) {
		return
	}
	if self.handed.Load() {
		self.owner.backend.cancel(self.id)
	}
}
