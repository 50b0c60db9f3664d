package rollout

import (
	"flag"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

var rollOuts = flag.Int("rollouts", 60, "roll-outs that TestErrorRates and TestDelays play of each kind")

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
	judge       *Evaluator
	old, target *Recorder
	rng         *rand.Rand
	load        load
	// usual is the part of all runs that fails, struck the part at both versions within
	// a time.
	usual, struck        float64
	struckFrom, struckTo time.Duration
	// late is true where the old versions' reports come a tick later than the canary's.
	late  bool
	onWay Report
	// each is called with the time of a tick, before its runs.
	each func(p *play, at time.Duration)
}

func newPlay(seed uint64) *play {
	order := orderOf(5, "v2")
	p := &play{
		judge: NewEvaluator(order), old: NewRecorder("vm-1", "desk", 1), target: NewRecorder("vm-2", "desk", 1),
		rng: rand.New(rand.NewPCG(seed, 1)), load: returns(), usual: failureFloor,
	}
	p.old.Begin(order.Revision, "v1")
	p.target.Begin(order.Revision, "v2")
	return p
}

// until plays ticks until the version is bad or the time is over, and returns when.
func (p *play) until(end time.Duration, v version) (verdict Verdict, at time.Duration) {
	for at < end && !verdict.Bad {
		verdict, at = p.tick(at, v)
	}
	return verdict, at
}

// tick plays the tick after a time.
func (p *play) tick(before time.Duration, v version) (Verdict, time.Duration) {
	at := before + tick
	if p.each != nil {
		p.each(p, at)
	}
	for _, route := range slices.Sorted(maps.Keys(p.load.routes)) {
		rate := p.load.routes[route]
		p.run(p.old, route, rate*(1-p.load.share)*tick.Seconds(), at, version{})
		p.run(p.target, route, rate*p.load.share*tick.Seconds(), at, v)
	}
	return p.report(at), at
}

func (p *play) report(at time.Duration) Verdict {
	now := int64(time.Hour + at)
	target, _ := p.target.Report(1, 0)
	old, _ := p.old.Report(1, 0)
	p.judge.AddReport(now, target)
	if p.late {
		old, p.onWay = p.onWay, old
	}
	p.judge.AddReport(now, old)
	return p.judge.Verdict(now)
}

func (p *play) run(r *Recorder, route string, mean float64, at time.Duration, v version) {
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
		r.Count(Outcome{Route: route, Failed: p.rng.Float64() < failing, Duration: time.Duration(took), StartSlowdown: 100})
	}
}
