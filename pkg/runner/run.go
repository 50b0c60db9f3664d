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

// routedRun is one request on its way through the runner.
type routedRun struct {
	owner    *Runner
	call     *wire.Call
	body     []byte
	deadline int64
	origin   wire.Origin
	// instance is the incarnation that the request was handed to.
	instance backend.Incarnation
	job      gate.Job
	done     func(call.Result)
	expiry   atomic.Pointer[time.Timer]
	ended    atomic.Bool

	mu sync.Mutex
	// gone is true once nobody waits for the request any more, recalled is set once its
	// content is held back; stop ends its run at the backend server.
	gone     bool
	recalled *errkind.Error
	stop     context.CancelFunc
}

// endBy is until when the request's run should have ended: within its target,
// or, for calls that services make, within their deadline. A call that is
// refused fails the request that made it, which has run already. While the backend
// server is cold, calls are held to their target, too: what can wait for long takes
// the scarce starts from requests that cannot, and a call that has waited makes its
// request late. After a loss of power that was worth 0.01 to 0.03 of the day on the
// users' sites with scarce starts.
func (r *Runner) endBy(now int64, run *routedRun, called bool) int64 {
	if called && !r.cold.Load() {
		return run.deadline
	}
	return min(run.deadline, now+int64(run.call.Routed.TargetRemaining))
}

// admit takes the request to the gate, which starts it, lets it wait or refuses
// it.
func (run *routedRun) admit() {
	r := run.owner
	if run.isGone() {
		run.refuse(errkind.New(errkind.CallerGone, "the caller left before the gate was asked"))
		return
	}
	now := r.Now()
	admitted, refusal := r.gate.Admit(now, &run.job)
	switch {
	case refusal != nil:
		run.refuse(refusal)
	case admitted:
		r.start(&run.job)
		r.lookForCold(now)
	default:
		run.expiry.Store(time.AfterFunc(run.job.MaxWait(now), run.expire))
		r.lookForEnd()
		if run.isGone() {
			run.cancel()
		}
	}
}

func (run *routedRun) isGone() bool {
	run.mu.Lock()
	defer run.mu.Unlock()
	return run.gone
}

// expire refuses a request that waited for as long as it may.
func (run *routedRun) expire() { run.withdraw(errkind.Overloaded, "it waited as long as it may") }

func (run *routedRun) start() {
	run.stopExpiry()
	if run.job.Held() {
		run.owner.held.Inc()
	}
	result, counts := run.handOver()
	next := run.owner.gate.Finish(run.owner.Now(), &run.job, counts)
	run.owner.startAll(next)
	run.owner.noteLimit()
	run.end(result)
}

// handOver runs the request at the backend server. The belief in it is looked
// at once more: the request may have waited, and the process been paused.
func (run *routedRun) handOver() (result call.Result, counts bool) {
	r := run.owner
	began := r.Now()
	left := time.Duration(run.deadline - began)
	if left <= 0 {
		return call.Refused(errkind.DeadlineBeforeRun, "the time ran out before hand-over"), false
	}
	instance, refusal := r.accepting()
	if refusal != nil {
		return call.Result{Refusal: refusal}, false
	}
	// The rules may have changed while the request waited.
	if refusal := r.misplaced(run.call); refusal != nil {
		return call.Result{Refusal: refusal}, false
	}
	if refusal := r.heldBack(run.call, run.body); refusal != nil {
		return call.Result{Refusal: refusal}, false
	}
	run.instance = instance
	slowdown := r.load.Slowdown()
	ctx, stop := context.WithTimeout(context.Background(), left)
	defer stop()
	if !run.begin(stop) {
		return call.Refused(errkind.CallerGone, "the caller left before hand-over"), false
	}
	ended := r.runs.add(run, run.call.Claim.Generation > 0)
	reply := r.transport.Do(ctx, run.request(instance))
	if reply.Refusal != nil && reply.Refusal.Kind == errkind.BackendFailed {
		r.crashes.ReportAborted(crash.AbortedRun{ID: run.call.Routed.ID, Content: run.content()})
	}
	ended()
	if why := run.recalledFor(); why != nil && reply.Answer == nil {
		reply.Refusal = why.Maybe()
	}
	r.note(&reply)
	took := time.Duration(r.Now() - began)
	run.record(&reply, began, took, slowdown)
	if reply.Refusal != nil {
		return call.Result{Refusal: reply.Refusal, Offered: reply.Offered}, false
	}
	reply.Answer.Queued = run.job.WaitTime()
	reply.Answer.Run = took
	reply.Answer.Slowdown = slowdown
	reply.Answer.CallsFailed = r.callFailedAt.Load() >= began
	r.Quarantine.RecordAnswer(r.Now(), run.content, reply.Answer.Status)
	worked := reply.Answer.Status < 500
	if worked {
		r.work.Record(run.call.Kind, took, slowdown)
	}
	return call.Result{Answer: reply.Answer, Offered: true}, worked
}

func (run *routedRun) request(instance backend.Incarnation) *backend.Request {
	c := run.call
	return &backend.Request{
		ID: c.Routed.ID, Method: c.Method, URI: c.URI, Host: c.Routed.Host, Headers: c.Headers, Body: run.body,
		InstanceID: instance.ID, Caller: c.Routed.Caller, Team: c.Routed.Team, Repeatable: c.Routed.Repeatable,
	}
}

// begin makes the run one that cancel can stop; false when the caller has left.
func (run *routedRun) begin(stop context.CancelFunc) bool {
	run.mu.Lock()
	defer run.mu.Unlock()
	run.stop = stop
	return !run.gone
}

func (run *routedRun) stopExpiry() {
	if t := run.expiry.Load(); t != nil {
		t.Stop()
	}
}

func (run *routedRun) sendBack() {
	run.stopExpiry()
	run.refuse(errkind.New(errkind.Overloaded, "the backend server has slowed since the request came"))
}

// dismiss refuses a request that waited while the backend server stopped taking
// requests.
func (run *routedRun) dismiss(why *errkind.Error) {
	run.stopExpiry()
	run.refuse(why)
}

func (run *routedRun) refuse(refusal *errkind.Error) { run.end(call.Result{Refusal: refusal}) }

func (run *routedRun) end(result call.Result) {
	if !run.ended.CompareAndSwap(false, true) {
		return
	}
	result.Stamp = run.owner.Stamp()
	result.FromExecutor = true
	result.Origin = run.origin
	run.done(result)
	run.logEnd(&result)
	run.owner.inFlight.Add(-1)
}

func (run *routedRun) withdraw(kind errkind.Kind, why string) bool {
	if !run.owner.gate.Withdraw(&run.job) {
		return false
	}
	run.refuse(errkind.New(kind, "%s", why))
	return true
}

func (run *routedRun) cancel() {
	if run.ended.Load() || run.withdraw(errkind.CallerGone, "the caller left while the request waited") {
		return
	}
	run.mu.Lock()
	run.gone = true
	stop := run.stop
	run.mu.Unlock()
	if stop != nil {
		stop()
	}
}

// recall ends the run at the backend server.
func (run *routedRun) recall(why *errkind.Error) {
	run.mu.Lock()
	run.recalled = why
	stop := run.stop
	run.mu.Unlock()
	if stop != nil {
		stop()
	}
}

func (run *routedRun) recalledFor() *errkind.Error {
	run.mu.Lock()
	defer run.mu.Unlock()
	return run.recalled
}

// content is that of the request.
func (run *routedRun) content() quarantine.Fingerprint { return run.call.Fingerprint(run.body) }
