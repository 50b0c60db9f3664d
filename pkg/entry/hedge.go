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
	self := &quantile{share: share}
	self.value.Store(int64(firstHedgeAfter))
	return self
}

// note takes one answer time in. A lost update of two that race does no harm.
func (self *quantile) note(took time.Duration) {
	value := float64(self.value.Load())
	if float64(took) > value {
		value *= 1 + quantileStep*self.share
	} else {
		value *= 1 - quantileStep*(1-self.share)
	}
	self.value.Store(int64(math.Max(value, float64(time.Millisecond))))
}

func (self *quantile) get() time.Duration { return time.Duration(self.value.Load()) }

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
func (self *try) newHedge(first *flight, ends chan landed) *hedge {
	out := &hedge{try: self, first: first, ends: ends, open: 1}
	kind := self.plan.View.Kind
	if !kind.HedgeSafe || kind.NeverRepeat || len(self.req.Set) < 2 {
		return out
	}
	out.after = self.owner.stats.kindOf(self.plan).quantile.get()
	early := earlyLook * first.to.Load.Known(first.sentAt).Service
	if early <= 0 {
		early = out.after
	}
	out.timer = time.NewTimer(min(early, out.after))
	return out
}

// due fires when the call is to be looked at.
func (self *hedge) due() <-chan time.Time {
	if self.timer == nil {
		return nil
	}
	return self.timer.C
}

func (self *hedge) stop() {
	if self.timer != nil {
		self.timer.Stop()
	}
}

// consider sends the second copy when the call is slower than most, or when
// its server is known to have slowed since; else it looks again later.
func (self *hedge) consider() {
	now := self.try.owner.Now()
	age := time.Duration(now - self.first.sentAt)
	if age < self.after && !self.slowed(now) {
		self.timer.Reset(min(self.after-age, max(age/2, time.Millisecond)))
		return
	}
	if !self.try.budget.takeHedge() {
		return
	}
	self.send(now)
}

// slowed is true when stamps that came since tell that the first flight's
// server is much slower than another candidate.
func (self *hedge) slowed(now int64) bool {
	mine := self.first.to.Load.Known(now)
	if mine.StampAt < self.first.sentAt || mine.Service == 0 {
		return false
	}
	for i := range self.try.req.Set {
		other := self.try.req.Set[i].Load.Known(now)
		if other.Service > 0 && slowHint*other.Service < mine.Service {
			return true
		}
	}
	return false
}

func (self *hedge) send(now int64) {
	req := self.try.req
	req.Now = now
	req.Tried = req.Tried.With(self.first.index)
	pick := self.try.owner.policy.Choose(&req, self.try.owner.random)
	if pick.Index == choose.None {
		return
	}
	// A hedge never queues: it must not be one more call for a full server.
	second, refusal := self.try.launch(pick.Index, max(pick.MaxCost, 1), self.ends)
	if refusal != nil {
		return
	}
	self.second = second
	self.open++
	self.try.owner.stats.hedges.Inc()
}

// wins decides whether an end settles the call, and cancels the other flight.
// A refusal of one of two flights settles nothing: the other may still answer.
func (self *hedge) wins(end landed) bool {
	self.open--
	if end.result.Refusal != nil && self.open > 0 {
		return false
	}
	if self.second == nil || self.open == 0 {
		return true
	}
	other := self.first
	if end.flight == self.first {
		other = self.second
	}
	other.cancel()
	return true
}

func (self *hedge) cancel() {
	if self.second != nil {
		self.second.cancel()
	}
}
