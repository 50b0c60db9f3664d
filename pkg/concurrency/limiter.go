// Package concurrency learns how many runs a backend server takes at once
// before work slows for all of them: from how long runs take against how many
// were running at their start. Times are nanoseconds of a steady clock, handed
// in by the owner, which also keeps the limiter to one goroutine at a time.
// Source: docs/design/gate.md, "The limit is learnt".
package concurrency

import "time"

const (
	// lowShare bounds the runs that the others are compared with: those that
	// started while at most this share of the limit ran.
	lowShare = 0.5
	// highShare is the share of the limit above which runs tell whether it is too
	// high.
	highShare = 0.75
	// leastShare is the share of the slots that the limit never falls below.
	leastShare = 0.4
	// enough is how many runs a mean must hold to be looked at: with runs that
	// spread by a third its error is a sixteenth.
	enough = 24
	// fewProbes is how many runs over the limit are enough where they are clearly
	// slowed.
	fewProbes = 8
	// plenty is how many are enough to give up where they are neither clearly
	// slowed nor clearly not.
	plenty = 2 * enough
	// slowed is the ratio to the runs at low concurrency above which the limit is
	// too high: over four times the error of two full means, since it is looked at
	// after each run, and runs that call others take longer under load anyway.
	slowed = 1.25
	// clearly is the ratio above which few probes are enough to tell.
	clearly = 1.35
	// lowerBy is the part of the limit that it falls by at once.
	lowerBy = 8
	// unslowed is the ratio up to which the limit may rise.
	unslowed = 1.15
	// window is how many runs a mean looks back on.
	window = 64
	// probeEvery is the least time between two runs over the limit.
	probeEvery = int64(500 * time.Millisecond)
	// firstPause is how long no run goes over the limit after those that did were
	// slowed; it doubles each time, up to longestPause.
	firstPause   = int64(time.Minute)
	longestPause = int64(time.Hour)
)

// Limiter follows one backend server. Make it with NewLimiter.
type Limiter struct {
	slots int
	limit int
	// low, high and over are the runs that started at low concurrency, near the
	// limit, and over it.
	low, high, over mean
	// nextProbe is when the next run may go over the limit.
	nextProbe int64
	pause     int64
}

// NewLimiter makes the limiter of a backend server with so many slots, from a
// limit that is safe where nothing is known.
func NewLimiter(slots, limit int) *Limiter {
	return &Limiter{slots: slots, limit: limit, pause: firstPause}
}

// Limit is how many runs go on at once.
func (l *Limiter) Limit() int { return l.limit }

// ShouldProbe decides whether one run may start over the limit, to learn whether the
// limit could be higher.
func (l *Limiter) ShouldProbe(now int64) bool {
	if l.limit >= l.slots || now < l.nextProbe || l.low.runs < enough {
		return false
	}
	l.nextProbe = now + probeEvery
	return true
}

// RecordRun takes over a run that started as one of so many, and took ratio times what
// it was expected to take. It returns true when the limit has changed.
func (l *Limiter) RecordRun(now int64, running int, ratio float64) (changed bool) {
	before := l.limit
	switch {
	case running > l.limit:
		l.over.add(ratio)
		l.judgeProbes(now)
	case float64(running) <= lowShare*float64(l.limit):
		l.low.add(ratio)
	case float64(running) > highShare*float64(l.limit):
		l.high.add(ratio)
		l.judgeLimit()
	}
	return l.limit != before
}

// judgeProbes raises the limit by one when runs over it are not slowed, and
// pauses them when they are.
func (l *Limiter) judgeProbes(now int64) {
	ratio := l.over.value / max(l.low.value, minMean)
	switch {
	case l.over.runs >= fewProbes && ratio > clearly, l.over.runs >= plenty:
		l.over = mean{}
		l.nextProbe = now + l.pause
		l.pause = min(2*l.pause, longestPause)
	case l.over.runs >= enough && ratio <= unslowed:
		l.set(l.limit + 1)
	}
}

// judgeLimit lowers the limit when runs near it are slowed.
func (l *Limiter) judgeLimit() {
	if l.high.runs < window || l.low.runs < enough || l.high.value <= slowed*l.low.value {
		return
	}
	next := l.limit - max(l.limit/lowerBy, 1)
	if float64(next) >= leastShare*float64(l.slots) {
		l.set(next)
	}
}

// set changes the limit; what was learnt near the old one is forgotten.
func (l *Limiter) set(limit int) {
	l.limit = limit
	l.high, l.over = mean{}, mean{}
}

// minMean keeps a division from a mean of nothing.
const minMean = 0.01

// mean is a mean over the newest runs.
type mean struct {
	value float64
	runs  int
}

func (m *mean) add(ratio float64) {
	m.runs = min(m.runs+1, window)
	m.value += (ratio - m.value) / float64(m.runs)
}
