package forward

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/rushramp/rushramp/pkg/errkind"
	"github.com/rushramp/rushramp/pkg/placement"
	"github.com/rushramp/rushramp/pkg/quota"
	"github.com/rushramp/rushramp/pkg/returns"
	"github.com/rushramp/rushramp/pkg/routing"
	"github.com/rushramp/rushramp/pkg/teams"
)

const (
	// honouredOfTestRoutes is the longest time that callers of a request without delay
	// honour.
	honouredOfTestRoutes = 320 * time.Millisecond
	// usefulOfTestRoutes is the longest time that leaves the estimated 120 ms for a run
	// within the target.
	usefulOfTestRoutes = 280 * time.Millisecond
	// usefulOfLongTarget is the longest time that callers of a team are told on a route
	// with a target of 900 ms and an estimated 270 ms for a run.
	usefulOfLongTarget = 201600 * time.Microsecond
)

// returnCauses returns the number of return times given by cause.
func returnCauses(f *Forwarder, cause string) int {
	return int(f.Metrics.GetOrCreateCounter(`rushramp_return_times_total{service="s",cause="` + cause + `"}`).Get())
}

// TestOverloadedServiceSchedulesReturns: an entry without data, such as a restarted one,
// spreads routing.retry_after; one that sees no answers for some time tells the longest
// useful time that callers honour.
func TestOverloadedServiceSchedulesReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &fakeRunner{answer: refuses(errkind.Overloaded, false)}
		f := newForwarder(r)
		f.Settings.Routing.ScheduleReturns = true
		distinct := map[time.Duration]bool{}
		var last time.Duration
		for range 20 {
			got := f.Forward(t.Context(), newRequest("/read/1"))
			must.NotNil(t, got.Refusal)
			test.Between(t, 1, got.RetryAfter, usefulOfTestRoutes)
			distinct[got.RetryAfter] = true
			last = got.RetryAfter
			time.Sleep(50 * time.Millisecond)
		}
		test.Greater(t, 1, len(distinct))
		test.Eq(t, usefulOfTestRoutes, last)
		test.Positive(t, returnCauses(f, string(returns.Default)))
		test.Positive(t, returnCauses(f, string(returns.Longest)))
	})
}

// TestCallersThatCannotMeetTheirTargetGetTheSpreadDefault, also while no capacity is
// expected: the longest time that they honour would only make them later.
func TestCallersThatCannotMeetTheirTargetGetTheSpreadDefault(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newForwarder(&fakeRunner{answer: refuses(errkind.Overloaded, false)})
		f.Settings.Routing.ScheduleReturns = true
		f.work.Record("read", 390*time.Millisecond, 0)
		distinct := map[time.Duration]bool{}
		for range 20 {
			got := f.Forward(t.Context(), newRequest("/read/1"))
			test.Between(t, 190*time.Millisecond, got.RetryAfter, honouredOfTestRoutes)
			distinct[got.RetryAfter] = true
			time.Sleep(50 * time.Millisecond)
		}
		test.Greater(t, 10, len(distinct))
		test.Eq(t, 20, returnCauses(f, string(returns.Unreachable)))
	})
}

// TestReturnTimesFollowAnswersOfTheService checks a service that answers half of the requests.
func TestReturnTimesFollowAnswersOfTheService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &fakeRunner{}
		f := newForwarder(r)
		f.Settings.Routing.ScheduleReturns = true
		for i := range 200 {
			r.answer = answers(200)
			if i%2 == 0 {
				r.answer = refuses(errkind.Overloaded, false)
			}
			f.Forward(t.Context(), newRequest("/read/1"))
			time.Sleep(5 * time.Millisecond)
		}
		test.Greater(t, returnCauses(f, string(returns.Longest)), returnCauses(f, string(returns.Scheduled)))
	})
}

