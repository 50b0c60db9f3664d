package rollout

import (
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// TestPolicyInEachPhase checks which backend servers may run which requests, and the lanes
// of requests, for each state of a roll-out.
func TestPolicyInEachPhase(t *testing.T) {
	order := orderOf(5, "v2")
	completed := planFor(orderOf(3, "v1"), 4, Completed)
	completed.Old = []string{"v0"}
	replacedCanary := planFor(orderOf(3, "v1"), 4, Canary)
	replacedCanary.Old = []string{"v0"}
	ordered := Update{Orders: ordersOf(5, order)}
	phase := func(p Phase) Update { return Update{Orders: ordersOf(5, order), Plans: []Plan{planFor(order, 6, p)}} }
	stopped := func(p Phase) Update {
		update := phase(p)
		update.Stops = []Stop{{Service: "desk", Order: 5}}
		return update
	}
	orderRemoved := func(p Phase) Update {
		update := phase(p)
		update.Orders = ordersOf(8)
		return update
	}
	after := func(p Plan, o Order) Update { return Update{Orders: ordersOf(o.Revision, o), Plans: []Plan{p}} }
	// old, target and anyLane list the backend servers that may run requests of LaneOld, of
	// LaneTarget and of any lane: c is a canary, t another one of the target, o one of the
	// old version, and u one of a version that the plan does not name.
	for name, c := range map[string]struct {
		update               Update
		old, target, anyLane string
		assigned, retry      Lane
	}{
		"no roll-out":                             {update: Update{}, old: "ctou", target: "ctou", anyLane: "ctou"},
		"an order, no plan":                       {update: ordered, old: "ou", target: "ou", anyLane: "ou"},
		"waiting":                                 {update: phase(Waiting), old: "ou", target: "ou", anyLane: "ou"},
		"canary":                                  {update: phase(Canary), old: "ou", target: "c", anyLane: "cou"},
		"switching":                               {update: phase(Switching), old: "ct", target: "ct", anyLane: "ctu", assigned: LaneTarget, retry: LaneTarget},
		"completed":                               {update: phase(Completed), old: "ctu", target: "ctu", anyLane: "ctu"},
		"rolled back":                             {update: phase(RolledBack), old: "ou", target: "ou", anyLane: "ou"},
		"stopped canary":                          {update: stopped(Canary), old: "ou", target: "ou", anyLane: "ou"},
		"stopped while switching":                 {update: stopped(Switching), old: "ou", target: "ou", anyLane: "ou"},
		"stopped after completion":                {update: stopped(Completed), old: "ctu", target: "ctu", anyLane: "ctu"},
		"order taken away, canary":                {update: orderRemoved(Canary), old: "ou", target: "ou", anyLane: "ou"},
		"order taken away, completed":             {update: orderRemoved(Completed), old: "ctu", target: "ctu", anyLane: "ctu"},
		"later order after completion":            {update: after(completed, order), old: "ou", target: "ou", anyLane: "ou"},
		"later order for the version that serves": {update: after(completed, orderOf(5, "v1")), old: "ctou", target: "ctou", anyLane: "ctou"},
		"later order during a canary":             {update: after(replacedCanary, order), old: "u", target: "u", anyLane: "u"},
	} {
		t.Run(name, func(t *testing.T) {
			r := NewReplica()
			r.Merge(c.update)
			policy := r.Traffic("desk")
			permitted := func(permits func(version, vm string) bool) (out string) {
				for _, server := range [][3]string{{"c", "v2", "vm-1"}, {"t", "v2", "vm-2"}, {"o", "v1", "vm-3"}, {"u", "v7", "vm-4"}} {
					if permits(server[1], server[2]) {
						out += server[0]
					}
				}
				return out
			}
			test.Eq(t, c.old, permitted(func(v, vm string) bool { return policy.Permits(LaneOld, v, vm) }))
			test.Eq(t, c.target, permitted(func(v, vm string) bool { return policy.Permits(LaneTarget, v, vm) }))
			test.Eq(t, c.anyLane, permitted(policy.PermitsAny))
			test.Eq(t, c.retry, policy.RetryLane())
			if policy == nil || policy.mode != modeSplit {
				test.Eq(t, c.assigned, policy.AssignLane("r"))
			}
		})
	}
}

// TestShareHoldsOverManyEntriesWithFewRequests sums the requests assigned to LaneTarget by
// 50 entries with 20 requests on each of three routes: 180 are expected. Independent random
// draws would have a standard deviation of 13. The counters start at random, so the bound
// is five times the standard deviation of their sum.
func TestShareHoldsOverManyEntriesWithFewRequests(t *testing.T) {
	plan := planFor(orderOf(5, "v2"), 6, Canary)
	plan.PerMille = 60
	sum := 0
	for range 50 {
		policy := policyForPlan(&plan)
		for range 20 {
			for _, route := range []string{"a", "b", "c"} {
				sum += int(policy.AssignLane(route))
			}
		}
	}
	test.Between(t, 180-35, sum, 180+35)
}

// TestEntryKeepsTheShareOfRoute checks that the requests of a route that one entry assigns
// to LaneTarget deviate from the share by three at most, after any number of requests.
func TestEntryKeepsTheShareOfRoute(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		plan := planFor(orderOf(5, "v2"), 6, Canary)
		plan.PerMille = rapid.Uint32Range(0, 200).Draw(t, "share")
		n := rapid.IntRange(1, 5000).Draw(t, "requests")
		policy, assigned := policyForPlan(&plan), 0
		for range n {
			assigned += int(policy.AssignLane("a"))
		}
		want := float64(n) * float64(plan.PerMille) / 1000
		must.Between(t, want-3, float64(assigned), want+3)
	})
}

// TestPolicyDoesNotAllocate checks the methods of the hot path in each phase.
func TestPolicyDoesNotAllocate(t *testing.T) {
	for phase := Waiting; phase <= RolledBack; phase++ {
		plan := planFor(orderOf(5, "v2"), 6, phase)
		policy := policyForPlan(&plan)
		test.Eq(t, 0, testing.AllocsPerRun(100, func() {
			lane := policy.AssignLane("form-load")
			_ = policy.Permits(lane, "v2", "vm-1") && policy.PermitsAny("v1", "vm-2")
			_ = policy.RetryLane()
		}))
	}
}
