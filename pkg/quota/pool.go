package quota

import (
	"math"
	"time"

	"github.com/rushramp/rushramp/pkg/teams"
)

// pool is what a counter of one group works with: the parts of the limits that daemons
// have lent to it, and a bucket of tokens a team.
type pool struct {
	slack float64
	parts map[string]part
	// sum is that of the parts; 1 where all daemons lend theirs.
	sum float64
	// nextEnd is no later than the end of the part that ends first.
	nextEnd int64
	at      int64
	// seconds grows by the sum of the parts each second: a team whose limit is a rate a
	// second has earned as many times that rate.
	seconds float64
	// began grows with each part that comes after its counter was lost, by its size.
	began   float64
	buckets map[string]*bucket
	// released are the times at which daemons took their parts back: an offer that was
	// made before, and comes later, is void.
	released map[string]int64
}

// part is one daemon's part of the limits and until when it is lent.
type part struct {
	size  float64
	until int64
}

// offer is a part that a daemon lends.
type offer struct {
	vm    string
	size  float64
	stamp int64
	// lease is for how long it is lent.
	lease time.Duration
	// fresh is true where the counter before was lost.
	fresh bool
}

// bucket holds the tokens of a team. It has earned all up to the pool's seconds and began
// that it notes.
type bucket struct {
	tokens  float64
	seconds float64
	began   float64
	usedAt  int64
}

func newPool(slack float64) *pool {
	return &pool{slack: slack, parts: map[string]part{}, buckets: map[string]*bucket{}, released: map[string]int64{}}
}

// advance takes the time up to now into account; a part counts until its own end.
func (p *pool) advance(now int64) {
	if now <= p.at {
		return
	}
	if now < p.nextEnd || len(p.parts) == 0 {
		p.seconds += p.sum * seconds(now-p.at)
		p.at = now
		return
	}
	p.sum, p.nextEnd = 0, math.MaxInt64
	for vm, lent := range p.parts {
		p.seconds += lent.size * seconds(min(now, lent.until)-p.at)
		if lent.until <= now {
			delete(p.parts, vm)
			continue
		}
		p.sum += lent.size
		p.nextEnd = min(p.nextEnd, lent.until)
	}
	p.at = now
}

func seconds(ns int64) float64 { return time.Duration(ns).Seconds() }

// lend takes over a part. It may be used for its lease from the time at which this pool
// gave the stamp: what was on its way for long counts for less.
func (p *pool) lend(now int64, o offer) {
	p.advance(now)
	until := o.stamp + int64(min(o.lease, leaseMost))
	if until <= now || o.stamp > now || o.stamp <= p.released[o.vm] {
		return
	}
	was, known := p.parts[o.vm]
	if !known && o.fresh {
		p.began += o.size
	}
	if len(p.parts) == 0 {
		p.nextEnd = until
	}
	p.sum += o.size - was.size
	p.nextEnd = min(p.nextEnd, until)
	p.parts[o.vm] = part{size: o.size, until: max(until, was.until)}
}

// release gives a part back.
func (p *pool) release(now int64, vm string) {
	p.advance(now)
	p.released[vm] = now
	p.sum -= p.parts[vm].size
	delete(p.parts, vm)
	if len(p.parts) == 0 {
		p.sum = 0
	}
}

// bucketOf is a team's bucket with all that it has earned. One that is asked for first
// has earned since the pool's beginning: none of its tokens was spent here.
func (p *pool) bucketOf(now int64, team string, limit teams.Limit) *bucket {
	p.advance(now)
	b := p.buckets[team]
	if b == nil {
		b = &bucket{}
		p.buckets[team] = b
	}
	b.tokens += limit.Rate*(p.seconds-b.seconds) + startShare*p.slack*(p.began-b.began)
	b.tokens = min(b.tokens, p.depth(limit))
	b.seconds, b.began, b.usedAt = p.seconds, p.began, now
	return b
}

// depth is the most tokens of a team that the pool may save.
func (p *pool) depth(limit teams.Limit) float64 {
	return (limit.Burst + depthShare*p.slack) * p.sum
}

// take takes tokens of a team, as many as there are of those wanted, after some were
// given back. wait is the time until there is one again, where fewer were granted.
func (p *pool) take(now int64, team string, limit teams.Limit, want TokenRequest) (granted uint32, wait time.Duration) {
	b := p.bucketOf(now, team, limit)
	b.tokens = min(b.tokens+float64(want.Returned), p.depth(limit))
	granted = min(want.Count, uint32(max(b.tokens, 0)))
	b.tokens -= float64(granted)
	if granted == want.Count {
		return granted, 0
	}
	return granted, p.untilNext(limit, b.tokens)
}

const (
	// leastWait and mostWait bound what a caller over its limit is told to wait.
	leastWait = 10 * time.Millisecond
	mostWait  = 5 * time.Second
)

// untilNext is the time until a team has a token again. Without a part there may be some
// with the next renewal.
func (p *pool) untilNext(limit teams.Limit, tokens float64) time.Duration {
	earns := limit.Rate * p.sum
	if earns <= 0 {
		return askAgain
	}
	wait := time.Duration((1 - tokens) / earns * float64(time.Second))
	return min(max(wait, leastWait), mostWait)
}

// bucketFor is for how long a bucket that nobody takes from is kept: one that is made
// again then has earned as much as it would have.
const bucketFor = 5 * time.Minute

// forget drops the buckets that were not used for long.
func (p *pool) forget(now int64) {
	for team, b := range p.buckets {
		if now-b.usedAt > int64(bucketFor) {
			delete(p.buckets, team)
		}
	}
	for vm, at := range p.released {
		if now-at > int64(leaseMost) {
			delete(p.released, vm)
		}
	}
}
