package forward

import (
	"time"

	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/quota"
	"github.com/rushramp/rushramp/pkg/returns"
	"github.com/rushramp/rushramp/pkg/utils"
)

// honouredTime returns the longest Retry-After that the caller honours.
func (a *attempts) honouredTime() time.Duration {
	return time.Duration(retryAfterShare * float64(a.timeLeft()))
}

// usefulReturnTime returns the longest Retry-After after which the request can still be
// answered within its target. It is negative if the target cannot be met any more.
func (a *attempts) usefulReturnTime() time.Duration { return a.usefulTime() - a.expectedWork() }

// setReturnTime sets when the caller should return, if its request was refused because of
// an overload. It also records answers, from which the schedule of the service learns the
// capacity.
func (a *attempts) setReturnTime(result *call.Result) {
	overload := result.Refusal != nil && result.Refusal.Kind.Row().Overload
	settings := &a.forwarder.Settings.Routing
	if !settings.ScheduleReturns {
		if overload {
			result.RetryAfter = min(max(settings.RetryAfter, a.rateLimitWait()), a.honouredTime())
		}
		return
	}
	now := a.forwarder.Now()
	schedule := a.forwarder.returns.ForService(a.service)
	switch {
	case overload:
		after, cause := schedule.Refuse(now, returns.Refused{Rank: a.returnRank(), Honoured: a.honouredTime(), Useful: a.usefulReturnTime(), Default: settings.RetryAfter})
		result.RetryAfter = after
		a.recordReturnCause(string(cause))
	case result.Answer != nil && result.Answer.Status < 500:
		schedule.RecordAnswer(now)
	}
}

// rateLimitWait returns how long the rate limits of all backend servers that may run the
// request delay its start; 0: at least one has none, or may start it at once.
func (a *attempts) rateLimitWait() time.Duration {
	now := a.forwarder.Now()
	least := time.Duration(0)
	for i := range a.candidates {
		candidate := &a.candidates[i]
		if !a.isAllowed(candidate) || candidate.Endpoint.Runner() == nil {
			continue
		}
		load := candidate.Load.Snapshot(now)
		wait := load.StartWait(now)
		if wait == 0 {
			return 0
		}
		if least == 0 || wait < least {
			least = wait
		}
	}
	return least
}

// returnRank returns the rank of the request for return times, in the order in which gates
// start requests: calls that backend servers make come first, then requests by the priority
// of their team, then by that of their route. Ranks beyond those of a schedule are equal.
func (a *attempts) returnRank() int {
	const routeRanks = 3
	if a.forwarder.calledRoutes.contains(a.route.Name) {
		return 0
	}
	rank := 1 + min(int(a.route.Priority), routeRanks-1)
	if a.team != nil {
		rank += routeRanks * int(a.team.Priority)
	}
	return rank
}

// setTeamReturnTime sets when a caller whose team is over its limit should return.
// nextToken is the time until the team's next token.
func (a *attempts) setTeamReturnTime(result *call.Result, nextToken time.Duration) {
	after, cause := a.forwarder.Quota.ReturnTime(a.forwarder.Now(), a.team.Name, quota.RefusedCaller{Honoured: a.honouredTime(), Useful: a.usefulReturnTime(), NextToken: nextToken})
	result.RetryAfter = after
	a.recordReturnCause(string(cause))
}

// recordReturnCause notes for the log how the caller's return time was determined, and
// counts it.
func (a *attempts) recordReturnCause(cause string) {
	a.returnCause = cause
	a.forwarder.Metrics.GetOrCreateCounter(`rushramp_return_times_total{service="` + utils.Label(a.service) + `",cause="` + cause + `"}`).Inc()
}
