package rollout

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// TestErrorRates checks how often good versions are found bad, and how many runs it takes
// to find a bad one, at a service of 370 requests a second with a canary share of 0.05.
// The baseline's rates are the minimum rates, which is the worst case for false alarms.
// The figures in docs/design/rollout.md come from runs with -rollouts 2000.
func TestErrorRates(t *testing.T) {
	for name, c := range map[string]struct {
		behaviour behaviour
		maxRuns   float64
	}{
		"good":                       {},
		"fails three in ten":         {behaviour: behaviour{failureRate: 0.3}, maxRuns: 22},
		"fails one in ten":           {behaviour: behaviour{failureRate: 0.1}, maxRuns: 150},
		"takes three times as long":  {behaviour: behaviour{slowRate: 1, slowFactor: 3}, maxRuns: 20},
		"three in ten take fourfold": {behaviour: behaviour{slowRate: 0.3, slowFactor: 4}, maxRuns: 45},
		"bad after half a minute":    {behaviour: behaviour{failureRate: 0.3, from: 30 * time.Second}, maxRuns: 22},
		"bad on one route":           {behaviour: behaviour{failureRate: 0.3, route: "check"}, maxRuns: 30},
	} {
		t.Run(name, func(t *testing.T) {
			foundBad, runs, delay, longest := 0, 0.0, 0.0, time.Duration(0)
			for seed := range *rollOutsPerCase {
				s := newSimulation(uint64(seed))
				verdict, at := s.runUntil(time.Minute, c.behaviour)
				if verdict.Bad && name == "good" {
					t.Log(seed, at, verdict.Cause)
				}
				if !verdict.Bad {
					test.True(t, verdict.EnoughRuns)
					continue
				}
				foundBad++
				since := at - max(c.behaviour.from, tickInterval) + tickInterval
				delay += since.Seconds()
				longest = max(longest, since)
				// The runs of the bad route until the alarm, without those that came during
				// the evaluation delay.
				runs += 0.05 * 194 * max(since-time.Duration(evaluationDelay), 0).Seconds()
			}
			n := float64(max(foundBad, 1))
			t.Logf(name+": found %d of %d bad, after %.1f runs of a route, %.2f s in the mean, %.2f s at most", foundBad, *rollOutsPerCase, runs/n, delay/n, longest.Seconds())
			if c.behaviour == (behaviour{}) {
				test.LessEq(t, *rollOutsPerCase/2000, foundBad)
				return
			}
			test.Eq(t, *rollOutsPerCase, foundBad)
			test.LessEq(t, c.maxRuns, runs/n)
		})
	}
}

// TestDelays checks the time until a bad version is found and until a good one has enough
// runs, at services of 30, 20 and 8 backend servers with the canaries' share of a roll-out
// of 12 s.
func TestDelays(t *testing.T) {
	for name, l := range map[string]load{
		"30": {requestRates: map[string]float64{"load": 460}, canaryShare: 0.033, medianWork: 140 * time.Millisecond},
		"20": {requestRates: map[string]float64{"submit": 176, "check": 194}, canaryShare: 0.05, medianWork: 100 * time.Millisecond},
		"8":  {requestRates: map[string]float64{"lodge": 144, "check": 146}, canaryShare: 0.06, medianWork: 70 * time.Millisecond},
	} {
		for kind, v := range map[string]behaviour{"failing": {failureRate: 0.3}, "slow": {slowRate: 1, slowFactor: 3}, "good": {}} {
			sum, longest := 0.0, 0.0
			for seed := range *rollOutsPerCase {
				s := newSimulation(uint64(seed))
				s.load = l
				at := time.Duration(0)
				for verdict := (Verdict{}); !verdict.Bad && !verdict.EnoughRuns || kind != "good" && !verdict.Bad; {
					must.Less(t, time.Minute, at)
					verdict, at = s.tick(at, v)
				}
				sum += at.Seconds()
				longest = max(longest, at.Seconds())
			}
			mean := sum / float64(*rollOutsPerCase)
			t.Logf("%s backend servers, %s: %.2f s in the mean, %.2f s at most", name, kind, mean, longest)
			test.LessEq(t, testLimits.StopWithin.Seconds(), mean)
		}
	}
}

