package entry

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/rushramp/rushramp/pkg/choose"
)

const (
	// slowHint is by how many times a server must be slower than the fastest
	// candidate for a call there to be hedged before its time.
	slowHint = 2
	// earlyLook is after how many service times a call is looked at for that.
	earlyLook = 2
	// quantileStep is the relative step of the quantile's estimate.
	quantileStep = 0.05
	// firstHedgeAfter stands in for a quantile that is not known yet.
	firstHedgeAfter = 100 * time.Millisecond
)

// quantile follows a high quantile of the answer times of one kind, in constant
// memory: each answer moves it a little up or down. Source: Ma, Muthukrishnan
// and Sandler, "Frugal Streaming for Estimating Quantiles", 2013.
type quantile struct {
	value atomic.Int64
	share float64
}

func newQuantile(share float64) *quantile {
	q := &quantile{share: share}
	q.value.Store(int64(firstHedgeAfter))
	return q
}

// note takes one answer time in. A lost update of two that race does no harm.
func (q *quantile) note(took time.Duration) {
	value := float64(q.value.Load())
	if float64(took) > value {
		value *= 1 + quantileStep*q.share
	} else {
		value *= 1 - quantileStep*(1-q.share)
	}
	q.value.Store(int64(math.Max(value, float64(time.Millisecond))))
}

func (q *quantile) get() time.Duration { return time.Duration(q.value.Load()) }

// hedge is the second copy of a slow call, of a kind that is marked safe for
// it. Source: docs/design/retries.md.
type hedge struct {
	try    *try
	first  *flight
	second *flight
	ends   chan landed
	timer  *time.Timer
	// after is when the call is slow enough to be hedged in any case.
	after time.Duration
	// open counts the flights that have not ended.
	open int
}

// newHedge plans the hedge of a flight. Its timer never fires for a kind that
// is not safe.
func (t *try) newHedge(first *flight, ends chan landed) *hedge {
	out := &hedge{try: t, first: first, ends: ends, open: 1}
	kind := t.plan.KindView.Kind
	if !kind.HedgeSafe || kind.NeverRepeat || len(t.req.CandidateSet) < 2 {
		return out
	}
	out.after = t.owner.stats.kindOf(t.plan).quantile.get()
	early := earlyLook * first.to.Load.Snapshot(first.sentAt).ServiceTime
	if early <= 0 {
		early = out.after
	}
	out.timer = time.NewTimer(min(early, out.after))
	return out
}

// due fires when the call is to be looked at.
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

// consider sends the second copy when the call is slower than most, or when
// its server is known to have slowed since; else it looks again later.
func (h *hedge) consider() {
	now := h.try.owner.Now()
	age := time.Duration(now - h.first.sentAt)
	if age < h.after && !h.slowed(now) {
		h.timer.Reset(min(h.after-age, max(age/2, time.Millisecond)))
		return
	}
	if !h.try.budget.takeHedge() {
		return
	}
	h.send(now)
}

// slowed is true when stamps that came since tell that the first flight's
// server is much slower than another candidate.
func (h *hedge) slowed(now int64) bool {
	mine := h.first.to.Load.Snapshot(now)
	if mine.StampReceivedAt < h.first.sentAt || mine.ServiceTime == 0 {
		return false
	}
	for i := range h.try.req.CandidateSet {
		other := h.try.req.CandidateSet[i].Load.Snapshot(now)
		if other.ServiceTime > 0 && slowHint*other.ServiceTime < mine.ServiceTime {
			return true
		}
	}
	return false
}

func (h *hedge) send(now int64) {
	req := h.try.req
	req.Now = now
	req.Excluded = req.Excluded.With(h.first.index)
	pick := h.try.owner.policy.Choose(&req, h.try.owner.random)
	if pick.Index == choose.NoCandidate {
		return
	}
	// A hedge never queues: it must not be one more call for a full server.
	second, refusal := h.try.launch(pick.Index, max(pick.MaxCost, 1), h.ends)
	if refusal != nil {
		return
	}
	h.second = second
	h.open++
	h.try.owner.stats.hedges.Inc()
}

// wins decides whether an end settles the call, and cancels the other flight.
// A refusal of one of two flights settles nothing: the other may still answer.
func (h *hedge) wins(end landed) bool {
	h.open--
	if end.result.Refusal != nil && h.open > 0 {
		return false
	}
	if h.second == nil || h.open == 0 {
		return true
	}
	other := h.first
	if end.flight == h.first {
		other = h.second
	}
	other.cancel()
	return true
}

func (h *hedge) cancel() {
	if h.second != nil {
		h.second.cancel()
	}
}
