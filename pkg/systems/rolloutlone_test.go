package systems

import (
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/rushramp/rushramp/pkg/rollout"
	"github.com/rushramp/rushramp/pkg/tables"
	"github.com/rushramp/rushramp/pkg/wire"
)

// TestTheOnlyVersionIsNotBarred: neither in the tick of the order nor later, and it is
// as soon as another one is there.
func TestTheOnlyVersionIsNotBarred(t *testing.T) {
	for _, own := range []string{"s", "other"} {
		env := testEnv()
		env.Settings.BackendServer.Service = own
		env.World.Members.Merge(1, nil, wire.Member{VM: "a", Service: "s", Version: "v2"})
		system := newRolloutTracker(env)
		system.Tick(1, &tables.Mail{})
		const late = 1 + int64(loneVersionDelay)
		system.Tick(late, &tables.Mail{RolloutOrders: ordersOf(9, orderOf("s", 8))})
		test.True(t, env.World.View.RolloutTraffic("s").PermitsAny("v2", "a"), test.Sprint(own))
		env.World.Members.Merge(1, nil, wire.Member{VM: "b", Service: "s", Version: "v1"})
		system.Tick(late+1, &tables.Mail{})
		test.False(t, env.World.View.RolloutTraffic("s").PermitsAny("v2", "a"), test.Sprint(own))
	}
}

// TestWhoJustStartedBarsByThePlan: it may not know the others yet, or their versions.
func TestWhoJustStartedBarsByThePlan(t *testing.T) {
	env := testEnv()
	env.Settings.BackendServer.Service = "s"
	env.World.Members.Merge(1, nil, wire.Member{VM: "a", Service: "s", Version: "v2"})
	system := newRolloutTracker(env)
	system.take(rollout.Update{Orders: *ordersOf(9, orderOf("s", 8)), Plans: []rollout.Plan{planOf("s", 8, 10, rollout.RolledBack)}}, nil)
	system.Tick(1, &tables.Mail{})
	must.False(t, env.World.View.RolloutTraffic("s").PermitsAny("v2", "a"))
	env.World.Members.Merge(1, nil, wire.Member{VM: "b", Service: "s"})
	system.Tick(1+2*int64(loneVersionDelay), &tables.Mail{})
	test.False(t, env.World.View.RolloutTraffic("s").PermitsAny("v2", "a"), test.Sprint("one has not said its version"))
}
