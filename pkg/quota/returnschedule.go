package quota

import (
	"math"
	"time"

	"github.com/rushramp/rushramp/pkg/teams"
)

const (
	// returnShare is the share of a team's rate from which tokens are reserved for return
	// times. The rest is for requests that arrive without one, so that they never starve.
	returnShare = 0.5
	// maxReturnDelay bounds how far ahead tokens are reserved.
	maxReturnDelay = 250 * time.Millisecond
	// leaseEndInterval is how long the earliest end of all leases, once computed, is used.
	leaseEndInterval = 20 * time.Millisecond
)

// returnSchedule is a counter's schedule of the tokens of one team that are reserved for
// return times. A reserved token is taken from the bucket when it becomes due.
type returnSchedule struct {
	// last is the time at which the last reserved token becomes due.
	last    int64
	pending []returnBatch
}

// returnBatch is a series of reserved tokens: one becomes due at first and one every step
// after that. Both are in nanoseconds.
type returnBatch struct {
	first, step int64
	count       uint32
}

// takeDue removes the reserved tokens that are due and returns their number.
func (s *returnSchedule) takeDue(now int64) (due float64) {
	remaining := s.pending[:0]
	for _, batch := range s.pending {
		if batch.first <= now {
			passed := uint32(min((now-batch.first)/batch.step+1, int64(batch.count)))
			due += float64(passed)
			batch.first += int64(passed) * batch.step
			batch.count -= passed
		}
		if batch.count > 0 {
			remaining = append(remaining, batch)
		}
	}
	s.pending = remaining
	return due
}

// reserve reserves up to wanted tokens that become due from earliest on and before end.
func (s *returnSchedule) reserve(wanted uint32, earliest, end, step int64) returnBatch {
	batch := returnBatch{first: max(earliest, s.last+step), step: step}
	if batch.first >= end || wanted == 0 {
		return batch
	}
	batch.count = uint32(min(int64(wanted), (end-batch.first-1)/step+1))
	s.last = batch.first + int64(batch.count-1)*step
	s.pending = append(s.pending, batch)
	return batch
}

// leaseEnd caches the earliest time at which a share leased to a pool may expire.
type leaseEnd struct{ at, computedAt int64 }

// earliestLeaseEnd returns the time at which the first of the shares leased now expires.
// Only until then is it certain that no other counter earns tokens from them.
func (p *pool) earliestLeaseEnd(now int64) int64 {
	if p.leaseEnd.computedAt != 0 && now-p.leaseEnd.computedAt < int64(leaseEndInterval) {
		return p.leaseEnd.at
	}
	end := int64(math.MaxInt64)
	for _, leased := range p.shares {
		end = min(end, leased.until)
	}
	p.leaseEnd = leaseEnd{at: end, computedAt: now}
	return end
}

// reserveReturns reserves tokens for callers of a team that is over its limit.
func (p *pool) reserveReturns(now int64, team string, limit teams.Limit, wanted uint32) (batch returnBatch, ok bool) {
	perSecond := limit.Rate * p.shareSum
	if perSecond <= 0 {
		return returnBatch{}, false
	}
	b := p.bucketOf(now, team, limit)
	// Any step beyond maxReturnDelay reserves one token at most, and fits ReturnStepUS.
	stepUS := min(math.Ceil(1e6/(perSecond*returnShare)), math.MaxUint32)
	step := max(int64(stepUS), 1) * int64(time.Microsecond)
	earliest := now + int64(p.untilNextToken(limit, b.tokens))
	end := min(now+int64(maxReturnDelay), p.earliestLeaseEnd(now))
	return b.returnSchedule.reserve(wanted, earliest, end, step), true
}

// addReturns adds return times to the answer to a token request, where the team is over
// its limit. The step is set even if no token is reserved: it tells the daemon that this
// counter schedules return times.
func (p *pool) addReturns(now int64, limit teams.Limit, request *TokenRequest, granted *TokenGrant) {
	if request.Refused == 0 || granted.NoShareYet || granted.Count >= request.Count && request.Count > 0 {
		return
	}
	batch, ok := p.reserveReturns(now, request.Team, limit, request.Refused-min(request.Refused, granted.Count))
	if !ok {
		return
	}
	granted.ReturnStepUS = uint32(batch.step / int64(time.Microsecond))
	if batch.count > 0 {
		granted.Returns = batch.count
		granted.ReturnMS = uint32((batch.first - now + int64(time.Millisecond) - 1) / int64(time.Millisecond))
	}
}
