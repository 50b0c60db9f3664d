package entry

import (
	"context"
	"time"

	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/choose"
	"github.com/rushramp/rushramp/pkg/errkind"
	"github.com/rushramp/rushramp/pkg/measure"
	"github.com/rushramp/rushramp/pkg/quarantine"
	"github.com/rushramp/rushramp/pkg/rollout"
	"github.com/rushramp/rushramp/pkg/tables"
	"github.com/rushramp/rushramp/pkg/wire"
)

// attempts makes the attempts of one call. An attempt may be soft: a gate that is busier
// than the entry expected then refuses it at once. Source: docs/design/retries.md.
type attempts struct {
	entry    *Entry
	ctx      context.Context
	admitted *AdmittedCall
	body     []byte
	budget   *retryBudget
	// choice is the input of the choosing policy: the time, the candidates, and the
	// candidates that are excluded from the next attempt.
	choice choose.Request
	// excluded marks the candidates that refused this call or did not answer.
	excluded choose.IndexSet
	// lane selects the version of a service under roll-out that gets the next attempt.
	lane rollout.Lane
	// claim is the generation of the idempotency key in which the next attempt may run.
	claim wire.Claim
	// started counts the attempts that were begun.
	started int
	// remaining is how many attempts are left. A refused soft attempt does not use one up.
	remaining int
	// soft is true while the next attempt is soft.
	soft bool
}

// run makes attempts until one settles the call, no candidate is left, or all attempts
// are used.
func (a *attempts) run() call.Result {
	last := call.Refused(errkind.NoBackendServer, "no backend server in %v can take the call", a.admitted.KindView.Kind.DataCentres)
	for a.remaining > 0 {
		a.choice.Now = a.entry.Now()
		// Asked before each attempt, because the content of the call may have been
		// quarantined since the last one.
		if refusal, retryAfter := a.entry.Quarantine.Refusal(a.choice.Now, a.fingerprint); refusal != nil {
			return call.Result{Refusal: refusal, RetryAfter: retryAfter}
		}
		pick := a.pick()
		if pick.Index == choose.NoCandidate {
			return last
		}
		result := a.runAttempt(pick.Index, a.maxCost(pick))
		if !result.FromExecutor {
			// An executor that did not answer gets no further attempt of this call.
			a.excluded = a.excluded.With(pick.Index)
		}
		result = a.sealUnanswered(result)
		if !a.shouldRetry(pick.Index, result) {
			a.budget.refill(result)
			return result
		}
		last = result
	}
	return last
}

// fingerprint returns the fingerprint of the call's content.
func (a *attempts) fingerprint() quarantine.Fingerprint { return a.frame(0, 0).Fingerprint(a.body) }

// pick chooses the next candidate in the call's lane. Where that lane has no candidate
// left it goes to the lane of retries, so that a canary causes no refusals.
func (a *attempts) pick() choose.Pick {
	traffic := a.entry.view.RolloutTraffic(a.admitted.Request.Service)
	if a.started > 0 {
		a.lane = traffic.RetryLane()
	}
	a.started++
	pick := a.pickInLane(traffic)
	if retryLane := traffic.RetryLane(); pick.Index == choose.NoCandidate && retryLane != a.lane {
		a.lane = retryLane
		return a.pickInLane(traffic)
	}
	return pick
}

// pickInLane chooses among the candidates that may run calls of the lane.
func (a *attempts) pickInLane(traffic *rollout.TrafficPolicy) choose.Pick {
	a.choice.Excluded = a.excluded
	for i := range a.choice.CandidateSet {
		if endpoint := a.choice.CandidateSet[i].Endpoint; traffic != nil && !traffic.Permits(a.lane, endpoint.Version(), endpoint.VM) {
			a.choice.Excluded = a.choice.Excluded.With(i)
		}
	}
	return a.entry.policy.Choose(&a.choice, a.entry.random)
}

