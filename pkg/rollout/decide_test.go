package rollout

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// usualSlack is the number of requests that a bad version may get besides the share.
const usualSlack = 50

var usualLimits = Limits{MaxBadShare: 0.1, StopWithin: 5 * time.Second}

// fleet is n ready backend servers of a version with twelve slots each.
func fleet(version string, n int) (out []Server) {
	for i := range n {
		out = append(out, Server{VM: fmt.Sprintf("%s-%02d", version, i), Version: version, Slots: 12, Ready: true})
	}
	return out
}

// with returns the backend servers with a change made to those of a version.
func with(servers []Server, version string, change func(s *Server)) []Server {
	out := append([]Server(nil), servers...)
	for i := range out {
		if out[i].Version == version {
			change(&out[i])
		}
	}
	return out
}

func both(n int) []Server { return append(fleet("v1", n), fleet("v2", n)...) }

func empty(s *Server)    { s.Drained = true }
func lost(s *Server)     { s.Ready, s.Unreachable = false, true }
func notReady(s *Server) { s.Ready = false }

// at is a plan of the order in a phase: begun at 100 s, to end at 160 s.
func at(phase Phase) Plan {
	return Plan{
		Service: "desk", Target: "v2", Old: []string{"v1"}, Order: 5, Revision: 6, Phase: phase,
		Canaries: []string{"v2-00", "v2-01"}, PerMille: 66, Slots: 360,
		Began: 100 * time.Second, Since: 100 * time.Second, Deadline: 160 * time.Second,
	}
}

// TestTransitions: each phase with what moves it on, and what does not.
func TestTransitions(t *testing.T) {
	enough, bad := Verdict{EnoughRuns: true}, Verdict{Bad: true, Cause: "failures"}
	order := orderOf(5, "v2")
	all := both(30)
	drained := with(all, "v1", empty)
	for name, c := range map[string]struct {
		now     float64
		order   Order
		plan    Plan
		verdict Verdict
		servers []Server
		want    Phase
		cause   string
		same    bool
	}{
		"waiting, none ready":              {now: 110, plan: at(Waiting), servers: fleet("v1", 30), want: Waiting, same: true},
		"waiting, an evacuated target":     {now: 110, plan: at(Waiting), servers: with(all, "v2", notReady), want: Waiting, same: true},
		"waiting, one ready":               {now: 110, plan: at(Waiting), servers: append(fleet("v1", 30), fleet("v2", 1)...), want: Canary, cause: "1 backend servers"},
		"waiting, nobody runs the target":  {now: 159, plan: at(Waiting), servers: fleet("v1", 30), want: RolledBack, cause: "ready in time"},
		"waiting, stopped":                 {now: 110, plan: at(Waiting), verdict: bad, servers: all, want: RolledBack, cause: "failures"},
		"canary, enough but early":         {now: 151.9, plan: at(Canary), verdict: enough, servers: all, want: Canary, same: true},
		"canary, enough and time":          {now: 152, plan: at(Canary), verdict: enough, servers: all, want: Switching, cause: "360 slots ready, 288 needed"},
		"canary, time, not enough runs":    {now: 152, plan: at(Canary), servers: all, want: Canary, same: true},
		"canary, too late to switch":       {now: 158, plan: at(Canary), verdict: enough, servers: all, want: Canary, same: true},
		"canary, too few runs to the end":  {now: 159, plan: at(Canary), servers: all, want: RolledBack, cause: "too few runs"},
		"canary, too few slots":            {now: 152, plan: at(Canary), verdict: enough, servers: append(fleet("v1", 30), fleet("v2", 23)...), want: Canary, same: true},
		"canary, too few slots to the end": {now: 159, plan: at(Canary), verdict: enough, servers: append(fleet("v1", 30), fleet("v2", 23)...), want: RolledBack, cause: "276 ready, 288 needed"},
		"canary, fewer slots do for little work": {now: 152, plan: at(Canary), verdict: enough, want: Switching, cause: "120 slots ready, 90 needed",
			servers: append(with(fleet("v1", 30), "v1", func(s *Server) { s.PeakBusySlots = 2 }), fleet("v2", 10)...)},
		"canary, bad":                      {now: 120, plan: at(Canary), verdict: Verdict{Bad: true, EnoughRuns: true, Cause: "slow"}, servers: all, want: RolledBack, cause: "slow"},
		"canary, order taken away":         {now: 120, order: Order{Service: "none"}, plan: at(Canary), servers: all, want: RolledBack, cause: "taken away"},
		"canary, an older order":           {now: 120, order: orderOf(4, "v3"), plan: at(Canary), servers: all, want: Canary, same: true},
		"canary, an older order's verdict": {now: 120, order: orderOf(4, "v3"), plan: at(Canary), verdict: bad, servers: all, want: Canary, same: true},
		"switching, old ones busy":         {now: 153, plan: at(Switching), servers: all, want: Switching, same: true},
		"switching, empty, not watched":    {now: 101, plan: at(Switching), servers: drained, want: Switching, same: true},
		"switching, empty":                 {now: 102, plan: at(Switching), servers: drained, want: Completed, cause: "empty; 0 of them lost"},
		"switching, lost ones, early":      {now: 153, plan: at(Switching), servers: with(all, "v1", lost), want: Switching, same: true},
		"switching, lost ones, late":       {now: 159, plan: at(Switching), servers: with(all, "v1", lost), want: Completed, cause: "30 of them lost"},
		"switching, busy near the end":     {now: 159.5, plan: at(Switching), servers: all, want: Switching, same: true},
		"switching, busy at the end":       {now: 160, plan: at(Switching), servers: all, want: RolledBack, cause: "30 backend servers of other versions"},
		"switching, empty after the end":   {now: 170, plan: at(Switching), servers: drained, want: Completed},
		"switching, target gone":           {now: 153, plan: at(Switching), servers: with(drained, "v2", notReady), want: RolledBack, cause: "ready any more"},
		"switching, target much smaller":   {now: 153, plan: at(Switching), servers: append(drained[:30:30], fleet("v2", 20)...), want: Switching, same: true},
		"the same to the end":              {now: 160, plan: at(Switching), servers: append(drained[:30:30], fleet("v2", 20)...), want: RolledBack, cause: "240 ready, 360 at the switch"},
		"switching, bad":                   {now: 153, plan: at(Switching), verdict: bad, servers: drained, want: RolledBack, cause: "failures"},
		"switching, a third version runs":  {now: 153, plan: at(Switching), servers: append(drained, fleet("v9", 1)...), want: Switching},
		"completed, bad":                   {now: 153, plan: at(Completed), verdict: bad, servers: all, want: Completed, same: true},
		"completed, order taken away":      {now: 153, order: Order{Service: "none"}, plan: at(Completed), servers: all, want: Completed, same: true},
		"rolled back, enough":              {now: 153, plan: at(RolledBack), verdict: enough, servers: all, want: RolledBack, same: true},
	} {
		t.Run(name, func(t *testing.T) {
			if c.order.Service == "" {
				c.order = order
			}
			next, changed := Decide(time.Duration(c.now*float64(time.Second)), c.order, c.plan, c.verdict, c.servers, usualLimits)
			test.Eq(t, c.want, next.Phase)
			test.Eq(t, c.plan.Revision, next.Revision)
			if c.same {
				test.False(t, changed)
				test.Eq(t, c.plan, next)
				return
			}
			test.True(t, changed)
			test.True(t, strings.Contains(next.Cause, c.cause), test.Sprint(next.Cause))
		})
	}
}

