package rollout

import (
	"flag"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

var rollOutsPerCase = flag.Int("rollouts", 60, "simulated roll-outs for each case of TestErrorRates, TestDelays and TestEnoughRuns")

// tickInterval is the simulated time between two reports of a backend server.
const tickInterval = 250 * time.Millisecond

// behaviour is how a version runs requests from a time on, on one route or on all (""):
// the share that fails, and the share that takes slowFactor times as long.
type behaviour struct {
	failureRate, slowRate, slowFactor float64
	from                              time.Duration
	route                             string
}

// load is the load of a service. requestRates are the requests a second of each route,
// and canaryShare is the share of them that the canary gets.
type load struct {
	requestRates map[string]float64
	canaryShare  float64
	// medianWork is the median duration of a run.
	medianWork time.Duration
}

// twoRouteLoad returns the load of a service of 20 backend servers with 370 requests a
// second.
func twoRouteLoad() load {
	return load{requestRates: map[string]float64{"submit": 176, "check": 194}, canaryShare: 0.05, medianWork: 100 * time.Millisecond}
}

// simulation simulates the reports of one roll-out to its evaluator: those of one canary,
// and those of the old versions, which come from a single recorder.
type simulation struct {
	evaluator   *Evaluator
	old, target *Recorder
	rng         *rand.Rand
	load        load
	// normalFailureRate is the share of all runs that fail. From faultFrom until faultTo
	// faultRate takes its place, at both versions.
	normalFailureRate, faultRate float64
	faultFrom, faultTo           time.Duration
	// oldReportsLate delays the old versions' reports by a tick.
	oldReportsLate bool
	delayedReport  Report
	// beforeTick is called with the time of each tick, before its runs are added.
	beforeTick func(s *simulation, at time.Duration)
}

func newSimulation(seed uint64) *simulation {
	order := orderOf(5, "v2")
	s := &simulation{
		evaluator: NewEvaluator(order), old: NewRecorder("vm-1", "desk", 1), target: NewRecorder("vm-2", "desk", 1),
		rng: rand.New(rand.NewPCG(seed, 1)), load: twoRouteLoad(), normalFailureRate: minFailureRate,
	}
	s.old.Begin(order.Revision, "v1")
	s.target.Begin(order.Revision, "v2")
	return s
}

// runUntil simulates ticks until the new version is found bad or the time is over. It
// returns the last verdict and its time.
func (s *simulation) runUntil(end time.Duration, newVersion behaviour) (verdict Verdict, at time.Duration) {
	for at < end && !verdict.Bad {
		verdict, at = s.tick(at, newVersion)
	}
	return verdict, at
}

// tick simulates the tick after the one at a time, and returns its verdict and its time.
func (s *simulation) tick(before time.Duration, newVersion behaviour) (Verdict, time.Duration) {
	at := before + tickInterval
	if s.beforeTick != nil {
		s.beforeTick(s, at)
	}
	for _, route := range slices.Sorted(maps.Keys(s.load.requestRates)) {
		rate := s.load.requestRates[route]
		s.addRuns(s.old, route, rate*(1-s.load.canaryShare)*tickInterval.Seconds(), at, behaviour{})
		s.addRuns(s.target, route, rate*s.load.canaryShare*tickInterval.Seconds(), at, newVersion)
	}
	return s.exchangeReports(at), at
}

// exchangeReports passes the reports of both versions to the evaluator.
func (s *simulation) exchangeReports(at time.Duration) Verdict {
	now := int64(time.Hour + at)
	target, _ := s.target.Report(1, 0)
	old, _ := s.old.Report(1, 0)
	s.evaluator.AddReport(now, target)
	if s.oldReportsLate {
		old, s.delayedReport = s.delayedReport, old
	}
	s.evaluator.AddReport(now, old)
	return s.evaluator.Verdict(now)
}

// addRuns adds the runs of one tick at one route to a recorder: mean of them on average.
func (s *simulation) addRuns(r *Recorder, route string, mean float64, at time.Duration, version behaviour) {
	n := int(mean)
	if s.rng.Float64() < mean-float64(n) {
		n++
	}
	faulty := at >= version.from && (version.route == "" || version.route == route)
	for range n {
		failureRate := s.normalFailureRate
		if at >= s.faultFrom && at < s.faultTo {
			failureRate = s.faultRate
		}
		if faulty {
			failureRate = max(failureRate, version.failureRate)
		}
		duration := float64(s.load.medianWork) * math.Exp(0.35*s.rng.NormFloat64())
		if s.rng.Float64() < minSlowRate {
			duration *= 5 // a slowdown that the backend server did not report
		}
		if faulty && s.rng.Float64() < version.slowRate {
			duration *= version.slowFactor
		}
		r.Count(Outcome{Route: route, Failed: s.rng.Float64() < failureRate, Duration: time.Duration(duration), StartSlowdown: 100})
	}
}
