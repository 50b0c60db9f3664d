package rollout

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// TestErrorRates: what good and bad versions get, at the rates of a service of 370
// requests a second with a canary of 0.05, the usual failures and slow runs at their
// floors, which is the worst case for false alarms. Played with -rollouts 2000 the
// figures are those of docs/design/rollout.md.
func TestErrorRates(t *testing.T) {
	for name, c := range map[string]struct {
		version    version
		most, runs float64
	}{
		"good":                       {},
		"fails three in ten":         {version: version{failing: 0.3}, runs: 22},
		"fails one in ten":           {version: version{failing: 0.1}, runs: 150},
		"takes three times as long":  {version: version{tardy: 1, times: 3}, runs: 20},
		"three in ten take fourfold": {version: version{tardy: 0.3, times: 4}, runs: 45},
		"bad after half a minute":    {version: version{failing: 0.3, from: 30 * time.Second}, runs: 22},
		"bad on one route":           {version: version{failing: 0.3, route: "check"}, runs: 30},
	} {
		t.Run(name, func(t *testing.T) {
			alarms, runs, delay, longest := 0, 0.0, 0.0, time.Duration(0)
			for seed := range *rollOuts {
				p := newPlay(uint64(seed))
				verdict, at := p.until(time.Minute, c.version)
				if verdict.Bad && name == "good" {
					t.Log(seed, at, verdict.Cause)
				}
				if !verdict.Bad {
					test.True(t, verdict.EnoughRuns)
					continue
				}
				alarms++
				since := at - max(c.version.from, tick) + tick
				delay += since.Seconds()
				longest = max(longest, since)
				// Runs of the route that is bad since then, less those that came while the
				// reports waited.
				runs += 0.05 * 194 * max(since-time.Duration(weighAfter), 0).Seconds()
			}
			n := float64(max(alarms, 1))
			t.Logf(name+": told %d of %d, %.1f runs of a route, %.2f s in the middle, %.2f at the longest", alarms, *rollOuts, runs/n, delay/n, longest.Seconds())
			if c.version == (version{}) {
				test.LessEq(t, *rollOuts/2000, alarms)
				return
			}
			test.Eq(t, *rollOuts, alarms)
			test.LessEq(t, c.runs, runs/n)
		})
	}
}

// TestDelays of three services of 30, 20 and 8 backend servers, with the canaries' share
// of a roll-out of 12 s: when a bad version is told, when a good one has shown enough.
func TestDelays(t *testing.T) {
	for name, l := range map[string]load{
		"30": {routes: map[string]float64{"load": 460}, share: 0.033, work: 140 * time.Millisecond},
		"20": {routes: map[string]float64{"submit": 176, "check": 194}, share: 0.05, work: 100 * time.Millisecond},
		"8":  {routes: map[string]float64{"lodge": 144, "check": 146}, share: 0.06, work: 70 * time.Millisecond},
	} {
		for kind, v := range map[string]version{"failing": {failing: 0.3}, "slow": {tardy: 1, times: 3}, "good": {}} {
			sum, longest := 0.0, 0.0
			for seed := range *rollOuts {
				p := newPlay(uint64(seed))
				p.load = l
				at := time.Duration(0)
				for verdict := (Verdict{}); !verdict.Bad && !verdict.EnoughRuns || kind != "good" && !verdict.Bad; {
					must.Less(t, time.Minute, at)
					verdict, at = p.tick(at, v)
				}
				sum += at.Seconds()
				longest = max(longest, at.Seconds())
			}
			mean := sum / float64(*rollOuts)
			t.Logf("%s backend servers, %s: %.2f s in the middle, %.2f at the longest", name, kind, mean, longest)
			test.LessEq(t, usualLimits.StopWithin.Seconds(), mean)
		}
	}
}

// TestWhatIsNoEvidence against a version, each over a whole roll-out.
func TestWhatIsNoEvidence(t *testing.T) {
	for name, prepare := range map[string]func(p *play){
		"a fault that strikes both": func(p *play) { p.struck, p.struckFrom, p.struckTo = 0.6, 20*time.Second, 30*time.Second },
		"a fault of both, told late by the old ones": func(p *play) {
			p.late, p.struck, p.struckFrom, p.struckTo = true, 0.9, 20*time.Second, 30*time.Second
		},
		"connections reset at one moment": func(p *play) {
			p.each = func(p *play, at time.Duration) {
				for i := 0; at == 20*time.Second && i < 12; i++ {
					p.target.Count(Outcome{Route: "check", Failed: true})
				}
			}
		},
		"runs that a slow spell overtakes": func(p *play) {
			p.each = func(p *play, at time.Duration) {
				for i := 0; at%(5*time.Second) == 0 && i < 9; i++ {
					p.target.Count(Outcome{Route: "check", Duration: 500 * time.Millisecond, StartSlowdown: 100, PeakSlowdown: 500})
				}
			}
		},
		"slow spells": func(p *play) {
			p.each = func(p *play, at time.Duration) {
				for i := 0; i < 4; i++ {
					p.target.Count(Outcome{Route: "check", Duration: 500 * time.Millisecond, StartSlowdown: 500})
				}
			}
		},
		"a cold start": func(p *play) {
			p.each = func(p *play, at time.Duration) {
				for i := 0; at < 3*time.Second && i < 4; i++ {
					p.target.Count(Outcome{Route: "check", Duration: 300 * time.Millisecond, Cold: true})
				}
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(20) {
				p := newPlay(seed)
				prepare(p)
				verdict, at := p.until(time.Minute, version{})
				test.False(t, verdict.Bad, test.Sprint(seed, at, verdict.Cause))
			}
		})
	}
}

