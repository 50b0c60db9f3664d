// Package speed follows how fast a backend server works, from its own word:
// what it is used to, whether a neighbour slows it just now, and for how long
// that is likely to go on. A run keeps the speed of the moment at which it
// starts, so it may pay to hold a start until a slow spell ends. Times are
// nanoseconds of a steady clock, handed in by the owner, which also keeps the
// model to one goroutine at a time. Source: docs/design/gate.md, "Held starts".
package speed

import (
	"math"
	"time"
)

const (
	// notable is the ratio to the steady slowdown above which a backend server
	// is in a slow spell. Runs themselves spread by a third.
	notable = 1.5
	// steadyWindow is how long a backend server must have been slowed without a
	// break to count as slow for good: spells of noise seen on the users' sites
	// last some 200 to 500 ms.
	steadyWindow = int64(time.Second)
	// widestGap bounds the time between two reports in which a spell is taken to
	// have begun or ended halfway.
	widestGap = int64(100 * time.Millisecond)
	// trustWeight is the weight of one slowed run in the trust.
	trustWeight = 1.0 / 8
	// priorApart and priorLevel stand in for the time between two spells and their
	// level until some were seen, and apartWeight is the weight of each that is.
	priorApart  = float64(time.Second)
	priorLevel  = 4.0
	apartWeight = 1.0 / 8
	// mostTrust bounds by how much a slowed run may take longer than was told.
	mostTrust = 1.5
	// freshFor is the age up to which a report tells the speed at which a run
	// starts: the odds that a spell of the users' sites began within are 1 in 40.
	freshFor = int64(20 * time.Millisecond)
)

// reading is one report: a slowdown, 1 for none, and when it came.
type reading struct {
	at       int64
	slowdown float64
}

// Model is what is known of one backend server's speed.
type Model struct {
	// last is the newest report; at 0: there was none.
	last reading
	// lows are the reports of the steady window that no later one is below, the
	// least first.
	lows []reading
	// spellSince is when the present spell began; 0: there is none.
	spellSince int64
	lengths    lengths
	// usualSince is when the last spell ended; 0: none was seen. apart and level
	// are the means of the time between two spells, in nanoseconds, and of their
	// slowdown as a multiple of the steady one.
	usualSince int64
	apart      float64
	level      float64
	// trust is the share of the slowdown told that runs really show: 1 when they
	// take as long as was said, 0 when they take no longer than usual.
	trust float64
}

// NewModel makes the model of a backend server that has said nothing yet.
func NewModel() *Model {
	return &Model{trust: 1, lengths: newLengths(), apart: priorApart, level: priorLevel}
}

// ObserveSlowdown takes the backend server's word over: slowdown is 1 when it works as
// usual.
func (m *Model) ObserveSlowdown(now int64, slowdown float64) {
	slowdown = max(slowdown, 1)
	before := m.last
	m.last = reading{at: now, slowdown: slowdown}
	m.addLow(m.last)
	// Between two reports a spell began, or ended, halfway.
	turned := now - min(now-before.at, widestGap)/2
	switch slow := m.slowed(); {
	case slow && m.spellSince == 0:
		m.beginSpell(turned)
	case !slow && m.spellSince != 0:
		m.endSpell(turned, before.slowdown)
	}
}

// beginSpell learns how long there was none, and how slow this one is.
func (m *Model) beginSpell(at int64) {
	m.spellSince = at
	m.level += (m.last.slowdown/m.BaselineSlowdown() - m.level) * apartWeight
	if m.usualSince != 0 {
		m.apart += (float64(at-m.usualSince) - m.apart) * apartWeight
	}
}

// endSpell learns from the spell that has ended. One that has outlasted the
// steady window has become the usual state: it tells that some last for long.
func (m *Model) endSpell(at int64, level float64) {
	length := time.Duration(at - m.spellSince)
	if m.last.slowdown > level/notable {
		length = lasting
	}
	m.lengths.note(length)
	m.spellSince = 0
	m.usualSince = at
}

