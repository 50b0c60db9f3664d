package rollout

import (
	"fmt"
	"time"
)

const (
	// weighAfter is how long runs of the new version wait before they are weighed, while
	// the old ones run: until reports of the old ones that tell of the same time are
	// there (one each 250 ms, and a link), so that a fault that strikes both is seen at
	// both.
	weighAfter = int64(400 * time.Millisecond)
	// mostReporters bounds the processes whose reports are kept; the largest service has
	// some 200 backend servers.
	mostReporters = 1024
	// mostWaiting bounds the reports of a route that wait to be weighed: 500 backend
	// servers at four a second.
	mostWaiting = 1024
	// enoughRuns of a route are enough to move on: of 2,000 versions that fail three in
	// ten on one route, 1,941 are told within them, of those that take three times as long
	// all (TestEnoughRuns). Within 30 it is 1,508.
	enoughRuns = 45
	// enoughShare of the old versions' runs of the last 20 s is enough where a route has
	// few requests: less than the smallest share that canaries usually have (0.033), and
	// 29 runs of 144 a second over 8 s.
	enoughShare = 0.025
	// knowAfter is how long a judge that begins listens before it finds anything enough:
	// four reports of each backend server.
	knowAfter = int64(time.Second)
)

// Evaluator weighs the reports of one order. It is not safe for concurrent use.
type Evaluator struct {
	order     Order
	reporters map[reporter]*heard
	routes    map[string]*trial
	verdict   Verdict
	// oldSince is when an old version reported first; 0: none has.
	oldSince int64
}

// reporter is a process of a daemon with the version of the backend server beside it.
type reporter struct {
	vm, version string
	process     uint64
}

// heard is the last report of a reporter.
type heard struct {
	seq    uint32
	routes map[string]RouteCounts
}

// trial is what is known of one route.
type trial struct {
	old     history
	ref     reference
	waiting []batch
	// total is all runs of the new version under the order, slow those that took too long.
	total          tally
	slow           uint32
	failing, tardy pair
}

// batch is what one report of the new version told of a route.
type batch struct {
	at   int64
	runs tally
}

// NewEvaluator makes the judge of an order.
func NewEvaluator(order Order) *Evaluator {
	return &Evaluator{order: order, reporters: map[reporter]*heard{}, routes: map[string]*trial{}}
}

// AddReport takes a report over; old ones of a process are passed over, as are those of
// other orders. now is in nanoseconds of a steady clock.
func (j *Evaluator) AddReport(now int64, r Report) {
	if r.Service != j.order.Service || r.Order != j.order.Revision || !isName(r.VM) || len(r.Version) > mostName || len(r.Routes) > mostRoutes {
		return
	}
	last := j.heardFrom(reporter{vm: r.VM, version: r.Version, process: r.Process})
	if last == nil || r.Seq <= last.seq {
		return
	}
	last.seq = r.Seq
	for _, counts := range r.Routes {
		j.takeRoute(now, r.Version, last, counts)
	}
	if j.oldSince == 0 && r.Version != j.order.Version {
		j.oldSince = now
	}
}

func (j *Evaluator) heardFrom(who reporter) *heard {
	last, known := j.reporters[who]
	if !known && len(j.reporters) < mostReporters {
		last = &heard{routes: map[string]RouteCounts{}}
		j.reporters[who] = last
	}
	return last
}

func (j *Evaluator) takeRoute(now int64, version string, last *heard, counts RouteCounts) {
	if len(counts.Route) > mostName || len(counts.DurationCounts) > timeSteps || counts.Failures > counts.Runs {
		return
	}
	fresh := since(last.routes[counts.Route], counts)
	last.routes[counts.Route] = counts
	of := j.trialOf(counts.Route)
	if of == nil || fresh.runs == 0 {
		return
	}
	if version != j.order.Version {
		of.old.add(now, &fresh)
		return
	}
	of.total.add(&fresh)
	of.waiting = append(of.waiting, batch{at: now, runs: fresh})
}

func (j *Evaluator) trialOf(route string) *trial {
	of, known := j.routes[route]
	if !known && len(j.routes) < mostRoutes {
		of = &trial{}
		j.routes[route] = of
	}
	return of
}

// since is what was counted since an earlier report. Counts that fell were begun anew.
func since(before, now RouteCounts) (out tally) {
	if now.Runs < before.Runs || now.Failures < before.Failures {
		before = RouteCounts{}
	}
	out.runs, out.failures = now.Runs-before.Runs, now.Failures-before.Failures
	for i, n := range now.DurationCounts {
		if i < len(before.DurationCounts) && before.DurationCounts[i] <= n {
			n -= before.DurationCounts[i]
		}
		out.times[i] = n
	}
	return out
}

// Verdict weighs all that was taken. now is in nanoseconds of a steady clock. A bad
// version stays bad.
func (j *Evaluator) Verdict(now int64) Verdict {
	for route, of := range j.routes {
		if cause := of.weigh(now); cause != "" && !j.verdict.Bad {
			j.verdict = Verdict{Bad: true, Cause: fmt.Sprintf("route %s: %s", route, cause)}
		}
	}
	j.verdict.EnoughRuns = j.enough(now)
	return j.verdict
}

// weigh tests the runs whose time has come. It returns why the version is bad, or "".
func (t *trial) weigh(now int64) (cause string) {
	for len(t.waiting) > 0 {
		b := t.waiting[0]
		oldRuns := t.old.newest > 0 && now-t.old.newest <= weighAfter
		if oldRuns && now-b.at < weighAfter && len(t.waiting) < mostWaiting {
			return cause
		}
		t.waiting = t.waiting[1:]
		if found := t.test(now, &b); cause == "" {
			cause = found
		}
	}
	return cause
}

func (t *trial) test(now int64, b *batch) (cause string) {
	t.ref = t.old.about(b.at, now, t.ref)
	usualFailures, usualSlow := t.ref.usual()
	if t.failing.add(b.runs.failures, b.runs.runs-b.runs.failures, usualFailures, t.ref.blind) {
		return fmt.Sprintf("%d of %d runs failed, reckoned with %.3f; sequential test, threshold %.0f", t.total.failures, t.total.runs, usualFailures, trip)
	}
	if t.ref.slowFrom == 0 {
		return ""
	}
	timed, slow := b.runs.timed(t.ref.slowFrom)
	t.slow += slow
	if t.tardy.add(slow, timed-slow, usualSlow, t.ref.blind) {
		all, _ := t.total.timed(0)
		return fmt.Sprintf("%d of %d runs took over twice the old versions' median, reckoned with %.3f; sequential test, threshold %.0f", t.slow, all, usualSlow, trip)
	}
	return ""
}

// enough is true where each route that the old versions ran lately has shown runs of
// the new one, half of them with a time that counts.
func (j *Evaluator) enough(now int64) bool {
	for _, of := range j.routes {
		lately := of.old.between(now-historySlices*sliceTime+sliceTime, now)
		need := min(enoughRuns, enoughShare*float64(lately.runs))
		timed, _ := of.total.timed(0)
		if float64(of.total.runs) < need || 2*float64(timed) < need {
			return false
		}
	}
	return j.oldSince > 0 && now-j.oldSince >= knowAfter
}
