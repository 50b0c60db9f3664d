package rollout

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// An order for the version that runs already, the only one, must never bar it.
func TestAnOrderForTheOnlyVersionBarsNothing(t *testing.T) {
	b := NewReplica()
	b.SetSoleVersion("desk", "v1")
	order := orderOf(5, "v1")
	b.Merge(Update{Orders: Orders{Revision: 5, List: []Order{order}}})
	test.True(t, b.Traffic("desk").PermitsAny("v1", "x"), test.Sprint("ordered, no plan yet"))
	plan, _ := Decide(100*time.Second, order, Plan{}, Verdict{}, fleet("v1", 3), usualLimits)
	test.Eq(t, Completed, plan.Phase)
	test.SliceEmpty(t, plan.Old)
	plan.Revision = 6
	b.Merge(Update{Plans: []Plan{plan}})
	test.True(t, b.Traffic("desk").PermitsAny("v1", "x"), test.Sprint("planned"))
}

// The same with a time too short to switch: it must not be barred for good.
func TestAShortOrderForTheOnlyVersionBarsNothing(t *testing.T) {
	order := orderOf(5, "v1")
	order.Duration = time.Second
	b := NewReplica()
	b.Merge(Update{Orders: Orders{Revision: 5, List: []Order{order}}})
	plan, _ := Decide(100*time.Second, order, Plan{}, Verdict{}, fleet("v1", 3), usualLimits)
	must.Eq(t, Completed, plan.Phase)
	plan.Revision = 6
	b.Merge(Update{Plans: []Plan{plan}})
	test.True(t, b.Traffic("desk").PermitsAny("v1", "x"), test.Sprint("ended"))
	// Nor after the operator has taken the order away.
	b.Merge(Update{Orders: Orders{Revision: 9}})
	test.True(t, b.Traffic("desk").PermitsAny("v1", "x"), test.Sprint("order taken away"))
}

// Found bad, the only version that there is: it must go on.
func TestAStopOfTheOnlyVersionLetsItGoOn(t *testing.T) {
	order := orderOf(5, "v1")
	b := NewReplica()
	b.Merge(Update{Orders: Orders{Revision: 5, List: []Order{order}},
		Plans: []Plan{{Service: "desk", Target: "v1", Order: 5, Revision: 6, Phase: Switching}}})
	must.True(t, b.Traffic("desk").PermitsAny("v1", "x"))
	b.Merge(Update{Stops: []Stop{{Service: "desk", Order: 5, Cause: "failures"}}})
	test.True(t, b.Traffic("desk").PermitsAny("v1", "x"))
}

// An order back to the version that serves, decided by a watcher whose links are not up.
func TestAnOrderBackBeforeLinksLeavesAVersion(t *testing.T) {
	order := orderOf(9, "v1")
	servers := with(both(3), "v1", notReady)
	plan, _ := Decide(300*time.Second, order, at(RolledBack), Verdict{}, servers, usualLimits)
	plan.Revision = 10
	b := NewReplica()
	b.Merge(Update{Orders: Orders{Revision: 9, List: []Order{order}}, Plans: []Plan{plan}})
	test.True(t, b.Traffic("desk").PermitsAny("v1", "x") || b.Traffic("desk").PermitsAny("v2", "x"), test.Sprintf("phase %s old %v barred %v", plan.Phase, plan.Old, plan.Barred))
}

// All old backend servers are gone while the canary runs: who serves?
func TestTheCanaryGoesOnWhenTheOldVersionIsGone(t *testing.T) {
	servers := with(both(3), "v1", lost)
	b := NewReplica()
	b.SetSoleVersion("desk", "v2")
	p := at(Canary)
	b.Merge(Update{Orders: Orders{Revision: 5, List: []Order{orderOf(5, "v2")}}, Plans: []Plan{p}})
	next, _ := Decide(159500*time.Millisecond, orderOf(5, "v2"), p, Verdict{}, servers, usualLimits)
	next.Revision = 20
	b.Merge(Update{Plans: []Plan{next}})
	test.True(t, b.Traffic("desk").PermitsAny("v2", "v2-00"), test.Sprintf("%s: %s", next.Phase, next.Cause))
}

// Versions that a roll-out left behind come back without an order, as the only ones.
func TestGoingBackWithoutAnOrder(t *testing.T) {
	b := NewReplica()
	b.Merge(Update{Orders: Orders{Revision: 9}, Plans: []Plan{at(Completed)}})
	must.False(t, b.Traffic("desk").PermitsAny("v1", "x"), must.Sprint("beside the new one"))
	must.True(t, b.SetSoleVersion("desk", "v1"))
	test.True(t, b.Traffic("desk").PermitsAny("v1", "x"), test.Sprint("alone"))
	test.True(t, b.Traffic("desk").Permits(LaneOld, "v1", "x"))
	b.SetSoleVersion("desk", "")
	test.False(t, b.Traffic("desk").PermitsAny("v1", "x"), test.Sprint("the new one is there again"))
}
