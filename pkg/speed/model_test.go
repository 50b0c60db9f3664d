package speed

import (
	"math"
	"testing"
	"time"

	"github.com/shoenig/test"
	"pgregory.net/rapid"
)

const ms = int64(time.Millisecond)

// feed reports a slowdown every 10 ms for a while.
func feed(m *Model, now *int64, slowdown float64, d time.Duration) {
	for end := *now + int64(d); *now < end; *now += 10 * ms {
		m.ObserveSlowdown(*now, slowdown)
	}
}

// spells plays n spells of a length, a second apart.
func spells(m *Model, now *int64, n int, slowdown float64, length time.Duration) {
	for range n {
		feed(m, now, 1, time.Second)
		feed(m, now, slowdown, length)
	}
	feed(m, now, 1, 100*time.Millisecond)
}

func TestASpellIsToldFromALastingSlowdown(t *testing.T) {
	m, now := NewModel(), int64(1)
	feed(m, &now, 1, time.Second)
	test.False(t, m.InSlowPeriod())
	feed(m, &now, 5, 200*time.Millisecond)
	test.True(t, m.InSlowPeriod())
	test.Eq(t, 1.0, m.BaselineSlowdown())
	feed(m, &now, 5, time.Second)
	test.False(t, m.InSlowPeriod(), test.Sprint("it has lasted for over a second"))
	test.Eq(t, 5.0, m.BaselineSlowdown())
	test.Eq(t, 5.0, m.ExpectedSlowdown())
	feed(m, &now, 1, 10*time.Millisecond)
	test.Eq(t, 1.0, m.BaselineSlowdown(), test.Sprint("as usual again at once"))
}

// TestAColdBackendServerIsNoSpell: it is slow for seconds from its start, and
// spells come on top.
func TestAColdBackendServerIsNoSpell(t *testing.T) {
	m, now := NewModel(), int64(1)
	feed(m, &now, 2, 100*time.Millisecond)
	test.False(t, m.InSlowPeriod())
	feed(m, &now, 10, 100*time.Millisecond)
	test.True(t, m.InSlowPeriod())
	test.Eq(t, 2.0, m.BaselineSlowdown())
}

// TestHoldingIsLearnt: with nothing known long work is held and short work is
// not; where spells turn out to be long, nothing is; where they are short, all
// that gains.
func TestHoldingIsLearnt(t *testing.T) {
	scenarios := []struct {
		name   string
		spells time.Duration
		work   time.Duration
		want   bool
	}{
		{"nothing known, long work", 0, 220 * time.Millisecond, true},
		{"nothing known, short work", 0, 20 * time.Millisecond, false},
		{"short spells, long work", 100 * time.Millisecond, 220 * time.Millisecond, true},
		{"short spells, work that gains a little", 100 * time.Millisecond, 40 * time.Millisecond, true},
		{"short spells, work that gains nothing", 100 * time.Millisecond, 15 * time.Millisecond, false},
		{"long spells, work that gains", 800 * time.Millisecond, 300 * time.Millisecond, true},
		{"long spells, work that gains nothing", 800 * time.Millisecond, 100 * time.Millisecond, false},
		{"slow for seconds", 3 * time.Second, 220 * time.Millisecond, false},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			m, now := NewModel(), int64(1)
			if s.spells > 0 {
				spells(m, &now, 60, 5, s.spells)
			} else {
				feed(m, &now, 1, time.Second)
			}
			m.ObserveSlowdown(now, 5)
			_, hold := m.ShouldHold(now, Run{Work: s.work})
			test.Eq(t, s.want, hold)
		})
	}
}

// TestALateEndCounts: a slowed run would end too late, and half of the spells end
// soon enough. Where it would be late in any case, the shorter way counts.
func TestALateEndCounts(t *testing.T) {
	m, now := NewModel(), int64(1)
	spells(m, &now, 30, 4, 150*time.Millisecond)
	for range 30 {
		spells(m, &now, 1, 4, 600*time.Millisecond)
		spells(m, &now, 1, 4, 150*time.Millisecond)
	}
	m.ObserveSlowdown(now, 4)
	run := Run{Work: 80 * time.Millisecond}
	_, hold := m.ShouldHold(now, run)
	test.False(t, hold)
	run.TimeLeft, run.LatePenalty = 280*time.Millisecond, 300*time.Millisecond
	out, hold := m.ShouldHold(now, run)
	test.True(t, hold)
	test.Between(t, 0.4, out.OnTimeProbability, 0.9)
	run.TimeLeft = 20 * time.Millisecond
	_, hold = m.ShouldHold(now, run)
	test.False(t, hold)
}

// TestAHoldEnds: a spell that outlasts those seen before is no reason to go on
// waiting.
func TestAHoldEnds(t *testing.T) {
	m, now := NewModel(), int64(1)
	spells(m, &now, 60, 5, 200*time.Millisecond)
	began := now
	for held := true; held; now += 10 * ms {
		m.ObserveSlowdown(now, 5)
		_, held = m.ShouldHold(now, Run{Work: 220 * time.Millisecond})
	}
	test.Between(t, 200*time.Millisecond, time.Duration(now-began), 400*time.Millisecond)
}

