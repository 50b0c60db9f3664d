package rollout

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// requestSlack is the number of requests that a bad version may get besides MaxBadShare.
const requestSlack = 50

var testLimits = Limits{MaxBadShare: 0.1, StopWithin: 5 * time.Second}

// serversOf returns n ready backend servers of a version with twelve slots each.
func serversOf(version string, n int) (out []Server) {
	for i := range n {
		out = append(out, Server{VM: fmt.Sprintf("%s-%02d", version, i), Version: version, Slots: 12, Ready: true})
	}
	return out
}

// withChange returns a copy of the backend servers in which those of a version are
// changed.
func withChange(servers []Server, version string, change func(s *Server)) []Server {
	out := append([]Server(nil), servers...)
	for i := range out {
		if out[i].Version == version {
			change(&out[i])
		}
	}
	return out
}

// bothVersions returns n ready backend servers of the old version and n of the new one.
func bothVersions(n int) []Server { return append(serversOf("v1", n), serversOf("v2", n)...) }

func setDrained(s *Server)     { s.Drained = true }
func setUnreachable(s *Server) { s.Ready, s.Unreachable = false, true }
func setNotReady(s *Server)    { s.Ready = false }

// planIn returns a plan of order 5 in a phase. The order was seen at 100 s, and its
// deadline is at 160 s.
func planIn(phase Phase) Plan {
	return Plan{
		Service: "desk", Target: "v2", Old: []string{"v1"}, Order: 5, Revision: 6, Phase: phase,
		Canaries: []string{"v2-00", "v2-01"}, PerMille: 66, Slots: 360,
		Began: 100 * time.Second, Since: 100 * time.Second, Deadline: 160 * time.Second,
	}
}

