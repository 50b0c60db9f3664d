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

// rollingOut makes a forwarder to a backend server of the old version and to one of the
// new one, under a plan in a phase that gives the new one a quarter of the requests.
func rollingOut(phase rollout.Phase, old, target *fakeRunner) *Forwarder {
	f := newForwarder(old, target)
	for i, c := range f.view.Service("s").Match("GET", "/").LinkedCandidates {
		c.Endpoint.VM = []string{"old", "new"}[i]
		c.Endpoint.SetVersion([]string{"v1", "v2"}[i])
	}
	setPlan(f.view, phase)
	return f
}

func setPlan(view *tables.View, phase rollout.Phase) {
	book := rollout.NewBook()
	book.Take(rollout.News{
		Orders: rollout.Orders{Revision: 5, List: []rollout.Order{{Service: "s", Version: "v2", Revision: 5, Duration: 1}}},
		Plans: []rollout.Plan{{
			Service: "s", Target: "v2", Old: []string{"v1"}, Order: 5, Revision: 6, Phase: phase,
			Canaries: []string{"new"}, PerMille: 250,
		}},
	})
	view.SetRollouts(&tables.RolloutView{Traffic: map[string]*rollout.Traffic{"s": book.Traffic("s")}, Digest: book.Digest()})
}

// TestWhoGetsTheRequestsInEachPhase of 1000.
func TestWhoGetsTheRequestsInEachPhase(t *testing.T) {
	const requests = 1000
	for phase, targets := range map[rollout.Phase][2]int{
		rollout.Waiting: {0, 0}, rollout.Canary: {245, 255}, rollout.Switching: {requests, requests},
		rollout.Completed: {requests, requests}, rollout.RolledBack: {0, 0},
	} {
		old, target := &fakeRunner{answer: answers(200)}, &fakeRunner{answer: answers(200)}
		f := rollingOut(phase, old, target)
		for range requests {
			must.NotNil(t, f.Forward(t.Context(), request("/read/1")).Answer)
		}
		test.Between(t, targets[0], total(target), targets[1], test.Sprint(phase))
		test.Eq(t, requests-total(target), total(old), test.Sprint(phase))
	}
}

// TestNoRequestIsLostToATrial: what the new version's backend server refuses, fails or
// is not there for goes to the old one, once more at most.
func TestNoRequestIsLostToATrial(t *testing.T) {
	for name, target := range map[string]*fakeRunner{
		"refused": {answer: refuses(errkind.VersionHeld, false)},
		"full":    {answer: refuses(errkind.Overloaded, false)},
		"failed":  {answer: answers(500)},
	} {
		old := &fakeRunner{answer: answers(200)}
		f := rollingOut(rollout.Canary, old, target)
		const requests = 100
		for range requests {
			got := f.Forward(t.Context(), request("/read/1"))
			must.NotNil(t, got.Answer, must.Sprint(name))
			test.Eq(t, 200, got.Answer.Status, test.Sprint(name))
		}
		test.Between(t, 1, total(target), requests/4+2, test.Sprint(name))
		test.Eq(t, requests, total(old), test.Sprint(name))
	}
	old := &fakeRunner{answer: answers(200)}
	f := rollingOut(rollout.Canary, old, &fakeRunner{answer: answers(200)})
	f.view.Service("s").Match("GET", "/").LinkedCandidates[1].Endpoint.SetVersion("v1")
	for range 20 {
		must.NotNil(t, f.Forward(t.Context(), request("/read/1")).Answer, must.Sprint("nobody is on trial"))
	}
}

// TestAPostThatFailedOnTrialIsNotSentAgain: it may have run.
func TestAPostThatFailedOnTrialIsNotSentAgain(t *testing.T) {
	old, target := &fakeRunner{answer: answers(200)}, &fakeRunner{answer: answers(500)}
	f := rollingOut(rollout.Canary, old, target)
	const requests = 100
	for range requests {
		f.Forward(t.Context(), request("/post/1"))
	}
	test.Eq(t, requests, total(old)+total(target))
}

