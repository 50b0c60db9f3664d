package rollout

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func orderOf(revision uint64, version string) Order {
	return Order{Service: "desk", Version: version, Revision: revision, Duration: time.Minute}
}

func ordersOf(revision uint64, list ...Order) Orders { return Orders{Revision: revision, List: list} }

// storeHistory is what the store held one after the other: orders and the plans that carry
// them out, each plan's phases in order. Each part is news that may be told at any time.
func storeHistory(t *rapid.T) (all []Update) {
	revision := uint64(0)
	next := func() uint64 { revision += rapid.Uint64Range(1, 3).Draw(t, "gap"); return revision }
	for range rapid.IntRange(1, 4).Draw(t, "orders") {
		order := orderOf(next(), rapid.SampledFrom([]string{"v2", "v3", "v4"}).Draw(t, "version"))
		all = append(all, Update{Orders: ordersOf(order.Revision, order)})
		end := rapid.SampledFrom([]Phase{Canary, Switching, Completed, RolledBack}).Draw(t, "end")
		for phase := Waiting; phase <= min(end, Switching); phase++ {
			all = append(all, Update{Plans: []Plan{planOf(order, next(), phase)}})
		}
		if end.Ended() {
			all = append(all, Update{Plans: []Plan{planOf(order, next(), end)}})
		}
		if rapid.Bool().Draw(t, "stopped") {
			all = append(all, Update{Stops: []Stop{{Service: "desk", Order: order.Revision, Cause: "failures"}}})
		}
		if rapid.Bool().Draw(t, "taken away") {
			all = append(all, Update{Orders: ordersOf(next())})
		}
	}
	return all
}

func planOf(order Order, revision uint64, phase Phase) Plan {
	return Plan{
		Service: order.Service, Target: order.Version, Old: []string{"v1"}, Order: order.Revision, Revision: revision,
		Phase: phase, Canaries: []string{"vm-1"}, PerMille: 50,
	}
}

// sameTraffic compares what two traffics let through.
func sameTraffic(t test.T, a, b *TrafficPolicy) {
	test.Eq(t, a == nil, b == nil)
	for _, version := range []string{"v1", "v2", "v3", "v4", "v5"} {
		for _, vm := range []string{"vm-1", "vm-2"} {
			test.Eq(t, a.PermitsAny(version, vm), b.PermitsAny(version, vm))
			test.Eq(t, a.Permits(LaneOld, version, vm), b.Permits(LaneOld, version, vm))
			test.Eq(t, a.Permits(LaneTarget, version, vm), b.Permits(LaneTarget, version, vm))
		}
	}
}

// TestBooksThatHeardTheSameHoldTheSame: in any order, twice, with old news again, and
// where one began anew midway and was told by the other.
func TestBooksThatHeardTheSameHoldTheSame(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := storeHistory(t)
		inOrder, mixed := NewReplica(), NewReplica()
		for _, news := range all {
			inOrder.Merge(news)
		}
		order := rapid.Permutation(append(all, all...)).Draw(t, "delivery")
		restart := rapid.IntRange(0, len(order)).Draw(t, "restart")
		ended := map[uint64]Phase{}
		for i, news := range order {
			if i == restart {
				fresh := NewReplica()
				fresh.Merge(mixed.Snapshot())
				test.Eq(t, mixed.Digest(), fresh.Digest())
				mixed = fresh
			}
			mixed.Merge(news)
			neverBack(t, mixed, ended)
		}
		test.Eq(t, inOrder.Digest(), mixed.Digest())
		sameTraffic(t, inOrder.Traffic("desk"), mixed.Traffic("desk"))
		for _, news := range all {
			test.SliceEmpty(t, mixed.Merge(news), test.Sprint("known news is no news"))
		}
		test.SliceEmpty(t, mixed.Merge(inOrder.Snapshot()))
	})
}

// neverBack fails where an order's end was taken back.
func neverBack(t *rapid.T, b *Replica, ended map[uint64]Phase) {
	plan, ok := b.Plan("desk")
	if !ok {
		return
	}
	if end, was := ended[plan.Order]; was {
		must.Eq(t, end, plan.Phase)
	}
	if plan.Phase.Ended() {
		ended[plan.Order] = plan.Phase
	}
}

