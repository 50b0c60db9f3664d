package forward

import (
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/errkind"
	"github.com/rushramp/rushramp/pkg/rollout"
	"github.com/rushramp/rushramp/pkg/tables"
	"github.com/rushramp/rushramp/pkg/wire"
)

// newForwarderUnderRollout returns a forwarder with one backend server of the old version
// and one of the target version, under a roll-out in the given phase. The target version
// gets a quarter of the requests while that is the canary phase.
func newForwarderUnderRollout(phase rollout.Phase, old, target *fakeRunner) *Forwarder {
	f := newForwarder(old, target)
	for i, c := range f.view.Service("s").Match("GET", "/").LinkedCandidates {
		c.Endpoint.VM = []string{"old", "new"}[i]
		c.Endpoint.SetVersion([]string{"v1", "v2"}[i])
	}
	setPlan(f.view, phase)
	return f
}

// setPlan puts the plan of the roll-out into force, in the given phase.
func setPlan(view *tables.View, phase rollout.Phase) {
	replica := rollout.NewReplica()
	replica.Merge(rollout.Update{
		Orders: rollout.Orders{Revision: 5, List: []rollout.Order{{Service: "s", Version: "v2", Revision: 5, Duration: 1}}},
		Plans: []rollout.Plan{{
			Service: "s", Target: "v2", Old: []string{"v1"}, Order: 5, Revision: 6, Phase: phase,
			Canaries: []string{"new"}, PerMille: 250,
		}},
	})
	view.SetRollouts(&tables.RolloutView{Traffic: map[string]*rollout.TrafficPolicy{"s": replica.Traffic("s")}, Digest: replica.Digest()})
}

// TestEachPhaseDividesTheRequests between the old and the target version.
func TestEachPhaseDividesTheRequests(t *testing.T) {
	const requests = 1000
	for phase, expected := range map[rollout.Phase][2]int{
		rollout.Waiting: {0, 0}, rollout.Canary: {245, 255}, rollout.Switching: {requests, requests},
		rollout.Completed: {requests, requests}, rollout.RolledBack: {0, 0},
	} {
		old, target := &fakeRunner{answer: answers(200)}, &fakeRunner{answer: answers(200)}
		f := newForwarderUnderRollout(phase, old, target)
		for range requests {
			must.NotNil(t, f.Forward(t.Context(), newRequest("/read/1")).Answer)
		}
		test.Between(t, expected[0], totalCalls(target), expected[1], test.Sprint(phase))
		test.Eq(t, requests-totalCalls(target), totalCalls(old), test.Sprint(phase))
	}
}

// TestTheOldVersionTakesOverFromTheCanary: a request that the canary refuses or fails is
// sent once more, to the old version. All requests are answered while there is no canary.
func TestTheOldVersionTakesOverFromTheCanary(t *testing.T) {
	for name, target := range map[string]*fakeRunner{
		"refused": {answer: refuses(errkind.VersionHeld, false)},
		"full":    {answer: refuses(errkind.Overloaded, false)},
		"failed":  {answer: answers(500)},
	} {
		old := &fakeRunner{answer: answers(200)}
		f := newForwarderUnderRollout(rollout.Canary, old, target)
		const requests = 100
		for range requests {
			got := f.Forward(t.Context(), newRequest("/read/1"))
			must.NotNil(t, got.Answer, must.Sprint(name))
			test.Eq(t, 200, got.Answer.Status, test.Sprint(name))
		}
		test.Between(t, 1, totalCalls(target), requests/4+2, test.Sprint(name))
		test.Eq(t, requests, totalCalls(old), test.Sprint(name))
	}
}

// TestRequestsOfTheCanaryRunElsewhereWithoutOne: the plan names a canary that has the old version.
func TestRequestsOfTheCanaryRunElsewhereWithoutOne(t *testing.T) {
	const requests = 100
	old, former := &fakeRunner{answer: answers(200)}, &fakeRunner{answer: answers(200)}
	f := newForwarderUnderRollout(rollout.Canary, old, former)
	f.view.Service("s").Match("GET", "/").LinkedCandidates[1].Endpoint.SetVersion("v1")
	for range requests {
		got := f.Forward(t.Context(), newRequest("/read/1"))
		must.NotNil(t, got.Answer)
		test.Eq(t, 200, got.Answer.Status)
	}
	test.Eq(t, requests, totalCalls(old)+totalCalls(former))
}

