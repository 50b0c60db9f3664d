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

// watched is a watcher (the only one) of service "s" beside a v1 backend server.
func watched(t *testing.T, register *fakeRegister) (*Env, *rolloutTracker, *rolloutWatcher) {
	env := testEnv()
	env.DaemonContext = t.Context()
	env.Rollouts = register
	env.RolloutLimits = rollout.Limits{MaxBadShare: 0.1, StopWithin: 5 * time.Second}
	env.Settings.BackendServer.Service = "s"
	env.Backend = backend.NewLifecycle(true, nil)
	env.Backend.RecordHeartbeat(1, backend.Heartbeat{InstanceID: "i", Sequence: 1, Version: "v1"})
	env.World.Members.Merge(1, nil, wire.Member{VM: env.World.VM, Service: "s", Version: "v1", State: wire.MemberLive, Backend: wire.BackendLive, Slots: 12})
	known := newRolloutTracker(env)
	return env, known, newRolloutWatcher(env, known)
}

func play(env *Env, known *rolloutTracker, watch *rolloutWatcher, mail tables.Mail, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		known.Tick(env.Now(), &mail)
		watch.Tick(env.Now(), &mail)
		synctest.Wait()
		mail = env.World.Inbox.Take()
	}
}

// A watcher that was started anew while switching knows the members from the store, but
// neither their versions nor links: it must not roll a good version back within 200 ms.
func TestARestartedWatcherWaitsForItsLinks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		plan := planOf("s", 8, 12, rollout.Switching)
		plan.Since, plan.Began, plan.Deadline, plan.Slots = time.Hour-time.Second, time.Hour-50*time.Second, time.Hour+10*time.Second, 36
		register := &fakeRegister{row: plan}
		env, known, watch := watched(t, register)
		for _, vm := range []string{"b", "c", "d"} {
			env.World.Members.Merge(1, nil, wire.Member{VM: vm, Service: "s", State: wire.MemberLive, Backend: wire.BackendLive, Slots: 12})
		}
		t.Log("rank before:", watch.rank)
		play(env, known, watch, tables.Mail{RolloutOrders: ordersOf(9, orderOf("s", 8))}, 1300*time.Millisecond)
		t.Log("rank:", watch.rank, "writes:", register.writes, "cause:", register.row.Cause)
		test.Eq(t, rollout.Switching, register.row.Phase)
	})
}

// All links of a watcher are reset at once while switching (or it is cut off, with the
// store in reach): the version must not be rolled back in the same moment.
func TestLinksResetWhileSwitchingEndNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		plan := planOf("s", 8, 12, rollout.Switching)
		plan.Since, plan.Began, plan.Deadline, plan.Slots = time.Hour-time.Second, time.Hour-50*time.Second, time.Hour+10*time.Second, 36
		register := &fakeRegister{row: plan}
		env, known, watch := watched(t, register)
		known.take(rollout.Update{Orders: *ordersOf(9, orderOf("s", 8)), Plans: []rollout.Plan{plan}}, nil)
		for _, vm := range []string{"b", "c", "d"} {
			env.World.Members.Merge(1, nil, wire.Member{VM: vm, Service: "s", Version: "v2", State: wire.MemberLive, Backend: wire.BackendLive, Slots: 12})
			env.World.Peers.GetOrAdd(&link.Peer{Hello: wire.Hello{VM: vm}})
		}
		play(env, known, watch, tables.Mail{}, time.Second)
		must.Eq(t, 0, register.writes, must.Sprintf("cause %s, peers %d", register.row.Cause, env.World.Peers.Len()))
		// (writes here send nothing: the fake peers have no connection)
		env.World.Peers.EachRow(func(p *link.Peer, _ *tables.PeerRow) { env.World.Peers.Remove(p) })
		play(env, known, watch, tables.Mail{}, 500*time.Millisecond)
		test.Eq(t, 0, register.writes, test.Sprintf("cause %s, half a second after the links went", register.row.Cause))
		play(env, known, watch, tables.Mail{}, 4*time.Second)
		test.Eq(t, 0, register.writes, test.Sprintf("cause %s, long after the links went", register.row.Cause))
	})
}

// A watcher that reaches the store but no peer (cut off, or just started) while the
// version is tried: it must not write the canaries away.
func TestAWatcherWithoutLinksKeepsTheCanaries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		plan := planOf("s", 8, 12, rollout.Canary)
		plan.Canaries = []string{"b"}
		plan.Since, plan.Began, plan.Deadline = time.Hour-time.Second, time.Hour-5*time.Second, time.Hour+50*time.Second
		register := &fakeRegister{row: plan}
		env, known, watch := watched(t, register)
		for _, vm := range []string{"b", "c", "d"} {
			env.World.Members.Merge(1, nil, wire.Member{VM: vm, Service: "s", Version: "v2", State: wire.MemberLive, Backend: wire.BackendLive, Slots: 12})
		}
		play(env, known, watch, tables.Mail{RolloutOrders: ordersOf(9, orderOf("s", 8))}, 1300*time.Millisecond)
		test.Eq(t, []string{"b"}, register.row.Canaries, test.Sprintf("rank %d, %d writes", watch.rank, register.writes))
	})
}

// TestTheFirstPlanWaitsForVersions: who was started anew must not take the target for
// the only version, but waits no longer than greetings take.
func TestTheFirstPlanWaitsForVersions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		register := &fakeRegister{}
		env, known, watch := watched(t, register)
		env.World.Members.Merge(1, nil, wire.Member{VM: env.World.VM, Service: "s", Version: "v2", Revision: 1, Slots: 12})
		env.World.Members.Merge(1, nil, wire.Member{VM: "b", Service: "s", Slots: 12})
		play(env, known, watch, tables.Mail{RolloutOrders: ordersOf(9, orderOf("s", 8))}, linkSettleTime/2)
		test.Eq(t, 0, register.writes)
		play(env, known, watch, tables.Mail{}, 2*linkSettleTime)
		test.Eq(t, 1, register.writes)
		test.Eq(t, rollout.Waiting, register.row.Phase)
	})
}

// TestAWatcherWithoutLinksEndsATrialInTime: whoever is left, its time is over.
func TestAWatcherWithoutLinksEndsATrialInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		plan := planOf("s", 8, 12, rollout.Canary)
		plan.Since, plan.Began, plan.Deadline = time.Hour-time.Second, time.Hour-55*time.Second, time.Hour+5*time.Second
		register := &fakeRegister{row: plan}
		env, known, watch := watched(t, register)
		env.World.Members.Merge(1, nil, wire.Member{VM: "b", Service: "s", Version: "v2", State: wire.MemberLive, Backend: wire.BackendLive, Slots: 12})
		play(env, known, watch, tables.Mail{RolloutOrders: ordersOf(9, orderOf("s", 8))}, 5*time.Second)
		test.Eq(t, rollout.RolledBack, register.row.Phase)
		test.Less(t, plan.Deadline, register.row.Since)
	})
}