// StalenessCost is by how much longer a run must be expected to take, in the mean, since
// a spell may have begun after the newest word; the longest duration where there
// was none. In a spell it is how much shorter it would be if that had ended.
func (m *Model) StalenessCost(now int64, work time.Duration) time.Duration {
	if m.last.at == 0 {
		return math.MaxInt64
	}
	lasts := m.apart
	if m.InSlowPeriod() {
		lasts = m.lengths.mean()
	}
	turned := 1 - math.Exp(-float64(now-m.last.at)/max(lasts, 1))
	return time.Duration(turned * float64(work) * m.BaselineSlowdown() * m.trust * (m.level - 1))
}

// addLow keeps the least slowdown of the window at the front.
func (m *Model) addLow(r reading) {
	for len(m.lows) > 0 && m.lows[len(m.lows)-1].slowdown >= r.slowdown {
		m.lows = m.lows[:len(m.lows)-1]
	}
	m.lows = append(m.lows, r)
	first := 0
	for m.lows[first].at < r.at-steadyWindow {
		first++
	}
	m.lows = m.lows[first:]
}

// Slowdown is the newest word; 1: as usual, or nothing is known.
func (m *Model) Slowdown() float64 { return max(m.last.slowdown, 1) }

// BaselineSlowdown is the slowdown outside of spells: the least of the last second. One
// that was just started is slow for seconds, and no spell.
func (m *Model) BaselineSlowdown() float64 {
	if len(m.lows) == 0 {
		return 1
	}
	return m.lows[0].slowdown
}

// slowed is true while the newest word is notably over the steady slowdown.
func (m *Model) slowed() bool { return m.last.slowdown > notable*m.BaselineSlowdown() }

// InSlowPeriod is true while a slow spell goes on.
func (m *Model) InSlowPeriod() bool { return m.spellSince != 0 }

// ExpectedSlowdown is how many times its usual work a run takes that starts now.
func (m *Model) ExpectedSlowdown() float64 {
	steady := m.BaselineSlowdown()
	return steady + m.trust*(m.Slowdown()-steady)
}

// SlowdownAtStart tells at which slowdown a run starts; fresh is false when the newest word
// is too old to tell.
func (m *Model) SlowdownAtStart(now int64) (slowdown float64, fresh bool) {
	return m.Slowdown(), m.last.at != 0 && now-m.last.at <= freshFor
}

// RecordRun learns from a run that started in a spell, at the slowdown that Start
// told: it took ratio times its usual work.
func (m *Model) RecordRun(slowdown, ratio float64) {
	if slowdown <= 1 {
		return
	}
	shown := (ratio - 1) / (slowdown - 1)
	m.trust += (min(max(shown, 0), mostTrust) - m.trust) * trustWeight
}

// Run is a run that could start now.
type Run struct {
	// Work is how long it takes at a backend server that works as usual.
	Work time.Duration
	// TimeLeft is the time left in which it should end; 0: no bound.
	TimeLeft time.Duration
	// LatePenalty is what ending later than that costs, as a time.
	LatePenalty time.Duration
}

// HoldForecast is what a run has to expect that is held until a slow spell ends.
type HoldForecast struct {
	// Wait is the expected time until it starts.
	Wait time.Duration
	// OnTimeProbability are the odds that it then ends within the time left, 0 to 1.
	OnTimeProbability float64
}

// ShouldHold decides whether a run should wait for the end of the spell. False: it
// does better when it starts now.
func (m *Model) ShouldHold(now int64, run Run) (HoldForecast, bool) {
	if !m.InSlowPeriod() {
		return HoldForecast{}, false
	}
	usual := float64(run.Work) * m.BaselineSlowdown()
	slowed := float64(run.Work) * m.ExpectedSlowdown()
	return m.lengths.hold(time.Duration(now-m.spellSince), run, usual, slowed)
}