// TestAPostThatFailedAtTheCanaryIsNotSentAgain: it may have run.
func TestAPostThatFailedAtTheCanaryIsNotSentAgain(t *testing.T) {
	old, target := &fakeRunner{answer: answers(200)}, &fakeRunner{answer: answers(500)}
	f := newForwarderUnderRollout(rollout.Canary, old, target)
	const requests = 100
	for range requests {
		f.Forward(t.Context(), newRequest("/post/1"))
	}
	test.Eq(t, requests, totalCalls(old)+totalCalls(target))
}

// TestNoRequestGoesToTheOldVersionWhileSwitching: the old backend server must be drained of
// requests.
func TestNoRequestGoesToTheOldVersionWhileSwitching(t *testing.T) {
	old, target := &fakeRunner{answer: answers(200)}, &fakeRunner{answer: refuses(errkind.Overloaded, false)}
	f := newForwarderUnderRollout(rollout.Switching, old, target)
	for range 20 {
		got := f.Forward(t.Context(), newRequest("/read/1"))
		must.NotNil(t, got.Refusal)
		test.Eq(t, errkind.RanNo, got.Refusal.Ran)
	}
	test.Eq(t, 0, totalCalls(old))
}

// TestTheNextAttemptFollowsAChangeOfPhase: the roll-out begins to switch between two
// attempts of a request.
func TestTheNextAttemptFollowsAChangeOfPhase(t *testing.T) {
	target := &fakeRunner{answer: answers(200)}
	var f *Forwarder
	old := &fakeRunner{}
	old.answer = func(c *wire.Call) (call.Result, bool) {
		setPlan(f.view, rollout.Switching)
		return refuses(errkind.VersionHeld, false)(c)
	}
	f = newForwarderUnderRollout(rollout.Waiting, old, target)
	must.NotNil(t, f.Forward(t.Context(), newRequest("/post/1")).Answer)
	test.Eq(t, 1, totalCalls(target))
}

// TestEachPartOfARouteHasItsOwnRollOut: the roll-out of one part's service does not change
// where the requests of the other part go.
func TestEachPartOfARouteHasItsOwnRollOut(t *testing.T) {
	first, second := &fakeRunner{answer: answers(200)}, &fakeRunner{answer: answers(200)}
	f, view := newDividedForwarder(first, second)
	for _, service := range []string{"first", "second"} {
		view.Service(service).Match("GET", "/").LinkedCandidates[0].Endpoint.SetVersion("v1")
	}
	replica := rollout.NewReplica()
	replica.Merge(rollout.Update{Plans: []rollout.Plan{{Service: "second", Target: "v2", Old: []string{"v1"}, Order: 5, Revision: 6, Phase: rollout.Switching}}})
	view.SetRollouts(&tables.RolloutView{Traffic: map[string]*rollout.TrafficPolicy{"second": replica.Traffic("second")}})
	const requests = 100
	refused := 0
	for range requests {
		if f.Forward(t.Context(), newRequest("/read/1")).Refusal != nil {
			refused++
		}
	}
	test.Eq(t, 0, totalCalls(second))
	test.Eq(t, requests-refused, totalCalls(first))
	test.Between(t, requests/10-2, refused, requests/10+2)
}

// TestACanaryKnownToBeFullIsPassedOver: its requests go to the old version and do not
// queue at the canary. They do queue there where the old version has no backend server.
func TestACanaryKnownToBeFullIsPassedOver(t *testing.T) {
	mayQueue := 0
	old := &fakeRunner{answer: answers(200)}
	target := &fakeRunner{answer: func(c *wire.Call) (call.Result, bool) {
		if !c.Routed.Soft {
			mayQueue++
		}
		return refuses(errkind.GateBusier, false)(c)
	}}
	withFullCanary := func() *Forwarder {
		f := newForwarderUnderRollout(rollout.Canary, old, target)
		canary := f.view.Service("s").Match("GET", "/").LinkedCandidates[1]
		canary.Load.ApplyStamp(f.Now(), wire.Stamp{Seq: 1, Limit: 8, Running: 8, Queued: 0, Slowdown: 100})
		return f
	}
	f := withFullCanary()
	for range 100 {
		f.Forward(t.Context(), newRequest("/read/1"))
	}
	test.Eq(t, 0, mayQueue)
	test.Eq(t, 100, totalCalls(old))

	f = withFullCanary()
	f.view.Service("s").Match("GET", "/").LinkedCandidates[0].Endpoint.SetVersion("v2")
	for range 100 {
		f.Forward(t.Context(), newRequest("/read/1"))
	}
	test.Positive(t, mayQueue, test.Sprint("no other backend server may run requests of the canary's lane"))
}