func TestReturnTimesOfServicesCanBeTurnedOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newForwarder(&fakeRunner{answer: refuses(errkind.Overloaded, false)})
		f.Settings.Routing.ScheduleReturns = false
		for range 20 {
			test.Eq(t, f.Settings.Routing.RetryAfter, f.Forward(t.Context(), newRequest("/read/1")).RetryAfter)
			time.Sleep(50 * time.Millisecond)
		}
	})
}

// setTargets sets the targets of all routes.
func setTargets(f *Forwarder, target time.Duration) {
	doc := *f.view.Placement().Document
	doc.Version++
	doc.Routes = slices.Clone(doc.Routes)
	for i := range doc.Routes {
		doc.Routes[i].Target = target
	}
	f.view.SetPlacement(placement.Compile(&doc))
}

// TestACallerOverItsTeamsLimitReturnsToAReservedToken, and others are told the longest
// useful time that they honour.
func TestACallerOverItsTeamsLimitReturnsToAReservedToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newForwarder(&fakeRunner{answer: answers(200)})
		setTargets(f, 900*time.Millisecond)
		setTeams(f, 4)
		tick := enforceLimitsWith(f, true)
		const threeTokens = 300 * time.Millisecond
		time.Sleep(threeTokens)
		for range 3 {
			must.NotNil(t, f.Forward(t.Context(), newKeyedRequest("/post/1", "b")).Answer)
		}
		var times []time.Duration
		for range 5 {
			got := f.Forward(t.Context(), newKeyedRequest("/post/1", "b"))
			must.NotNil(t, got.Refusal)
			must.Eq(t, errkind.LimitUsed, got.Refusal.Kind)
			times = append(times, got.RetryAfter)
		}
		test.Less(t, usefulOfLongTarget, times[0])
		test.Eq(t, usefulOfLongTarget, times[4])
		test.Eq(t, 1, returnCauses(f, string(quota.ReturnReserved)))
		test.Eq(t, 4, returnCauses(f, string(quota.ReturnLongest)))
		tick()
		time.Sleep(times[0])
		must.NotNil(t, f.Forward(t.Context(), newKeyedRequest("/post/1", "b")).Answer)
		test.Eq(t, 1, f.Quota.Stats().ReturnsUsed)
	})
}

// TestACallerOverItsTeamsLimitThatCannotMeetItsTargetGetsTheNextToken: reserved tokens are
// for callers that can be answered in time.
func TestACallerOverItsTeamsLimitThatCannotMeetItsTargetGetsTheNextToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newForwarder(&fakeRunner{answer: answers(200)})
		setTeams(f, 4)
		enforceLimitsWith(f, true)
		const threeTokens = 300 * time.Millisecond
		time.Sleep(threeTokens)
		for range 3 {
			must.NotNil(t, f.Forward(t.Context(), newKeyedRequest("/post/1", "b")).Answer)
		}
		for range 100 {
			f.work.Record("post", 390*time.Millisecond, 0)
		}
		for range 5 {
			got := f.Forward(t.Context(), newKeyedRequest("/post/1", "b"))
			must.NotNil(t, got.Refusal)
			test.Between(t, 1, got.RetryAfter, threeTokens/3)
		}
		test.Eq(t, 5, returnCauses(f, string(quota.ReturnUnreachable)))
		test.Eq(t, 5, f.Quota.Stats().ReturnsUnreachable)
	})
}

// TestReturnRanksFollowTheOrderOfGates: the team's priority comes before the route's.
func TestReturnRanksFollowTheOrderOfGates(t *testing.T) {
	f := newForwarder()
	rank := func(team, route uint8) int {
		return (&attempts{forwarder: f, route: &routing.CompiledRoute{Route: routing.Route{Priority: route}}, team: &teams.Team{Priority: team}}).returnRank()
	}
	test.Less(t, rank(0, 1), rank(0, 0))
	test.Less(t, rank(1, 0), rank(0, 200))
	test.Positive(t, rank(0, 0), test.Sprint("rank 0 is that of calls by backend servers"))
}
