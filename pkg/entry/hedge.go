package entry

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/rushramp/rushramp/pkg/choose"
)

const (
	// earlyHedgeRatio is how many times slower than another candidate a server must
	// be for its call to be hedged early.
	earlyHedgeRatio = 2
	// earlyCheckAfter is the age at which a call is first checked for an early hedge,
	// as a multiple of the server's service time.
	earlyCheckAfter = 2
	// quantileStep is the largest relative change of a quantileEstimate by one value.
	quantileStep = 0.05
	// initialEstimate is a quantileEstimate's value before the first answer.
	initialEstimate = 100 * time.Millisecond
)

// quantileEstimate estimates a high quantile of the answer times of one kind in
// constant memory: each answer moves the estimate a little up or down. Source: Ma,
// Muthukrishnan and Sandler, "Frugal Streaming for Estimating Quantiles", 2013.
type quantileEstimate struct {
	// value is the estimate in nanoseconds.
	value atomic.Int64
	// quantile lies between 0 and 1.
	quantile float64
}

func newQuantileEstimate(quantile float64) *quantileEstimate {
	q := &quantileEstimate{quantile: quantile}
	q.value.Store(int64(initialEstimate))
	return q
}

// add updates the estimate by one answer time. Two concurrent updates may lose one of
// them, which the estimate tolerates.
func (q *quantileEstimate) add(took time.Duration) {
	value := float64(q.value.Load())
	if float64(took) > value {
		value *= 1 + quantileStep*q.quantile
	} else {
		value *= 1 - quantileStep*(1-q.quantile)
	}
	q.value.Store(int64(math.Max(value, float64(time.Millisecond))))
}

func (q *quantileEstimate) get() time.Duration { return time.Duration(q.value.Load()) }

// hedge decides whether a slow call is sent a second time, to another backend server,
// and which of the two attempts gives the result. Only kinds that the placement marks as
// safe for it are hedged. Source: docs/design/retries.md.
type hedge struct {
	attempts *attempts
	first    *attempt
	// second is nil until the hedge is sent.
	second *attempt
	ends   chan attemptEnd
	// timer is nil for a call that is not hedged.
	timer *time.Timer
	// after is the age at which the call is hedged whatever its server's load.
	after time.Duration
	// running counts the attempts that have not ended.
	running int
}

// newHedge returns the hedge of an attempt, and starts its timer where the call may be
// hedged.
func (a *attempts) newHedge(first *attempt, ends chan attemptEnd) *hedge {
	out := &hedge{attempts: a, first: first, ends: ends, running: 1}
	kind := a.admitted.KindView.Kind
	if !kind.HedgeSafe || kind.NeverRepeat || len(a.choice.CandidateSet) < 2 {
		return out
	}
	out.after = a.entry.stats.forCall(a.admitted).hedgeAfter.get()
	early := earlyCheckAfter * first.candidate.Load.Snapshot(first.sentAt).ServiceTime
	if early <= 0 {
		early = out.after
	}
	out.timer = time.NewTimer(min(early, out.after))
	return out
}

// due returns the channel that receives when check must be called. It is nil, and
// never receives, for a call that is not hedged.
func (h *hedge) due() <-chan time.Time {
	if h.timer == nil {
		return nil
	}
	return h.timer.C
}

func (h *hedge) stop() {
	if h.timer != nil {
		h.timer.Stop()
	}
}

// check sends the hedge when the call is older than the quantile of its kind, or when
// its server has become slow. Otherwise it sets the timer for the next check.
func (h *hedge) check() {
	now := h.attempts.entry.Now()
	age := time.Duration(now - h.first.sentAt)
	if age < h.after && !h.serverIsSlow(now) {
		h.timer.Reset(min(h.after-age, max(age/2, time.Millisecond)))
		return
	}
	h.send(now)
}

// serverIsSlow reports whether a load stamp that came after the first attempt was sent
// shows its server to be much slower than another candidate.
func (h *hedge) serverIsSlow(now int64) bool {
	own := h.first.candidate.Load.Snapshot(now)
	if own.StampReceivedAt < h.first.sentAt || own.ServiceTime == 0 {
		return false
	}
	for i := range h.attempts.choice.CandidateSet {
		other := h.attempts.choice.CandidateSet[i].Load.Snapshot(now)
		if other.ServiceTime > 0 && earlyHedgeRatio*other.ServiceTime < own.ServiceTime {
			return true
		}
	}
	return false
}

// send sends the second attempt to another candidate, where there is one and the budget allows
// it.
func (h *hedge) send(now int64) {
	choice := h.attempts.choice
	choice.Now = now
	choice.Excluded = choice.Excluded.With(h.first.index)
	pick := h.attempts.entry.policy.Choose(&choice, h.attempts.entry.random)
	if pick.Index == choose.NoCandidate || !h.attempts.budget.takeHedge() {
		return
	}
	// A hedge must not add to the queue of a full server, so its cost is always bounded.
	second, refusal := h.attempts.send(pick.Index, max(pick.MaxCost, 1), h.ends)
	if refusal != nil {
		return
	}
	h.second = second
	h.running++
	h.attempts.entry.stats.hedges.Inc()
}

// settles reports whether the end of an attempt ends the call. If it does, settles cancels
// the other attempt. A refusal does not end the call while the other attempt may still be
// answered.
func (h *hedge) settles(end attemptEnd) bool {
	h.running--
	if end.result.Refusal != nil && h.running > 0 {
		return false
	}
	if h.second == nil || h.running == 0 {
		return true
	}
	other := h.first
	if end.attempt == h.first {
		other = h.second
	}
	other.cancel()
	return true
}

// cancel cancels the second attempt, if it was sent.
func (h *hedge) cancel() {
	if h.second != nil {
		h.second.cancel()
	}
}
