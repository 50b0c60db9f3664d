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

func orderOf(service string, revision uint64) rollout.Order {
	return rollout.Order{Service: service, Version: "v2", Revision: revision, Duration: time.Minute}
}

func ordersOf(revision uint64, list ...rollout.Order) *rollout.Orders {
	return &rollout.Orders{Revision: revision, List: list}
}

func planOf(service string, order, revision uint64, phase rollout.Phase) rollout.Plan {
	return rollout.Plan{Service: service, Target: "v2", Old: []string{"v1"}, Order: order, Revision: revision, Phase: phase, Canaries: []string{"vm"}, PerMille: 50}
}

// TestHeartbeatsTellNothingWithoutARollOut: also where the feed told that there are no
// orders, at whatever revision.
func TestHeartbeatsTellNothingWithoutARollOut(t *testing.T) {
	env := testEnv()
	system := newRolloutTracker(env)
	system.Tick(1, &tables.Mail{RolloutOrders: ordersOf(7)})
	test.Eq(t, 0, env.Control.State().RolloutsDigest)
	system.Tick(2, &tables.Mail{RolloutOrders: ordersOf(9, orderOf("s", 8))})
	test.NotEq(t, 0, env.Control.State().RolloutsDigest)
	test.NotNil(t, env.World.View.RolloutTraffic("s"))
	test.Nil(t, env.World.View.RolloutTraffic("other"))
	system.Tick(3, &tables.Mail{RolloutOrders: ordersOf(11)})
	test.Eq(t, 0, env.Control.State().RolloutsDigest)
	test.Nil(t, env.World.View.RolloutTraffic("s"))
}

// TestMoreOrdersThanADaemonKeeps leave those in force that were there.
func TestMoreOrdersThanADaemonKeeps(t *testing.T) {
	env := testEnv()
	system := newRolloutTracker(env)
	system.Tick(1, &tables.Mail{RolloutOrders: ordersOf(9, orderOf("s", 8))})
	many := ordersOf(5000)
	for n := range 1000 {
		many.List = append(many.List, orderOf(fmt.Sprintf("s%04d", n), uint64(n+1)))
	}
	system.Tick(2, &tables.Mail{RolloutOrders: many})
	test.Eq(t, []rollout.Order{orderOf("s", 8)}, env.World.Rollouts.Snapshot().Orders.List)
}

// TestTheOrdersOutliveAFeedThatLostItsHistory: one that was taken away in the gap is
// gone, one that was written in it is there.
func TestTheOrdersOutliveAFeedThatLostItsHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		says := func(cursor uint64, changes ...rollout.OrderChange) func(uint64) (placement.FeedUpdate, error) {
			return func(uint64) (placement.FeedUpdate, error) {
				return placement.FeedUpdate{Cursor: cursor, Rollouts: changes}, nil
			}
		}
		written := func(service string, revision uint64) rollout.OrderChange {
			order := orderOf(service, revision)
			return rollout.OrderChange{Service: service, Order: &order}
		}
		feed := &scriptedFeed{steps: []func(uint64) (placement.FeedUpdate, error){
			says(4, written("a", 3)), says(6, written("b", 6)), fails(store.ErrHistoryGone),
			says(9, written("b", 6), written("c", 8)), says(11, rollout.OrderChange{Service: "b"}),
		}}
		env, _ := startFollower(t, feed)
		follower, system := newFeedFollower(env), newRolloutTracker(env)
		for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			mail := env.World.Inbox.Take()
			follower.Tick(env.Now(), &mail)
			system.Tick(env.Now(), &mail)
			synctest.Wait()
		}
		test.Eq(t, []rollout.Order{orderOf("c", 8)}, env.World.Rollouts.Snapshot().Orders.List)
	})
}

// fakeRegister is a register whose calls end as the test says.
type fakeRegister struct {
	mu     sync.Mutex
	row    rollout.Plan
	writes int
	// fails is what the next writes answer, and done whether they are done all the same.
	fails []error
	done  bool
	reads int
}

func (f *fakeRegister) Read(context.Context, string) (rollout.StoredPlan, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads++
	return rollout.StoredPlan{Plan: f.row, Now: time.Hour}, nil
}

