package acks

import (
	"math"
	"time"
)

const (
	// TransitWindow is how long the smallest difference between the clocks of the two ends
	// of a link is remembered. It is divided into buckets, of which the oldest is forgotten
	// as a whole.
	TransitWindow  = 30 * time.Second
	transitBuckets = 6
	bucketLength   = TransitWindow / transitBuckets
)

// Transit estimates how long the calls of one link were in transit, from the time that each
// states on its sender's clock. The clocks differ, so the difference between the receiver's
// and the sender's time is compared with the smallest recent one: the result is the delay
// beyond that of the fastest call. It is not safe for concurrent use.
type Transit struct {
	// reference is the tightest known difference between the clocks, in nanoseconds, of which
	// the time in transit is a part, and referenceAt when it was observed; 0: none.
	reference, referenceAt int64
	// smallest holds the smallest difference of each bucket, in nanoseconds; numbers holds the
	// number of each bucket, counted from 1 at the clock's start; 0: empty.
	smallest [transitBuckets]int64
	numbers  [transitBuckets]int64
}

// Delay returns how long a call was in transit. now is the receiver's time in nanoseconds,
// sentUS is wire.Call.SentUS; if it is 0 or invalid, Delay returns 0.
func (t *Transit) Delay(now int64, sentUS uint64) time.Duration {
	if sentUS == 0 || sentUS > math.MaxInt64/uint64(time.Microsecond) {
		return 0
	}
	difference := now - int64(sentUS-1)*int64(time.Microsecond)
	t.record(now/int64(bucketLength)+1, difference)
	return time.Duration(difference - t.minimum(now/int64(bucketLength)+1))
}

// maxDrift is how much the clocks of two VMs may part in a second, in nanoseconds.
const maxDrift = 200_000

// ObserveUptime takes the sender's uptime in its hello frame, wire.Hello.UptimeMS, as a first
// difference between the clocks. Without it nothing is known of the first call of a link, which
// may be the one that was delayed.
func (t *Transit) ObserveUptime(now int64, uptimeMS uint64) {
	if uptimeMS == 0 || uptimeMS > math.MaxInt64/uint64(time.Millisecond) {
		return
	}
	t.tighten(now, now-int64(uptimeMS-1)*int64(time.Millisecond))
}

// Least returns the least time that a call was in transit as far as the whole past of the link
// tells, so that Delay may be less where calls are rare. sentUS is as in Delay.
func (t *Transit) Least(now int64, sentUS uint64) time.Duration {
	if sentUS == 0 || sentUS > math.MaxInt64/uint64(time.Microsecond) {
		return 0
	}
	difference := now - int64(sentUS-1)*int64(time.Microsecond)
	t.tighten(now, difference)
	return time.Duration(difference - t.referenceNow(now))
}

// tighten takes a difference as the reference if it is smaller, the drift of the clocks since
// included.
func (t *Transit) tighten(now, difference int64) {
	if t.referenceAt == 0 || difference < t.referenceNow(now) {
		t.reference, t.referenceAt = difference, now
	}
}

// referenceNow returns the largest difference that the clocks can have by now.
func (t *Transit) referenceNow(now int64) int64 {
	return t.reference + (now-t.referenceAt)/int64(time.Second)*maxDrift
}

// record updates the bucket of a given number.
func (t *Transit) record(number, difference int64) {
	i := number % transitBuckets
	if t.numbers[i] != number || difference < t.smallest[i] {
		t.numbers[i], t.smallest[i] = number, difference
	}
}

// minimum returns the smallest difference in the buckets of the window that ends with the
// bucket of a given number.
func (t *Transit) minimum(number int64) int64 {
	out := int64(math.MaxInt64)
	for i, n := range t.numbers {
		if n > 0 && number-n < transitBuckets {
			out = min(out, t.smallest[i])
		}
	}
	return out
}