// TestTransitions checks for each phase what moves the plan to another one, and what does
// not.
func TestTransitions(t *testing.T) {
	enough, bad := Verdict{EnoughRuns: true}, Verdict{Bad: true, Cause: "failures"}
	order := orderOf(5, "v2")
	all := bothVersions(30)
	drained := withChange(all, "v1", setDrained)
	for name, c := range map[string]struct {
		now       float64
		order     Order
		plan      Plan
		verdict   Verdict
		servers   []Server
		want      Phase
		cause     string
		unchanged bool
	}{
		"waiting, none ready":                      {now: 110, plan: planIn(Waiting), servers: serversOf("v1", 30), want: Waiting, unchanged: true},
		"waiting, an evacuated target":             {now: 110, plan: planIn(Waiting), servers: withChange(all, "v2", setNotReady), want: Waiting, unchanged: true},
		"waiting, one ready":                       {now: 110, plan: planIn(Waiting), servers: append(serversOf("v1", 30), serversOf("v2", 1)...), want: Canary, cause: "1 backend servers"},
		"waiting, no backend server of the target": {now: 159, plan: planIn(Waiting), servers: serversOf("v1", 30), want: RolledBack, cause: "ready in time"},
		"waiting, stopped":                         {now: 110, plan: planIn(Waiting), verdict: bad, servers: all, want: RolledBack, cause: "failures"},
		"canary, enough runs, too early to switch": {now: 151.9, plan: planIn(Canary), verdict: enough, servers: all, want: Canary, unchanged: true},
		"canary, enough runs, time to switch":      {now: 152, plan: planIn(Canary), verdict: enough, servers: all, want: Switching, cause: "360 slots ready, 288 needed"},
		"canary, time to switch, too few runs":     {now: 152, plan: planIn(Canary), servers: all, want: Canary, unchanged: true},
		"canary, enough runs, too late to switch":  {now: 158, plan: planIn(Canary), verdict: enough, servers: all, want: Canary, unchanged: true},
		"canary, too few runs at the end":          {now: 159, plan: planIn(Canary), servers: all, want: RolledBack, cause: "too few runs"},
		"canary, too few slots":                    {now: 152, plan: planIn(Canary), verdict: enough, servers: append(serversOf("v1", 30), serversOf("v2", 23)...), want: Canary, unchanged: true},
		"canary, too few slots at the end":         {now: 159, plan: planIn(Canary), verdict: enough, servers: append(serversOf("v1", 30), serversOf("v2", 23)...), want: RolledBack, cause: "276 ready, 288 needed"},
		"canary, fewer slots are enough for less load": {now: 152, plan: planIn(Canary), verdict: enough, want: Switching, cause: "120 slots ready, 90 needed",
			servers: append(withChange(serversOf("v1", 30), "v1", func(s *Server) { s.PeakBusySlots = 2 }), serversOf("v2", 10)...)},
		"canary, bad":                                         {now: 120, plan: planIn(Canary), verdict: Verdict{Bad: true, EnoughRuns: true, Cause: "slow"}, servers: all, want: RolledBack, cause: "slow"},
		"canary, order taken away":                            {now: 120, order: Order{Service: "none"}, plan: planIn(Canary), servers: all, want: RolledBack, cause: "taken away"},
		"canary, an older order":                              {now: 120, order: orderOf(4, "v3"), plan: planIn(Canary), servers: all, want: Canary, unchanged: true},
		"canary, an older order's verdict":                    {now: 120, order: orderOf(4, "v3"), plan: planIn(Canary), verdict: bad, servers: all, want: Canary, unchanged: true},
		"switching, old versions not drained":                 {now: 153, plan: planIn(Switching), servers: all, want: Switching, unchanged: true},
		"switching, drained, not watched long enough":         {now: 101, plan: planIn(Switching), servers: drained, want: Switching, unchanged: true},
		"switching, drained":                                  {now: 102, plan: planIn(Switching), servers: drained, want: Completed, cause: "of another version runs requests; 0 are unreachable"},
		"switching, unreachable ones, early":                  {now: 153, plan: planIn(Switching), servers: withChange(all, "v1", setUnreachable), want: Switching, unchanged: true},
		"switching, unreachable ones, near the deadline":      {now: 159, plan: planIn(Switching), servers: withChange(all, "v1", setUnreachable), want: Completed, cause: "30 are unreachable"},
		"switching, not drained near the deadline":            {now: 159.5, plan: planIn(Switching), servers: all, want: Switching, unchanged: true},
		"switching, not drained at the deadline":              {now: 160, plan: planIn(Switching), servers: all, want: RolledBack, cause: "30 backend servers of other versions"},
		"switching, drained after the deadline":               {now: 170, plan: planIn(Switching), servers: drained, want: Completed},
		"switching, target not ready":                         {now: 153, plan: planIn(Switching), servers: withChange(drained, "v2", setNotReady), want: RolledBack, cause: "ready any more"},
		"switching, target has too few slots":                 {now: 153, plan: planIn(Switching), servers: append(drained[:30:30], serversOf("v2", 20)...), want: Switching, unchanged: true},
		"switching, target has too few slots at the deadline": {now: 160, plan: planIn(Switching), servers: append(drained[:30:30], serversOf("v2", 20)...), want: RolledBack, cause: "240 ready, 360 at the switch"},
		"switching, bad":                                      {now: 153, plan: planIn(Switching), verdict: bad, servers: drained, want: RolledBack, cause: "failures"},
		"switching, a third version joins":                    {now: 153, plan: planIn(Switching), servers: append(drained, serversOf("v9", 1)...), want: Switching},
		"completed, bad":                                      {now: 153, plan: planIn(Completed), verdict: bad, servers: all, want: Completed, unchanged: true},
		"completed, order taken away":                         {now: 153, order: Order{Service: "none"}, plan: planIn(Completed), servers: all, want: Completed, unchanged: true},
		"rolled back, enough runs":                            {now: 153, plan: planIn(RolledBack), verdict: enough, servers: all, want: RolledBack, unchanged: true},
	} {
		t.Run(name, func(t *testing.T) {
			if c.order.Service == "" {
				c.order = order
			}
			next, changed := Decide(time.Duration(c.now*float64(time.Second)), c.order, c.plan, c.verdict, c.servers, testLimits)
			test.Eq(t, c.want, next.Phase)
			test.Eq(t, c.plan.Revision, next.Revision)
			if c.unchanged {
				test.False(t, changed)
				test.Eq(t, c.plan, next)
				return
			}
			test.True(t, changed)
			test.True(t, strings.Contains(next.Cause, c.cause), test.Sprint(next.Cause))
		})
	}
}

// TestFirstPlanBeginsWithCanaries checks that the first plan of an order skips the phase
// Waiting where backend servers of the target are ready.
func TestFirstPlanBeginsWithCanaries(t *testing.T) {
	next, changed := Decide(100*time.Second, orderOf(5, "v2"), Plan{}, Verdict{}, bothVersions(30), testLimits)
	must.True(t, changed)
	test.Eq(t, Plan{
		Service: "desk", Target: "v2", Old: []string{"v1"}, Order: 5, Phase: Canary,
		Canaries: []string{"v2-00", "v2-01"}, PerMille: 66, Cause: "30 backend servers of the version are ready",
		Began: 100 * time.Second, Since: 100 * time.Second, Deadline: 160 * time.Second,
	}, next)
}

