package systems

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/rushramp/rushramp/pkg/backend"
	"github.com/rushramp/rushramp/pkg/link"
	"github.com/rushramp/rushramp/pkg/rollout"
	"github.com/rushramp/rushramp/pkg/tables"
	"github.com/rushramp/rushramp/pkg/wire"
)

// newTestWatcher returns the only watcher of service "s". The backend server of its VM has
// version v1.
func newTestWatcher(t *testing.T, planStore *fakePlanStore) (*Env, *rolloutTracker, *rolloutWatcher) {
	env := testEnv()
	env.DaemonContext = t.Context()
	env.PlanStore = planStore
	env.RolloutLimits = rollout.Limits{MaxBadShare: 0.1, StopWithin: 5 * time.Second}
	env.Settings.BackendServer.Service = "s"
	env.Backend = backend.NewLifecycle(true, nil)
	env.Backend.RecordHeartbeat(1, backend.Heartbeat{InstanceID: "i", Sequence: 1, Version: "v1"})
	env.World.Members.Merge(1, nil, wire.Member{VM: env.World.VM, Service: "s", Version: "v1", State: wire.MemberLive, Backend: wire.BackendLive, Slots: 12})
	tracker := newRolloutTracker(env)
	return env, tracker, newRolloutWatcher(env, tracker)
}

// runFor runs the systems for a duration of fake time. mail is for their first tick.
func runFor(env *Env, tracker *rolloutTracker, watcher *rolloutWatcher, mail tables.Mail, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		tracker.Tick(env.Now(), &mail)
		watcher.Tick(env.Now(), &mail)
		synctest.Wait()
		mail = env.World.Inbox.Take()
	}
}

// TestRestartedWatcherWaitsForLinks: a watcher that is restarted while switching knows
// the members from the store, but not their versions, and has no links. It must not roll
// a good version back, as it once did within 200 ms.
func TestRestartedWatcherWaitsForLinks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		plan := testPlan("s", 8, 12, rollout.Switching)
		plan.Since, plan.Began, plan.Deadline, plan.Slots = time.Hour-time.Second, time.Hour-50*time.Second, time.Hour+10*time.Second, 36
		planStore := &fakePlanStore{row: plan}
		env, tracker, watcher := newTestWatcher(t, planStore)
		for _, vm := range []string{"b", "c", "d"} {
			env.World.Members.Merge(1, nil, wire.Member{VM: vm, Service: "s", State: wire.MemberLive, Backend: wire.BackendLive, Slots: 12})
		}
		t.Log("rank before:", watcher.rank)
		runFor(env, tracker, watcher, tables.Mail{RolloutOrders: testOrders(9, testOrder("s", 8))}, 1300*time.Millisecond)
		t.Log("rank:", watcher.rank, "writes:", planStore.writes, "cause:", planStore.row.Cause)
		test.Eq(t, rollout.Switching, planStore.row.Phase)
	})
}

// TestLinkLossWhileSwitchingDoesNotRollBack: all links of a watcher are reset at once, or
// it is cut off from its peers but not from the store. It must not roll the version back.
func TestLinkLossWhileSwitchingDoesNotRollBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		plan := testPlan("s", 8, 12, rollout.Switching)
		plan.Since, plan.Began, plan.Deadline, plan.Slots = time.Hour-time.Second, time.Hour-50*time.Second, time.Hour+10*time.Second, 36
		planStore := &fakePlanStore{row: plan}
		env, tracker, watcher := newTestWatcher(t, planStore)
		tracker.apply(rollout.Update{Orders: *testOrders(9, testOrder("s", 8)), Plans: []rollout.Plan{plan}}, nil)
		for _, vm := range []string{"b", "c", "d"} {
			env.World.Members.Merge(1, nil, wire.Member{VM: vm, Service: "s", Version: "v2", State: wire.MemberLive, Backend: wire.BackendLive, Slots: 12})
			env.World.Peers.GetOrAdd(&link.Peer{Hello: wire.Hello{VM: vm}})
		}
		runFor(env, tracker, watcher, tables.Mail{}, time.Second)
		must.Eq(t, 0, planStore.writes, must.Sprintf("cause %s, peers %d", planStore.row.Cause, env.World.Peers.Len()))
		// The peers have no connection, so the links are removed directly.
		env.World.Peers.EachRow(func(p *link.Peer, _ *tables.PeerRow) { env.World.Peers.Remove(p) })
		runFor(env, tracker, watcher, tables.Mail{}, 500*time.Millisecond)
		test.Eq(t, 0, planStore.writes, test.Sprintf("cause %s, half a second after the links were lost", planStore.row.Cause))
		runFor(env, tracker, watcher, tables.Mail{}, 4*time.Second)
		test.Eq(t, 0, planStore.writes, test.Sprintf("cause %s, long after the links were lost", planStore.row.Cause))
	})
}

