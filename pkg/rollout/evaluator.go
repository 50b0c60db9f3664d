package rollout

import (
	"fmt"
	"time"
)

const (
	// evaluationDelay is how long runs of the new version wait before they are tested
	// while the old versions run requests, in nanoseconds. By then the old versions'
	// reports about the same time have arrived (one each 250 ms, and a link), so that a
	// fault that affects both versions shows at both.
	evaluationDelay = int64(400 * time.Millisecond)
	// maxReporters bounds the daemon processes whose last reports are kept. The largest
	// service has some 200 backend servers.
	maxReporters = 1024
	// maxPendingBatches bounds the batches of a route that wait to be tested: those of 500
	// backend servers at four reports a second.
	maxPendingBatches = 1024
	// minRuns of a route are enough to move on: a version that fails 30% of them is nearly
	// always found within so many (TestEnoughRuns).
	minRuns = 45
	// minRunShare is the number of runs that is enough on a route with few requests, as a
	// share of the old versions' runs in the history. It is less than the smallest share
	// that canaries usually have (0.033).
	minRunShare = 0.025
	// minObservationTime is the time from the first report of an old version until
	// Verdict.EnoughRuns can be true, in nanoseconds: four reports of each backend server.
	minObservationTime = int64(time.Second)
)

// Evaluator evaluates the reports of one order: it compares the runs of the new version
// with those of the old versions, route by route. It is not safe for concurrent use.
type Evaluator struct {
	order     Order
	reporters map[reporter]*lastReport
	routes    map[string]*routeEvidence
	verdict   Verdict
	// firstOldReport is when the first report of an old version came, in nanoseconds; 0
	// where none has.
	firstOldReport int64
}

// reporter identifies the source of reports: a process of a daemon, with the version of
// the backend server beside it.
type reporter struct {
	vm, version string
	process     uint64
}

// lastReport holds the number and the counts of the last report of a reporter.
type lastReport struct {
	seq    uint32
	routes map[string]RouteCounts
}

// routeEvidence is the evidence on one route.
type routeEvidence struct {
	oldRuns  history
	baseline baseline
	// pending are batches of the new version that are not tested yet, the oldest first.
	pending []batch
	// total counts all runs of the new version under the order, slowRuns the slow ones of
	// those that were tested.
	total                 tally
	slowRuns              uint32
	failureTest, slowTest cusumPair
}

// batch holds the runs of the new version that one report added to a route.
type batch struct {
	receivedAt int64
	runs       tally
}

// NewEvaluator returns an evaluator for an order that has no reports yet.
func NewEvaluator(order Order) *Evaluator {
	return &Evaluator{order: order, reporters: map[reporter]*lastReport{}, routes: map[string]*routeEvidence{}}
}

// AddReport adds the counts of a report. It ignores reports of other orders, reports
// older than the reporter's last one, and those with values out of bounds. now is in
// nanoseconds of a monotonic clock.
func (e *Evaluator) AddReport(now int64, r Report) {
	if r.Service != e.order.Service || r.Order != e.order.Revision || !isValidName(r.VM) || len(r.Version) > maxNameBytes || len(r.Routes) > maxRoutes {
		return
	}
	last := e.lastReportOf(reporter{vm: r.VM, version: r.Version, process: r.Process})
	if last == nil || r.Seq <= last.seq {
		return
	}
	last.seq = r.Seq
	for _, counts := range r.Routes {
		e.addRoute(now, r.Version, last, counts)
	}
	if e.firstOldReport == 0 && r.Version != e.order.Version {
		e.firstOldReport = now
	}
}

// lastReportOf returns the last report of a reporter, an empty one for a new reporter,
// and nil for a new one beyond maxReporters.
func (e *Evaluator) lastReportOf(from reporter) *lastReport {
	last, known := e.reporters[from]
	if !known && len(e.reporters) < maxReporters {
		last = &lastReport{routes: map[string]RouteCounts{}}
		e.reporters[from] = last
	}
	return last
}

// addRoute adds the runs of a route that a report holds beyond the last one: those of an
// old version to the history, those of the new version to the pending batches.
func (e *Evaluator) addRoute(now int64, version string, last *lastReport, counts RouteCounts) {
	if len(counts.Route) > maxNameBytes || len(counts.DurationCounts) > histogramSteps || counts.Failures > counts.Runs {
		return
	}
	added := countsSince(last.routes[counts.Route], counts)
	last.routes[counts.Route] = counts
	evidence := e.evidenceFor(counts.Route)
	if evidence == nil || added.runs == 0 {
		return
	}
	if version != e.order.Version {
		evidence.oldRuns.add(now, &added)
		return
	}
	evidence.total.add(&added)
	evidence.pending = append(evidence.pending, batch{receivedAt: now, runs: added})
}

