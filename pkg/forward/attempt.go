package forward

import (
	"time"

	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/choose"
	"github.com/rushramp/rushramp/pkg/errkind"
	"github.com/rushramp/rushramp/pkg/proximity"
	"github.com/rushramp/rushramp/pkg/rollout"
	"github.com/rushramp/rushramp/pkg/tables"
	"github.com/rushramp/rushramp/pkg/wire"
)

// send sends the request to the picked candidate, waits for the end of the attempt, and
// records the attempt for the log.
func (a *attempts) send(pick choose.AttemptPick) call.Result {
	candidate := &a.candidates[pick.Index]
	startedAt := a.forwarder.Now()
	record := newAttemptRecord(startedAt, candidate, pick.Soft, a.proximityOf(candidate), pick.PassedOver)
	record.toTargetVersion = a.lane == rollout.LaneTarget
	record.bodySize, record.ownLinkDelay = a.grantedBodySize(), a.forwarder.ownLinkDelay()
	record.crossing = pick.Crossing
	a.records = append(a.records, record)
	result := a.execute(candidate, pick.Soft)
	took := time.Duration(a.forwarder.Now() - startedAt)
	a.records[len(a.records)-1].setEnd(&result, took)
	a.recordTransfer(candidate, &result, took)
	a.recordCrossing(&record, &result)
	return result
}

// execute runs one attempt at a candidate and returns how it ended.
func (a *attempts) execute(candidate *tables.Candidate, soft bool) call.Result {
	runner := candidate.Endpoint.Runner()
	if runner == nil {
		return call.Refused(errkind.LinkUnavailable, "the link to %s is down", candidate.Endpoint.VM)
	}
	now := a.forwarder.Now()
	candidate.Load.RecordSent(now)
	candidate.Load.RecordOffered(a.grantedBodySize())
	number := a.tries
	watch := a.newAckWatch(runner, candidate.Load.MinRTT())
	defer watch.stop()
	cancel := watch.execute(a.frame(candidate, soft), a.req.Body, func(r call.Result) { a.ends <- &attemptEnd{number, a.recordEnd(candidate, r)} })
	return a.await(candidate, runner, cancel, watch)
}

// canGoElsewhere reports whether the request could be sent to another candidate if the
// attempt at from is abandoned. If it could not, the entry keeps waiting: the backend server
// may be running the request, and its answer may still come.
func (a *attempts) canGoElsewhere(from *tables.Candidate) bool {
	if a.offered+1 >= a.route.Attempts || a.timeLeft() < minRetryTime || !a.forwarder.budgets.mayTake(a.service) {
		return false
	}
	traffic := a.forwarder.view.RolloutTraffic(a.service)
	lane := traffic.RetryLane()
	for i := range a.candidates {
		other := &a.candidates[i]
		if other != from && !a.excluded.Has(i) && a.isAllowed(other) && traffic.Permits(lane, other.Endpoint.Version(), other.Endpoint.VM) && other.Endpoint.Runner() != nil {
			return true
		}
	}
	return false
}

// await waits for the executor's result, or for a usable answer of an attempt that was left
// before. It stops waiting when answerGrace has passed after the deadline, when the caller
// disconnects, or when the executor's daemon is unresponsive or has not acknowledged the
// call, and the request is repeatable and can go elsewhere.
func (a *attempts) await(candidate *tables.Candidate, runner call.Runner, cancel func(), ack *ackWatch) call.Result {
	timeout := time.NewTimer(a.timeLeft() + answerGrace)
	defer timeout.Stop()
	watch := newLivenessWatch(runner)
	defer watch.stop()
	for {
		select {
		case end := <-a.ends:
			if result, ended := a.handleEnd(end, cancel); ended {
				return result
			}
		case <-ack.due():
			if ack.checkLate() && len(a.ends) == 0 && a.decideToLeave(ack, candidate) {
				return a.leave(candidate, cancel)
			}
		case <-watch.due():
			if !watch.checkUnresponsive() {
				continue
			}
			candidate.Load.MarkUnresponsive(a.forwarder.Now())
			if a.route.Repeatable && a.canGoElsewhere(candidate) {
				return a.leaveUnresponsive(candidate, cancel)
			}
		case <-timeout.C:
			// After a pause of this process both channels may be ready.
			for len(a.ends) > 0 {
				end := <-a.ends
				if result, ended := a.handleEnd(end, cancel); ended {
					return result
				}
			}
			cancel()
			return a.unanswered(errkind.New(errkind.DeadlineWhileRunning, "%s did not answer before the deadline", candidate.Endpoint.VM))
		case <-a.ctx.Done():
			return a.interrupt(cancel)
		}
	}
}

// unanswered returns the result of an attempt that ended without the executor's result.
// The request may have reached the backend server.
func (a *attempts) unanswered(refusal *errkind.Error) call.Result {
	return call.Result{Refusal: refusal, Offered: true}
}

// recordEnd updates the load of the candidate and the statistics of the route at the end
// of an attempt, even if the request has already ended. It returns the result with the VM
// and the data centre of the backend server filled in.
func (a *attempts) recordEnd(candidate *tables.Candidate, result call.Result) call.Result {
	now := a.forwarder.Now()
	candidate.Load.RecordEnded(now)
	if result.Stamp.Seq > 0 {
		candidate.Load.ApplyStamp(now, result.Stamp)
		a.forwarder.calledRoutes.record(a.route.Name, result.Origin)
	}
	switch {
	case result.Answer != nil:
		result.Offered = true
		candidate.Load.RecordAnswer(result.Answer.Status >= 500)
		if result.Stamp.Seq > 0 && result.Stamp.StartRateMilli == 0 {
			candidate.Load.ForgetRateLimit()
		}
		if result.Answer.Status < 500 {
			a.forwarder.work.Record(a.route.Name, result.Answer.Run, result.Answer.Slowdown)
			a.forwarder.sizes.add(a.route.Name, len(a.req.Body), len(result.Answer.Body), a.expectedWork())
		}
	case result.Refusal.Ran == errkind.RanMaybe:
		result.Offered = true
		candidate.Load.RecordAnswer(result.Refusal.Kind != errkind.CallerGone)
	}
	result.Server, result.DataCentre = candidate.Endpoint.VM, candidate.Endpoint.DataCentre
	return result
}

// frame returns the frame that carries the request to a candidate's executor.
func (a *attempts) frame(candidate *tables.Candidate, soft bool) *wire.Call {
	elapsed := time.Duration(a.forwarder.Now() - a.startedAt)
	out := &wire.Call{
		Service:   a.service,
		Kind:      a.route.Name,
		Method:    a.req.Method,
		URI:       a.req.URI,
		Headers:   a.req.Headers,
		Placement: a.rule.version,
		Remaining: a.timeLeft(),
		WantStamp: true,
		Claim:     wire.Claim{Generation: uint32(a.offered)},
		Routed: wire.Routed{
			ID: a.req.ID, Host: a.req.Host, Caller: a.forwarder.callerService(),
			Repeatable: a.route.Repeatable, Priority: a.route.Priority, Soft: soft,
			Near: a.proximityOf(candidate) == proximity.SameDataCentre, TargetRemaining: a.target - elapsed,
			RateLimitMilli: candidate.Load.RateLimitMilli(),
		},
	}
	if a.team != nil {
		out.Routed.Team, out.Routed.TeamPriority = a.team.Name, a.team.Priority
	}
	return out
}