// TestExternalCausesAreNoEvidence checks that failures and slow runs which the new version
// does not cause raise no alarm during a whole roll-out.
func TestExternalCausesAreNoEvidence(t *testing.T) {
	for name, prepare := range map[string]func(s *simulation){
		"a fault that affects both versions": func(s *simulation) { s.faultRate, s.faultFrom, s.faultTo = 0.6, 20*time.Second, 30*time.Second },
		"a fault of both versions, reported late by the old ones": func(s *simulation) {
			s.oldReportsLate, s.faultRate, s.faultFrom, s.faultTo = true, 0.9, 20*time.Second, 30*time.Second
		},
		"connections reset at one moment": func(s *simulation) {
			s.beforeTick = func(s *simulation, at time.Duration) {
				for i := 0; at == 20*time.Second && i < 12; i++ {
					s.target.Count(Outcome{Route: "check", Failed: true})
				}
			}
		},
		"a slowdown reported during the runs": func(s *simulation) {
			s.beforeTick = func(s *simulation, at time.Duration) {
				for i := 0; at%(5*time.Second) == 0 && i < 9; i++ {
					s.target.Count(Outcome{Route: "check", Duration: 500 * time.Millisecond, StartSlowdown: 100, PeakSlowdown: 500})
				}
			}
		},
		"a slowdown reported before the runs": func(s *simulation) {
			s.beforeTick = func(s *simulation, at time.Duration) {
				for i := 0; i < 4; i++ {
					s.target.Count(Outcome{Route: "check", Duration: 500 * time.Millisecond, StartSlowdown: 500})
				}
			}
		},
		"a cold start": func(s *simulation) {
			s.beforeTick = func(s *simulation, at time.Duration) {
				for i := 0; at < 3*time.Second && i < 4; i++ {
					s.target.Count(Outcome{Route: "check", Duration: 300 * time.Millisecond, Cold: true})
				}
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(20) {
				s := newSimulation(seed)
				prepare(s)
				verdict, at := s.runUntil(time.Minute, behaviour{})
				test.False(t, verdict.Bad, test.Sprint(seed, at, verdict.Cause))
			}
		})
	}
}

// TestBadVersionIsFoundAfterCommonFault checks that a version that turns bad during a fault
// of both versions is found bad once that fault is over.
func TestBadVersionIsFoundAfterCommonFault(t *testing.T) {
	s := newSimulation(1)
	s.faultRate, s.faultFrom, s.faultTo = 0.6, 5*time.Second, 10*time.Second
	verdict, _ := s.runUntil(time.Minute, behaviour{failureRate: 0.6, from: 8 * time.Second})
	test.True(t, verdict.Bad)
}

// TestBadVersionIsFoundWithStaleBaseline checks that a bad version is found while the old
// versions run nothing, as after the switch: the baseline is that of their earlier runs,
// with higher minimum rates.
func TestBadVersionIsFoundWithStaleBaseline(t *testing.T) {
	for name, bad := range map[string]behaviour{
		"failing": {failureRate: 0.3, from: 20 * time.Second},
		"slow":    {slowRate: 1, slowFactor: 3, from: 20 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(2)
			s.beforeTick = func(s *simulation, at time.Duration) {
				if at >= 20*time.Second {
					s.load.canaryShare = 1
				}
			}
			verdict, at := s.runUntil(time.Minute, bad)
			test.True(t, verdict.Bad)
			test.LessEq(t, 22*time.Second, at)
		})
	}
	s := newSimulation(3)
	s.load.canaryShare = 1
	verdict, _ := s.runUntil(time.Minute, behaviour{failureRate: 0.3})
	test.True(t, verdict.Bad, test.Sprint("without any report of an old version"))
}

