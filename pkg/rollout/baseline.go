package rollout

import (
	"math"
	"time"
)

const (
	// sliceTime is the unit of the old versions' history: two reports. historySlices of them, 20 s,
	// hold enough runs of a route that has one a second.
	sliceTime     = int64(500 * time.Millisecond)
	historySlices = 40
	// leastRuns of the old versions make a reference.
	leastRuns = 20
	// slowSteps above the step of the old versions' median begins what is slow: 2.0 to
	// 2.4 times the median. A version that takes three times as long is over it, work
	// beside a full backend server (1.7 times) is not.
	slowSteps = stepsPerOctave + 1
)

// tally is runs of one route within a time.
type tally struct {
	runs, failures uint32
	times          [timeSteps]uint32
}

func (t *tally) add(o *tally) {
	t.runs += o.runs
	t.failures += o.failures
	for i, n := range o.times {
		t.times[i] += n
	}
}

// timed counts the runs whose time is known, and those of them in a step or above it.
func (t *tally) timed(from int) (all, above uint32) {
	for i, n := range t.times {
		all += n
		if i >= from {
			above += n
		}
	}
	return all, above
}

// median is the step of the middle run.
func (t *tally) median() int {
	all, _ := t.timed(0)
	below := uint32(0)
	for i, n := range t.times {
		below += n
		if 2*below >= all {
			return i
		}
	}
	return timeSteps - 1
}

// history is the runs of a route at the old versions, of the last 20 s.
type history struct {
	ring   [historySlices]tally
	at     [historySlices]int64
	newest int64
}

// add counts runs that were told at a time.
func (h *history) add(now int64, t *tally) {
	number := now / sliceTime
	place := number % historySlices
	if h.at[place] != number {
		h.at[place], h.ring[place] = number, tally{}
	}
	h.ring[place].add(t)
	if t.runs > 0 {
		h.newest = max(h.newest, now)
	}
}

// between sums the slices that a time touches.
func (h *history) between(from, to int64) (sum tally) {
	for i := range h.ring {
		if h.ring[i].runs > 0 && h.at[i] >= from/sliceTime && h.at[i] <= to/sliceTime {
			sum.add(&h.ring[i])
		}
	}
	return sum
}

// reference is what runs of the new version are held against.
type reference struct {
	// failures and slow are the bad parts of the old versions; slowFrom is the step from
	// which a run is slow, 0: not known.
	failures, slow float64
	slowFrom       int
	// blind is true for one of another time.
	blind bool
}

// about makes the reference for runs told at a time, out of what the old versions did
// over all of the history and just then: the worse of the two, since a fault that
// strikes both versions must not count against the new one. before is the last one.
func (h *history) about(at, now int64, before reference) reference {
	out := before
	long := h.between(now-historySlices*sliceTime+sliceTime, now)
	if long.runs >= leastRuns {
		out.failures = float64(long.failures) / float64(long.runs)
	}
	if timed, _ := long.timed(0); timed >= leastRuns {
		out.slowFrom = long.median() + slowSteps
		_, slow := long.timed(out.slowFrom)
		out.slow = float64(slow) / float64(timed)
	}
	short, known := h.around(at)
	out.blind = !known
	if !known {
		return out
	}
	out.failures = max(out.failures, surely(short.failures, short.runs))
	if timed, slow := short.timed(out.slowFrom); out.slowFrom > 0 && timed > 0 {
		out.slow = max(out.slow, surely(slow, timed))
	}
	return out
}

// around sums the shortest time about a moment that holds runs enough, since a long one
// hides the beginning of a fault; known is false where there were none.
func (h *history) around(at int64) (sum tally, known bool) {
	for _, back := range []int64{1, 3, 8} {
		sum = h.between(at-back*sliceTime, at+weighAfter)
		if sum.runs >= leastRuns {
			return sum, true
		}
	}
	return sum, false
}

// usual returns the bad parts to test against.
func (r *reference) usual() (failures, slow float64) {
	slow = slowMargin * r.slow
	if r.blind {
		return max(r.failures, blindFailures), max(slow, blindSlow)
	}
	return max(r.failures, failureFloor), max(slow, slowFloor)
}

// surely is a share of few runs, less one standard error: a fault that strikes both
// versions is seen, chance among few runs makes the test no duller.
func surely(bad, all uint32) float64 {
	p := float64(bad) / float64(all)
	return p - math.Sqrt(p*(1-p)/float64(all))
}
