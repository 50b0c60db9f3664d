package quota

import (
	"math"
	"time"

	"github.com/rushramp/rushramp/pkg/teams"
)

// pool is the state of a daemon as the counter of one group: the shares of the limits
// that daemons lease to it, and one token bucket per team.
type pool struct {
	slack  float64
	shares map[string]share
	// shareSum is the sum of the shares; 1 if all daemons lease theirs to this pool.
	shareSum float64
	// nextExpiry is a lower bound of the earliest expiry of a share.
	nextExpiry int64
	advancedTo int64
	// changedAt is when a share last arrived or left, or when requests began to wait here.
	// waitedAt is when requests were last allowed to wait.
	changedAt, waitedAt int64
	// limitSeconds is shareSum integrated over time, in seconds: a team has earned its
	// rate times this many tokens.
	limitSeconds float64
	// recoveredShares is the sum of all shares that ever arrived after their previous
	// counter was lost.
	recoveredShares float64
	buckets         map[string]*bucket
	// releasedAt holds the time at which each VM took its share back. An offer with an
	// earlier counter time is outdated.
	releasedAt map[string]int64
	leaseEnd   leaseEnd
	// lostHistory is the sum of the shares that arrived since lostSince and whose earlier
	// tokens were lost; historyLostAt is when it last exceeded maxLostHistory, 0: never.
	lostHistory              float64
	lostSince, historyLostAt int64
}

// share is one daemon's share of the limits, as a fraction, and the end of its lease.
type share struct {
	size  float64
	until int64
}

// shareOffer is a share that a daemon leases to this pool.
type shareOffer struct {
	vm   string
	size float64
	// counterTime is the time of this pool's daemon from which the lease runs.
	counterTime int64
	lease       time.Duration
	// previousCounterLost is true if the share grants recovery tokens.
	previousCounterLost bool
	// unearned is how long no process held the share before this lease, historyLost is true if
	// a process that held it was lost recently.
	unearned    time.Duration
	historyLost bool
}

// bucket is the token bucket of a team. Its tokens include what the team has earned up to
// the values of the pool's limitSeconds and recoveredShares that are stored here.
type bucket struct {
	tokens          float64
	limitSeconds    float64
	recoveredShares float64
	usedAt          int64
	returnSchedule  returnSchedule
	// waiting counts the requests allowed to wait since waitingSince, in the current
	// shareRetryInterval, previousWaiting those in the one before. A token for each waiting
	// request is requested about once per interval.
	waiting, previousWaiting uint32
	waitingSince             int64
}

func newPool(slack float64) *pool {
	return &pool{slack: slack, shares: map[string]share{}, buckets: map[string]*bucket{}, releasedAt: map[string]int64{}}
}

// advance adds the time up to now to limitSeconds and drops expired shares. Each share
// counts up to its own expiry.
func (p *pool) advance(now int64) {
	if now <= p.advancedTo {
		return
	}
	if now < p.nextExpiry || len(p.shares) == 0 {
		p.limitSeconds += p.shareSum * toSeconds(now-p.advancedTo)
		p.advancedTo = now
		return
	}
	p.shareSum, p.nextExpiry = 0, math.MaxInt64
	for vm, leased := range p.shares {
		p.limitSeconds += leased.size * toSeconds(min(now, leased.until)-p.advancedTo)
		if leased.until <= now {
			delete(p.shares, vm)
			p.changedAt = now
			continue
		}
		p.shareSum += leased.size
		p.nextExpiry = min(p.nextExpiry, leased.until)
	}
	p.advancedTo = now
}

func toSeconds(ns int64) float64 { return time.Duration(ns).Seconds() }

// addShare adds or renews a share. The lease runs from the offer's counter time, so an
// offer that arrives late is valid for a shorter time. Expired, outdated and future
// offers are ignored.
func (p *pool) addShare(now int64, offer shareOffer) {
	p.advance(now)
	until := offer.counterTime + int64(min(offer.lease, maxLease))
	if until <= now || offer.counterTime > now || offer.counterTime <= p.releasedAt[offer.vm] {
		return
	}
	previous, renewed := p.shares[offer.vm]
	if !renewed {
		p.changedAt = now
		p.limitSeconds += offer.size * min(offer.unearned, maxUnearned).Seconds()
		if offer.previousCounterLost {
			p.recoveredShares += offer.size
		}
		if offer.historyLost {
			p.recordLostHistory(now, offer.size)
		}
	}
	if len(p.shares) == 0 {
		p.nextExpiry = until
	}
	p.shareSum += offer.size - previous.size
	p.nextExpiry = min(p.nextExpiry, until)
	p.leaseEnd.at = min(p.leaseEnd.at, until)
	p.shares[offer.vm] = share{size: offer.size, until: max(until, previous.until)}
}

// recordLostHistory records that a share arrived whose earlier tokens were lost.
func (p *pool) recordLostHistory(now int64, size float64) {
	if now-p.lostSince > int64(lostHistoryInterval) {
		p.lostSince, p.lostHistory = now, 0
	}
	if p.lostHistory += size; p.lostHistory > maxLostHistory {
		p.historyLostAt = now
	}
}

// knowsUse reports whether an empty bucket shows that its team has used its limit. It does not
// if more than maxMissingShares are missing, or if saved tokens were lost with an earlier
// counter so recently that an unused bucket would not be full again.
func (p *pool) knowsUse(now int64, limit teams.Limit, window time.Duration) bool {
	if 1-p.shareSum > maxMissingShares {
		return false
	}
	refill := window.Seconds()
	if limit.Rate > 0 {
		refill = min(refill, p.capacity(limit)/limit.Rate)
	}
	return p.historyLostAt == 0 || now-p.historyLostAt >= int64(refill*float64(time.Second))
}