// TestEnoughRuns checks how often a bad version is found within minRuns of a route: mostly
// where it fails 30% of the runs of one route, and nearly always where it fails those of
// two routes or is slow.
func TestEnoughRuns(t *testing.T) {
	for _, c := range []struct {
		behaviour behaviour
		minShare  float64
	}{
		{behaviour: behaviour{failureRate: 0.3, route: "check"}, minShare: 0.85},
		{behaviour: behaviour{failureRate: 0.3}, minShare: 0.95},
		{behaviour: behaviour{slowRate: 1, slowFactor: 3}, minShare: 0.99},
	} {
		within := 0
		for seed := range *rollOutsPerCase {
			_, at := newSimulation(uint64(seed)).runUntil(time.Minute, c.behaviour)
			if 0.05*194*(at-time.Duration(evaluationDelay)).Seconds() <= minRuns {
				within++
			}
		}
		t.Logf("%+v: found bad within %d runs: %d of %d", c.behaviour, minRuns, within, *rollOutsPerCase)
		test.GreaterEq(t, c.minShare*float64(*rollOutsPerCase), float64(within))
	}
}

// TestEachRouteNeedsEnoughRuns checks that each route needs enough runs, and half as many
// in the histogram of durations, which leaves out cold runs.
func TestEachRouteNeedsEnoughRuns(t *testing.T) {
	s := newSimulation(4)
	s.load.canaryShare = 0
	verdict, _ := s.runUntil(5*time.Second, behaviour{})
	test.False(t, verdict.EnoughRuns)
	count := func(route string, cold bool) {
		for range minRuns {
			s.target.Count(Outcome{Route: route, Duration: 100 * time.Millisecond, Cold: cold})
		}
	}
	count("check", false)
	count("submit", true)
	test.False(t, s.exchangeReports(6*time.Second).EnoughRuns)
	count("submit", false)
	test.True(t, s.exchangeReports(7*time.Second).EnoughRuns)
}

func TestNoRunsAreEnoughBeforeReportOfOldVersion(t *testing.T) {
	e := NewEvaluator(orderOf(5, "v2"))
	test.False(t, e.Verdict(int64(time.Hour)).EnoughRuns)
}

// TestAddReportCountsEachRunOnce checks that runs are counted once where reports come
// again or out of order, that those of a restarted process are added, and that reports of
// another order and invalid ones are ignored.
func TestAddReportCountsEachRunOnce(t *testing.T) {
	report := func(process uint64, seq, runs uint32) Report {
		return Report{Service: "desk", Order: 5, VM: "a", Version: "v2", Process: process, Seq: seq, Routes: []RouteCounts{{Route: "r", Runs: runs}}}
	}
	e := NewEvaluator(orderOf(5, "v2"))
	e.AddReport(1, report(1, 2, 10))
	e.AddReport(1, report(1, 2, 10))
	e.AddReport(1, report(1, 1, 6))
	e.AddReport(1, report(2, 1, 4))
	e.AddReport(1, report(1, 3, 12))
	other := report(1, 9, 99)
	other.Order = 4
	e.AddReport(1, other)
	invalid := report(1, 10, 3)
	invalid.Routes[0].Failures = 7
	e.AddReport(1, invalid)
	must.MapContainsKey(t, e.routes, "r")
	test.Eq(t, 16, e.routes["r"].total.runs)
}

func TestBadVerdictStopsItsOrder(t *testing.T) {
	order := orderOf(5, "v2")
	_, ok := Verdict{EnoughRuns: true}.Stop(order)
	test.False(t, ok)
	stop, ok := Verdict{Bad: true, Cause: "failures"}.Stop(order)
	test.True(t, ok)
	test.Eq(t, Stop{Service: "desk", Order: 5, Cause: "failures"}, stop)
	test.Eq(t, Verdict{Bad: true, Cause: "failures"}, stop.Verdict())
}