// TestTheFirstPlanOfAnOrder goes on to canaries in the same write where it can.
func TestTheFirstPlanOfAnOrder(t *testing.T) {
	next, changed := Decide(100*time.Second, orderOf(5, "v2"), Plan{}, Verdict{}, both(30), usualLimits)
	must.True(t, changed)
	test.Eq(t, Plan{
		Service: "desk", Target: "v2", Old: []string{"v1"}, Order: 5, Phase: Canary,
		Canaries: []string{"v2-00", "v2-01"}, PerMille: 66, Cause: "30 backend servers of the version are ready",
		Began: 100 * time.Second, Since: 100 * time.Second, Deadline: 160 * time.Second,
	}, next)
}

// TestALaterOrderTakesThePlaceOfARunningPlan: the version that was tried is left.
func TestALaterOrderTakesThePlaceOfARunningPlan(t *testing.T) {
	servers := append(both(3), fleet("v3", 3)...)
	next, changed := Decide(120*time.Second, orderOf(9, "v3"), at(Canary), Verdict{Bad: true}, servers, usualLimits)
	must.True(t, changed)
	test.Eq(t, Canary, next.Phase)
	test.Eq(t, []string{"v1"}, next.Old)
	test.Eq(t, []string{"v2"}, next.Barred)
	test.Eq(t, 180*time.Second, next.Deadline)
	test.Eq(t, 6, next.Revision)

	completed := at(Completed)
	next, _ = Decide(300*time.Second, orderOf(9, "v3"), completed, Verdict{}, servers, usualLimits)
	test.Eq(t, []string{"v2"}, next.Old)
	test.Eq(t, []string{"v1"}, next.Barred)
}

