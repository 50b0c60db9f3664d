package systems

import (
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/rushramp/rushramp/pkg/rollout"
	"github.com/rushramp/rushramp/pkg/runner"
	"github.com/rushramp/rushramp/pkg/wire"
)

// TestBackendThatRunsRequestsAgainIsNotDrained: after a stop while switching, the executor
// of an old version runs requests again. It must not report that it obeys the plan, or
// the watchers would take it for drained.
func TestBackendThatRunsRequestsAgainIsNotDrained(t *testing.T) {
	g := newTestGuard(false, "v1", "v2")
	order := testOrder("s", 8)
	g.tracker.apply(rollout.Update{Orders: *testOrders(9, order), Plans: []rollout.Plan{testPlan("s", 8, 10, rollout.Switching)}}, nil)
	must.False(t, g.World.Rollouts.Traffic("s").PermitsAny("v1", "vm"))
	g.tracker.apply(rollout.Update{Stops: []rollout.Stop{{Service: "s", Order: 8, Cause: "bad"}}}, nil)
	must.True(t, g.World.Rollouts.Traffic("s").PermitsAny("v1", "vm"))
	g.inForce.Traffic = g.World.Rollouts.Traffic("s")
	g.Recorder = rollout.NewRecorder("vm", "s", 1)
	g.RoutedRunner = &runner.Runner{}
	g.World.Members.Merge(1, nil, wire.Member{VM: "vm", Service: "s", Version: "v1"})
	g.watcher.rank = 0
	g.watcher.beginOrder(1, order, rollout.Plan{})
	g.sendReport(1, "s")
	test.NotEq(t, 10, g.watcher.reports["vm"].Plan, test.Sprintf("%+v", g.watcher.reports["vm"]))
	g.inForce.BlockReason = "held"
	g.sendReport(2, "s")
	test.Eq(t, 10, g.watcher.reports["vm"].Plan, test.Sprint("a backend server that runs nothing obeys the plan"))
}

// TestNewVersionBeforeTheMembersAreKnown: at the first start of the whole system, the
// backend server sends its first heartbeat before the daemon knows other members.
func TestNewVersionBeforeTheMembersAreKnown(t *testing.T) {
	g := newTestGuard(true, "v2")
	first := g.newVersionReason(1, "s")
	g.World.Members.Merge(2, nil, wire.Member{VM: "a", Service: "s", Version: "v1"})
	g.tracker.synced = true
	test.NotEq(t, "", g.newVersionReason(3, "s"), test.Sprintf("reason before the members were known: %q", first))
	test.Eq(t, "", g.newVersionReason(1+int64(newVersionHold), "s"), test.Sprint("newVersionHold is over"))
}
