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

// newTrial makes the trial of a backend server of a version.
func newTrial(e *Executor, version string) (*enforcer.Enforcer, *rollout.Recorder) {
	lifecycle := backendstate.NewLifecycle(true, nil)
	lifecycle.RecordHeartbeat(1, backendstate.Heartbeat{InstanceID: "vm", Sequence: 1, Version: version})
	recorder := rollout.NewRecorder("vm", "glyphserve", 1)
	out := enforcer.New(e.Common, lifecycle, recorder)
	e.SetEnforcer(out)
	return out, recorder
}

// trafficIn is the traffic of a roll-out from v1 to v2 in a phase.
func trafficIn(phase rollout.Phase) *rollout.TrafficPolicy {
	book := rollout.NewReplica()
	book.Merge(rollout.Update{Plans: []rollout.Plan{{Service: "glyphserve", Target: "v2", Old: []string{"v1"}, Order: 5, Revision: 6, Phase: phase}}})
	return book.Traffic("glyphserve")
}

func callOf(e *Executor) call.Result {
	done := make(chan call.Result, 1)
	e.Execute(&wire.Call{Service: "glyphserve", Kind: "subset", Method: "GET", URI: "/subset/a", Placement: 3, Remaining: time.Minute}, nil,
		func(r call.Result) { done <- r })
	return <-done
}

// TestAVersionThatIsHeldBackRunsNothing, whatever entries believe, and is refused as not
// run.
func TestAVersionThatIsHeldBackRunsNothing(t *testing.T) {
	e, b := start(t, nil)
	held, _ := newTrial(e, "v2")
	must.NotNil(t, callOf(e).Answer, must.Sprint("no roll-out is known"))
	held.SetGuard(&rollout.Guard{Traffic: trafficIn(rollout.RolledBack), Revision: 6})
	runs := b.Ledger().Runs()[""].Times
	got := callOf(e)
	must.NotNil(t, got.Refusal)
	test.Eq(t, errkind.VersionHeld, got.Refusal.Kind)
	test.Eq(t, errkind.RanNo, got.Refusal.Ran)
	test.True(t, got.Refusal.RetryElsewhere())
	test.Eq(t, runs, b.Ledger().Runs()[""].Times)
	held.SetGuard(&rollout.Guard{Traffic: trafficIn(rollout.Switching), Revision: 7})
	test.NotNil(t, callOf(e).Answer)
}

// TestRunsAreCountedAsEvidence while a roll-out is known, with those that failed.
func TestRunsAreCountedAsEvidence(t *testing.T) {
	e, b := start(t, nil)
	held, recorder := newTrial(e, "v1")
	recorder.Begin(5, "v1")
	callOf(e)
	held.SetGuard(&rollout.Guard{Traffic: trafficIn(rollout.Canary), Revision: 6})
	callOf(e)
	b.SetFaults(standin.Faults{FailFast: true})
	callOf(e)
	report, ok := recorder.Report(6, 0)
	must.True(t, ok)
	must.Len(t, 1, report.Routes)
	test.Eq(t, "subset", report.Routes[0].Route)
	test.Eq(t, 2, report.Routes[0].Runs)
	test.Eq(t, 1, report.Routes[0].Failures)
}