// TestAnOrderBackToTheVersionThatServes sends it all requests at once, and is complete
// when nothing runs elsewhere.
func TestAnOrderBackToTheVersionThatServes(t *testing.T) {
	next, _ := Decide(120*time.Second, orderOf(9, "v1"), at(Canary), Verdict{}, both(3), usualLimits)
	test.Eq(t, Switching, next.Phase)
	test.SliceEmpty(t, next.Old)
	test.Eq(t, []string{"v2"}, next.Barred)
	next, changed := Decide(122*time.Second, orderOf(9, "v1"), next, Verdict{}, with(both(3), "v2", empty), usualLimits)
	test.True(t, changed)
	test.Eq(t, Completed, next.Phase)
}

// TestAVersionThatRunsAlone: the order is complete at once where all have said their
// versions; else it is switched to once no other one has shown itself.
func TestAVersionThatRunsAlone(t *testing.T) {
	next, changed := Decide(100*time.Second, orderOf(5, "v2"), Plan{}, Verdict{}, fleet("v2", 3), usualLimits)
	test.True(t, changed)
	test.Eq(t, Completed, next.Phase)
	test.SliceEmpty(t, next.Old)
	next, changed = Decide(100*time.Second, orderOf(5, "v2"), Plan{}, Verdict{}, append(fleet("v2", 3), fleet("", 1)...), usualLimits)
	test.True(t, changed)
	test.Eq(t, Waiting, next.Phase)
	test.SliceEmpty(t, next.Old)
	_, changed = Decide(101*time.Second, orderOf(5, "v2"), next, Verdict{}, fleet("v2", 3), usualLimits)
	test.False(t, changed)
	next, _ = Decide(102*time.Second, orderOf(5, "v2"), next, Verdict{}, fleet("v2", 3), usualLimits)
	test.Eq(t, Switching, next.Phase)
}

// TestACanaryThatLeavesIsReplaced, and the others stay.
func TestACanaryThatLeavesIsReplaced(t *testing.T) {
	servers := both(30)
	servers[30].Ready = false
	next, changed := Decide(120*time.Second, orderOf(5, "v2"), at(Canary), Verdict{}, servers, usualLimits)
	test.True(t, changed)
	test.Eq(t, []string{"v2-01", "v2-02"}, next.Canaries)
	test.Eq(t, 100*time.Second, next.Since)
	next, changed = Decide(120*time.Second, orderOf(5, "v2"), at(Canary), Verdict{}, with(servers, "v2", notReady), usualLimits)
	test.True(t, changed)
	test.SliceEmpty(t, next.Canaries)
	test.Eq(t, 0, next.PerMille)
}

// TestCanariesCarryTheirLaterLoad, as far as the share allows.
func TestCanariesCarryTheirLaterLoad(t *testing.T) {
	for _, c := range []struct {
		old, target, canaries int
		duration              time.Duration
		perMille              uint32
	}{
		{old: 30, target: 30, duration: 12 * time.Second, canaries: 1, perMille: 33},
		{old: 30, target: 30, duration: 60 * time.Second, canaries: 2, perMille: 66},
		{old: 20, target: 20, duration: 12 * time.Second, canaries: 1, perMille: 50},
		{old: 8, target: 8, duration: 12 * time.Second, canaries: 1, perMille: 60},
		{old: 8, target: 8, duration: 60 * time.Second, canaries: 1, perMille: 90},
		{old: 30, target: 1, duration: 60 * time.Second, canaries: 1, perMille: 33},
		{old: 8, target: 8, duration: 4 * time.Second, canaries: 1, perMille: 10},
		{old: 300, target: 300, duration: time.Hour, canaries: 8, perMille: 26},
	} {
		order := orderOf(5, "v2")
		order.Duration = c.duration
		next, _ := Decide(100*time.Second, order, Plan{}, Verdict{}, append(fleet("v1", c.old), fleet("v2", c.target)...), usualLimits)
		test.Len(t, c.canaries, next.Canaries)
		test.Eq(t, c.perMille, next.PerMille, test.Sprint(c))
	}
}

// TestTwoServicesAtOnce: a decision reads nothing but its own service's.
func TestTwoServicesAtOnce(t *testing.T) {
	other := orderOf(7, "v2")
	other.Service = "book"
	a, _ := Decide(100*time.Second, orderOf(5, "v2"), Plan{}, Verdict{}, both(30), usualLimits)
	b, _ := Decide(100*time.Second, other, Plan{}, Verdict{}, both(8), usualLimits)
	test.Eq(t, "desk", a.Service)
	test.Eq(t, "book", b.Service)
	test.Eq(t, []string{"v2-00"}, b.Canaries)
}
