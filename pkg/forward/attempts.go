package forward

import (
	"context"
	"time"

	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/choose"
	"github.com/rushramp/rushramp/pkg/errkind"
	"github.com/rushramp/rushramp/pkg/gate"
	"github.com/rushramp/rushramp/pkg/proximity"
	"github.com/rushramp/rushramp/pkg/quarantine"
	"github.com/rushramp/rushramp/pkg/rollout"
	"github.com/rushramp/rushramp/pkg/routing"
	"github.com/rushramp/rushramp/pkg/tables"
	"github.com/rushramp/rushramp/pkg/teams"
)

const (
	// grace is how long after the deadline the entry still waits for the word
	// of the executor, which knows whether the request ran.
	grace = 20 * time.Millisecond
	// leastLeft is the time below which a request that ran is not sent again.
	leastLeft = 30 * time.Millisecond
	// mostTries bounds the attempts of one request, refusals included.
	mostTries = 12
	// retryShare is the longest that a caller is asked to stay away, as a share
	// of its time: callers heed up to a third.
	retryShare = 0.32
)

// attempts are one request's attempts. Source: docs/design/platform.md, "The
// first decisions".
type attempts struct {
	owner   *Forwarder
	ctx     context.Context
	req     *Request
	route   *routing.CompiledRoute
	version uint64
	rules   rules
	service string
	// began and deadline are in nanoseconds of the daemon's clock.
	began    int64
	deadline int64
	target   time.Duration
	// team is the one whose key the request carries; nil: it carries none.
	team *teams.Team
	// lane is the side of a roll-out that the request is on.
	lane rollout.Lane

	set []tables.Candidate
	// softLeft is how many attempts may still be refused softly; softTried are
	// the candidates that did so, and closed those not to be asked again.
	softLeft  int
	softTried choose.IndexSet
	closed    choose.IndexSet
	// tries counts all attempts, offered those that reached a backend server.
	tries   int
	offered int
	// content is the request's, once it is fingerprinted.
	content       quarantine.Fingerprint
	fingerprinted bool
	// trail holds the attempts for the log.
	trail []attemptNote
	// stopped is why no further attempt was made, for the log.
	stopped string
	// inHand is the answer or failure of an attempt that ran; it is what the
	// caller gets when no later attempt ends better.
	inHand *call.Result
}

func (a *attempts) run() call.Result {
	last := a.nobody()
	a.earn()
	for a.tries < mostTries {
		if a.left() <= 0 {
			return a.conclude(call.Refused(errkind.DeadlineBeforeRun, "the time ran out at the entry"))
		}
		if a.ctx.Err() != nil {
			// A process that stood still may learn of both at once.
			return a.conclude(call.Refused(errkind.CallerGone, "the caller left before the request was sent"))
		}
		if refusal := a.revoked(); refusal != nil {
			a.stopped = stoppedByKind
			return a.conclude(*refusal)
		}
		if refusal := a.heldBack(); refusal != nil {
			a.stopped = stoppedByQuarantine
			return a.conclude(*refusal)
		}
		pick, soft := a.pick()
		if pick.PassedOver > 0 {
			last = call.Refused(errkind.Overloaded, "%d gates have just shown that they would refuse it", pick.PassedOver)
		}
		index := pick.Index
		if index == choose.NoCandidate {
			a.stopped = stoppedByChoice
			a.notePassedOver()
			break
		}
		a.tries++
		result := a.send(pick, soft)
		if a.isLast(index, &result) {
			return a.conclude(result)
		}
		last = result
	}
	return a.conclude(last)
}

// earn lets the request earn its share of a retry. A call that the backend
// server beside this daemon makes may belong to a run that repeats one elsewhere:
// at the called service it counts as a repeat, though it is sent once.
func (a *attempts) earn() {
	budget := a.owner.budgets.of(a.service)
	if a.owner.runs != nil && a.owner.called.has(a.route.Name) {
		budget.call(a.owner.runs.RepeatShare())
		return
	}
	budget.request()
}

