package returns

import "time"

const (
	// windowBuckets and bucketWidth make up the second over which answers are counted.
	windowBuckets = 10
	bucketWidth   = 100 * time.Millisecond
	// minShortBuckets and minOutcomes are the buckets with refusals, and the answers and
	// refusals in them, below which nothing is concluded about a service's capacity.
	minShortBuckets = 3
	minOutcomes     = 10
)

// outcomes are the answers and refusals within one bucket.
type outcomes struct{ answers, refusals uint32 }

// outcomeWindow counts the answers and refusals of the last second.
type outcomeWindow struct {
	buckets [windowBuckets]outcomes
	// newest is the number of the newest bucket, counted from the clock's zero.
	newest int64
}

// record counts an outcome.
func (w *outcomeWindow) record(now int64, answered bool) {
	current := now / int64(bucketWidth)
	for w.newest = max(w.newest, current-windowBuckets); w.newest < current; {
		w.newest++
		w.buckets[w.newest%windowBuckets] = outcomes{}
	}
	bucket := &w.buckets[w.newest%windowBuckets]
	if answered {
		bucket.answers++
	} else {
		bucket.refusals++
	}
}

// capacity returns the number of answers per second while the service was short of
// capacity, which is in the buckets with refusals. Answers at other times show the demand, not
// the capacity. ok is false if there is too little data.
func (w *outcomeWindow) capacity(now int64) (perSecond float64, ok bool) {
	var answers, total uint32
	var short time.Duration
	buckets := 0
	for i, bucket := range w.buckets {
		if bucket.refusals == 0 {
			continue
		}
		buckets++
		answers += bucket.answers
		total += bucket.answers + bucket.refusals
		if int64(i) == w.newest%windowBuckets {
			short += min(time.Duration(now-w.newest*int64(bucketWidth)), bucketWidth)
		} else {
			short += bucketWidth
		}
	}
	if buckets < minShortBuckets || total < minOutcomes {
		return 0, false
	}
	return float64(answers) / short.Seconds(), true
}
