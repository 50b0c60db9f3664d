package systems

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/rushramp/rushramp/pkg/backend"
	"github.com/rushramp/rushramp/pkg/placement"
	"github.com/rushramp/rushramp/pkg/rollout"
	"github.com/rushramp/rushramp/pkg/store"
	"github.com/rushramp/rushramp/pkg/tables"
	"github.com/rushramp/rushramp/pkg/wire"
)

// testOrder returns an order to move a service to version v2.
func testOrder(service string, revision uint64) rollout.Order {
	return rollout.Order{Service: service, Version: "v2", Revision: revision, Duration: time.Minute}
}

func testOrders(revision uint64, list ...rollout.Order) *rollout.Orders {
	return &rollout.Orders{Revision: revision, List: list}
}

// testPlan returns a plan that moves a service from version v1 to v2.
func testPlan(service string, order, revision uint64, phase rollout.Phase) rollout.Plan {
	return rollout.Plan{Service: service, Target: "v2", Old: []string{"v1"}, Order: order, Revision: revision, Phase: phase, Canaries: []string{"vm"}, PerMille: 50}
}

// TestDigestIsZeroWithoutARollOut: also if the store has an empty set of orders, at any
// revision.
func TestDigestIsZeroWithoutARollOut(t *testing.T) {
	env := testEnv()
	tracker := newRolloutTracker(env)
	tracker.Tick(1, &tables.Mail{RolloutOrders: testOrders(7)})
	test.Eq(t, 0, env.Control.State().RolloutsDigest)
	tracker.Tick(2, &tables.Mail{RolloutOrders: testOrders(9, testOrder("s", 8))})
	test.NotEq(t, 0, env.Control.State().RolloutsDigest)
	test.NotNil(t, env.World.View.RolloutTraffic("s"))
	test.Nil(t, env.World.View.RolloutTraffic("other"))
	tracker.Tick(3, &tables.Mail{RolloutOrders: testOrders(11)})
	test.Eq(t, 0, env.Control.State().RolloutsDigest)
	test.Nil(t, env.World.View.RolloutTraffic("s"))
}

// TestTooManyOrdersAreRefused: the former orders stay in force.
func TestTooManyOrdersAreRefused(t *testing.T) {
	env := testEnv()
	tracker := newRolloutTracker(env)
	tracker.Tick(1, &tables.Mail{RolloutOrders: testOrders(9, testOrder("s", 8))})
	many := testOrders(5000)
	for n := range 1000 {
		many.List = append(many.List, testOrder(fmt.Sprintf("s%04d", n), uint64(n+1)))
	}
	tracker.Tick(2, &tables.Mail{RolloutOrders: many})
	test.Eq(t, []rollout.Order{testOrder("s", 8)}, env.World.Rollouts.Snapshot().Orders.List)
}

// TestOrdersAfterTheFeedLostItsHistory: in the part of the history that was lost, one
// order was cancelled and another one was written.
func TestOrdersAfterTheFeedLostItsHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		update := func(cursor uint64, changes ...rollout.OrderChange) func(uint64) (placement.FeedUpdate, error) {
			return func(uint64) (placement.FeedUpdate, error) {
				return placement.FeedUpdate{Cursor: cursor, Rollouts: changes}, nil
			}
		}
		written := func(service string, revision uint64) rollout.OrderChange {
			order := testOrder(service, revision)
			return rollout.OrderChange{Service: service, Order: &order}
		}
		feed := &scriptedFeed{steps: []func(uint64) (placement.FeedUpdate, error){
			update(4, written("a", 3)), update(6, written("b", 6)), returnsError(store.ErrHistoryGone),
			update(9, written("b", 6), written("c", 8)), update(11, rollout.OrderChange{Service: "b"}),
		}}
		env, _ := startFollower(t, feed)
		follower, tracker := newFeedFollower(env), newRolloutTracker(env)
		for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			mail := env.World.Inbox.Take()
			follower.Tick(env.Now(), &mail)
			tracker.Tick(env.Now(), &mail)
			synctest.Wait()
		}
		test.Eq(t, []rollout.Order{testOrder("c", 8)}, env.World.Rollouts.Snapshot().Orders.List)
	})
}

// fakePlanStore is a PlanStore whose writes fail as the test says. It counts the calls.
type fakePlanStore struct {
	mu     sync.Mutex
	row    rollout.Plan
	writes int
	// writeErrs are the errors that the next writes return. If writeApplies is true, those
	// writes change the row nevertheless.
	writeErrs    []error
	writeApplies bool
	reads        int
}

func (f *fakePlanStore) Read(context.Context, string) (rollout.StoredPlan, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads++
	return rollout.StoredPlan{Plan: f.row, Now: time.Hour}, nil
}