// shouldRetry decides whether another attempt follows a result, and takes its token
// from the budget. Only a call that did not run is retried, whatever its kind. The budget
// bounds what backend servers and gates get again, so an unoffered call costs nothing.
func (a *attempts) shouldRetry(index int, result call.Result) bool {
	if result.Refusal == nil {
		return false
	}
	if result.Refusal.Kind == errkind.KeyMoved && result.NextClaim.Generation > 0 {
		a.claim = result.NextClaim
		a.remaining--
		return a.remaining > 0
	}
	if !result.Refusal.RetryElsewhere() || a.admitted.isUnkeyed() {
		return false
	}
	soft := a.soft
	a.soft = false
	if soft && result.Refusal.Kind == errkind.GateBusier {
		// The load stamp with the refusal has updated the gate's known load. The gate
		// stays a candidate, because the others may be busier. A gate that is full even for
		// attempts that are not soft refuses with another kind, which costs a retry.
		a.entry.stats.softRefusals.Inc()
		return true
	}
	a.remaining--
	a.excluded = a.excluded.With(index)
	if a.remaining == 0 || !result.Refusal.Kind.Row().Unoffered && !a.budget.takeRetry(a.ctx) {
		return false
	}
	a.entry.stats.retries.Inc()
	return true
}

// looseCostFactor bounds the cost of an attempt that is neither soft nor the last, as a
// multiple of the cost of the next best candidate.
const looseCostFactor = 3

// maxCost returns the expected time at the gate above which an attempt is refused. It
// is pick.MaxCost for a soft attempt and looseCostFactor times that for other attempts. It
// is 0, no bound, for the last attempt, which may queue, and where pick.MaxCost is at least
// the default timeout.
func (a *attempts) maxCost(pick choose.Pick) time.Duration {
	switch {
	case a.soft:
		return max(pick.MaxCost, 1)
	case a.remaining > 1 && pick.MaxCost < a.entry.Settings.Retries.DefaultTimeout:
		return max(looseCostFactor*pick.MaxCost, 1)
	}
	return 0
}

// sealUnanswered seals the idempotency key of a call that may have run, if the call claims
// its key and the executor gave no result, and returns the result of the seal. It returns
// any other result unchanged.
func (a *attempts) sealUnanswered(result call.Result) call.Result {
	if result.FromExecutor || result.Refusal == nil || result.Refusal.Ran == errkind.RanNo || !a.admitted.claimsKey() {
		return result
	}
	return a.entry.sealer.Seal(a.frame(0, 0), a.body, result.Refusal)
}

// attempt is one attempt that was sent and has not ended.
type attempt struct {
	candidate *tables.Candidate
	// index is the candidate's index in attempts.choice.CandidateSet.
	index int
	// sentAt is in nanoseconds of the daemon's clock.
	sentAt int64
	cancel func()
}

// attemptEnd is an attempt that has ended, with its result.
type attemptEnd struct {
	attempt *attempt
	result  call.Result
}

// runAttempt sends the call to one candidate and returns the result of that attempt,
// or of the hedge that was sent after it.
func (a *attempts) runAttempt(index int, maxCost time.Duration) call.Result {
	// Holds the ends of the attempt and of its hedge, so that neither sender blocks.
	ends := make(chan attemptEnd, 2)
	first, refusal := a.send(index, maxCost, ends)
	if refusal != nil {
		return call.Result{Refusal: refusal}
	}
	return a.await(first, ends)
}

