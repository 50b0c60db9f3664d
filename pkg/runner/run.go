package runner

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rushramp/rushramp/pkg/backend"
	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/crash"
	"github.com/rushramp/rushramp/pkg/errkind"
	"github.com/rushramp/rushramp/pkg/gate"
	"github.com/rushramp/rushramp/pkg/quarantine"
	"github.com/rushramp/rushramp/pkg/wire"
)

// routedRun is one request in the runner, from its arrival to its result.
type routedRun struct {
	runner *Runner
	call   *wire.Call
	body   []byte
	// arrived and deadline are in nanoseconds of the daemon's clock.
	arrived  int64
	deadline int64
	origin   wire.Origin
	// incarnation is the one that the request was sent to.
	incarnation backend.Incarnation
	job         gate.Job
	done        func(call.Result)
	expiryTimer atomic.Pointer[time.Timer]
	ended       atomic.Bool
	// withdrawn is true once the request was withdrawn from the gate's queue.
	withdrawn bool
	// reply is that of the backend server; the zero value before.
	reply backend.Reply

	mu sync.Mutex
	// cancelled is true once the caller has cancelled the request. recallReason is set
	// when its content is quarantined while it runs. stop ends its run at the backend
	// server.
	cancelled    bool
	recallReason *errkind.Error
	stop         context.CancelFunc
}

// latestEnd returns when the request's run must have ended, in nanoseconds: by its target,
// or by its deadline if a service made the call, since refusing that fails a request
// which has already run in part. While the backend server is cold, calls of services are
// held to their target, too: starts are scarce then, and go to requests that cannot wait.
func (r *Runner) latestEnd(now int64, run *routedRun, nested bool) int64 {
	if nested && !r.cold.Load() {
		return run.deadline
	}
	return min(run.deadline, now+int64(run.call.Routed.TargetRemaining))
}

// admit passes the request to the gate, which starts it, queues it or refuses it.
func (run *routedRun) admit() {
	r := run.runner
	if run.isCancelled() {
		run.refuse(errkind.New(errkind.CallerGone, "the caller cancelled the request before its admission"))
		return
	}
	now := r.Now()
	admitted, refusal := r.gate.Admit(now, &run.job)
	switch {
	case refusal != nil:
		run.refuse(refusal)
	case admitted:
		r.start(&run.job)
		r.recheckCold(now)
	default:
		run.expiryTimer.Store(time.AfterFunc(run.job.MaxWait(now), run.expire))
		r.scheduleSpeedCheck()
		if run.isCancelled() {
			run.cancel()
		}
	}
}

func (run *routedRun) isCancelled() bool {
	run.mu.Lock()
	defer run.mu.Unlock()
	return run.cancelled
}

// expire refuses a request that has waited at the gate for as long as it may.
func (run *routedRun) expire() {
	run.withdraw(errkind.Overloaded, "the request has waited at the gate for as long as it may")
}

// start runs the request, frees its slot, and starts the requests that the gate admits
// next.
func (run *routedRun) start() {
	run.stopExpiryTimer()
	if run.job.Held() {
		run.runner.heldStarts.Inc()
	}
	result, representative := run.execute()
	next := run.runner.gate.Finish(run.runner.Now(), &run.job, representative)
	run.runner.startAll(next)
	run.runner.logLimitChange()
	run.finish(result)
	run.reply.Release()
}

// execute runs the request at the backend server. It repeats the checks made at arrival,
// as the request may have waited or the VM may have been suspended. representative is true
// if the gate may learn the service time from the run.
func (run *routedRun) execute() (result call.Result, representative bool) {
	r := run.runner
	startedAt := r.Now()
	left := time.Duration(run.deadline - startedAt)
	if left <= 0 {
		return call.Refused(errkind.DeadlineBeforeRun, "the deadline passed before the request was sent to the backend server"), false
	}
	incarnation, refusal := r.acceptingIncarnation()
	if refusal != nil {
		return call.Result{Refusal: refusal}, false
	}
	// The placement and the quarantine may have changed while the request waited.
	if refusal := r.placementRefusal(run.call); refusal != nil {
		return call.Result{Refusal: refusal}, false
	}
	if refusal := r.quarantineRefusal(run.call, run.body); refusal != nil {
		return call.Result{Refusal: refusal}, false
	}
	run.incarnation = incarnation
	slowdown := r.load.Slowdown()
	ctx, stop := context.WithTimeout(context.Background(), left)
	defer stop()
	if !run.setStop(stop) {
		return call.Refused(errkind.CallerGone, "the caller cancelled the request before it was sent to the backend server"), false
	}
	done := r.activeRuns.add(run, run.call.Claim.Generation > 0)
	r.requests.Inc()
	run.reply = r.transport.Do(ctx, run.backendRequest(incarnation))
	reply := &run.reply
	if reply.Refusal != nil && reply.Refusal.Kind == errkind.BackendFailed {
		r.crashDetector.ReportAborted(crash.AbortedRun{ID: run.call.Routed.ID, Content: run.fingerprint()})
	}
	done()
	if reason := run.loadRecallReason(); reason != nil && reply.Answer == nil {
		reply.Refusal = reason.WithRanMaybe()
	}
	r.applyReply(reply)
	r.applyReports(reply, incarnation, startedAt)
	took := time.Duration(r.Now() - startedAt)
	run.recordOutcome(reply, startedAt, took, slowdown)
	if reply.Refusal != nil {
		return call.Result{Refusal: reply.Refusal, Offered: reply.Offered}, false
	}
	reply.Answer.Queued = run.job.WaitTime()
	reply.Answer.Run = took
	reply.Answer.Slowdown = slowdown
	reply.Answer.CallsFailed = r.callFailedAt.Load() >= startedAt
	r.Quarantine.RecordAnswer(r.Now(), run.fingerprint, reply.Answer.Status)
	worked := reply.Answer.Status < 500
	if worked {
		r.workTimes.Record(run.call.Kind, took, slowdown)
	}
	return call.Result{Answer: reply.Answer, Offered: true}, worked
}

