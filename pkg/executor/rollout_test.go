package executor

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	backendstate "github.com/rushramp/rushramp/pkg/backend"
	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/enforcer"
	"github.com/rushramp/rushramp/pkg/errkind"
	"github.com/rushramp/rushramp/pkg/rollout"
	standin "github.com/rushramp/rushramp/pkg/standin/backend"
	"github.com/rushramp/rushramp/pkg/wire"
)

// newEnforcer sets the enforcer of a backend server that announced the version.
func newEnforcer(e *Executor, version string) (*enforcer.Enforcer, *rollout.Recorder) {
	lifecycle := backendstate.NewLifecycle(true, nil)
	lifecycle.RecordHeartbeat(1, backendstate.Heartbeat{InstanceID: "vm", Sequence: 1, Version: version})
	recorder := rollout.NewRecorder("vm", "glyphserve", 1)
	en := enforcer.New(e.Common, lifecycle, recorder)
	e.SetEnforcer(en)
	return en, recorder
}

// trafficPolicyIn returns the traffic policy of a roll-out from v1 to v2 in the phase.
func trafficPolicyIn(phase rollout.Phase) *rollout.TrafficPolicy {
	replica := rollout.NewReplica()
	replica.Merge(rollout.Update{Plans: []rollout.Plan{{Service: "glyphserve", Target: "v2", Old: []string{"v1"}, Order: 5, Revision: 6, Phase: phase}}})
	return replica.Traffic("glyphserve")
}

// executeSubset runs a call of kind subset, and returns its result.
func executeSubset(e *Executor) call.Result {
	done := make(chan call.Result, 1)
	e.Execute(&wire.Call{Service: "glyphserve", Kind: "subset", Method: "GET", URI: "/subset/a", Placement: 3, Remaining: time.Minute}, nil,
		func(r call.Result) { done <- r })
	return <-done
}

// TestAVersionRefusedByARollOutRunsNothing: the executor refuses calls, which may then run
// elsewhere, even if entries still send them here.
func TestAVersionRefusedByARollOutRunsNothing(t *testing.T) {
	e, b := start(t, nil)
	en, _ := newEnforcer(e, "v2")
	must.NotNil(t, executeSubset(e).Answer, must.Sprint("no roll-out is known"))
	en.SetGuard(&rollout.Guard{Traffic: trafficPolicyIn(rollout.RolledBack), Revision: 6})
	runs := b.Ledger().Runs()[""].Times
	got := executeSubset(e)
	must.NotNil(t, got.Refusal)
	test.Eq(t, errkind.VersionHeld, got.Refusal.Kind)
	test.Eq(t, errkind.RanNo, got.Refusal.Ran)
	test.True(t, got.Refusal.RetryElsewhere())
	test.Eq(t, runs, b.Ledger().Runs()[""].Times)
	en.SetGuard(&rollout.Guard{Traffic: trafficPolicyIn(rollout.Switching), Revision: 7})
	test.NotNil(t, executeSubset(e).Answer)
}

// TestRunsAreCountedWhileARollOutIsKnown: runs before the enforcer knows of a roll-out are
// not counted.
func TestRunsAreCountedWhileARollOutIsKnown(t *testing.T) {
	e, b := start(t, nil)
	en, recorder := newEnforcer(e, "v1")
	recorder.Begin(5, "v1")
	executeSubset(e)
	en.SetGuard(&rollout.Guard{Traffic: trafficPolicyIn(rollout.Canary), Revision: 6})
	executeSubset(e)
	b.SetFaults(standin.Faults{FailFast: true})
	executeSubset(e)
	report, ok := recorder.Report(6, 0)
	must.True(t, ok)
	must.Len(t, 1, report.Routes)
	test.Eq(t, "subset", report.Routes[0].Route)
	test.Eq(t, 2, report.Routes[0].Runs)
	test.Eq(t, 1, report.Routes[0].Failures)
}