func (f *fakeRegister) Write(_ context.Context, p rollout.Plan) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.writes++
	if f.row.Revision != p.Revision {
		return store.ErrConflict
	}
	var err error
	if len(f.fails) > 0 {
		err, f.fails = f.fails[0], f.fails[1:]
	}
	if err == nil || f.done {
		f.row = p
		f.row.Revision += 10
	}
	return err
}

// TestTheRowIsReadAfterEachWrite, whatever came of it, before anything else is written.
func TestTheRowIsReadAfterEachWrite(t *testing.T) {
	for name, c := range map[string]struct {
		fails []error
		done  bool
	}{"it went well": {}, "its answer was lost": {[]error{context.DeadlineExceeded}, true}, "it failed": {[]error{context.DeadlineExceeded}, false}} {
		synctest.Test(t, func(t *testing.T) {
			env := testEnv()
			env.DaemonContext = t.Context()
			env.Settings.BackendServer.Service = "s"
			register := &fakeRegister{fails: c.fails, done: c.done}
			env.Rollouts = register
			rows := newPlanRows(env)
			turn := func() {
				synctest.Wait()
				mail := env.World.Inbox.Take()
				rows.take(env.Now(), mail.RolloutPlanResults)
			}
			test.False(t, rows.ready(env.Now(), "s"))
			turn()
			must.True(t, rows.ready(env.Now(), "s"))
			rows.write(planOf("s", 3, 0, rollout.Waiting))
			test.False(t, rows.ready(env.Now(), "s"), test.Sprint(name))
			turn()
			test.False(t, rows.ready(env.Now(), "s"), test.Sprint(name))
			time.Sleep(planRestMost)
			test.False(t, rows.ready(env.Now(), "s"), test.Sprint(name))
			turn()
			test.True(t, rows.ready(env.Now(), "s"), test.Sprint(name))
			test.Eq(t, 2, register.reads, test.Sprint(name))
			test.Eq(t, 1, register.writes, test.Sprint(name))
			test.Between(t, time.Hour, rows.storeNow(env.Now()), time.Hour+2*planRestMost, test.Sprint(name))
		})
	}
}

// TestAnOrderWithoutAPlanIsLookedUp: as after all daemons were away at once, when no
// peer tells of the plan.
func TestAnOrderWithoutAPlanIsLookedUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := testEnv()
		env.DaemonContext = t.Context()
		env.Rollouts = &fakeRegister{row: planOf("s", 8, 12, rollout.Completed)}
		system := newRolloutTracker(env)
		watch := newRolloutWatcher(env, system)
		mail := tables.Mail{RolloutOrders: ordersOf(9, orderOf("s", 8))}
		for end := time.Now().Add(3 * unplannedFor); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			system.Tick(env.Now(), &mail)
			watch.Tick(env.Now(), &mail)
			synctest.Wait()
			mail = env.World.Inbox.Take()
		}
		test.True(t, env.World.View.RolloutTraffic("s").PermitsAny("v2", "x"))
		test.False(t, env.World.View.RolloutTraffic("s").PermitsAny("v1", "x"))
		test.Eq(t, 1, env.Rollouts.(*fakeRegister).reads)
	})
}

// guardOf makes the guard of a daemon beside a backend server of a version, one of a
// service with others.
func guardOf(firstStart bool, version string, others ...string) *rolloutGuard {
	env := testEnv()
	env.Settings.Platform.FirstStart, env.Settings.BackendServer.Service = firstStart, "s"
	env.RolloutLimits = rollout.Limits{StopWithin: time.Second}
	env.Backend = backend.NewLifecycle(true, nil)
	env.Backend.RecordHeartbeat(1, backend.Heartbeat{InstanceID: "i", Sequence: 1, Version: version})
	for i, other := range others {
		env.World.Members.Merge(1, nil, wire.Member{VM: string(rune('a' + i)), Service: "s", Version: other})
	}
	known := newRolloutTracker(env)
	return newRolloutGuard(env, known, newRolloutWatcher(env, known))
}