func (run *routedRun) backendRequest(incarnation backend.Incarnation) *backend.Request {
	c := run.call
	return &backend.Request{
		ID: c.Routed.ID, Method: c.Method, URI: c.URI, Host: c.Routed.Host, Headers: c.Headers, Body: run.body,
		InstanceID: incarnation.ID, Caller: c.Routed.Caller, Team: c.Routed.Team, Repeatable: c.Routed.Repeatable,
	}
}

// setStop sets the function by which cancel and recall end the run. It returns false if
// the caller has already cancelled the request.
func (run *routedRun) setStop(stop context.CancelFunc) bool {
	run.mu.Lock()
	defer run.mu.Unlock()
	run.stop = stop
	return !run.cancelled
}

func (run *routedRun) stopExpiryTimer() {
	if t := run.expiryTimer.Load(); t != nil {
		t.Stop()
	}
}

// refuseOverMaxCost implements gate.Job.RefuseOverMaxCost: the backend server has become
// slower while the request waited, which would now take too long.
func (run *routedRun) refuseOverMaxCost() {
	run.stopExpiryTimer()
	run.refuse(errkind.New(errkind.Overloaded, "the backend server has become slower since the request arrived"))
}

// refuseDrained implements gate.Job.RefuseDrained: the backend server has stopped taking
// requests while the request waited.
func (run *routedRun) refuseDrained(reason *errkind.Error) {
	run.stopExpiryTimer()
	run.refuse(reason)
}

func (run *routedRun) refuse(refusal *errkind.Error) { run.finish(call.Result{Refusal: refusal}) }

// finish reports and logs the result of the request. Only the first call has an effect.
func (run *routedRun) finish(result call.Result) {
	if !run.ended.CompareAndSwap(false, true) {
		return
	}
	result.Stamp = run.runner.Stamp()
	result.FromExecutor = true
	result.Origin = run.origin
	run.done(result)
	run.logOutcome(&result)
	run.runner.inFlight.Add(-1)
}

// withdraw removes the request from the gate's queue and refuses it. It returns false if
// the request is not waiting there.
func (run *routedRun) withdraw(kind errkind.Kind, reason string) bool {
	if !run.runner.gate.Withdraw(&run.job) {
		return false
	}
	run.withdrawn = true
	run.refuse(errkind.New(kind, "%s", reason))
	return true
}

// cancel ends the request, waiting or running, because its caller has cancelled it.
func (run *routedRun) cancel() {
	if run.ended.Load() || run.withdraw(errkind.CallerGone, "the caller cancelled the request while it waited at the gate") {
		return
	}
	run.mu.Lock()
	run.cancelled = true
	stop := run.stop
	run.mu.Unlock()
	if stop != nil {
		stop()
	}
}

// recall ends the run at the backend server because its content is quarantined.
func (run *routedRun) recall(reason *errkind.Error) {
	run.mu.Lock()
	run.recallReason = reason
	stop := run.stop
	run.mu.Unlock()
	if stop != nil {
		stop()
	}
}

// loadRecallReason returns why the run was recalled; nil: it was not.
func (run *routedRun) loadRecallReason() *errkind.Error {
	run.mu.Lock()
	defer run.mu.Unlock()
	return run.recallReason
}

// fingerprint returns the fingerprint of the request's content.
func (run *routedRun) fingerprint() quarantine.Fingerprint { return run.call.Fingerprint(run.body) }