// TestLaterOrderReplacesPlan checks that the first plan of a later order keeps the versions
// that ran the requests as the old ones, and bars the others.
func TestLaterOrderReplacesPlan(t *testing.T) {
	servers := append(bothVersions(3), serversOf("v3", 3)...)
	next, changed := Decide(120*time.Second, orderOf(9, "v3"), planIn(Canary), Verdict{Bad: true}, servers, testLimits)
	must.True(t, changed)
	test.Eq(t, Canary, next.Phase)
	test.Eq(t, []string{"v1"}, next.Old)
	test.Eq(t, []string{"v2"}, next.Barred)
	test.Eq(t, 180*time.Second, next.Deadline)
	test.Eq(t, 6, next.Revision)

	completed := planIn(Completed)
	next, _ = Decide(300*time.Second, orderOf(9, "v3"), completed, Verdict{}, servers, testLimits)
	test.Eq(t, []string{"v2"}, next.Old)
	test.Eq(t, []string{"v1"}, next.Barred)
}

// TestOrderBackToServingVersionSwitchesAtOnce checks that an order back to the version that
// runs the requests begins with Switching, and completes once the others are drained.
func TestOrderBackToServingVersionSwitchesAtOnce(t *testing.T) {
	next, _ := Decide(120*time.Second, orderOf(9, "v1"), planIn(Canary), Verdict{}, bothVersions(3), testLimits)
	test.Eq(t, Switching, next.Phase)
	test.SliceEmpty(t, next.Old)
	test.Eq(t, []string{"v2"}, next.Barred)
	next, changed := Decide(122*time.Second, orderOf(9, "v1"), next, Verdict{}, withChange(bothVersions(3), "v2", setDrained), testLimits)
	test.True(t, changed)
	test.Eq(t, Completed, next.Phase)
}

// TestOrderForOnlyVersion checks that the order completes at once where all backend servers
// have reported the target version. Where one has not reported its version yet, the switch
// begins after discoveryTime.
func TestOrderForOnlyVersion(t *testing.T) {
	next, changed := Decide(100*time.Second, orderOf(5, "v2"), Plan{}, Verdict{}, serversOf("v2", 3), testLimits)
	test.True(t, changed)
	test.Eq(t, Completed, next.Phase)
	test.SliceEmpty(t, next.Old)
	next, changed = Decide(100*time.Second, orderOf(5, "v2"), Plan{}, Verdict{}, append(serversOf("v2", 3), serversOf("", 1)...), testLimits)
	test.True(t, changed)
	test.Eq(t, Waiting, next.Phase)
	test.SliceEmpty(t, next.Old)
	_, changed = Decide(101*time.Second, orderOf(5, "v2"), next, Verdict{}, serversOf("v2", 3), testLimits)
	test.False(t, changed)
	next, _ = Decide(102*time.Second, orderOf(5, "v2"), next, Verdict{}, serversOf("v2", 3), testLimits)
	test.Eq(t, Switching, next.Phase)
}

// TestCanaryThatIsNotReadyIsReplaced also checks that the other canaries stay.
func TestCanaryThatIsNotReadyIsReplaced(t *testing.T) {
	servers := bothVersions(30)
	servers[30].Ready = false
	next, changed := Decide(120*time.Second, orderOf(5, "v2"), planIn(Canary), Verdict{}, servers, testLimits)
	test.True(t, changed)
	test.Eq(t, []string{"v2-01", "v2-02"}, next.Canaries)
	test.Eq(t, 100*time.Second, next.Since)
	next, changed = Decide(120*time.Second, orderOf(5, "v2"), planIn(Canary), Verdict{}, withChange(servers, "v2", setNotReady), testLimits)
	test.True(t, changed)
	test.SliceEmpty(t, next.Canaries)
	test.Eq(t, 0, next.PerMille)
}

// TestCanariesGetTheirLoadAfterTheSwitch checks that the canaries' number and share give
// them the load per slot that they will have after the switch, as far as the largest share
// and number allow.
func TestCanariesGetTheirLoadAfterTheSwitch(t *testing.T) {
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
		next, _ := Decide(100*time.Second, order, Plan{}, Verdict{}, append(serversOf("v1", c.old), serversOf("v2", c.target)...), testLimits)
		test.Len(t, c.canaries, next.Canaries)
		test.Eq(t, c.perMille, next.PerMille, test.Sprint(c))
	}
}

// TestDecisionsOfTwoServicesAreIndependent checks that Decide keeps no state between the
// decisions on two services.
func TestDecisionsOfTwoServicesAreIndependent(t *testing.T) {
	other := orderOf(7, "v2")
	other.Service = "book"
	a, _ := Decide(100*time.Second, orderOf(5, "v2"), Plan{}, Verdict{}, bothVersions(30), testLimits)
	b, _ := Decide(100*time.Second, other, Plan{}, Verdict{}, bothVersions(8), testLimits)
	test.Eq(t, "desk", a.Service)
	test.Eq(t, "book", b.Service)
	test.Eq(t, []string{"v2-00"}, b.Canaries)
}