// TestANewcomerWaits for its order, but never where the service would be without a
// backend server.
func TestANewcomerWaits(t *testing.T) {
	const late = int64(newVersionHold) + 2
	for name, c := range map[string]struct {
		guard       *rolloutGuard
		synced      bool
		first, last bool
	}{
		"a new version":                     {guardOf(false, "v2", "v1", "v1"), true, true, false},
		"a version that is not known":       {guardOf(false, "", "v1"), true, true, false},
		"another of the same":               {guardOf(false, "v1", "v1"), true, false, false},
		"the only one":                      {guardOf(false, "v2"), true, false, false},
		"the first start of all":            {guardOf(true, "v1"), false, false, false},
		"a restart, nobody has told yet":    {guardOf(false, "v1", "v1"), false, true, false},
		"others do not say which they are":  {guardOf(false, "v2", ""), true, false, false},
		"others of the same and of another": {guardOf(false, "v2", "v1", "v2"), true, true, false},
	} {
		c.guard.tracker.synced = c.synced
		test.Eq(t, c.first, c.guard.newVersionReason(1, "s") != "", test.Sprint(name))
		test.Eq(t, c.last, c.guard.newVersionReason(late, "s") != "", test.Sprint(name))
	}
}

// TestAVersionThatWasThereIsNoNewcomer: a backend server of it joins later.
func TestAVersionThatWasThereIsNoNewcomer(t *testing.T) {
	g := guardOf(false, "v1", "v1", "v2")
	g.tracker.synced = true
	test.NotEq(t, "", g.newVersionReason(1, "s"))
	test.Eq(t, "", g.newVersionReason(int64(newVersionHold)+2, "s"))
	g.Backend.RecordInstanceID(2, "j")
	g.Backend.RecordHeartbeat(2, backend.Heartbeat{InstanceID: "j", Sequence: 1, Version: "v2"})
	test.Eq(t, "", g.newVersionReason(int64(newVersionHold)+3, "s"))
}

// TestANewcomersOrderDecides: the traffic of the roll-out holds it from then on.
func TestANewcomersOrderDecides(t *testing.T) {
	g := guardOf(false, "v2", "v1")
	g.tracker.synced = true
	test.NotEq(t, "", g.newVersionReason(1, "s"))
	g.tracker.Tick(2, &tables.Mail{RolloutOrders: ordersOf(9, orderOf("s", 8))})
	test.Eq(t, "", g.newVersionReason(2, "s"))
	test.False(t, g.World.View.RolloutTraffic("s").PermitsAny("v2", "vm"))
}

// TestWhatNobodyHearsMustNotRun while it is on trial; the old version goes on, and so
// does the new one once all requests move.
func TestWhatNobodyHearsMustNotRun(t *testing.T) {
	for name, c := range map[string]struct {
		version string
		phase   rollout.Phase
		waits   bool
	}{"on trial": {"v2", rollout.Canary, true}, "the old version": {"v1", rollout.Canary, false}, "all requests move": {"v2", rollout.Switching, false}} {
		g := guardOf(false, c.version, "v1")
		g.tracker.take(rollout.Update{Orders: *ordersOf(9, orderOf("s", 8)), Plans: []rollout.Plan{planOf("s", 8, 10, c.phase)}}, nil)
		must.Eq(t, "", g.unwatchedReason(1, "s"))
		g.World.RolloutWatchers = []*tables.Endpoint{{VM: "far"}}
		test.Eq(t, c.waits, g.unwatchedReason(1+int64(unwatchedGrace), "s") != "", test.Sprint(name))
	}
}

// TestTheWatchersOfAService are the first three of those that can be reached, the same
// for all daemons.
func TestTheWatchersOfAService(t *testing.T) {
	g := guardOf(false, "v1", "v1", "v1", "v2", "v2", "v1")
	w := g.watcher
	w.choose("s", orderOf("s", 8))
	must.Len(t, watchersMost, w.World.RolloutWatchers)
	first := w.World.RolloutWatchers[0]
	w.World.Unreached[first] = struct{}{}
	second, third := w.World.RolloutWatchers[1], w.World.RolloutWatchers[2]
	w.choose("s", orderOf("s", 8))
	must.Len(t, watchersMost, w.World.RolloutWatchers)
	test.Eq(t, second, w.World.RolloutWatchers[0])
	test.Eq(t, third, w.World.RolloutWatchers[1])
	test.Eq(t, -1, w.rank)
}

// TestAServiceNameWithAQuote from the store or a peer ends no process.
func TestAServiceNameWithAQuote(t *testing.T) {
	known := newRolloutTracker(testEnv())
	defer func() { test.Nil(t, recover()) }()
	known.take(rollout.Update{Plans: []rollout.Plan{planOf(`a"b`, 8, 10, rollout.Canary)}}, nil)
}
