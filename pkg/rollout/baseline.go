package rollout

import (
	"math"
	"time"
)

const (
	// sliceDuration is the length of one slice of the history, in nanoseconds: two reports.
	sliceDuration = int64(500 * time.Millisecond)
	// historySlices is the number of slices. The resulting 20 s hold minBaselineRuns of a
	// route with one request a second.
	historySlices = 40
	// minBaselineRuns is the number of runs of the old versions that make a baseline.
	minBaselineRuns = 20
	// slowStepOffset is the distance from the histogram step of the old versions' median
	// duration to the first step that counts as slow: 2.0 to 2.4 times the median. A version
	// that takes three times as long is above it. Work beside a full backend server, which
	// takes 1.7 times as long, is not.
	slowStepOffset = stepsPerOctave + 1
)

// tally counts runs of one route. durations is their histogram, as in
// RouteCounts.DurationCounts.
type tally struct {
	runs, failures uint32
	durations      [histogramSteps]uint32
}

func (t *tally) add(o *tally) {
	t.runs += o.runs
	t.failures += o.failures
	for i, n := range o.durations {
		t.durations[i] += n
	}
}

// countTimed counts all runs in the histogram, and those in fromStep or above.
func (t *tally) countTimed(fromStep int) (all, above uint32) {
	for i, n := range t.durations {
		all += n
		if i >= fromStep {
			above += n
		}
	}
	return all, above
}

// medianStep returns the histogram step of the median duration.
func (t *tally) medianStep() int {
	all, _ := t.countTimed(0)
	sum := uint32(0)
	for i, n := range t.durations {
		sum += n
		if 2*sum >= all {
			return i
		}
	}
	return histogramSteps - 1
}

// history holds the old versions' runs of one route in the last 20 s, in a ring of
// slices.
type history struct {
	ring [historySlices]tally
	// sliceNumbers are the numbers of the slices in the ring: their time divided by
	// sliceDuration.
	sliceNumbers [historySlices]int64
	// newestRun is when the last runs were reported, in nanoseconds; 0 before the first.
	newestRun int64
}

// add adds the runs of a report received at now, in nanoseconds, to the slice of that time.
func (h *history) add(now int64, t *tally) {
	number := now / sliceDuration
	i := number % historySlices
	if h.sliceNumbers[i] != number {
		h.sliceNumbers[i], h.ring[i] = number, tally{}
	}
	h.ring[i].add(t)
	if t.runs > 0 {
		h.newestRun = max(h.newestRun, now)
	}
}

// sumBetween sums the slices that overlap a span of time.
func (h *history) sumBetween(from, to int64) (sum tally) {
	for i := range h.ring {
		if h.ring[i].runs > 0 && h.sliceNumbers[i] >= from/sliceDuration && h.sliceNumbers[i] <= to/sliceDuration {
			sum.add(&h.ring[i])
		}
	}
	return sum
}

// baseline holds the old versions' rates, which the new version is tested against.
type baseline struct {
	// failureRate and slowRate are the shares of runs that failed and that were slow.
	failureRate, slowRate float64
	// slowFromStep is the histogram step from which a run is slow; 0 where it is not known.
	slowFromStep int
	// stale is true where the old versions ran too few requests around the time of the
	// tested runs, so that the rates come from earlier runs.
	stale bool
}

// baselineAt returns the baseline for runs that were reported at the time at. Each rate
// is the higher of the rate in the whole history and the rate around that time, so that a
// fault that affects both versions does not count against the new one. Values that cannot
// be estimated are taken from before, the previous baseline.
func (h *history) baselineAt(at, now int64, before baseline) baseline {
	out := before
	whole := h.sumBetween(now-historySlices*sliceDuration+sliceDuration, now)
	if whole.runs >= minBaselineRuns {
		out.failureRate = float64(whole.failures) / float64(whole.runs)
	}
	if timed, _ := whole.countTimed(0); timed >= minBaselineRuns {
		out.slowFromStep = whole.medianStep() + slowStepOffset
		_, slow := whole.countTimed(out.slowFromStep)
		out.slowRate = float64(slow) / float64(timed)
	}
	nearby, enough := h.sumAround(at)
	out.stale = !enough
	if !enough {
		return out
	}
	out.failureRate = max(out.failureRate, lowerEstimate(nearby.failures, nearby.runs))
	if timed, slow := nearby.countTimed(out.slowFromStep); out.slowFromStep > 0 && timed > 0 {
		out.slowRate = max(out.slowRate, lowerEstimate(slow, timed))
	}
	return out
}

// sumAround sums the shortest span around a time that has minBaselineRuns, since a longer
// span would hide the beginning of a fault. enough is false where no span has them.
func (h *history) sumAround(at int64) (sum tally, enough bool) {
	for _, slicesBefore := range []int64{1, 3, 8} {
		sum = h.sumBetween(at-slicesBefore*sliceDuration, at+evaluationDelay)
		if sum.runs >= minBaselineRuns {
			return sum, true
		}
	}
	return sum, false
}

// testRates returns the failure rate and the slow rate to test against: those of the
// baseline with the margin for slow runs, and at least the minimum rates.
func (b *baseline) testRates() (failureRate, slowRate float64) {
	slowRate = slowRateMargin * b.slowRate
	if b.stale {
		return max(b.failureRate, staleMinFailureRate), max(slowRate, staleMinSlowRate)
	}
	return max(b.failureRate, minFailureRate), max(slowRate, minSlowRate)
}

// lowerEstimate returns the share of bad runs less one standard error. A rate estimated
// from few runs may be too high by chance, which would make the test less sensitive.
func lowerEstimate(bad, all uint32) float64 {
	p := float64(bad) / float64(all)
	return p - math.Sqrt(p*(1-p)/float64(all))
}
