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

// send sends the request to one candidate and waits for its end.
func (a *attempts) send(pick choose.RoutedPick, soft bool) call.Result {
	to := &a.set[pick.Index]
	began := a.owner.Now()
	note := noteAttempt(began, to, soft, a.placeOf(to), pick.PassedOver)
	note.target = a.lane == rollout.LaneTarget
	result := a.sendTo(to, soft)
	note.end(&result, time.Duration(a.owner.Now()-began))
	a.trail = append(a.trail, note)
	return result
}

func (a *attempts) sendTo(to *tables.Candidate, soft bool) call.Result {
	runner := to.Endpoint.Runner()
	if runner == nil {
		return call.Refused(errkind.LinkUnavailable, "the link to %s is down", to.Endpoint.VM)
	}
	now := a.owner.Now()
	to.Load.RecordSent(now)
	ends := make(chan call.Result, 1)
	cancel := runner.Execute(a.frame(to, soft), a.req.Body, func(r call.Result) { ends <- a.land(to, r) })
	return a.await(to, runner, cancel, ends)
}

// mayGoOn is true when a request that leaves a backend server could be sent to
// another one. Where it could not, giving up gains nothing: the backend server may
// be at work, and its answer may still come.
func (a *attempts) mayGoOn(from *tables.Candidate) bool {
	if a.offered+1 >= a.route.Attempts || a.left() < leastLeft || a.owner.budgets.of(a.service).left() < 1 {
		return false
	}
	traffic := a.owner.view.RolloutTraffic(a.service)
	lane := traffic.Again()
	for i := range a.set {
		other := &a.set[i]
		if other != from && !a.closed.Has(i) && a.mayTake(other) && traffic.Takes(lane, other.Endpoint.Version(), other.Endpoint.VM) && other.Endpoint.Runner() != nil {
			return true
		}
	}
	return false
}

// await waits for the end of an attempt: the executor's word, the deadline, the
// caller's leaving, or the executor's silence, where the request may go on.
func (a *attempts) await(to *tables.Candidate, runner call.Runner, cancel func(), ends <-chan call.Result) call.Result {
	bound := time.NewTimer(a.left() + grace)
	defer bound.Stop()
	watch := newWatch(runner)
	defer watch.stop()
	for {
		select {
		case result := <-ends:
			return result
		case <-watch.due():
			if !watch.silent() {
				continue
			}
			to.Load.MarkUnresponsive(a.owner.Now())
			if a.route.Repeatable && a.mayGoOn(to) {
				cancel()
				return a.unheard(errkind.New(errkind.LinkLost, "%s gives no sign of life", to.Endpoint.VM))
			}
		case <-bound.C:
			select {
			case result := <-ends:
				// A process that stood still finds both; what has come goes out.
				return result
			default:
			}
			cancel()
			return a.unheard(errkind.New(errkind.DeadlineWhileRunning, "no word of %s in time", to.Endpoint.VM))
		case <-a.ctx.Done():
			cancel()
			return a.unheard(errkind.New(errkind.CallerGone, "the caller left").Maybe())
		}
	}
}

// unheard is the end of an attempt whose executor gave no word.
func (a *attempts) unheard(refusal *errkind.Error) call.Result {
	return call.Result{Refusal: refusal, Offered: true}
}

// land takes over what an end tells of the backend server, also when nobody
// waits for it any more.
func (a *attempts) land(to *tables.Candidate, result call.Result) call.Result {
	now := a.owner.Now()
	to.Load.RecordEnded(now)
	if result.Stamp.Seq > 0 {
		to.Load.ApplyStamp(now, result.Stamp)
		a.owner.called.note(a.route.Name, result.Origin)
	}
	switch {
	case result.Answer != nil:
		result.Offered = true
		to.Load.RecordAnswer(result.Answer.Status >= 500)
		if result.Answer.Status < 500 {
			a.owner.work.Record(a.route.Name, result.Answer.Run, result.Answer.Slowdown)
			a.owner.sizes.note(a.route.Name, len(a.req.Body), len(result.Answer.Body))
		}
	case result.Refusal.Ran == errkind.RanMaybe:
		result.Offered = true
		to.Load.RecordAnswer(result.Refusal.Kind != errkind.CallerGone)
	}
	result.Server, result.DataCentre = to.Endpoint.VM, to.Endpoint.DataCentre
	return result
}

func (a *attempts) frame(to *tables.Candidate, soft bool) *wire.Call {
	elapsed := time.Duration(a.owner.Now() - a.began)
	out := &wire.Call{
		Service:   a.service,
		Kind:      a.route.Name,
		Method:    a.req.Method,
		URI:       a.req.URI,
		Headers:   a.req.Headers,
		Placement: a.rules.version,
		Remaining: a.left(),
		WantStamp: true,
		Claim:     wire.Claim{Generation: uint32(a.offered)},
		Routed: wire.Routed{
			ID: a.req.ID, Host: a.req.Host, Caller: a.owner.Settings.BackendServer.Service,
			Repeatable: a.route.Repeatable, Priority: a.route.Priority, Soft: soft,
			Near: a.placeOf(to) == proximity.SameDataCentre, Target: a.target - elapsed,
		},
	}
	if a.team != nil {
		out.Routed.Team, out.Routed.TeamPriority = a.team.Name, a.team.Priority
	}
	return out
}
