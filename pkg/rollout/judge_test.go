package rollout

import (
	"flag"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

var rollOuts = flag.Int("rollouts", 60, "roll-outs that TestErrorRates plays of each kind")

const tick = 250 * time.Millisecond

// version is how a version runs requests: the part that fails and the part that takes
// times as long, from a time on, on one route or all ("").
type version struct {
	failing, tardy, times float64
	from                  time.Duration
	route                 string
}

// load is the requests of a service by route, of which the canary gets a share.
type load struct {
	routes map[string]float64
	share  float64
	// work is how long a run takes in the middle.
	work time.Duration
}

// returns is a service of 20 backend servers at 370 requests a second.
func returns() load {
	return load{routes: map[string]float64{"submit": 176, "check": 194}, share: 0.05, work: 100 * time.Millisecond}
}

// play is one roll-out as its judge sees it: one canary and the old versions, whose
// reports are one here.
type play struct {
	judge       *Judge
	old, target *Recorder
	rng         *rand.Rand
	load        load
	// usual is the part of all runs that fails, struck the part at both versions within
	// a time.
	usual, struck        float64
	struckFrom, struckTo time.Duration
	// each is called with the time of a tick, before its runs.
	each func(p *play, at time.Duration)
	runs map[string]int
}

func newPlay(seed uint64) *play {
	order := orderOf(5, "v2")
	p := &play{
		judge: NewJudge(order), old: NewRecorder("vm-1", "desk", 1), target: NewRecorder("vm-2", "desk", 1),
		rng: rand.New(rand.NewPCG(seed, 1)), load: returns(), usual: failureFloor, runs: map[string]int{},
	}
	p.old.Begin(order.Revision, "v1")
	p.target.Begin(order.Revision, "v2")
	return p
}

// until plays ticks until the version is bad or the time is over, and returns when.
func (p *play) until(end time.Duration, v version) (verdict Verdict, at time.Duration) {
	for at = tick; at <= end; at += tick {
		if p.each != nil {
			p.each(p, at)
		}
		for route, rate := range p.load.routes {
			p.run(p.old, route, rate*(1-p.load.share)*tick.Seconds(), at, version{})
			p.runs[route] += p.run(p.target, route, rate*p.load.share*tick.Seconds(), at, v)
		}
		if verdict = p.report(at); verdict.Bad {
			return verdict, at
		}
	}
	return verdict, end
}

func (p *play) report(at time.Duration) Verdict {
	now := int64(time.Hour + at)
	for _, r := range []*Recorder{p.target, p.old} {
		report, _ := r.Report(1, 0)
		p.judge.Take(now, report)
	}
	return p.judge.Verdict(now)
}

func (p *play) run(r *Recorder, route string, mean float64, at time.Duration, v version) int {
	n := int(mean)
	if p.rng.Float64() < mean-float64(n) {
		n++
	}
	bad := at >= v.from && (v.route == "" || v.route == route)
	for range n {
		failing := p.usual
		if at >= p.struckFrom && at < p.struckTo {
			failing = p.struck
		}
		if bad {
			failing = max(failing, v.failing)
		}
		took := float64(p.load.work) * math.Exp(0.35*p.rng.NormFloat64())
		if p.rng.Float64() < slowFloor {
			took *= 5 // a spell that its backend server did not tell of
		}
		if bad && p.rng.Float64() < v.tardy {
			took *= v.times
		}
		r.Note(Outcome{Route: route, Failed: p.rng.Float64() < failing, Run: time.Duration(took), Slowdown: 100})
	}
	return n
}

// TestErrorRates: what good and bad versions get, at the rates of a service of 370
// requests a second with a canary of 0.05, the usual failures and slow runs at their
// floors, which is the worst case for false alarms. Played with -rollouts 2000 the
// figures stand in the log lines of the commit and in docs/design/rollout.md.
func TestErrorRates(t *testing.T) {
	for name, c := range map[string]struct {
		version    version
		most, runs float64
	}{
		"good":                       {},
		"fails three in ten":         {version: version{failing: 0.3}, runs: 22},
		"fails one in ten":           {version: version{failing: 0.1}, runs: 150},
		"takes three times as long":  {version: version{tardy: 1, times: 3}, runs: 20},
		"three in ten take fourfold": {version: version{tardy: 0.3, times: 4}, runs: 40},
		"bad after half a minute":    {version: version{failing: 0.3, from: 30 * time.Second}, runs: 22},
		"bad on one route":           {version: version{failing: 0.3, route: "check"}, runs: 30},
	} {
		t.Run(name, func(t *testing.T) {
			alarms, runs, delay, longest := 0, 0.0, 0.0, time.Duration(0)
			for seed := range *rollOuts {
				p := newPlay(uint64(seed))
				verdict, at := p.until(time.Minute, c.version)
				if !verdict.Bad {
					test.True(t, verdict.Enough)
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

// TestWhatIsNoEvidence against a version, each over a whole roll-out.
func TestWhatIsNoEvidence(t *testing.T) {
	for name, prepare := range map[string]func(p *play){
		"a fault that strikes both": func(p *play) { p.struck, p.struckFrom, p.struckTo = 0.6, 20*time.Second, 30*time.Second },
		"connections reset at one moment": func(p *play) {
			p.each = func(p *play, at time.Duration) {
				for i := 0; at == 20*time.Second && i < 12; i++ {
					p.target.Note(Outcome{Route: "check", Failed: true})
				}
			}
		},
		"runs that a slow spell overtakes": func(p *play) {
			p.each = func(p *play, at time.Duration) {
				for i := 0; at%(5*time.Second) == 0 && i < 9; i++ {
					p.target.Note(Outcome{Route: "check", Run: 500 * time.Millisecond, Slowdown: 100, Worst: 500})
				}
			}
		},
		"slow spells": func(p *play) {
			p.each = func(p *play, at time.Duration) {
				for i := 0; i < 4; i++ {
					p.target.Note(Outcome{Route: "check", Run: 500 * time.Millisecond, Slowdown: 500})
				}
			}
		},
		"a cold start": func(p *play) {
			p.each = func(p *play, at time.Duration) {
				for i := 0; at < 3*time.Second && i < 4; i++ {
					p.target.Note(Outcome{Route: "check", Run: 300 * time.Millisecond, Cold: true})
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

// TestEnoughNeedsEachRoute, and half of its runs with a time that counts.
func TestEnoughNeedsEachRoute(t *testing.T) {
	p := newPlay(4)
	p.load.share = 0
	verdict, _ := p.until(5*time.Second, version{})
	test.False(t, verdict.Enough)
	note := func(route string, cold bool) {
		for range enoughRuns {
			p.target.Note(Outcome{Route: route, Run: 100 * time.Millisecond, Cold: cold})
		}
	}
	note("check", false)
	note("submit", true)
	test.False(t, p.report(6*time.Second).Enough)
	note("submit", false)
	test.True(t, p.report(7*time.Second).Enough)
}

func TestNothingIsEnoughBeforeAnOldVersionHasReported(t *testing.T) {
	j := NewJudge(orderOf(5, "v2"))
	test.False(t, j.Verdict(int64(time.Hour)).Enough)
}

// TestReports: old ones, those of another order, and those of a process that began
// anew.
func TestReports(t *testing.T) {
	report := func(process uint64, seq, runs uint32) Report {
		return Report{Service: "desk", Order: 5, VM: "a", Version: "v2", Process: process, Seq: seq, Routes: []RouteCounts{{Route: "r", Runs: runs}}}
	}
	j := NewJudge(orderOf(5, "v2"))
	j.Take(1, report(1, 2, 10))
	j.Take(1, report(1, 2, 10))
	j.Take(1, report(1, 1, 6))
	j.Take(1, report(2, 1, 4))
	j.Take(1, report(1, 3, 12))
	other := report(1, 9, 99)
	other.Order = 4
	j.Take(1, other)
	broken := report(1, 10, 3)
	broken.Routes[0].Failures = 7
	j.Take(1, broken)
	must.MapContainsKey(t, j.routes, "r")
	test.Eq(t, 16, j.routes["r"].total.runs)
}

func TestAStopNamesItsOrder(t *testing.T) {
	order := orderOf(5, "v2")
	_, ok := Verdict{Enough: true}.Stop(order)
	test.False(t, ok)
	stop, ok := Verdict{Bad: true, Cause: "failures"}.Stop(order)
	test.True(t, ok)
	test.Eq(t, Stop{Service: "desk", Order: 5, Cause: "failures"}, stop)
	test.Eq(t, Verdict{Bad: true, Cause: "failures"}, stop.Verdict())
}