// TestWatcherWithoutLinksKeepsTheCanaries: a watcher that reaches the store but no peer,
// since it is cut off or has just started, must not remove the canaries from the plan.
func TestWatcherWithoutLinksKeepsTheCanaries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		plan := testPlan("s", 8, 12, rollout.Canary)
		plan.Canaries = []string{"b"}
		plan.Since, plan.Began, plan.Deadline = time.Hour-time.Second, time.Hour-5*time.Second, time.Hour+50*time.Second
		planStore := &fakePlanStore{row: plan}
		env, tracker, watcher := newTestWatcher(t, planStore)
		for _, vm := range []string{"b", "c", "d"} {
			env.World.Members.Merge(1, nil, wire.Member{VM: vm, Service: "s", Version: "v2", State: wire.MemberLive, Backend: wire.BackendLive, Slots: 12})
		}
		runFor(env, tracker, watcher, tables.Mail{RolloutOrders: testOrders(9, testOrder("s", 8))}, 1300*time.Millisecond)
		test.Eq(t, []string{"b"}, planStore.row.Canaries, test.Sprintf("rank %d, %d writes", watcher.rank, planStore.writes))
	})
}

// TestFirstPlanWaitsForVersions: a restarted watcher must not take the target for the
// only version before the other members have reported theirs. It waits no longer than
// linkSettleTime.
func TestFirstPlanWaitsForVersions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		planStore := &fakePlanStore{}
		env, tracker, watcher := newTestWatcher(t, planStore)
		env.World.Members.Merge(1, nil, wire.Member{VM: env.World.VM, Service: "s", Version: "v2", Revision: 1, Slots: 12})
		env.World.Members.Merge(1, nil, wire.Member{VM: "b", Service: "s", Slots: 12})
		runFor(env, tracker, watcher, tables.Mail{RolloutOrders: testOrders(9, testOrder("s", 8))}, linkSettleTime/2)
		test.Eq(t, 0, planStore.writes)
		runFor(env, tracker, watcher, tables.Mail{}, 2*linkSettleTime)
		test.Eq(t, 1, planStore.writes)
		test.Eq(t, rollout.Waiting, planStore.row.Phase)
	})
}

// TestWatcherWithoutLinksEndsATrialInTime: the roll-out must end by its deadline, even if
// the only watcher left has no links.
func TestWatcherWithoutLinksEndsATrialInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		plan := testPlan("s", 8, 12, rollout.Canary)
		plan.Since, plan.Began, plan.Deadline = time.Hour-time.Second, time.Hour-55*time.Second, time.Hour+5*time.Second
		planStore := &fakePlanStore{row: plan}
		env, tracker, watcher := newTestWatcher(t, planStore)
		env.World.Members.Merge(1, nil, wire.Member{VM: "b", Service: "s", Version: "v2", State: wire.MemberLive, Backend: wire.BackendLive, Slots: 12})
		runFor(env, tracker, watcher, tables.Mail{RolloutOrders: testOrders(9, testOrder("s", 8))}, 5*time.Second)
		test.Eq(t, rollout.RolledBack, planStore.row.Phase)
		test.Less(t, plan.Deadline, planStore.row.Since)
	})
}