// conclude returns the answer in hand where the last attempt got none.
func (a *attempts) conclude(result call.Result) call.Result {
	if result.Answer == nil && a.inHand != nil {
		result = *a.inHand
	}
	result = a.truthful(result)
	if result.Refusal != nil && result.Refusal.Kind.Row().Overload {
		result.RetryAfter = min(a.owner.Settings.Routing.RetryAfter, time.Duration(retryShare*float64(a.left())))
	}
	return result
}

// truthful keeps a backend server's own 503 from passing for the promise that
// the request has not run, where only the backend server's mark would prove it.
func (a *attempts) truthful(result call.Result) call.Result {
	if result.Answer == nil || a.route.Repeatable || !promisesNotRun(result.Answer.Status) {
		return result
	}
	return call.Refused(errkind.BackendFailed, "the backend server answered %d without saying that it did not run the request", result.Answer.Status)
}

// promisesNotRun is true for the statuses by which a caller may repeat a
// request that must run at most once.
func promisesNotRun(status int) bool {
	return status == 408 || status == 421 || status == 429 || status == 503
}

func (a *attempts) left() time.Duration { return time.Duration(a.deadline - a.owner.Now()) }

// pick chooses the next candidate. While soft attempts are left it takes one
// that has not refused softly; then any that is not closed, and may queue there. One
// that would cross to another region a large request takes only where waiting nearer
// costs more, or would end too late.
func (a *attempts) pick() (pick choose.RoutedPick, soft bool) {
	a.refresh()
	a.renewRules()
	traffic := a.owner.view.RolloutTraffic(a.service)
	if a.tries > 0 {
		a.lane = traffic.Again()
	}
	pick, soft = a.pickIn(traffic)
	next := traffic.Again()
	if next == a.lane || pick.Index != choose.NoCandidate && (soft || a.softLeft == 0) {
		return pick, soft
	}
	// Its lane's backend servers are gone, not linked here, or full by what is known: a
	// roll-out that tries a few requests refuses none for it, nor lets one queue.
	first := a.lane
	a.lane = next
	if other, otherSoft := a.pickIn(traffic); other.Index != choose.NoCandidate || pick.Index == choose.NoCandidate {
		return other, otherSoft
	}
	a.lane = first
	return pick, soft
}

// pickIn chooses among the backend servers that the request's lane allows.
func (a *attempts) pickIn(traffic *rollout.Traffic) (pick choose.RoutedPick, soft bool) {
	req := choose.RoutedRequest{
		Now: a.owner.Now(), CandidateSet: a.set, Allowed: a.rules.allowed, Evacuated: a.owner.view.Evacuation(),
		Rollout: traffic, Lane: a.lane,
		Location: a.owner.Here(), CrossingCost: a.leaveCost(), Work: a.work(),
		// What gates refuse by, so that the entry knows before it asks.
		SoftSlowdown: a.owner.Settings.Routing.SoftSlowdown, UsableShare: a.owner.Settings.Routing.Use,
		TimeToTarget: a.within(), TimeToDeadline: a.left(),
	}
	if a.softLeft > 0 {
		req.Soft = true
		req.Excluded = a.softTried | a.closed
		if pick = choose.PickRouted(&req, a.owner.random); pick.Index != choose.NoCandidate && pick.Proximity != proximity.OtherRegion {
			return pick, true
		}
	}
	crosses := req.Soft && pick.Index != choose.NoCandidate
	if crosses && !a.isLarge() {
		return pick, true
	}
	earnest := req
	earnest.Soft = false
	earnest.Excluded = a.closed
	waits := choose.PickRouted(&earnest, a.owner.random)
	if crosses && !waitsNearer(&pick, &waits, req.TimeToTarget) {
		return pick, true
	}
	return waits, false
}

// isLarge is true for a request that moves more bytes than the mean. Only these wait
// nearer for the price alone: when all did, a region with a burst of callers queued
// while others had room, and twice as many small requests were late there.
func (a *attempts) isLarge() bool {
	return a.owner.sizes.share(a.route.Name, len(a.req.Body)) > 1
}