// TestABadVersionBesideAFaultOfBoth is told once the fault is over.
func TestABadVersionBesideAFaultOfBoth(t *testing.T) {
	p := newPlay(1)
	p.struck, p.struckFrom, p.struckTo = 0.6, 5*time.Second, 10*time.Second
	verdict, _ := p.until(time.Minute, version{failing: 0.6, from: 8 * time.Second})
	test.True(t, verdict.Bad)
}

// TestABadVersionWithoutAReference: while switching nobody runs requests at the old
// versions; what they did before is the reference, with a wider bound.
func TestABadVersionWithoutAReference(t *testing.T) {
	for name, bad := range map[string]version{
		"failing": {failing: 0.3, from: 20 * time.Second},
		"slow":    {tardy: 1, times: 3, from: 20 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPlay(2)
			p.each = func(p *play, at time.Duration) {
				if at >= 20*time.Second {
					p.load.share = 1
				}
			}
			verdict, at := p.until(time.Minute, bad)
			test.True(t, verdict.Bad)
			test.LessEq(t, 22*time.Second, at)
		})
	}
	p := newPlay(3)
	p.load.share = 1
	verdict, _ := p.until(time.Minute, version{failing: 0.3})
	test.True(t, verdict.Bad, test.Sprint("nothing was ever heard of old versions"))
}

// TestEnoughRuns: a version that fails three in ten on one route is told within them
// mostly, one that fails three in ten on two routes nearly always.
func TestEnoughRuns(t *testing.T) {
	for _, c := range []struct {
		version version
		least   float64
	}{
		{version: version{failing: 0.3, route: "check"}, least: 0.85},
		{version: version{failing: 0.3}, least: 0.95},
		{version: version{tardy: 1, times: 3}, least: 0.99},
	} {
		within := 0
		for seed := range *rollOuts {
			_, at := newPlay(uint64(seed)).until(time.Minute, c.version)
			if 0.05*194*(at-time.Duration(weighAfter)).Seconds() <= enoughRuns {
				within++
			}
		}
		t.Logf("%+v: told within %d runs: %d of %d", c.version, enoughRuns, within, *rollOuts)
		test.GreaterEq(t, c.least*float64(*rollOuts), float64(within))
	}
}

// TestEnoughNeedsEachRoute, and half of its runs with a time that counts.
func TestEnoughNeedsEachRoute(t *testing.T) {
	p := newPlay(4)
	p.load.share = 0
	verdict, _ := p.until(5*time.Second, version{})
	test.False(t, verdict.EnoughRuns)
	note := func(route string, cold bool) {
		for range enoughRuns {
			p.target.Count(Outcome{Route: route, Duration: 100 * time.Millisecond, Cold: cold})
		}
	}
	note("check", false)
	note("submit", true)
	test.False(t, p.report(6*time.Second).EnoughRuns)
	note("submit", false)
	test.True(t, p.report(7*time.Second).EnoughRuns)
}

func TestNothingIsEnoughBeforeAnOldVersionHasReported(t *testing.T) {
	j := NewEvaluator(orderOf(5, "v2"))
	test.False(t, j.Verdict(int64(time.Hour)).EnoughRuns)
}

// TestReports: old ones, those of another order, and those of a process that began
// anew.
func TestReports(t *testing.T) {
	report := func(process uint64, seq, runs uint32) Report {
		return Report{Service: "desk", Order: 5, VM: "a", Version: "v2", Process: process, Seq: seq, Routes: []RouteCounts{{Route: "r", Runs: runs}}}
	}
	j := NewEvaluator(orderOf(5, "v2"))
	j.AddReport(1, report(1, 2, 10))
	j.AddReport(1, report(1, 2, 10))
	j.AddReport(1, report(1, 1, 6))
	j.AddReport(1, report(2, 1, 4))
	j.AddReport(1, report(1, 3, 12))
	other := report(1, 9, 99)
	other.Order = 4
	j.AddReport(1, other)
	broken := report(1, 10, 3)
	broken.Routes[0].Failures = 7
	j.AddReport(1, broken)
	must.MapContainsKey(t, j.routes, "r")
	test.Eq(t, 16, j.routes["r"].total.runs)
}

func TestAStopNamesItsOrder(t *testing.T) {
	order := orderOf(5, "v2")
	_, ok := Verdict{EnoughRuns: true}.Stop(order)
	test.False(t, ok)
	stop, ok := Verdict{Bad: true, Cause: "failures"}.Stop(order)
	test.True(t, ok)
	test.Eq(t, Stop{Service: "desk", Order: 5, Cause: "failures"}, stop)
	test.Eq(t, Verdict{Bad: true, Cause: "failures"}, stop.Verdict())
}