func (f *fakePlanStore) Write(_ context.Context, p rollout.Plan) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.writes++
	if f.row.Revision != p.Revision {
		return store.ErrConflict
	}
	var err error
	if len(f.writeErrs) > 0 {
		err, f.writeErrs = f.writeErrs[0], f.writeErrs[1:]
	}
	if err == nil || f.writeApplies {
		f.row = p
		f.row.Revision += 10
	}
	return err
}

// TestRowIsReadAfterEachWrite, successful or not, before the next write.
func TestRowIsReadAfterEachWrite(t *testing.T) {
	for name, c := range map[string]struct {
		writeErrs    []error
		writeApplies bool
	}{"the write succeeded": {}, "its answer was lost": {[]error{context.DeadlineExceeded}, true}, "it failed": {[]error{context.DeadlineExceeded}, false}} {
		synctest.Test(t, func(t *testing.T) {
			env := testEnv()
			env.DaemonContext = t.Context()
			env.Settings.BackendServer.Service = "s"
			planStore := &fakePlanStore{writeErrs: c.writeErrs, writeApplies: c.writeApplies}
			env.PlanStore = planStore
			rows := newPlanRows(env)
			applyResults := func() {
				synctest.Wait()
				mail := env.World.Inbox.Take()
				rows.applyResults(env.Now(), mail.RolloutPlanResults)
			}
			test.False(t, rows.ensureRead(env.Now(), "s"))
			applyResults()
			must.True(t, rows.ensureRead(env.Now(), "s"))
			rows.write(testPlan("s", 3, 0, rollout.Waiting))
			test.False(t, rows.ensureRead(env.Now(), "s"), test.Sprint(name))
			applyResults()
			test.False(t, rows.ensureRead(env.Now(), "s"), test.Sprint(name))
			time.Sleep(planRetryDelayMax)
			test.False(t, rows.ensureRead(env.Now(), "s"), test.Sprint(name))
			applyResults()
			test.True(t, rows.ensureRead(env.Now(), "s"), test.Sprint(name))
			test.Eq(t, 2, planStore.reads, test.Sprint(name))
			test.Eq(t, 1, planStore.writes, test.Sprint(name))
			test.Between(t, time.Hour, rows.storeNow(env.Now()), time.Hour+2*planRetryDelayMax, test.Sprint(name))
		})
	}
}

// TestMissingPlanIsRead: after all daemons were stopped at once, no peer knows the plan
// for an order.
func TestMissingPlanIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := testEnv()
		env.DaemonContext = t.Context()
		env.PlanStore = &fakePlanStore{row: testPlan("s", 8, 12, rollout.Completed)}
		tracker := newRolloutTracker(env)
		watcher := newRolloutWatcher(env, tracker)
		mail := tables.Mail{RolloutOrders: testOrders(9, testOrder("s", 8))}
		for end := time.Now().Add(3 * missingPlanReadDelay); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			tracker.Tick(env.Now(), &mail)
			watcher.Tick(env.Now(), &mail)
			synctest.Wait()
			mail = env.World.Inbox.Take()
		}
		test.True(t, env.World.View.RolloutTraffic("s").PermitsAny("v2", "x"))
		test.False(t, env.World.View.RolloutTraffic("s").PermitsAny("v1", "x"))
		test.Eq(t, 1, env.PlanStore.(*fakePlanStore).reads)
	})
}

// newTestGuard returns the guard of the daemon "vm". version is that of its backend
// server, others are the versions of the other members of the service.
func newTestGuard(firstStart bool, version string, others ...string) *rolloutGuard {
	env := testEnv()
	env.Settings.Platform.FirstStart, env.Settings.BackendServer.Service = firstStart, "s"
	env.RolloutLimits = rollout.Limits{StopWithin: time.Second}
	env.Backend = backend.NewLifecycle(true, nil)
	env.Backend.RecordHeartbeat(1, backend.Heartbeat{InstanceID: "i", Sequence: 1, Version: version})
	for i, other := range others {
		env.World.Members.Merge(1, nil, wire.Member{VM: string(rune('a' + i)), Service: "s", Version: other})
	}
	tracker := newRolloutTracker(env)
	return newRolloutGuard(env, tracker, newRolloutWatcher(env, tracker))
}

