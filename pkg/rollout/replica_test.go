package rollout

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// orderOf returns an order of one minute for the service "desk".
func orderOf(revision uint64, version string) Order {
	return Order{Service: "desk", Version: version, Revision: revision, Duration: time.Minute}
}

func ordersOf(revision uint64, list ...Order) Orders { return Orders{Revision: revision, List: list} }

// storeHistory generates the orders, the phases of their plans, and the stops of a service
// in the order in which they arise, each as an update of its own.
func storeHistory(t *rapid.T) (updates []Update) {
	revision := uint64(0)
	next := func() uint64 { revision += rapid.Uint64Range(1, 3).Draw(t, "gap"); return revision }
	for range rapid.IntRange(1, 4).Draw(t, "orders") {
		order := orderOf(next(), rapid.SampledFrom([]string{"v2", "v3", "v4"}).Draw(t, "version"))
		updates = append(updates, Update{Orders: ordersOf(order.Revision, order)})
		end := rapid.SampledFrom([]Phase{Canary, Switching, Completed, RolledBack}).Draw(t, "end")
		for phase := Waiting; phase <= min(end, Switching); phase++ {
			updates = append(updates, Update{Plans: []Plan{planFor(order, next(), phase)}})
		}
		if end.Ended() {
			updates = append(updates, Update{Plans: []Plan{planFor(order, next(), end)}})
		}
		if rapid.Bool().Draw(t, "stopped") {
			updates = append(updates, Update{Stops: []Stop{{Service: "desk", Order: order.Revision, Cause: "failures"}}})
		}
		if rapid.Bool().Draw(t, "taken away") {
			updates = append(updates, Update{Orders: ordersOf(next())})
		}
	}
	return updates
}

// planFor returns a plan that carries out an order, with a canary on vm-1.
func planFor(order Order, revision uint64, phase Phase) Plan {
	return Plan{
		Service: order.Service, Target: order.Version, Old: []string{"v1"}, Order: order.Revision, Revision: revision,
		Phase: phase, Canaries: []string{"vm-1"}, PerMille: 50,
	}
}

// checkSamePolicy checks that two policies permit the same.
func checkSamePolicy(t test.T, a, b *TrafficPolicy) {
	test.Eq(t, a == nil, b == nil)
	for _, version := range []string{"v1", "v2", "v3", "v4", "v5"} {
		for _, vm := range []string{"vm-1", "vm-2"} {
			test.Eq(t, a.PermitsAny(version, vm), b.PermitsAny(version, vm))
			test.Eq(t, a.Permits(LaneOld, version, vm), b.Permits(LaneOld, version, vm))
			test.Eq(t, a.Permits(LaneTarget, version, vm), b.Permits(LaneTarget, version, vm))
		}
	}
}

// TestReplicasConverge checks that replicas that merge the same updates become equal: in
// any order, with each update merged twice, and with a restart on the way that begins with
// the snapshot.
func TestReplicasConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		updates := storeHistory(t)
		sequential, shuffled := NewReplica(), NewReplica()
		for _, update := range updates {
			sequential.Merge(update)
		}
		deliveries := rapid.Permutation(append(updates, updates...)).Draw(t, "delivery")
		restart := rapid.IntRange(0, len(deliveries)).Draw(t, "restart")
		ended := map[uint64]Phase{}
		for i, update := range deliveries {
			if i == restart {
				restarted := NewReplica()
				restarted.Merge(shuffled.Snapshot())
				test.Eq(t, shuffled.Digest(), restarted.Digest())
				shuffled = restarted
			}
			shuffled.Merge(update)
			checkEndIsFinal(t, shuffled, ended)
		}
		test.Eq(t, sequential.Digest(), shuffled.Digest())
		checkSamePolicy(t, sequential.Traffic("desk"), shuffled.Traffic("desk"))
		for _, update := range updates {
			test.SliceEmpty(t, shuffled.Merge(update), test.Sprint("an update that is known changes nothing"))
		}
		test.SliceEmpty(t, shuffled.Merge(sequential.Snapshot()))
	})
}

// checkEndIsFinal checks that the plan of an order that has ended stays in its last phase.
func checkEndIsFinal(t *rapid.T, r *Replica, ended map[uint64]Phase) {
	plan, ok := r.Plan("desk")
	if !ok {
		return
	}
	if end, hasEnded := ended[plan.Order]; hasEnded {
		must.Eq(t, end, plan.Phase)
	}
	if plan.Phase.Ended() {
		ended[plan.Order] = plan.Phase
	}
}

