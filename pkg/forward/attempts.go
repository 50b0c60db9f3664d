package forward

import (
	"context"
	"time"

	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/choose"
	"github.com/rushramp/rushramp/pkg/errkind"
	"github.com/rushramp/rushramp/pkg/proximity"
	"github.com/rushramp/rushramp/pkg/quarantine"
	"github.com/rushramp/rushramp/pkg/rollout"
	"github.com/rushramp/rushramp/pkg/routing"
	"github.com/rushramp/rushramp/pkg/tables"
	"github.com/rushramp/rushramp/pkg/teams"
)

const (
	// answerGrace is how long after the deadline the entry still waits for the
	// executor's result, because only the executor knows whether the request ran.
	answerGrace = 20 * time.Millisecond
	// minRetryTime is the least time to the deadline with which a request that may have
	// reached a backend server is sent again.
	minRetryTime = 30 * time.Millisecond
	// maxTries limits the attempts of one request, including those that were refused
	// before they reached a backend server.
	maxTries = 12
	// retryAfterShare limits the Retry-After of a refusal, as a share of the request's
	// time left: callers ignore a Retry-After that is longer than a third of their timeout.
	retryAfterShare = 0.32
)

// attempts makes the attempts of one routed request. An attempt may be soft: the gate of a
// backend server that is slowed or nearly full then refuses it at once. Source:
// docs/design/platform.md, "The first decisions".
type attempts struct {
	forwarder *Forwarder
	ctx       context.Context
	req       *Request
	route     *routing.CompiledRoute
	// version is the placement version in which the route was found.
	version uint64
	rule    dataCentreRule
	service string
	// startedAt and deadline are in nanoseconds of the daemon's clock.
	startedAt int64
	deadline  int64
	// target is the latency target of the route, counted from startedAt.
	target time.Duration
	// team is the team whose key the request carries; nil if it carries none.
	team *teams.Team
	// lane selects the version of a service under roll-out that handles the request.
	lane rollout.Lane

	candidates []tables.Candidate
	// softLeft is how many more soft attempts may be refused. softRefused marks the
	// candidates that refused a soft attempt, excluded the candidates that get no further
	// attempt of this request.
	softLeft    int
	softRefused choose.IndexSet
	excluded    choose.IndexSet
	// tries counts all attempts, offered the attempts that may have reached a backend
	// server.
	tries   int
	offered int
	// cachedFingerprint is the fingerprint of the request's content. It is valid once
	// hasFingerprint is true.
	cachedFingerprint quarantine.Fingerprint
	hasFingerprint    bool
	// ends receives the ends of all attempts, and leftAttempts holds those that were left
	// because they were not acknowledged, and that have not ended.
	ends         chan *attemptEnd
	leftAttempts []leftAttempt
	// records describes the attempts for the log.
	records []attemptRecord
	// crossings sums up the bytes that crossed to other data centres.
	crossings crossingTotals
	// stopReason says why no further attempt was made, for the log.
	stopReason string
	// budgetOf names the part of the retry budget that was empty, for the log.
	budgetOf string
	// returnCause says how the caller's return time was determined, for the log.
	returnCause string
	// fallback is the result of an earlier attempt that failed and may have run. The
	// caller gets it if the last attempt got no answer from a backend server.
	fallback *call.Result
}

// run makes attempts until one ends the request, no candidate is left, or all tries are
// used. It returns the result for the caller.
func (a *attempts) run() call.Result {
	last := a.noCandidate()
	a.creditBudget()
	for a.tries < maxTries {
		if a.timeLeft() <= 0 {
			return a.finalResult(call.Refused(errkind.DeadlineBeforeRun, "the deadline passed at the entry"))
		}
		if a.ctx.Err() != nil {
			// After a pause of this process, a request may arrive whose caller has
			// disconnected already.
			return a.finalResult(interruptedBeforeRun(a.ctx, "the request was sent"))
		}
		if refusal := a.revokedKeyRefusal(); refusal != nil {
			a.stopReason = stoppedByFinalRefusal
			return a.finalResult(*refusal)
		}
		if refusal := a.quarantineRefusal(); refusal != nil {
			a.stopReason = stoppedByQuarantine
			return a.finalResult(*refusal)
		}
		pick := a.pick()
		if pick.PassedOver > 0 {
			last = call.Refused(errkind.Overloaded, "the latest load reports of %d gates show that they would refuse the request", pick.PassedOver)
		}
		index := pick.Index
		if index == choose.NoCandidate {
			a.stopReason = stoppedByNoCandidate
			a.recordPassedOver()
			break
		}
		a.tries++
		result := a.send(pick)
		if a.isLast(index, &result) {
			return a.finalResult(result)
		}
		last = result
	}
	return a.finalResult(last)
}

