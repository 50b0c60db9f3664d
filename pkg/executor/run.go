package executor

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/crash"
	"github.com/rushramp/rushramp/pkg/errkind"
	"github.com/rushramp/rushramp/pkg/gate"
	"github.com/rushramp/rushramp/pkg/placement"
	"github.com/rushramp/rushramp/pkg/quarantine"
	"github.com/rushramp/rushramp/pkg/wire"
)

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
