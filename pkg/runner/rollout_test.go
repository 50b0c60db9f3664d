package runner

import (
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/rushramp/rushramp/pkg/backend"
	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/errkind"
	"github.com/rushramp/rushramp/pkg/rollout"
)

// switchingTraffic returns the traffic policy of a plan that moves all requests to version
// v2.
func switchingTraffic() *rollout.TrafficPolicy {
	replica := rollout.NewReplica()
	replica.Merge(rollout.Update{Plans: []rollout.Plan{{Service: "s", Target: "v2", Old: []string{"v1"}, Order: 5, Revision: 6, Phase: rollout.Switching}}})
	return replica.Traffic("s")
}

// TestOldVersionIsDrained: the run under way ends and counts as in flight until then.
// Waiting and new requests are refused as not run.
func TestOldVersionIsDrained(t *testing.T) {
	h := newHoldingServer()
	r, lifecycle := newTestRunner(t, h, 1)
	lifecycle.RecordHeartbeat(2, backend.Heartbeat{InstanceID: "i-1", Sequence: 1, Version: "v1"})
	running, _ := execute(r, routedCall("runs"))
	test.Eq(t, "runs", <-h.arrived)
	waiting, _ := execute(r, routedCall("waits"))
	r.Enforcer().SetGuard(&rollout.Guard{Traffic: switchingTraffic(), Revision: 6})
	arriving, _ := execute(r, routedCall("comes"))
	r.Tick()
	for _, refused := range []chan call.Result{waiting, arriving} {
		got := <-refused
		must.NotNil(t, got.Refusal)
		test.Eq(t, errkind.VersionHeld, got.Refusal.Kind)
		test.Eq(t, errkind.RanNo, got.Refusal.Ran)
		test.True(t, got.Refusal.RetryElsewhere())
	}
	test.Eq(t, 1, r.InFlight())
	h.proceed <- struct{}{}
	must.NotNil(t, (<-running).Answer)
	test.Eq(t, 0, len(h.arrived))
}

func TestGuardAllowsRuns(t *testing.T) {
	for name, c := range map[string]struct {
		guard   *rollout.Guard
		version string
		runs    bool
	}{
		"no roll-out was ever known":        {nil, "", true},
		"no roll-out of this service":       {&rollout.Guard{}, "v1", true},
		"the new version while switching":   {&rollout.Guard{Traffic: switchingTraffic()}, "v2", true},
		"the old version while switching":   {&rollout.Guard{Traffic: switchingTraffic()}, "v1", false},
		"a version that is not known yet":   {&rollout.Guard{Traffic: switchingTraffic()}, "", false},
		"a version that must wait":          {&rollout.Guard{BlockReason: "it is new"}, "v2", false},
		"the incarnation that was admitted": {&rollout.Guard{Instance: "i-1"}, "v1", true},
		"another incarnation":               {&rollout.Guard{Instance: "i-0"}, "v1", false},
	} {
		r, lifecycle := newTestRunner(t, newHoldingServer(), 1)
		lifecycle.RecordHeartbeat(2, backend.Heartbeat{InstanceID: "i-1", Sequence: 1, Version: c.version})
		r.Enforcer().SetGuard(c.guard)
		_, refusal := r.acceptingIncarnation()
		test.Eq(t, c.runs, refusal == nil, test.Sprint(name))
	}
}

// TestClassifyReply: answers and broken runs count as evidence on a version. Requests
// that never ran, that were cancelled or that exceeded their deadline do not.
func TestClassifyReply(t *testing.T) {
	refused := func(kind errkind.Kind, offered bool) backend.Reply {
		return backend.Reply{Refusal: errkind.New(kind, ""), Offered: offered}
	}
	for name, c := range map[string]struct {
		reply          backend.Reply
		failed, counts bool
	}{
		"answered":                 {backend.Reply{Answer: &call.Answer{Status: 200}}, false, true},
		"not found":                {backend.Reply{Answer: &call.Answer{Status: 404}}, false, true},
		"failed":                   {backend.Reply{Answer: &call.Answer{Status: 500}}, true, true},
		"broke off":                {refused(errkind.BackendFailed, true), true, true},
		"deadline exceeded":        {refused(errkind.DeadlineWhileRunning, true), false, false},
		"cancelled":                {refused(errkind.CallerGone, true), false, false},
		"full":                     {refused(errkind.BackendRefused, true), false, false},
		"not reached":              {refused(errkind.BackendUnreachable, false), false, false},
		"another instance answers": {refused(errkind.BackendReplaced, false), false, false},
	} {
		failed, counts := classifyReply(&c.reply)
		test.Eq(t, c.failed, failed, test.Sprint(name))
		test.Eq(t, c.counts, counts, test.Sprint(name))
	}
}

// TestHighestSlowdownDuringRun takes the reports since the start of the run.
func TestHighestSlowdownDuringRun(t *testing.T) {
	var s slowdownHistory
	test.Eq(t, 0, s.maxSince(1))
	for at, percent := range []int{500, 100, 300, 100} {
		s.record(int64(at+1), percent)
	}
	test.Eq(t, 500, s.maxSince(1))
	test.Eq(t, 300, s.maxSince(2))
	test.Eq(t, 0, s.maxSince(5))
	for range slowdownHistorySize {
		s.record(6, 200)
	}
	test.Eq(t, 200, s.maxSince(1))
}