// TestAWordThatRunsDoNotBearOutIsNotFollowed: the backend server says that it is
// slowed, and runs take no longer.
func TestAWordThatRunsDoNotBearOutIsNotFollowed(t *testing.T) {
	m, now := NewModel(), int64(1)
	feed(m, &now, 1, time.Second)
	m.ObserveSlowdown(now, 5)
	_, hold := m.ShouldHold(now, Run{Work: 220 * time.Millisecond})
	test.True(t, hold)
	for range 30 {
		slowdown, ok := m.SlowdownAtStart(now)
		test.True(t, ok)
		m.RecordRun(slowdown, 1.1)
	}
	_, hold = m.ShouldHold(now, Run{Work: 220 * time.Millisecond})
	test.False(t, hold)
	test.Between(t, 1.0, m.ExpectedSlowdown(), 1.3)
	for range 30 {
		m.RecordRun(5, 5)
	}
	_, hold = m.ShouldHold(now, Run{Work: 220 * time.Millisecond})
	test.True(t, hold, test.Sprint("runs bear it out again"))
}

func TestAnOldWordTellsNothingOfAStart(t *testing.T) {
	m, now := NewModel(), int64(1)
	feed(m, &now, 1, time.Second)
	m.ObserveSlowdown(now, 5)
	_, ok := m.SlowdownAtStart(now + freshFor)
	test.True(t, ok)
	_, ok = m.SlowdownAtStart(now + freshFor + 1)
	test.False(t, ok)
}

// TestTheModelIsBounded: whatever comes, the wait is finite and what is kept
// does not grow.
func TestTheModelIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, now := NewModel(), int64(1)
		for range 500 {
			now += rapid.Int64Range(0, 300*ms).Draw(t, "gap")
			m.ObserveSlowdown(now, rapid.Float64Range(0, 20).Draw(t, "slowdown"))
			out, hold := m.ShouldHold(now, Run{
				Work:        time.Duration(rapid.Int64Range(0, 2000*ms).Draw(t, "work")),
				TimeLeft:    time.Duration(rapid.Int64Range(0, 2000*ms).Draw(t, "left")),
				LatePenalty: time.Duration(rapid.Int64Range(0, 2000*ms).Draw(t, "late")),
			})
			test.Eq(t, true, out.Wait >= 0 && out.Wait <= lasting)
			test.Eq(t, true, out.OnTimeProbability >= 0 && out.OnTimeProbability <= 1)
			test.Eq(t, true, hold || out.Wait == 0)
			test.Eq(t, true, m.ExpectedSlowdown() >= 1)
		}
		test.LessEq(t, 500, len(m.lows))
	})
}

// TestDoubtGrowsWithAgeAndWork: and is smaller where spells are rare, or where
// runs do not bear the word out.
func TestDoubtGrowsWithAgeAndWork(t *testing.T) {
	const long, short = 200 * time.Millisecond, 20 * time.Millisecond
	often, now := NewModel(), int64(1)
	test.Eq(t, math.MaxInt64, often.StalenessCost(now, long))
	spells(often, &now, 60, 5, 200*time.Millisecond)
	at := now - 10*ms
	test.Eq(t, 0, often.StalenessCost(at, long))
	// Once a second, at five times the usual: 10 ms are a hundredth of that.
	test.Between(t, 6*time.Millisecond, often.StalenessCost(at+10*ms, long), 10*time.Millisecond)
	test.Less(t, 2*time.Millisecond, often.StalenessCost(at+10*ms, short))
	test.Greater(t, 30*time.Millisecond, often.StalenessCost(at+100*ms, long))
	often.ObserveSlowdown(now, 5)
	test.Greater(t, 30*time.Millisecond, often.StalenessCost(now+10*ms, long), test.Sprint("in a spell, which is short"))
	rare, now := NewModel(), int64(1)
	for range 30 {
		feed(rare, &now, 1, 20*time.Second)
		feed(rare, &now, 5, 200*time.Millisecond)
	}
	feed(rare, &now, 1, 10*time.Millisecond)
	test.Less(t, time.Millisecond, rare.StalenessCost(now, long))
	for range 60 {
		often.RecordRun(5, 1)
	}
	test.Less(t, time.Millisecond, often.StalenessCost(at+10*ms, long))
}

// TestAMeanOfForgottenSpellsIsNotUsed: after so many lasting spells that the
// weights of all shorter ones are rounding errors, their mean would be too.
func TestAMeanOfForgottenSpellsIsNotUsed(t *testing.T) {
	l := newLengths()
	for range 60_000 {
		l.note(lasting)
	}
	test.Eq(t, float64(lasting), l.mean())
}