// send sends the call to a candidate. The end of the attempt goes to ends.
func (a *attempts) send(index int, maxCost time.Duration, ends chan<- attemptEnd) (*attempt, *errkind.Error) {
	candidate := &a.choice.CandidateSet[index]
	now := a.entry.Now()
	timeLeft := time.Duration(a.admitted.deadline - now)
	if timeLeft <= 0 {
		return nil, errkind.New(errkind.DeadlineBeforeRun, "the deadline passed at the entry")
	}
	runner := candidate.Endpoint.Runner()
	if runner == nil {
		return nil, errkind.New(errkind.LinkUnavailable, "the link to %s is down", candidate.Endpoint.VM)
	}
	out := &attempt{candidate: candidate, index: index, sentAt: now}
	candidate.Load.RecordSent(now)
	frame := a.frame(timeLeft, maxCost)
	frame.WantStamp = a.wantStamp(candidate, now, maxCost)
	out.cancel = runner.Execute(frame, a.body, func(r call.Result) { ends <- attemptEnd{attempt: out, result: a.recordEnd(out, r)} })
	return out, nil
}

// recordEnd updates the candidate's load at the end of an attempt, even if the call has
// already ended. It returns the result with the backend server and the round-trip time
// filled in.
func (a *attempts) recordEnd(ended *attempt, result call.Result) call.Result {
	now := a.entry.Now()
	ended.candidate.Load.RecordEnded(now)
	if result.Stamp.Seq > 0 {
		ended.candidate.Load.ApplyStamp(now, result.Stamp)
	}
	ended.candidate.Load.RecordAnswer(countsAsFailure(result))
	result.MinRTT = ended.candidate.Load.MinRTT()
	result.Server, result.DataCentre = ended.candidate.Endpoint.VM, ended.candidate.Endpoint.DataCentre
	return result
}

// await waits for the executor's result until answerGrace after the deadline, because
// only the executor knows whether the call ran.
func (a *attempts) await(first *attempt, ends chan attemptEnd) call.Result {
	timeout := time.NewTimer(time.Duration(a.admitted.deadline-a.entry.Now()) + answerGrace)
	defer timeout.Stop()
	hedge := a.newHedge(first, ends)
	defer hedge.stop()
	for {
		select {
		case end := <-ends:
			if hedge.settles(end) {
				return end.result
			}
		case <-hedge.due():
			hedge.check()
		case <-timeout.C:
			first.cancel()
			hedge.cancel()
			return call.Refused(errkind.DeadlineWhileRunning, "the executor did not answer before the deadline")
		case <-a.ctx.Done():
			first.cancel()
			hedge.cancel()
			return call.Result{Refusal: errkind.New(errkind.CallerGone, "the caller disconnected before the result arrived").WithRanMaybe()}
		}
	}
}

// stampBytes is the size by which a load stamp is charged to the measuring budget when
// it is asked for.
const stampBytes = 14

// wantStamp decides whether to ask for a load stamp with the result. The gate of this
// daemon's own VM is always asked, because that sends no bytes over the network. Any
// other costs stampBytes of the measuring budget, and counts as valuable when the newest
// stamp is old or the attempt's cost is bounded, so that it may be refused for the load
// that the stamp then shows.
func (a *attempts) wantStamp(candidate *tables.Candidate, now int64, maxCost time.Duration) bool {
	if candidate.Endpoint.VM == a.entry.Settings.VM.ID {
		return true
	}
	value := measure.LowValue
	if at := candidate.Load.StampReceivedAt(); maxCost > 0 || at == 0 || now-at > int64(a.entry.Settings.Choosing.StampHalfLife) {
		value = measure.HighValue
	}
	return a.entry.Measure.TrySpend(now, stampBytes, value)
}

// frame returns the frame that carries the call to an executor.
func (a *attempts) frame(timeLeft, maxCost time.Duration) *wire.Call {
	req := a.admitted.Request
	return &wire.Call{
		Service:   req.Service,
		Kind:      a.admitted.KindView.Kind.Name,
		Method:    req.Method,
		URI:       req.URI,
		Headers:   req.Headers,
		Key:       req.IdempotencyKey,
		Placement: a.admitted.KindView.Kind.Version,
		Claim:     a.claim,
		Remaining: timeLeft,
		MaxCost:   maxCost,
	}
}
