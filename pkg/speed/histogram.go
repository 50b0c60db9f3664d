package speed

import (
	"math"
	"time"
)

const (
	// firstBucketEnd is the upper bound of the first bucket. The upper bound of each further
	// bucket is the square root of two times that of the bucket before.
	firstBucketEnd = 20 * time.Millisecond
	// bucketCount is the number of buckets. The last one holds all slow periods that
	// outlast the baseline window.
	bucketCount = 14
	// lastingLength stands in for the length of a slow period that outlasts the baseline
	// window.
	lastingLength = 4 * time.Second
	// decay is the factor by which the existing weights are multiplied whenever a slow
	// period is recorded, so that the histogram reflects about the last 64.
	decay = 1 - 1.0/64
)

// priorPeriods are the weighted slow periods that a histogram holds before any has been
// recorded: two short ones, which are typical of noisy neighbours, and one that outlasts
// the baseline window.
var priorPeriods = []struct {
	length time.Duration
	weight float64
}{{100 * time.Millisecond, 0.5}, {300 * time.Millisecond, 0.5}, {lastingLength, 0.5}}

// bucket holds slow periods of similar length.
type bucket struct {
	weight float64
	// total is the weighted sum of the lengths, in nanoseconds.
	total float64
}

// lengthHistogram is a decaying histogram of the lengths of slow periods.
type lengthHistogram struct {
	buckets [bucketCount]bucket
}

func newLengthHistogram() lengthHistogram {
	var out lengthHistogram
	for _, p := range priorPeriods {
		out.add(p.length, p.weight)
	}
	return out
}

// record decays the histogram and adds the length of a slow period that has ended.
func (h *lengthHistogram) record(length time.Duration) {
	for i := range h.buckets {
		h.buckets[i].weight *= decay
		h.buckets[i].total *= decay
	}
	h.add(length, 1)
}

// minWeight is the total weight below which the mean of a set of buckets is not used,
// because rounding errors would dominate it.
const minWeight = 0.001

// mean returns the mean length, in nanoseconds, of the slow periods that do not outlast
// the baseline window, or lastingLength when the weights of these have decayed.
func (h *lengthHistogram) mean() float64 {
	var total, weight float64
	for _, b := range h.buckets[:bucketCount-1] {
		total += b.total
		weight += b.weight
	}
	if weight < minWeight {
		return float64(lastingLength)
	}
	return total / weight
}

func (h *lengthHistogram) add(length time.Duration, weight float64) {
	b := &h.buckets[bucketIndex(length)]
	b.weight += weight
	b.total += weight * float64(length)
}

// bucketIndex returns the index of the bucket that holds a length.
func bucketIndex(length time.Duration) int {
	if length <= firstBucketEnd {
		return 0
	}
	octaves := math.Log2(float64(length) / float64(firstBucketEnd))
	return min(int(math.Ceil(2*octaves)), bucketCount-1)
}

// forecastHold finds the best time limit for holding a run in a slow period of the given
// age. normal and slowed are the expected run times after the period and in it, in
// nanoseconds. The limits it compares are the mean remaining lengths of the buckets. A
// run that is held starts when the period ends, or slowed when the limit is reached.
// hold is false when starting now has the least expected cost.
func (h *lengthHistogram) forecastHold(age time.Duration, run Run, normal, slowed float64) (out HoldForecast, hold bool) {
	remaining, totalWeight := h.remainingAfter(age)
	best := run.cost(0, slowed)
	// The sums cover the periods that end within the limit.
	var ended, waits, costs, onTime float64
	for i, b := range h.buckets {
		if remaining[i] <= 0 {
			continue
		}
		ended += b.weight
		waits += b.weight * remaining[i]
		costs += b.weight * run.cost(remaining[i], normal)
		onTime += b.weight * run.onTimeProbability(remaining[i], normal)
		outlasting := totalWeight - ended
		if cost := (costs + outlasting*run.cost(remaining[i], slowed)) / totalWeight; cost < best {
			best, hold = cost, true
			out.Wait = time.Duration((waits + outlasting*remaining[i]) / totalWeight)
			out.OnTimeProbability = min((onTime+outlasting*run.onTimeProbability(remaining[i], slowed))/totalWeight, 1)
		}
	}
	return out, hold
}

// cost returns the expected cost of a run that starts after wait and takes runTime: the
// time until its end, plus LatePenalty times the probability that it ends late. All are
// in nanoseconds.
func (r *Run) cost(wait, runTime float64) float64 {
	return wait + runTime + (1-r.onTimeProbability(wait, runTime))*float64(r.LatePenalty)
}

// runTimeSigma is the standard deviation of the logarithm of the run times of requests
// of one kind, whose distribution is taken to be log-normal.
const runTimeSigma = 0.3

// onTimeProbability returns the probability that a run which starts after wait and is
// expected to take runTime, both in nanoseconds, ends within TimeLeft.
func (r *Run) onTimeProbability(wait, runTime float64) float64 {
	if r.TimeLeft == 0 {
		return 1
	}
	available := float64(r.TimeLeft) - wait
	if available <= 0 {
		return 0
	}
	return 0.5 * (1 + math.Erf(math.Log(available/max(runTime, 1))/(runTimeSigma*math.Sqrt2)))
}

// remainingAfter returns how much longer the slow periods of each bucket last on average, in
// nanoseconds, when they have reached the given age; 0: they have ended. totalWeight is
// the weight of those that go on.
func (h *lengthHistogram) remainingAfter(age time.Duration) (remaining [bucketCount]float64, totalWeight float64) {
	for i, b := range h.buckets {
		remaining[i] = b.remainingAfter(age)
		if remaining[i] > 0 {
			totalWeight += b.weight
		}
	}
	return remaining, totalWeight
}

// remainingAfter returns how much longer the bucket's slow periods last on average, in
// nanoseconds, when they have reached the given age; 0: they have ended.
func (b bucket) remainingAfter(age time.Duration) float64 {
	if b.weight == 0 {
		return 0
	}
	return max(b.total/b.weight-float64(age), 0)
}