// evidenceFor returns the evidence on a route; nil for a new route beyond maxRoutes.
func (e *Evaluator) evidenceFor(route string) *routeEvidence {
	evidence, known := e.routes[route]
	if !known && len(e.routes) < maxRoutes {
		evidence = &routeEvidence{}
		e.routes[route] = evidence
	}
	return evidence
}

// countsSince returns the runs that were counted between two reports. Counts that are
// lower than before have restarted at zero.
func countsSince(before, now RouteCounts) (out tally) {
	if now.Runs < before.Runs || now.Failures < before.Failures {
		before = RouteCounts{}
	}
	out.runs, out.failures = now.Runs-before.Runs, now.Failures-before.Failures
	for i, n := range now.DurationCounts {
		if i < len(before.DurationCounts) && before.DurationCounts[i] <= n {
			n -= before.DurationCounts[i]
		}
		out.durations[i] = n
	}
	return out
}

// Verdict tests the pending runs and returns the verdict on the new version. A version
// found bad stays bad. now is in nanoseconds of a monotonic clock.
func (e *Evaluator) Verdict(now int64) Verdict {
	for route, evidence := range e.routes {
		if cause := evidence.evaluatePending(now); cause != "" && !e.verdict.Bad {
			e.verdict = Verdict{Bad: true, Cause: fmt.Sprintf("route %s: %s", route, cause)}
		}
	}
	e.verdict.EnoughRuns = e.hasEnoughRuns(now)
	return e.verdict
}

// evaluatePending tests the pending batches that have waited for evaluationDelay, or all
// of them where the old versions run nothing at the time. It returns why the version is
// bad; empty where no test has found that.
func (r *routeEvidence) evaluatePending(now int64) (cause string) {
	for len(r.pending) > 0 {
		b := r.pending[0]
		oldVersionsRun := r.oldRuns.newestRun > 0 && now-r.oldRuns.newestRun <= evaluationDelay
		if oldVersionsRun && now-b.receivedAt < evaluationDelay && len(r.pending) < maxPendingBatches {
			return cause
		}
		r.pending = r.pending[1:]
		if found := r.testBatch(now, &b); cause == "" {
			cause = found
		}
	}
	return cause
}

// testBatch tests the failures and the durations of a batch against the baseline at its
// time. It returns why the version is bad; empty where neither test has found that.
func (r *routeEvidence) testBatch(now int64, b *batch) (cause string) {
	r.baseline = r.oldRuns.baselineAt(b.receivedAt, now, r.baseline)
	failureRate, slowRate := r.baseline.testRates()
	if r.failureTest.add(b.runs.failures, b.runs.runs-b.runs.failures, failureRate, r.baseline.stale) {
		return fmt.Sprintf("%d of %d runs failed; CUSUM test against a rate of %.3f, threshold %.0f", r.total.failures, r.total.runs, failureRate, alarmThreshold)
	}
	if r.baseline.slowFromStep == 0 {
		return ""
	}
	timed, slow := b.runs.countTimed(r.baseline.slowFromStep)
	r.slowRuns += slow
	if r.slowTest.add(slow, timed-slow, slowRate, r.baseline.stale) {
		all, _ := r.total.countTimed(0)
		return fmt.Sprintf("%d of %d runs took over twice the old versions' median; CUSUM test against a rate of %.3f, threshold %.0f", r.slowRuns, all, slowRate, alarmThreshold)
	}
	return ""
}

// hasEnoughRuns is true where each route on which the old versions have recently run
// requests has enough runs of the new version, and at least half as many of them in the
// histogram of durations. It is false until minObservationTime has passed.
func (e *Evaluator) hasEnoughRuns(now int64) bool {
	for _, evidence := range e.routes {
		recent := evidence.oldRuns.sumBetween(now-historySlices*sliceDuration+sliceDuration, now)
		need := min(minRuns, minRunShare*float64(recent.runs))
		timed, _ := evidence.total.countTimed(0)
		if float64(evidence.total.runs) < need || 2*float64(timed) < need {
			return false
		}
	}
	return e.firstOldReport > 0 && now-e.firstOldReport >= minObservationTime
}
