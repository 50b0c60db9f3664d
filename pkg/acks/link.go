package acks

import (
	"sync"
	"time"
)

const (
	// roundTripWeight and variationWeight are the weights of a new sample, as in RFC 6298.
	roundTripWeight = 1.0 / 8
	variationWeight = 1.0 / 4
	// minLateAcks and lateFor are the least number of late acks in a row, and the least time
	// that they span, for the link's round-trip time to count as changed.
	minLateAcks = 4
	lateFor     = 10 * time.Second
)

// Estimate is the estimated time of an acknowledgement on one link.
type Estimate struct {
	RoundTrip time.Duration
	// Variation is the mean deviation from RoundTrip.
	Variation time.Duration
}

// needed returns the time within which an ack is expected; 0: not known.
func (e Estimate) needed() time.Duration {
	if e.RoundTrip <= 0 {
		return 0
	}
	return e.RoundTrip + max(variationFactor*e.Variation, SchedulingAllowance) + MaxDelay
}

// Link estimates the times of acknowledgements on one link. It is safe for concurrent use.
// Late acks do not change the estimate: the bound of a slow link would otherwise grow until no
// call was sent elsewhere. If all acks are late for lateFor, the round-trip time has grown, and
// the estimate starts again from the fastest of them.
type Link struct {
	mu       sync.Mutex
	estimate Estimate
	// lateAcks counts the late acks since the last one in time, of which the first was
	// recorded at lateSince and the fastest took fastestLate.
	lateAcks    int
	lateSince   int64
	fastestLate time.Duration
}

// Estimate returns the current estimate. Before the first sample it is based on the
// round-trip time of pings; 0: not known.
func (l *Link) Estimate(ping time.Duration) Estimate {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.estimate.RoundTrip == 0 {
		l.start(ping)
	}
	return l.estimate
}

// start begins the estimate with a first sample, as in RFC 6298. The caller holds mu.
func (l *Link) start(sample time.Duration) {
	l.estimate = Estimate{RoundTrip: sample, Variation: sample / 2}
	l.lateAcks = 0
}

// Record updates the estimate with the time that an ack took. now is in nanoseconds of the
// daemon's clock.
func (l *Link) Record(now int64, took time.Duration, late bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.estimate.RoundTrip == 0:
		l.start(took)
	case late:
		l.recordLate(now, took)
	default:
		l.lateAcks = 0
		deviation := (took - l.estimate.RoundTrip).Abs()
		l.estimate.Variation += time.Duration(variationWeight * float64(deviation-l.estimate.Variation))
		l.estimate.RoundTrip += time.Duration(roundTripWeight * float64(took-l.estimate.RoundTrip))
	}
}

// recordLate counts a late ack. The caller holds mu.
func (l *Link) recordLate(now int64, took time.Duration) {
	if l.lateAcks == 0 {
		l.lateSince, l.fastestLate = now, took
	}
	l.lateAcks++
	l.fastestLate = min(l.fastestLate, took)
	if l.lateAcks >= minLateAcks && now-l.lateSince >= int64(lateFor) {
		l.start(l.fastestLate)
	}
}
