package systems

import (
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/rushramp/rushramp/pkg/rollout"
	"github.com/rushramp/rushramp/pkg/runner"
	"github.com/rushramp/rushramp/pkg/wire"
)

// An old version's executor that heard a stop while switching runs requests again: it
// must not report that it obeys the plan and is empty.
func TestWhoRunsAgainIsNotEmpty(t *testing.T) {
	g := guardOf(false, "v1", "v2")
	order := orderOf("s", 8)
	g.tracker.take(rollout.Update{Orders: *ordersOf(9, order), Plans: []rollout.Plan{planOf("s", 8, 10, rollout.Switching)}}, nil)
	must.False(t, g.World.Rollouts.Traffic("s").PermitsAny("v1", "vm"))
	g.tracker.take(rollout.Update{Stops: []rollout.Stop{{Service: "s", Order: 8, Cause: "bad"}}}, nil)
	must.True(t, g.World.Rollouts.Traffic("s").PermitsAny("v1", "vm"))
	g.inForce.Traffic = g.World.Rollouts.Traffic("s")
	g.Recorder = rollout.NewRecorder("vm", "s", 1)
	g.RoutedRunner = &runner.Runner{}
	g.World.Members.Merge(1, nil, wire.Member{VM: "vm", Service: "s", Version: "v1"})
	g.watcher.rank = 0
	g.watcher.begin(1, order, rollout.Plan{})
	g.sendReport(1, "s")
	test.NotEq(t, 10, g.watcher.reports["vm"].Plan, test.Sprintf("%+v", g.watcher.reports["vm"]))
	g.inForce.BlockReason = "held"
	g.sendReport(2, "s")
	test.Eq(t, 10, g.watcher.reports["vm"].Plan, test.Sprint("one that runs nothing obeys the plan"))
}

// A first start whose backend server speaks before the members are known.
func TestANewcomerBeforeTheMembersAreKnown(t *testing.T) {
	g := guardOf(true, "v2")
	first := g.newVersionReason(1, "s")
	g.World.Members.Merge(2, nil, wire.Member{VM: "a", Service: "s", Version: "v1"})
	g.tracker.synced = true
	test.NotEq(t, "", g.newVersionReason(3, "s"), test.Sprintf("first look: %q", first))
	test.Eq(t, "", g.newVersionReason(1+int64(newVersionHold), "s"), test.Sprint("but for no longer than a newcomer"))
}