// waitsNearer is true where a request had better wait nearer than cross to another
// region: it costs less, and the request is expected to end in time all the same, with
// the spread that gates allow for. The price of a crossing makes no request late.
func waitsNearer(crosses, waits *choose.RoutedPick, within time.Duration) bool {
	nearer := waits.Index != choose.NoCandidate && waits.Proximity < crosses.Proximity
	return nearer && waits.Cost < crosses.Cost && gate.RunTimeMargin*waits.ExpectedTime <= float64(within)
}

// within is the time in which the request must end to be worth its run: its
// target, or, for calls that services make, its deadline.
func (a *attempts) within() time.Duration {
	if a.owner.called.has(a.route.Name) {
		return a.left()
	}
	return a.target - time.Duration(a.owner.Now()-a.began)
}

// refresh takes the candidates once; a view that had none is looked at again.
func (a *attempts) refresh() {
	if len(a.set) > 0 {
		return
	}
	service := a.owner.view.Service(a.service)
	if service == nil {
		return
	}
	if kind := service.Match(a.req.Method, a.req.Path); kind != nil {
		a.set = kind.LinkedCandidates
	}
}

func (a *attempts) work() time.Duration {
	return a.owner.work.LookupOrEstimate(a.route.Name, a.target)
}

// isLast takes over how an attempt ended and decides whether it was the last.
func (a *attempts) isLast(index int, result *call.Result) bool {
	if result.Refusal != nil && result.Refusal.Kind == errkind.GateBusier {
		a.softTried = a.softTried.With(index)
		a.softLeft--
		return false
	}
	a.closed = a.closed.With(index)
	if result.Refusal != nil && result.Refusal.Ran == errkind.RanNo && !result.Offered {
		if result.Refusal.RetryElsewhere() {
			return false
		}
		a.stopped = stoppedByKind
		return true
	}
	a.offered++
	if result.Answer != nil && result.Answer.Status < 500 {
		a.stopped = stoppedByAnswer
		return true
	}
	a.stopped = a.whyNotAgain(result)
	return a.stopped != ""
}

// The reasons why a request is not sent once more, as they stand in the log.
const (
	stoppedByAnswer   = "answered"
	stoppedByKind     = "no_other_can_do_better"
	stoppedByMaybe    = "it_may_have_run"
	stoppedByAttempts = "attempts_used"
	stoppedByTime     = "time_used"
	stoppedByBudget   = "retry_budget_empty"
	stoppedByChoice   = "nobody_left"
	stoppedByCalls    = "its_calls_failed"

	stoppedByQuarantine = "content_held_back"
)

// whyNotAgain decides whether a request that reached a backend server and did
// not end well goes to another one; empty: it does.
func (a *attempts) whyNotAgain(result *call.Result) string {
	notRun := result.Refusal != nil && result.Refusal.Ran == errkind.RanNo
	if !notRun && !a.route.Repeatable {
		return stoppedByMaybe
	}
	if result.Refusal != nil && (result.Refusal.Kind == errkind.CallerGone || result.Refusal.Kind == errkind.DeadlineWhileRunning) {
		return stoppedByTime
	}
	if !notRun {
		a.inHand = result
	}
	if a.offered >= a.route.Attempts {
		return stoppedByAttempts
	}
	if a.left() < leastLeft {
		return stoppedByTime
	}
	if failedBelow(result) {
		return stoppedByCalls
	}
	if !a.owner.budgets.take(a.service) {
		return stoppedByBudget
	}
	return ""
}

// failedBelow is true for a failure that may be that of a call which the run made. Its
// entry has sent that call again as often as it may, and the run would make its calls
// once more, which are repeats at the service they go to: where seven runs in ten made
// calls and a service below shed half of them, 14 in 100 runs were repeats and 20 in 100
// of the calls, over what the service below may get. Answered at once, callers come back
// by themselves: two days of high load on 82 VMs went from 0.744 and 0.734 of their worth
// to 0.764 and 0.767.
func failedBelow(result *call.Result) bool {
	return result.Answer != nil && result.Answer.CallsFailed
}
