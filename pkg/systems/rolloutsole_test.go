package systems

import (
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/rushramp/rushramp/pkg/rollout"
	"github.com/rushramp/rushramp/pkg/tables"
	"github.com/rushramp/rushramp/pkg/wire"
)

// TestSoleVersionIsPermitted: the only version of a service gets requests, from the tick
// of the order on, until a member has another version.
func TestSoleVersionIsPermitted(t *testing.T) {
	for _, own := range []string{"s", "other"} {
		env := testEnv()
		env.Settings.BackendServer.Service = own
		env.World.Members.Merge(1, nil, wire.Member{VM: "a", Service: "s", Version: "v2"})
		tracker := newRolloutTracker(env)
		tracker.Tick(1, &tables.Mail{})
		const late = 1 + int64(soleVersionDelay)
		tracker.Tick(late, &tables.Mail{RolloutOrders: testOrders(9, testOrder("s", 8))})
		test.True(t, env.World.View.RolloutTraffic("s").PermitsAny("v2", "a"), test.Sprint(own))
		env.World.Members.Merge(1, nil, wire.Member{VM: "b", Service: "s", Version: "v1"})
		tracker.Tick(late+1, &tables.Mail{})
		test.False(t, env.World.View.RolloutTraffic("s").PermitsAny("v2", "a"), test.Sprint(own))
	}
}

// TestSoleVersionIsRefusedWhileOthersMayBeUnknown: a daemon that has just started may not
// know the other members yet, or their versions.
func TestSoleVersionIsRefusedWhileOthersMayBeUnknown(t *testing.T) {
	env := testEnv()
	env.Settings.BackendServer.Service = "s"
	env.World.Members.Merge(1, nil, wire.Member{VM: "a", Service: "s", Version: "v2"})
	tracker := newRolloutTracker(env)
	tracker.apply(rollout.Update{Orders: *testOrders(9, testOrder("s", 8)), Plans: []rollout.Plan{testPlan("s", 8, 10, rollout.RolledBack)}}, nil)
	tracker.Tick(1, &tables.Mail{})
	must.False(t, env.World.View.RolloutTraffic("s").PermitsAny("v2", "a"))
	env.World.Members.Merge(1, nil, wire.Member{VM: "b", Service: "s"})
	tracker.Tick(1+2*int64(soleVersionDelay), &tables.Mail{})
	test.False(t, env.World.View.RolloutTraffic("s").PermitsAny("v2", "a"), test.Sprint("one member has not reported its version"))
}
