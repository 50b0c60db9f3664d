package rollout

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// TestOrderForSoleVersionDoesNotBarIt covers an order for the version that already runs all
// requests, before and after its first plan.
func TestOrderForSoleVersionDoesNotBarIt(t *testing.T) {
	r := NewReplica()
	r.SetSoleVersion("desk", "v1")
	order := orderOf(5, "v1")
	r.Merge(Update{Orders: Orders{Revision: 5, List: []Order{order}}})
	test.True(t, r.Traffic("desk").PermitsAny("v1", "x"), test.Sprint("before the first plan"))
	plan, _ := Decide(100*time.Second, order, Plan{}, Verdict{}, serversOf("v1", 3), testLimits)
	test.Eq(t, Completed, plan.Phase)
	test.SliceEmpty(t, plan.Old)
	plan.Revision = 6
	r.Merge(Update{Plans: []Plan{plan}})
	test.True(t, r.Traffic("desk").PermitsAny("v1", "x"), test.Sprint("with a plan"))
}

// TestShortOrderForOnlyVersionDoesNotBarIt covers an order for the only version with a
// duration too short for a switch, where SetSoleVersion was not called.
func TestShortOrderForOnlyVersionDoesNotBarIt(t *testing.T) {
	order := orderOf(5, "v1")
	order.Duration = time.Second
	r := NewReplica()
	r.Merge(Update{Orders: Orders{Revision: 5, List: []Order{order}}})
	plan, _ := Decide(100*time.Second, order, Plan{}, Verdict{}, serversOf("v1", 3), testLimits)
	must.Eq(t, Completed, plan.Phase)
	plan.Revision = 6
	r.Merge(Update{Plans: []Plan{plan}})
	test.True(t, r.Traffic("desk").PermitsAny("v1", "x"), test.Sprint("after the end"))
	// Taking the order away must not bar the version either.
	r.Merge(Update{Orders: Orders{Revision: 9}})
	test.True(t, r.Traffic("desk").PermitsAny("v1", "x"), test.Sprint("order taken away"))
}

// TestStopDoesNotBarOnlyVersion: the only version must run requests even where it is found
// bad.
func TestStopDoesNotBarOnlyVersion(t *testing.T) {
	order := orderOf(5, "v1")
	r := NewReplica()
	r.Merge(Update{Orders: Orders{Revision: 5, List: []Order{order}},
		Plans: []Plan{{Service: "desk", Target: "v1", Order: 5, Revision: 6, Phase: Switching}}})
	must.True(t, r.Traffic("desk").PermitsAny("v1", "x"))
	r.Merge(Update{Stops: []Stop{{Service: "desk", Order: 5, Cause: "failures"}}})
	test.True(t, r.Traffic("desk").PermitsAny("v1", "x"))
}

// TestOrderBackDecidedWithoutLinksKeepsAVersion covers an order back to the version that
// runs the requests, decided by a daemon that has no links to its backend servers yet: one
// of the two versions must stay permitted.
func TestOrderBackDecidedWithoutLinksKeepsAVersion(t *testing.T) {
	order := orderOf(9, "v1")
	servers := withChange(bothVersions(3), "v1", setNotReady)
	plan, _ := Decide(300*time.Second, order, planIn(RolledBack), Verdict{}, servers, testLimits)
	plan.Revision = 10
	r := NewReplica()
	r.Merge(Update{Orders: Orders{Revision: 9, List: []Order{order}}, Plans: []Plan{plan}})
	test.True(t, r.Traffic("desk").PermitsAny("v1", "x") || r.Traffic("desk").PermitsAny("v2", "x"), test.Sprintf("phase %s old %v barred %v", plan.Phase, plan.Old, plan.Barred))
}

// TestCanaryGoesOnWithoutOldVersion: where all old backend servers are gone and the
// roll-out is rolled back, the new version is the only one and must run the requests.
func TestCanaryGoesOnWithoutOldVersion(t *testing.T) {
	servers := withChange(bothVersions(3), "v1", setUnreachable)
	r := NewReplica()
	r.SetSoleVersion("desk", "v2")
	plan := planIn(Canary)
	r.Merge(Update{Orders: Orders{Revision: 5, List: []Order{orderOf(5, "v2")}}, Plans: []Plan{plan}})
	next, _ := Decide(159500*time.Millisecond, orderOf(5, "v2"), plan, Verdict{}, servers, testLimits)
	next.Revision = 20
	r.Merge(Update{Plans: []Plan{next}})
	test.True(t, r.Traffic("desk").PermitsAny("v2", "v2-00"), test.Sprintf("%s: %s", next.Phase, next.Cause))
}

// TestOldVersionComesBackWithoutOrder: an old version that a completed roll-out has barred
// is permitted again once it is the only one, and barred again beside the new one.
func TestOldVersionComesBackWithoutOrder(t *testing.T) {
	r := NewReplica()
	r.Merge(Update{Orders: Orders{Revision: 9}, Plans: []Plan{planIn(Completed)}})
	must.False(t, r.Traffic("desk").PermitsAny("v1", "x"), must.Sprint("beside the new version"))
	must.True(t, r.SetSoleVersion("desk", "v1"))
	test.True(t, r.Traffic("desk").PermitsAny("v1", "x"), test.Sprint("the only version"))
	test.True(t, r.Traffic("desk").Permits(LaneOld, "v1", "x"))
	r.SetSoleVersion("desk", "")
	test.False(t, r.Traffic("desk").PermitsAny("v1", "x"), test.Sprint("beside the new version again"))
}