// allowWaiting returns how many of a team's requests may wait for a token at a daemon that has
// count of them without one. Those beyond what all daemons together could be granted may not.
func (p *pool) allowWaiting(now int64, team string, limit teams.Limit, lease time.Duration, count uint32) uint32 {
	if now-p.waitedAt > int64(lease+maxTokenWait) {
		// A daemon that has just become the counter gets the shares after their leases.
		p.changedAt = now
	}
	p.waitedAt = now
	b := p.buckets[team]
	if age := now - b.waitingSince; age >= int64(shareRetryInterval) {
		if age >= 2*int64(shareRetryInterval) {
			b.waiting = 0
		}
		b.previousWaiting, b.waiting, b.waitingSince = b.waiting, 0, now
	}
	most := uint32(min(max(b.tokens+p.maxEarned(now, limit, lease), 0), math.MaxInt32))
	count = min(count, most-min(b.waiting, most))
	b.waiting += count
	// Requests that are still to arrive may take what is left, divided among the daemons as
	// their requests are.
	total := max(b.waiting, b.previousWaiting, 1)
	return count + uint32(uint64(count)*uint64(most-min(total, most))/uint64(total))
}

// maxEarned returns how many tokens a team earns within maxTokenWait if all missing shares
// arrive now. They are not expected any more if requests have waited and no share has
// arrived or left for longer than a lease of this duration.
func (p *pool) maxEarned(now int64, limit teams.Limit, lease time.Duration) float64 {
	missing := max(1-p.shareSum, 0)
	if now-p.changedAt > int64(lease+maxTokenWait) {
		missing = 0
	}
	return limit.Rate*(p.shareSum+missing)*maxTokenWait.Seconds() + missing*recoverySlackFraction*p.slack
}

// holds reports whether the share of a VM is leased to this pool.
func (p *pool) holds(now int64, vm string) bool {
	p.advance(now)
	_, ok := p.shares[vm]
	return ok
}

// releaseShare drops the share of a VM, which takes it back.
func (p *pool) releaseShare(now int64, vm string) {
	p.advance(now)
	p.releasedAt[vm], p.changedAt = now, now
	p.shareSum -= p.shares[vm].size
	delete(p.shares, vm)
	if len(p.shares) == 0 {
		p.shareSum = 0
	}
}

// bucketOf returns a team's bucket with all tokens earned up to now. A new bucket is
// credited from the creation of the pool, up to its capacity, because none of its tokens
// have been spent here.
func (p *pool) bucketOf(now int64, team string, limit teams.Limit) *bucket {
	p.advance(now)
	b := p.buckets[team]
	if b == nil {
		b = &bucket{}
		p.buckets[team] = b
	}
	b.tokens += limit.Rate*(p.limitSeconds-b.limitSeconds) + recoverySlackFraction*p.slack*(p.recoveredShares-b.recoveredShares)
	b.tokens = min(b.tokens, p.capacity(limit)) - b.returnSchedule.takeDue(now)
	b.limitSeconds, b.recoveredShares, b.usedAt = p.limitSeconds, p.recoveredShares, now
	return b
}

// capacity returns the maximum number of tokens in the bucket of a team with this limit.
func (p *pool) capacity(limit teams.Limit) float64 {
	return (limit.Burst + burstSlackFraction*p.slack) * p.shareSum
}

// take puts returned tokens back into the team's bucket and then takes up to the
// requested number. If it grants fewer, retryAfter is the time until the next token.
func (p *pool) take(now int64, team string, limit teams.Limit, request TokenRequest) (granted uint32, retryAfter time.Duration) {
	b := p.bucketOf(now, team, limit)
	b.tokens = min(b.tokens+float64(request.Returned), p.capacity(limit))
	granted = min(request.Count, uint32(min(max(b.tokens, 0), math.MaxUint32)))
	b.tokens -= float64(granted)
	if granted == request.Count {
		return granted, 0
	}
	return granted, p.untilNextToken(limit, b.tokens)
}

const (
	// minRetryAfter and maxRetryAfter bound the wait that a caller over its limit is told.
	minRetryAfter = 10 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// untilNextToken returns the time until the bucket of a team holds a whole token. It is
// askInterval for a team that earns no tokens, for example while no share is leased here.
func (p *pool) untilNextToken(limit teams.Limit, tokens float64) time.Duration {
	perSecond := limit.Rate * p.shareSum
	if perSecond <= 0 {
		return askInterval
	}
	// The wait of a very low rate does not fit a Duration.
	seconds := min((1-tokens)/perSecond, maxRetryAfter.Seconds())
	return max(time.Duration(seconds*float64(time.Second)), minRetryAfter)
}

// bucketRetention is how long an unused bucket is kept. By then it is full again, so a
// new bucket is equivalent.
const bucketRetention = 5 * time.Minute

// sweep drops unused buckets and old release times.
func (p *pool) sweep(now int64) {
	for team, b := range p.buckets {
		if now-b.usedAt > int64(bucketRetention) {
			delete(p.buckets, team)
		}
	}
	for vm, at := range p.releasedAt {
		if now-at > int64(maxLease) {
			delete(p.releasedAt, vm)
		}
	}
}
