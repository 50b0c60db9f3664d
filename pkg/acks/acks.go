// Package acks decides when a call counts as not acknowledged in time, and estimates how long
// a call was in transit. It does not use the network. Source:
// docs/design/acknowledged-calls.md.
package acks

import "time"

const (
	// MaxDelay is how long an executor delays an acknowledgement, so that another frame can
	// replace it and one frame can acknowledge several calls.
	MaxDelay = 5 * time.Millisecond
	// SchedulingAllowance is how long a busy machine may delay a process that is ready to
	// run.
	SchedulingAllowance = 10 * time.Millisecond
	// variationFactor is the number of mean deviations that a bound allows, as in RFC 6298.
	variationFactor = 4
	// spareShare is the share of a call's spare time for which its ack is waited for. The
	// rest is for the second attempt.
	spareShare = 0.25
	// maxSpareFactor limits the bound of a call with much spare time, as a multiple of the
	// bound that its link requires.
	maxSpareFactor = 4
)

// Bound says when a call counts as not acknowledged in time.
type Bound struct {
	// Late is the time from sending the call after which its ack is late; 0: not known.
	Late time.Duration
	// MayLeave is true if the call has time for a run elsewhere after Late.
	MayLeave bool
}

// newBound returns the bound of a call. needed is the time that the link requires, spare the
// time left to the call beyond that of a run elsewhere, and widening multiplies the bound.
func newBound(needed, spare time.Duration, widening int) Bound {
	if needed <= 0 {
		return Bound{}
	}
	share := time.Duration(spareShare * float64(spare))
	late := time.Duration(widening) * min(max(share, needed), maxSpareFactor*needed)
	return Bound{Late: late, MayLeave: late <= spare}
}

// HasTimeForRun reports whether a call with timeLeft to its deadline can be sent elsewhere
// and run there for the expected time.
func HasTimeForRun(timeLeft, run time.Duration, link Estimate) bool {
	return timeLeft >= run+link.RoundTrip
}
