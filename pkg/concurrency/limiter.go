// Package concurrency learns how many runs a backend server can execute at once before
// they slow one another down, by comparing the times of runs that start at low and at
// high concurrency. Times are nanoseconds of a monotonic clock that the caller passes in. A
// Limiter is not safe for concurrent use. Source: docs/design/gate.md, "The limit is
// learnt".
package concurrency

import "time"

const (
	// lowShare is the share of the limit up to which a run counts as one at low
	// concurrency. Runs at high concurrency and probes are compared with these.
	lowShare = 0.5
	// highShare is the share of the limit above which a run counts as one at high
	// concurrency, which shows whether the limit is too high.
	highShare = 0.75
	// minLimitShare is the share of the slots below which the limit is not lowered.
	minLimitShare = 0.4
	// minRuns is how many runs a mean must cover to be used: as run times vary by a third,
	// its standard error is then about a sixteenth.
	minRuns = 24
	// minSlowProbes is how many probes, runs above the limit, are enough to stop probing
	// when they are clearly slowed.
	minSlowProbes = 8
	// maxProbes is how many probes are enough to stop probing when they are neither
	// clearly slowed nor clearly not.
	maxProbes = 2 * minRuns
	// slowedRatio is the ratio to the runs at low concurrency above which the limit is too
	// high. It exceeds 1 by over four standard errors of two full means, because it is
	// checked after each run and runs that make calls take longer under load anyway.
	slowedRatio = 1.25
	// clearlySlowedRatio is the ratio above which minSlowProbes are enough.
	clearlySlowedRatio = 1.35
	// decreaseDivisor sets the step by which the limit is lowered: an eighth of it, but at
	// least 1.
	decreaseDivisor = 8
	// unslowedRatio is the ratio up to which the limit may rise.
	unslowedRatio = 1.15
	// meanWindow is the number of runs from which on a mean gives older runs less weight.
	meanWindow = 64
	// probeInterval is the least time between two probes, in nanoseconds.
	probeInterval = int64(500 * time.Millisecond)
	// firstPause is how long probing stops, in nanoseconds, after probes were slowed. The
	// pause doubles each time, up to maxPause.
	firstPause = int64(time.Minute)
	maxPause   = int64(time.Hour)
)

// Limiter learns the limit on the runs of one backend server. Make it with NewLimiter.
type Limiter struct {
	slots int
	limit int
	// low, high and probes are the means of the runs that started at low concurrency, at
	// high concurrency and above the limit.
	low, high, probes mean
	// nextProbe is when the next probe may start, in nanoseconds.
	nextProbe int64
	pause     int64
}

// NewLimiter returns the limiter of a backend server with the given number of slots.
// limit is the initial limit.
func NewLimiter(slots, limit int) *Limiter {
	return &Limiter{slots: slots, limit: limit, pause: firstPause}
}

// Limit returns how many runs may execute at once.
func (l *Limiter) Limit() int { return l.limit }

// ShouldProbe decides whether one run may start above the limit, to learn whether the
// limit could be higher.
func (l *Limiter) ShouldProbe(now int64) bool {
	if l.limit >= l.slots || now < l.nextProbe || l.low.runs < minRuns {
		return false
	}
	l.nextProbe = now + probeInterval
	return true
}

// RecordRun records a run that has ended. running is how many runs executed when it
// started, itself included; ratio is its time as a multiple of the expected one.
// RecordRun returns true when the limit has changed.
func (l *Limiter) RecordRun(now int64, running int, ratio float64) (changed bool) {
	before := l.limit
	switch {
	case running > l.limit:
		l.probes.add(ratio)
		l.evaluateProbes(now)
	case float64(running) <= lowShare*float64(l.limit):
		l.low.add(ratio)
	case float64(running) > highShare*float64(l.limit):
		l.high.add(ratio)
		l.evaluateLimit()
	}
	return l.limit != before
}

// evaluateProbes raises the limit by one when the probes are not slowed, and stops
// probing for a while when they are.
func (l *Limiter) evaluateProbes(now int64) {
	ratio := l.probes.value / max(l.low.value, minMean)
	switch {
	case l.probes.runs >= minSlowProbes && ratio > clearlySlowedRatio, l.probes.runs >= maxProbes:
		l.probes = mean{}
		l.nextProbe = now + l.pause
		l.pause = min(2*l.pause, maxPause)
	case l.probes.runs >= minRuns && ratio <= unslowedRatio:
		l.setLimit(l.limit + 1)
	}
}

// evaluateLimit lowers the limit when the runs at high concurrency are slowed.
func (l *Limiter) evaluateLimit() {
	if l.high.runs < meanWindow || l.low.runs < minRuns || l.high.value <= slowedRatio*l.low.value {
		return
	}
	next := l.limit - max(l.limit/decreaseDivisor, 1)
	if float64(next) >= minLimitShare*float64(l.slots) {
		l.setLimit(next)
	}
}

// setLimit changes the limit and clears the means of the runs near the old one.
func (l *Limiter) setLimit(limit int) {
	l.limit = limit
	l.high, l.probes = mean{}, mean{}
}

// minMean is the least divisor for a mean; an empty mean is 0.
const minMean = 0.01

// mean is the mean of the runs so far. After meanWindow runs it becomes an exponentially
// weighted moving average, in which a new run has the weight 1/meanWindow.
type mean struct {
	value float64
	runs  int
}

func (m *mean) add(ratio float64) {
	m.runs = min(m.runs+1, meanWindow)
	m.value += (ratio - m.value) / float64(m.runs)
}
