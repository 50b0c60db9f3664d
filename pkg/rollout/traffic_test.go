package rollout

import (
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// TestWhoRunsWhatInEachPhase is the table of the hot path.
func TestWhoRunsWhatInEachPhase(t *testing.T) {
	order := orderOf(5, "v2")
	completed := planOf(orderOf(3, "v1"), 4, Completed)
	completed.Old = []string{"v0"}
	canary3 := planOf(orderOf(3, "v1"), 4, Canary)
	canary3.Old = []string{"v0"}
	ordered := Update{Orders: ordersOf(5, order)}
	phase := func(p Phase) Update { return Update{Orders: ordersOf(5, order), Plans: []Plan{planOf(order, 6, p)}} }
	stopped := func(p Phase) Update {
		n := phase(p)
		n.Stops = []Stop{{Service: "desk", Order: 5}}
		return n
	}
	away := func(p Phase) Update {
		n := phase(p)
		n.Orders = ordersOf(8)
		return n
	}
	after := func(p Plan, o Order) Update { return Update{Orders: ordersOf(o.Revision, o), Plans: []Plan{p}} }
	// Each word lists who: target on a canary's VM, target elsewhere, old, and a
	// version that neither names; "-" for nobody.
	for name, c := range map[string]struct {
		news                Update
		old, target, admits string
		next, again         Lane
	}{
		"no roll-out":               {news: Update{}, old: "ctou", target: "ctou", admits: "ctou"},
		"an order, no plan":         {news: ordered, old: "ou", target: "ou", admits: "ou"},
		"waiting":                   {news: phase(Waiting), old: "ou", target: "ou", admits: "ou"},
		"canary":                    {news: phase(Canary), old: "ou", target: "c", admits: "cou"},
		"switching":                 {news: phase(Switching), old: "ct", target: "ct", admits: "ctu", next: LaneTarget, again: LaneTarget},
		"completed":                 {news: phase(Completed), old: "ctu", target: "ctu", admits: "ctu"},
		"rolled back":               {news: phase(RolledBack), old: "ou", target: "ou", admits: "ou"},
		"stopped canary":            {news: stopped(Canary), old: "ou", target: "ou", admits: "ou"},
		"stopped while switching":   {news: stopped(Switching), old: "ou", target: "ou", admits: "ou"},
		"stopped too late":          {news: stopped(Completed), old: "ctu", target: "ctu", admits: "ctu"},
		"taken away while a canary": {news: away(Canary), old: "ou", target: "ou", admits: "ou"},
		"taken away, completed":     {news: away(Completed), old: "ctu", target: "ctu", admits: "ctu"},
		"order after a completed":   {news: after(completed, order), old: "ou", target: "ou", admits: "ou"},
		"order for what serves":     {news: after(completed, orderOf(5, "v1")), old: "ctou", target: "ctou", admits: "ctou"},
		"order after a left canary": {news: after(canary3, order), old: "u", target: "u", admits: "u"},
	} {
		t.Run(name, func(t *testing.T) {
			b := NewReplica()
			b.Merge(c.news)
			traffic := b.Traffic("desk")
			who := func(may func(version, vm string) bool) (out string) {
				for _, one := range [][3]string{{"c", "v2", "vm-1"}, {"t", "v2", "vm-2"}, {"o", "v1", "vm-3"}, {"u", "v7", "vm-4"}} {
					if may(one[1], one[2]) {
						out += one[0]
					}
				}
				return out
			}
			test.Eq(t, c.old, who(func(v, vm string) bool { return traffic.Permits(LaneOld, v, vm) }))
			test.Eq(t, c.target, who(func(v, vm string) bool { return traffic.Permits(LaneTarget, v, vm) }))
			test.Eq(t, c.admits, who(traffic.PermitsAny))
			test.Eq(t, c.again, traffic.RetryLane())
			if traffic == nil || traffic.mode != divided {
				test.Eq(t, c.next, traffic.AssignLane("r"))
			}
		})
	}
}

// TestSharesHoldInSumOverManyEntriesWithFewRequests: 50 entries with 20 requests each
// of each of three routes. Independent draws would be off by 13 requests in the middle
// of 180; the sequences' starts are random, so the bound is five times their own spread.
func TestSharesHoldInSumOverManyEntriesWithFewRequests(t *testing.T) {
	plan := planOf(orderOf(5, "v2"), 6, Canary)
	plan.PerMille = 60
	sum := 0
	for range 50 {
		traffic := trafficOf(&plan)
		for range 20 {
			for _, route := range []string{"a", "b", "c"} {
				sum += int(traffic.AssignLane(route))
			}
		}
	}
	test.Between(t, 180-35, sum, 180+35)
}

// TestOneEntryKeepsTheShareOfEachRoute within two requests after any number of them.
func TestOneEntryKeepsTheShareOfEachRoute(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		plan := planOf(orderOf(5, "v2"), 6, Canary)
		plan.PerMille = rapid.Uint32Range(0, 200).Draw(t, "share")
		n := rapid.IntRange(1, 5000).Draw(t, "requests")
		traffic, got := trafficOf(&plan), 0
		for range n {
			got += int(traffic.AssignLane("a"))
		}
		want := float64(n) * float64(plan.PerMille) / 1000
		must.Between(t, want-3, float64(got), want+3)
	})
}

// TestTheHotPathDoesNotAllocate in any phase.
func TestTheHotPathDoesNotAllocate(t *testing.T) {
	for phase := Waiting; phase <= RolledBack; phase++ {
		plan := planOf(orderOf(5, "v2"), 6, phase)
		traffic := trafficOf(&plan)
		test.Eq(t, 0, testing.AllocsPerRun(100, func() {
			lane := traffic.AssignLane("form-load")
			_ = traffic.Permits(lane, "v2", "vm-1") && traffic.PermitsAny("v1", "vm-2")
			_ = traffic.RetryLane()
		}))
	}
}
