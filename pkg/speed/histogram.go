package speed

import (
	"math"
	"time"
)

const (
	// shortest is the upper end of the first bucket of spell lengths; each
	// further one ends at half an octave more.
	shortest = 20 * time.Millisecond
	// buckets is how many there are. The last holds all spells that outlast the
	// steady window.
	buckets = 14
	// lasting stands in for the length of a spell that went on for longer than
	// the steady window.
	lasting = 4 * time.Second
	// keepShare is what remains of the weight of older spells when one ends: some
	// sixty are remembered.
	keepShare = 1 - 1.0/64
)

// prior are the spells that are taken to have been seen at first: two short ones
// as neighbours' noise makes them, and half a one that lasts.
var prior = []struct {
	length time.Duration
	weight float64
}{{100 * time.Millisecond, 0.5}, {300 * time.Millisecond, 0.5}, {lasting, 0.5}}

// bucket holds spells of like length.
type bucket struct {
	weight float64
	// total is the sum of their lengths, each by its weight, in nanoseconds.
	total float64
}

// lengths is a bounded histogram of the lengths of spells.
type lengths struct {
	buckets [buckets]bucket
}

func newLengths() lengths {
	var out lengths
	for _, p := range prior {
		out.add(p.length, p.weight)
	}
	return out
}

// note takes over the length of a spell that has ended.
func (l *lengths) note(length time.Duration) {
	for i := range l.buckets {
		l.buckets[i].weight *= keepShare
		l.buckets[i].total *= keepShare
	}
	l.add(length, 1)
}

// leastWeight is the weight of the spells of a mean below which they are as good
// as forgotten: a thousandth of one.
const leastWeight = 0.001

// mean is the mean length of the spells that do not last, in nanoseconds; that
// of those that do where the others are forgotten.
func (l *lengths) mean() float64 {
	var total, weight float64
	for _, b := range l.buckets[:buckets-1] {
		total += b.total
		weight += b.weight
	}
	if weight < leastWeight {
		return float64(lasting)
	}
	return total / weight
}

func (l *lengths) add(length time.Duration, weight float64) {
	b := &l.buckets[bucketOf(length)]
	b.weight += weight
	b.total += weight * float64(length)
}

// bucketOf is the index of the bucket of a length.
func bucketOf(length time.Duration) int {
	if length <= shortest {
		return 0
	}
	octaves := math.Log2(float64(length) / float64(shortest))
	return min(int(math.Ceil(2*octaves)), buckets-1)
}

// hold decides how a start in a spell of the given age should be held. usual and
// slowed are how long the run takes after the spell and in it, in nanoseconds.
// Holding until a time limit costs the time held, and the slowed run all the
// same where the spell outlasts the limit; the limits looked at are the lengths
// seen. hold is false where none is better than to start now.
func (l *lengths) hold(age time.Duration, run Run, usual, slowed float64) (out HoldForecast, hold bool) {
	left, all := l.leftAfter(age)
	best := run.cost(0, slowed)
	// ended is the weight of the spells that end within the limit; the sums go
	// over them.
	var ended, waits, costs, inTime float64
	for i, b := range l.buckets {
		if left[i] <= 0 {
			continue
		}
		ended += b.weight
		waits += b.weight * left[i]
		costs += b.weight * run.cost(left[i], usual)
		inTime += b.weight * run.inTime(left[i], usual)
		outlasting := all - ended
		if cost := (costs + outlasting*run.cost(left[i], slowed)) / all; cost < best {
			best, hold = cost, true
			out.Wait = time.Duration((waits + outlasting*left[i]) / all)
			out.OnTimeProbability = min((inTime+outlasting*run.inTime(left[i], slowed))/all, 1)
		}
	}
	return out, hold
}

// cost is the expected time until the end of a run that starts after wait and
// takes service, in nanoseconds, with what being late costs.
func (r *Run) cost(wait, service float64) float64 {
	return wait + service + (1-r.inTime(wait, service))*float64(r.LatePenalty)
}

// spread is the standard deviation of the logarithm of how long runs of one kind
// take: that of the users' requests.
const spread = 0.3

// inTime are the odds that a run which starts after wait and is expected to take
// service, in nanoseconds, ends within the time left.
func (r *Run) inTime(wait, service float64) float64 {
	if r.TimeLeft == 0 {
		return 1
	}
	room := float64(r.TimeLeft) - wait
	if room <= 0 {
		return 0
	}
	return 0.5 * (1 + math.Erf(math.Log(room/max(service, 1))/(spread*math.Sqrt2)))
}

// leftAfter is how much longer the spells of each bucket last in the mean when
// they have the given age, in nanoseconds, 0 for those that have ended; all is
// the weight of the others.
func (l *lengths) leftAfter(age time.Duration) (left [buckets]float64, all float64) {
	for i, b := range l.buckets {
		left[i] = b.leftAfter(age)
		if left[i] > 0 {
			all += b.weight
		}
	}
	return left, all
}

// leftAfter is how much longer the bucket's spells last in the mean when they
// have the given age, in nanoseconds; 0: they have ended.
func (b bucket) leftAfter(age time.Duration) float64 {
	if b.weight == 0 {
		return 0
	}
	return max(b.total/b.weight-float64(age), 0)
}