// creditBudget adds the request to the retry budget of its service. A request on a route
// that services call comes from the backend server on this daemon's VM. The run that makes
// it may itself repeat a run elsewhere, and for the called service the request is then a
// retry, although this entry sends it for the first time.
func (a *attempts) creditBudget() {
	budget := a.forwarder.budgets.forService(a.service)
	if a.forwarder.localRuns != nil && a.forwarder.calledRoutes.contains(a.route.Name) {
		budget.addCall(a.forwarder.localRuns.RepeatShare())
		return
	}
	budget.addRequest()
}

// finalResult turns the result of the last attempt into the result for the caller: it
// waits for the attempts that were left where there is no better result, prefers the
// fallback to a refusal, and sets RetryAfter on an overload.
func (a *attempts) finalResult(result call.Result) call.Result {
	result = a.awaitLeft(result)
	if result.Answer == nil && a.fallback != nil {
		result = *a.fallback
	}
	result = a.replaceMisleadingAnswer(result)
	a.setReturnTime(&result)
	return result
}

// replaceMisleadingAnswer replaces an answer whose status would tell the caller that a
// request that must run at most once has not run. A backend server's own 503, for example,
// does not prove that. A backend server that did not run a request marks its answer, and
// the result of a marked answer is a refusal.
func (a *attempts) replaceMisleadingAnswer(result call.Result) call.Result {
	if result.Answer == nil || a.route.Repeatable || !impliesNotRun(result.Answer.Status) {
		return result
	}
	return call.Refused(errkind.BackendFailed, "the backend server answered %d without saying that it did not run the request", result.Answer.Status)
}

// impliesNotRun reports whether callers take a status to mean that the request has not
// run, so that they repeat even one that must run at most once.
func impliesNotRun(status int) bool {
	return status == 408 || status == 421 || status == 429 || status == 503
}

// timeLeft returns the time to the deadline, which is negative after it.
func (a *attempts) timeLeft() time.Duration { return time.Duration(a.deadline - a.forwarder.Now()) }

// pick chooses the candidate of the next attempt and whether the attempt is soft. During
// a roll-out, a request moves to the lane of retries if its own lane has no candidate, or
// only candidates at which it would queue.
func (a *attempts) pick() choose.AttemptPick {
	a.loadCandidates()
	a.updateRule()
	traffic := a.forwarder.view.RolloutTraffic(a.service)
	if a.tries > 0 {
		a.lane = traffic.RetryLane()
	}
	pick := a.pickInLane(traffic)
	retryLane := traffic.RetryLane()
	if retryLane == a.lane || pick.Index != choose.NoCandidate && (pick.Soft || a.softLeft == 0) {
		return pick
	}
	// The lane's backend servers are gone, not linked to this daemon, or known to be full.
	// A canary must neither refuse a request nor make it queue for that.
	firstLane := a.lane
	a.lane = retryLane
	if other := a.pickInLane(traffic); other.Index != choose.NoCandidate || pick.Index == choose.NoCandidate {
		return other
	}
	a.lane = firstLane
	return pick
}

// pickInLane chooses among the candidates that may run requests of the lane.
func (a *attempts) pickInLane(traffic *rollout.TrafficPolicy) choose.AttemptPick {
	relativeSize := a.forwarder.sizes.relative(a.route.Name, len(a.req.Body))
	work := a.expectedWork()
	largeBody := a.hasLargeBody()
	choice := choose.AttemptRequest{
		RoutedRequest: choose.RoutedRequest{
			Now: a.forwarder.Now(), CandidateSet: a.candidates, Excluded: a.excluded, Allowed: a.rule.allowed, Evacuated: a.forwarder.view.Evacuation(),
			Rollout: traffic, Lane: a.lane,
			Location: a.forwarder.Location(), CrossingCost: a.crossingCosts(relativeSize), Work: work,
			// The settings by which gates refuse requests, so that the entry can foresee it.
			SoftSlowdown: a.forwarder.Settings.Routing.SoftSlowdown, UsableShare: a.forwarder.Settings.Routing.Use,
			TimeToTarget: a.usefulTime(), TimeToDeadline: a.timeLeft(),
			BodySize: a.grantedBodySize(), OwnVM: a.forwarder.Settings.VM.ID, OwnLinkDelay: a.forwarder.ownLinkDelay(),
		},
		MaySoft: a.softLeft > 0, SoftRefused: a.softRefused,
		AboveMean: relativeSize > 1, LargeBody: largeBody,
	}
	if largeBody {
		choice.CrossingCost = a.crossingCosts(relativeSize * a.forwarder.sizes.meanWorkShare(work))
		choice.Transfer = a.forwarder.transfers.expected(proximity.SameDataCentre, len(a.req.Body))
		choice.RefusedNearer = a.crossings.refusedNearer
		choice.LongestWait = a.forwarder.Settings.Gate.QueueTime
	}
	return choose.PickAttempt(&choice, a.forwarder.random)
}

