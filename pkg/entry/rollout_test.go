package entry

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/errkind"
	"github.com/rushramp/rushramp/pkg/placement"
	"github.com/rushramp/rushramp/pkg/rollout"
	"github.com/rushramp/rushramp/pkg/tables"
)

// newEntryUnderRollout returns an entry with a first server of version v1 and a second one
// of version v2. The second one is the canary of a roll-out in the given phase, and gets
// perMille thousandths of the calls while that is the canary phase.
func newEntryUnderRollout(phase rollout.Phase, perMille uint32, servers ...*fakeExecutor) *Entry {
	e := newEntry(placement.Kind{}, nil, servers...)
	for i, c := range e.view.Service("s").Match("GET", "/a").LinkedCandidates {
		c.Endpoint.SetVersion([]string{"v1", "v2"}[i])
	}
	replica := rollout.NewReplica()
	replica.Merge(rollout.Update{Plans: []rollout.Plan{{
		Service: "s", Target: "v2", Old: []string{"v1"}, Order: 5, Revision: 6, Phase: phase,
		Canaries: []string{"server-1"}, PerMille: perMille,
	}}})
	e.view.SetRollouts(&tables.RolloutView{Traffic: map[string]*rollout.TrafficPolicy{"s": replica.Traffic("s")}})
	return e
}

// sendCall admits and runs a call.
func sendCall(t *testing.T, e *Entry) call.Result {
	admitted, _, refusal := e.Admit(t.Context(), &Request{Service: "s", Method: "GET", URI: "/a", Timeout: time.Second})
	must.Nil(t, refusal)
	return e.Run(t.Context(), admitted, nil)
}

// TestEachPhaseOfARollOutDividesTheCalls: the canary gets its share, the new version all
// calls from the switch on, and none after a rollback.
func TestEachPhaseOfARollOutDividesTheCalls(t *testing.T) {
	for name, scenario := range map[string]struct {
		phase    rollout.Phase
		perMille uint32
		target   int
	}{
		"canary":      {rollout.Canary, 100, 100},
		"switching":   {rollout.Switching, 0, 1000},
		"completed":   {rollout.Completed, 0, 1000},
		"rolled back": {rollout.RolledBack, 0, 0},
	} {
		synctest.Test(t, func(t *testing.T) {
			old, target := answering(0), answering(0)
			e := newEntryUnderRollout(scenario.phase, scenario.perMille, old, target)
			for range 1000 {
				must.NotNil(t, sendCall(t, e).Answer)
			}
			test.Between(t, scenario.target-1, target.calls, scenario.target+1, test.Sprint(name))
			test.Eq(t, 1000, old.calls+target.calls, test.Sprint(name))
		})
	}
}

// TestACallThatTheCanaryRefusesGoesToTheOldVersion instead of being refused.
func TestACallThatTheCanaryRefusesGoesToTheOldVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		old, target := answering(0), refusing(errkind.VersionHeld)
		e := newEntryUnderRollout(rollout.Canary, 1000, old, target)
		test.NotNil(t, sendCall(t, e).Answer)
		test.Eq(t, 1, target.calls)
		test.Eq(t, 1, old.calls)
	})
}

// TestUnofferedCallCostsNoRetry guards against a refusal to a caller whose call could run
// elsewhere: a daemon has no retries in its first window, and its view of a roll-out may be
// older than the executor's.
func TestUnofferedCallCostsNoRetry(t *testing.T) {
	for kind, expected := range map[errkind.Kind]bool{errkind.VersionHeld: true, errkind.Leaving: true, errkind.BackendAbsent: true, errkind.Overloaded: false, errkind.BackendRefused: false} {
		synctest.Test(t, func(t *testing.T) {
			target := refusing(kind)
			e := newEntryUnderRollout(rollout.Canary, 1000, answering(0), target)
			e.Settings.Retries.Budget, e.Settings.Retries.BudgetFloor = 0, 0
			for range 100 {
				test.Eq(t, expected, sendCall(t, e).Answer != nil, test.Sprint(kind))
			}
			test.Eq(t, 100, target.calls)
		})
	}
}