// TestNewVersionWaits for the order of its roll-out, unless no backend server of another
// version can take the requests meanwhile.
func TestNewVersionWaits(t *testing.T) {
	const late = int64(newVersionHold) + 2
	for name, c := range map[string]struct {
		guard       *rolloutGuard
		synced      bool
		first, last bool
	}{
		"a new version":                      {newTestGuard(false, "v2", "v1", "v1"), true, true, false},
		"the version is unknown":             {newTestGuard(false, "", "v1"), true, true, false},
		"a version that others have":         {newTestGuard(false, "v1", "v1"), true, false, false},
		"the only member":                    {newTestGuard(false, "v2"), true, false, false},
		"the first start of all daemons":     {newTestGuard(true, "v1"), false, false, false},
		"a restart, no peer was synced yet":  {newTestGuard(false, "v1", "v1"), false, true, false},
		"the versions of others are unknown": {newTestGuard(false, "v2", ""), true, false, false},
		"others have both versions":          {newTestGuard(false, "v2", "v1", "v2"), true, true, false},
	} {
		c.guard.tracker.synced = c.synced
		test.Eq(t, c.first, c.guard.newVersionReason(1, "s") != "", test.Sprint(name))
		test.Eq(t, c.last, c.guard.newVersionReason(late, "s") != "", test.Sprint(name))
	}
}

// TestKnownVersionNeedNotWait: a backend server joins whose version other members have
// had for longer than newVersionHold.
func TestKnownVersionNeedNotWait(t *testing.T) {
	g := newTestGuard(false, "v1", "v1", "v2")
	g.tracker.synced = true
	test.NotEq(t, "", g.newVersionReason(1, "s"))
	test.Eq(t, "", g.newVersionReason(int64(newVersionHold)+2, "s"))
	g.Backend.RecordGoodHealthCheck(2, "j")
	g.Backend.RecordHeartbeat(2, backend.Heartbeat{InstanceID: "j", Sequence: 1, Version: "v2"})
	test.Eq(t, "", g.newVersionReason(int64(newVersionHold)+3, "s"))
}

// TestNewVersionWaitsForItsOrderOnly: once the order has arrived, the roll-out decides
// which requests the version gets.
func TestNewVersionWaitsForItsOrderOnly(t *testing.T) {
	g := newTestGuard(false, "v2", "v1")
	g.tracker.synced = true
	test.NotEq(t, "", g.newVersionReason(1, "s"))
	g.tracker.Tick(2, &tables.Mail{RolloutOrders: testOrders(9, testOrder("s", 8))})
	test.Eq(t, "", g.newVersionReason(2, "s"))
	test.False(t, g.World.View.RolloutTraffic("s").PermitsAny("v2", "vm"))
}

// TestUnwatchedBackendOnTrialWaits: without a link to a watcher it gets no requests. The
// old version runs on, and so does the new one while switching.
func TestUnwatchedBackendOnTrialWaits(t *testing.T) {
	for name, c := range map[string]struct {
		version string
		phase   rollout.Phase
		waits   bool
	}{"on trial": {"v2", rollout.Canary, true}, "the old version": {"v1", rollout.Canary, false}, "switching": {"v2", rollout.Switching, false}} {
		g := newTestGuard(false, c.version, "v1")
		g.tracker.apply(rollout.Update{Orders: *testOrders(9, testOrder("s", 8)), Plans: []rollout.Plan{testPlan("s", 8, 10, c.phase)}}, nil)
		must.Eq(t, "", g.unwatchedReason(1, "s"))
		g.World.RolloutWatchers = []*tables.Endpoint{{VM: "far"}}
		test.Eq(t, c.waits, g.unwatchedReason(1+int64(unwatchedGrace), "s") != "", test.Sprint(name))
	}
}

// TestWatchersAreTheFirstReachableMembers: if the first of the three watchers becomes
// unreachable, the other two move up.
func TestWatchersAreTheFirstReachableMembers(t *testing.T) {
	g := newTestGuard(false, "v1", "v1", "v1", "v2", "v2", "v1")
	w := g.watcher
	w.chooseWatchers("s", testOrder("s", 8))
	must.Len(t, maxWatchers, w.World.RolloutWatchers)
	first := w.World.RolloutWatchers[0]
	w.World.Unreached[first] = struct{}{}
	second, third := w.World.RolloutWatchers[1], w.World.RolloutWatchers[2]
	w.chooseWatchers("s", testOrder("s", 8))
	must.Len(t, maxWatchers, w.World.RolloutWatchers)
	test.Eq(t, second, w.World.RolloutWatchers[0])
	test.Eq(t, third, w.World.RolloutWatchers[1])
	test.Eq(t, -1, w.rank)
}

// TestServiceNameWithAQuote: such a name from the store or a peer must not cause a panic.
func TestServiceNameWithAQuote(t *testing.T) {
	tracker := newRolloutTracker(testEnv())
	defer func() { test.Nil(t, recover()) }()
	tracker.apply(rollout.Update{Plans: []rollout.Plan{testPlan(`a"b`, 8, 10, rollout.Canary)}}, nil)
}