// TestWhileSwitchingNothingGoesBack: the old backend server must become empty.
func TestWhileSwitchingNothingGoesBack(t *testing.T) {
	old, target := &fakeRunner{answer: answers(200)}, &fakeRunner{answer: refuses(errkind.Overloaded, false)}
	f := rollingOut(rollout.Switching, old, target)
	for range 20 {
		got := f.Forward(t.Context(), request("/read/1"))
		must.NotNil(t, got.Refusal)
		test.Eq(t, errkind.RanNo, got.Refusal.Ran)
	}
	test.Eq(t, 0, total(old))
}

// TestARequestUnderWayFollowsAChange: between two of its attempts the plan begins to
// move all requests.
func TestARequestUnderWayFollowsAChange(t *testing.T) {
	target := &fakeRunner{answer: answers(200)}
	var f *Forwarder
	old := &fakeRunner{}
	old.answer = func(c *wire.Call) (call.Result, bool) {
		setPlan(f.view, rollout.Switching)
		return refuses(errkind.VersionHeld, false)(c)
	}
	f = rollingOut(rollout.Waiting, old, target)
	must.NotNil(t, f.Forward(t.Context(), request("/post/1")).Answer)
	test.Eq(t, 1, total(target))
}

// TestEachPartOfARouteHasItsOwnRollOut: the other part's requests go where they went.
func TestEachPartOfARouteHasItsOwnRollOut(t *testing.T) {
	first, second := &fakeRunner{answer: answers(200)}, &fakeRunner{answer: answers(200)}
	f, view := newWeighted(first, second)
	for _, service := range []string{"first", "second"} {
		view.Service(service).Match("GET", "/").LinkedCandidates[0].Endpoint.SetVersion("v1")
	}
	book := rollout.NewBook()
	book.Take(rollout.News{Plans: []rollout.Plan{{Service: "second", Target: "v2", Old: []string{"v1"}, Order: 5, Revision: 6, Phase: rollout.Switching}}})
	view.SetRollouts(&tables.RolloutView{Traffic: map[string]*rollout.Traffic{"second": book.Traffic("second")}})
	const requests = 100
	refused := 0
	for range requests {
		if f.Forward(t.Context(), request("/read/1")).Refusal != nil {
			refused++
		}
	}
	test.Eq(t, 0, total(second))
	test.Eq(t, requests-refused, total(first))
	test.Between(t, requests/10-2, refused, requests/10+2)
}

// TestACanaryKnownToBeFullIsPassedOver for the old version before anything is queued
// there, and asked where the old version has nobody.
func TestACanaryKnownToBeFullIsPassedOver(t *testing.T) {
	hard := 0
	old := &fakeRunner{answer: answers(200)}
	target := &fakeRunner{answer: func(c *wire.Call) (call.Result, bool) {
		if !c.Routed.Soft {
			hard++
		}
		return refuses(errkind.GateBusier, false)(c)
	}}
	full := func() *Forwarder {
		f := rollingOut(rollout.Canary, old, target)
		canary := f.view.Service("s").Match("GET", "/").LinkedCandidates[1]
		canary.Load.ApplyStamp(f.Now(), wire.Stamp{Seq: 1, Limit: 8, Running: 8, Queued: 0, Slowdown: 100})
		return f
	}
	f := full()
	for range 100 {
		f.Forward(t.Context(), request("/read/1"))
	}
	test.Eq(t, 0, hard)
	test.Eq(t, 100, total(old))

	f = full()
	f.view.Service("s").Match("GET", "/").LinkedCandidates[0].Endpoint.SetVersion("v2")
	for range 100 {
		f.Forward(t.Context(), request("/read/1"))
	}
	test.Positive(t, hard, test.Sprint("nobody else may run those of its lane"))
}
