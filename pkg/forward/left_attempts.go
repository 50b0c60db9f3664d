package forward

import (
	"slices"
	"time"

	"github.com/rushramp/rushramp/pkg/acks"
	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/errkind"
	"github.com/rushramp/rushramp/pkg/tables"
	"github.com/rushramp/rushramp/pkg/utils"
)

// attemptEnd is the end of one attempt of a request.
type attemptEnd struct {
	// number is the value of attempts.tries when the attempt was sent.
	number int
	result call.Result
}

// leftAttempt is an attempt that was not acknowledged in time, or whose executor did not respond,
// so that the request went elsewhere. It is cancelled once the request has ended, because its executor may still be
// the first to answer.
type leftAttempt struct {
	number int
	cancel func()
	// record is the index of its record, and sentAt when it was sent.
	record int
	sentAt int64
	// refusal stands for the result of the attempt until that arrives.
	refusal *errkind.Error
}

// decideToLeave decides whether the request goes elsewhere because the attempt at candidate is
// not acknowledged, and counts the decision.
func (a *attempts) decideToLeave(watch *ackWatch, candidate *tables.Candidate) bool {
	hasTime := watch.bound.MayLeave && acks.HasTimeForRun(a.timeLeft(), a.runTime(), watch.acknowledger.AckEstimate())
	leaves := hasTime && a.canGoElsewhere(candidate)
	decision := "waits"
	if leaves {
		decision = "goes_elsewhere"
	}
	a.forwarder.Metrics.GetOrCreateCounter(`rushramp_unacknowledged_total{service="` + utils.Label(a.service) + `",decision="` + decision + `"}`).Inc()
	return leaves
}

// leave ends the wait for an attempt that is not acknowledged, without cancelling it.
func (a *attempts) leave(candidate *tables.Candidate, cancel func()) call.Result {
	candidate.Load.MarkUnresponsive(a.forwarder.Now())
	refusal := errkind.New(errkind.LinkLost, "the daemon on %s did not acknowledge the call", candidate.Endpoint.VM)
	return a.leaveAs(outcomeUnacknowledged, refusal, cancel)
}

// leaveUnresponsive ends the wait for an attempt whose executor's daemon does not respond, without
// cancelling it: it may still be the only one to answer.
func (a *attempts) leaveUnresponsive(candidate *tables.Candidate, cancel func()) call.Result {
	refusal := errkind.New(errkind.LinkLost, "the daemon on %s does not respond", candidate.Endpoint.VM)
	return a.leaveAs(outcomeUnresponsive, refusal, cancel)
}

// leaveAs leaves the latest attempt; refusal stands for its result. The result counts as offered,
// so that isLast takes a retry from the budget for it.
func (a *attempts) leaveAs(outcome string, refusal *errkind.Error, cancel func()) call.Result {
	record := len(a.records) - 1
	a.records[record].outcome = outcome
	a.leftAttempts = append(a.leftAttempts, leftAttempt{number: a.tries, cancel: cancel, record: record, sentAt: a.records[record].sentAt, refusal: refusal})
	return a.unanswered(refusal)
}

// handleEnd handles the end of an attempt while the latest one is awaited. ended is true if
// result ends the wait: it is that of the latest attempt, or a usable answer of one that was
// left, and then cancel is called for the latest one.
func (a *attempts) handleEnd(end *attemptEnd, cancel func()) (result call.Result, ended bool) {
	if end.number == a.tries {
		return end.result, true
	}
	if !a.settle(end) {
		return call.Result{}, false
	}
	a.records[len(a.records)-1].outcome = outcomeNotNeeded
	cancel()
	return end.result, true
}

// settle takes over the result of an attempt that was left, and reports whether it is a
// usable answer. It ignores the ends of other attempts, which were cancelled.
func (a *attempts) settle(end *attemptEnd) (usable bool) {
	i := a.indexOfLeft(end.number)
	if i < 0 {
		return false
	}
	left := a.leftAttempts[i]
	a.leftAttempts = slices.Delete(a.leftAttempts, i, i+1)
	record := &a.records[left.record]
	record.laterOutcome, record.laterTook = outcomeOf(&end.result), time.Duration(a.forwarder.Now()-left.sentAt)
	if isUsable(&end.result) {
		return true
	}
	a.keepFailure(end.result)
	return false
}

// indexOfLeft returns the index in leftAttempts of the attempt with a number; -1: not found.
func (a *attempts) indexOfLeft(number int) int {
	return slices.IndexFunc(a.leftAttempts, func(left leftAttempt) bool { return left.number == number })
}

// isLeft reports whether result stands for an attempt that was left and has not ended.
func (a *attempts) isLeft(result *call.Result) bool {
	return slices.ContainsFunc(a.leftAttempts, func(left leftAttempt) bool { return left.refusal == result.Refusal })
}

// isUsable reports whether a result is an answer that ends the request.
func isUsable(result *call.Result) bool { return result.Answer != nil && result.Answer.Status < 500 }

// keepFailure makes the result of an attempt that was left the fallback if the attempt may
// have run. An answer is kept in preference to a refusal.
func (a *attempts) keepFailure(result call.Result) {
	if result.Answer != nil || result.Refusal.Ran == errkind.RanMaybe && a.fallback == nil {
		a.fallback = &result
	}
}

// awaitLeft waits for the attempts that were left, unless result is a usable answer. It
// returns their first usable answer, or else result; if that stands for one of them and its own
// result arrives, awaitLeft returns that instead. The attempts that have not ended are cancelled.
func (a *attempts) awaitLeft(result call.Result) call.Result {
	defer a.cancelLeft()
	if len(a.leftAttempts) == 0 || isUsable(&result) {
		return result
	}
	for len(a.leftAttempts) > 0 {
		end, refusal := a.nextEnd()
		if refusal != nil {
			return a.endLeft(result, refusal)
		}
		i := a.indexOfLeft(end.number)
		standsForIt := i >= 0 && a.leftAttempts[i].refusal == result.Refusal
		if a.settle(end) {
			a.stopReason = stoppedByAnswer
			return end.result
		}
		if standsForIt {
			result = end.result
		}
	}
	return result
}

// nextEnd waits for the next end of an attempt. It returns a refusal when answerGrace has
// passed after the deadline, or the caller has disconnected, and no attempt has ended.
func (a *attempts) nextEnd() (end *attemptEnd, refusal *errkind.Error) {
	timeout := time.NewTimer(a.timeLeft() + answerGrace)
	defer timeout.Stop()
	select {
	case end = <-a.ends:
		return end, nil
	case <-timeout.C:
		refusal = errkind.New(errkind.DeadlineWhileRunning, "no executor answered before the deadline")
	case <-a.ctx.Done():
		refusal = a.interruption()
	}
	select {
	case end = <-a.ends:
		// After a pause of this process both channels may be ready.
		return end, nil
	default:
		return nil, refusal
	}
}

// endLeft returns the result of a request whose left attempts are no longer awaited: result
// if it is an answer, or if there is a fallback, and otherwise refusal.
func (a *attempts) endLeft(result call.Result, refusal *errkind.Error) call.Result {
	if result.Answer != nil || a.fallback != nil {
		return result
	}
	return a.unanswered(refusal)
}

// cancelLeft cancels the attempts that were left and have not ended.
func (a *attempts) cancelLeft() {
	for _, left := range a.leftAttempts {
		left.cancel()
	}
	a.leftAttempts = nil
}