// hasLargeBody reports whether the request's body is sent only when the executor grants it.
func (a *attempts) hasLargeBody() bool { return a.grantedBodySize() > 0 }

// usefulTime returns the time left until an answer is too late to be useful: the rest of
// the target, or of the timeout on a route that services call.
func (a *attempts) usefulTime() time.Duration {
	if a.forwarder.calledRoutes.contains(a.route.Name) {
		return a.timeLeft()
	}
	return a.target - time.Duration(a.forwarder.Now()-a.startedAt)
}

// loadCandidates reads the candidates from the view until it finds some, and keeps those
// for all later attempts.
func (a *attempts) loadCandidates() {
	if len(a.candidates) > 0 {
		return
	}
	service := a.forwarder.view.Service(a.service)
	if service == nil {
		return
	}
	if kind := service.Match(a.req.Method, a.req.Path); kind != nil {
		a.candidates = kind.LinkedCandidates
	}
}

// expectedWork returns how long the request is expected to run at a backend server that
// works at its normal speed.
func (a *attempts) expectedWork() time.Duration {
	return a.forwarder.work.LookupOrEstimate(a.route.Name, a.target)
}

// isLast updates the state of the request with the result of an attempt, and reports
// whether that attempt was the last.
func (a *attempts) isLast(index int, result *call.Result) bool {
	if result.Refusal != nil && result.Refusal.Kind == errkind.GateBusier {
		a.softRefused = a.softRefused.With(index)
		a.softLeft--
		return false
	}
	a.excluded = a.excluded.With(index)
	if result.Refusal != nil && result.Refusal.Ran == errkind.RanNo && !result.Offered {
		if result.Refusal.RetryElsewhere() || a.endedTooEarly(result.Refusal) {
			return false
		}
		a.stopReason = stoppedByFinalRefusal
		return true
	}
	a.offered++
	if result.Answer != nil && result.Answer.Status < 500 {
		a.stopReason = stoppedByAnswer
		return true
	}
	a.stopReason = a.reasonToStop(result)
	return a.stopReason != ""
}

// endedTooEarly reports whether an executor has refused the request because of its deadline
// although there is time for another attempt. Its estimate of the transit delay is then wrong.
func (a *attempts) endedTooEarly(refusal *errkind.Error) bool {
	return refusal.Kind == errkind.DeadlineBeforeRun && a.timeLeft() >= minRetryTime
}

// The reasons why no further attempt was made: the values of the log field "stopped".
const (
	stoppedByAnswer       = "answered"
	stoppedByFinalRefusal = "no_other_can_do_better"
	stoppedByMayHaveRun   = "it_may_have_run"
	stoppedByAttempts     = "attempts_used"
	stoppedByTime         = "time_used"
	stoppedByBudget       = "retry_budget_empty"
	stoppedByNoCandidate  = "nobody_left"
	stoppedByFailedCalls  = "its_calls_failed"

	stoppedByQuarantine = "content_held_back"
)

// reasonToStop returns why a request that reached a backend server and failed is not sent
// to another one. If the request is to be sent again, it takes a retry from the budget and
// returns an empty string.
func (a *attempts) reasonToStop(result *call.Result) string {
	notRun := result.Refusal != nil && result.Refusal.Ran == errkind.RanNo
	if !notRun && !a.route.Repeatable {
		return stoppedByMayHaveRun
	}
	if result.Refusal != nil && isFinalKind(result.Refusal.Kind) {
		return stoppedByTime
	}
	if !notRun && !a.isLeft(result) {
		a.fallback = result
	}
	if a.offered >= a.route.Attempts {
		return stoppedByAttempts
	}
	if a.timeLeft() < minRetryTime {
		return stoppedByTime
	}
	if hasFailedCalls(result) {
		return stoppedByFailedCalls
	}
	if a.budgetOf = a.forwarder.budgets.take(a.ctx, a.service); a.budgetOf != "" {
		return stoppedByBudget
	}
	return ""
}

// isFinalKind reports whether a refusal of this kind leaves no time for another attempt.
func isFinalKind(kind errkind.Kind) bool {
	return kind == errkind.CallerGone || kind == errkind.DeadlineWhileRunning || kind == errkind.DrainEnded
}

// hasFailedCalls reports whether a failed answer may be due to a call that the run made to
// another service. Such a request is not sent again: the entry of that call has retried
// the call already, and another run would repeat all its calls, which could exceed the
// retries that the called service may get: where seven runs in ten made calls and a service
// below refused half of them, 14 in 100 runs were repeats, but 20 in 100 calls.
func hasFailedCalls(result *call.Result) bool {
	return result.Answer != nil && result.Answer.CallsFailed
}