// TestAStopHoldsForItsOrder: whatever is heard of that order later; a later order is
// not struck by it.
func TestAStopHoldsForItsOrder(t *testing.T) {
	order := orderOf(5, "v2")
	b := NewReplica()
	test.Eq(t, []string{"desk"}, b.Merge(Update{Orders: ordersOf(5, order), Plans: []Plan{planOf(order, 6, Canary)}}))
	test.True(t, b.Traffic("desk").PermitsAny("v2", "vm-1"))
	b.Merge(Update{Stops: []Stop{{Service: "desk", Order: 5, Cause: "failures"}}})
	b.Merge(Update{Plans: []Plan{planOf(order, 8, Switching)}})
	test.False(t, b.Traffic("desk").PermitsAny("v2", "vm-1"))
	test.True(t, b.Traffic("desk").PermitsAny("v1", "vm-9"))
	stop, stopped := b.Stopped("desk")
	test.True(t, stopped)
	test.Eq(t, "failures", stop.Cause)

	again := orderOf(9, "v2")
	b.Merge(Update{Orders: ordersOf(9, again), Plans: []Plan{planOf(again, 10, Canary)}})
	_, stopped = b.Stopped("desk")
	test.False(t, stopped)
	test.True(t, b.Traffic("desk").PermitsAny("v2", "vm-1"))
}

// TestAStopThatComesBeforeItsOrder holds once the order is heard of.
func TestAStopThatComesBeforeItsOrder(t *testing.T) {
	order := orderOf(5, "v2")
	b := NewReplica()
	b.Merge(Update{Stops: []Stop{{Service: "desk", Order: 5}}})
	b.Merge(Update{Plans: []Plan{planOf(order, 7, Canary)}})
	test.False(t, b.Traffic("desk").PermitsAny("v2", "vm-1"))
}

// TestAnEndIsNotTakenBackByARowMadeAnew: its version in the store is higher.
func TestAnEndIsNotTakenBackByARowMadeAnew(t *testing.T) {
	order := orderOf(5, "v2")
	for _, plans := range [][]Plan{
		{planOf(order, 8, RolledBack), planOf(order, 12, Canary)},
		{planOf(order, 12, Canary), planOf(order, 8, RolledBack)},
	} {
		b := NewReplica()
		b.Merge(Update{Plans: plans[:1]})
		b.Merge(Update{Plans: plans[1:]})
		plan, _ := b.Plan("desk")
		test.Eq(t, RolledBack, plan.Phase)
	}
}

// TestWhatIsBeyondTheBoundsIsPassedOver: words come from peers.
func TestWhatIsBeyondTheBoundsIsPassedOver(t *testing.T) {
	long := string(make([]byte, mostName+1))
	order := orderOf(5, "v2")
	unsorted := ordersOf(9, Order{Service: "b", Version: "v", Revision: 1, Duration: 1}, Order{Service: "a", Version: "v", Revision: 1, Duration: 1})
	plan := planOf(order, 6, Canary)
	unwritten, phase, share, name := plan, plan, plan, plan
	unwritten.Revision, phase.Phase, share.PerMille, name.Target = 0, RolledBack+1, 1001, long
	b := NewReplica()
	empty := b.Digest()
	b.Merge(Update{
		Orders: unsorted, Plans: []Plan{unwritten, phase, share, name},
		Stops: []Stop{{Service: long, Order: 1}, {Service: "a"}},
	})
	test.Eq(t, empty, b.Digest())
	many := make([]Plan, 2*mostServices)
	for i := range many {
		many[i] = planOf(order, 6, Canary)
		many[i].Service = string(rune('a' + i))
	}
	b.Merge(Update{Plans: many})
	test.Len(t, mostServices, b.Snapshot().Plans)
}

// TestNewsOfAnOrderTakenAway: an empty set as new as the plan ends its canaries, an
// older one says nothing of it.
func TestNewsOfAnOrderTakenAway(t *testing.T) {
	order := orderOf(5, "v2")
	b := NewReplica()
	b.Merge(Update{Plans: []Plan{planOf(order, 7, Canary)}})
	test.SliceEmpty(t, b.Merge(Update{Orders: ordersOf(4)}))
	test.True(t, b.Traffic("desk").PermitsAny("v2", "vm-1"))
	test.Eq(t, []string{"desk"}, b.Merge(Update{Orders: ordersOf(9)}))
	test.False(t, b.Traffic("desk").PermitsAny("v2", "vm-1"))
}

func BenchmarkNext(b *testing.B) {
	book := NewReplica()
	order := orderOf(5, "v2")
	book.Merge(Update{Orders: ordersOf(5, order), Plans: []Plan{planOf(order, 6, Canary)}})
	traffic := book.Traffic("desk")
	routes := []string{"form-load", "return-submit", "status-check"}
	b.ReportAllocs()
	b.RunParallel(func(p *testing.PB) {
		for i := rand.IntN(3); p.Next(); i++ {
			lane := traffic.AssignLane(routes[i%3])
			_ = traffic.Permits(lane, "v2", "vm-1")
			_ = traffic.PermitsAny("v1", "vm-2")
		}
	})
}