// TestStopHoldsForItsOrder checks that a stop outlasts later plans of its order, and does
// not apply to a later order.
func TestStopHoldsForItsOrder(t *testing.T) {
	order := orderOf(5, "v2")
	r := NewReplica()
	test.Eq(t, []string{"desk"}, r.Merge(Update{Orders: ordersOf(5, order), Plans: []Plan{planFor(order, 6, Canary)}}))
	test.True(t, r.Traffic("desk").PermitsAny("v2", "vm-1"))
	r.Merge(Update{Stops: []Stop{{Service: "desk", Order: 5, Cause: "failures"}}})
	r.Merge(Update{Plans: []Plan{planFor(order, 8, Switching)}})
	test.False(t, r.Traffic("desk").PermitsAny("v2", "vm-1"))
	test.True(t, r.Traffic("desk").PermitsAny("v1", "vm-9"))
	stop, stopped := r.Stopped("desk")
	test.True(t, stopped)
	test.Eq(t, "failures", stop.Cause)

	again := orderOf(9, "v2")
	r.Merge(Update{Orders: ordersOf(9, again), Plans: []Plan{planFor(again, 10, Canary)}})
	_, stopped = r.Stopped("desk")
	test.False(t, stopped)
	test.True(t, r.Traffic("desk").PermitsAny("v2", "vm-1"))
}

// TestStopBeforeItsPlanHolds checks a stop that arrives before the plan of its order.
func TestStopBeforeItsPlanHolds(t *testing.T) {
	order := orderOf(5, "v2")
	r := NewReplica()
	r.Merge(Update{Stops: []Stop{{Service: "desk", Order: 5}}})
	r.Merge(Update{Plans: []Plan{planFor(order, 7, Canary)}})
	test.False(t, r.Traffic("desk").PermitsAny("v2", "vm-1"))
}

// TestEndedPlanOutlastsRecreatedRow checks that a plan that has ended stays the newest one
// of its order where the row was created again, with a higher version and an earlier phase.
func TestEndedPlanOutlastsRecreatedRow(t *testing.T) {
	order := orderOf(5, "v2")
	for _, plans := range [][]Plan{
		{planFor(order, 8, RolledBack), planFor(order, 12, Canary)},
		{planFor(order, 12, Canary), planFor(order, 8, RolledBack)},
	} {
		r := NewReplica()
		r.Merge(Update{Plans: plans[:1]})
		r.Merge(Update{Plans: plans[1:]})
		plan, _ := r.Plan("desk")
		test.Eq(t, RolledBack, plan.Phase)
	}
}

// TestMergeIgnoresValuesOutOfBounds: updates come from peers.
func TestMergeIgnoresValuesOutOfBounds(t *testing.T) {
	longName := string(make([]byte, maxNameBytes+1))
	order := orderOf(5, "v2")
	unsorted := ordersOf(9, Order{Service: "b", Version: "v", Revision: 1, Duration: 1}, Order{Service: "a", Version: "v", Revision: 1, Duration: 1})
	plan := planFor(order, 6, Canary)
	unwritten, badPhase, badShare, badName := plan, plan, plan, plan
	unwritten.Revision, badPhase.Phase, badShare.PerMille, badName.Target = 0, RolledBack+1, 1001, longName
	r := NewReplica()
	empty := r.Digest()
	r.Merge(Update{
		Orders: unsorted, Plans: []Plan{unwritten, badPhase, badShare, badName},
		Stops: []Stop{{Service: longName, Order: 1}, {Service: "a"}},
	})
	test.Eq(t, empty, r.Digest())
	many := make([]Plan, 2*maxServices)
	for i := range many {
		many[i] = planFor(order, 6, Canary)
		many[i].Service = string(rune('a' + i))
	}
	r.Merge(Update{Plans: many})
	test.Len(t, maxServices, r.Snapshot().Plans)
}

// TestOrdersWithoutThePlansOrderBarTheTarget checks that a set of orders that is at least
// as new as a plan's order and does not hold it bars the target, and that an older set does
// not.
func TestOrdersWithoutThePlansOrderBarTheTarget(t *testing.T) {
	order := orderOf(5, "v2")
	r := NewReplica()
	r.Merge(Update{Plans: []Plan{planFor(order, 7, Canary)}})
	test.SliceEmpty(t, r.Merge(Update{Orders: ordersOf(4)}))
	test.True(t, r.Traffic("desk").PermitsAny("v2", "vm-1"))
	test.Eq(t, []string{"desk"}, r.Merge(Update{Orders: ordersOf(9)}))
	test.False(t, r.Traffic("desk").PermitsAny("v2", "vm-1"))
}

func BenchmarkTrafficPolicy(b *testing.B) {
	replica := NewReplica()
	order := orderOf(5, "v2")
	replica.Merge(Update{Orders: ordersOf(5, order), Plans: []Plan{planFor(order, 6, Canary)}})
	policy := replica.Traffic("desk")
	routes := []string{"form-load", "return-submit", "status-check"}
	b.ReportAllocs()
	b.RunParallel(func(p *testing.PB) {
		for i := rand.IntN(3); p.Next(); i++ {
			lane := policy.AssignLane(routes[i%3])
			_ = policy.Permits(lane, "v2", "vm-1")
			_ = policy.PermitsAny("v1", "vm-2")
		}
	})
}
