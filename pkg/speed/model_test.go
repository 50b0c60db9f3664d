package speed

import (
	"math"
	"testing"
	"time"

	"github.com/shoenig/test"
	"pgregory.net/rapid"
)

const ms = int64(time.Millisecond)

// observe reports a slowdown every 10 ms for d, and advances now by d.
func observe(m *Model, now *int64, slowdown float64, d time.Duration) {
	for end := *now + int64(d); *now < end; *now += 10 * ms {
		m.ObserveSlowdown(*now, slowdown)
	}
}

// observeSlowPeriods reports n slow periods of the given length, with a second at normal
// speed before each, and advances now.
func observeSlowPeriods(m *Model, now *int64, n int, slowdown float64, length time.Duration) {
	for range n {
		observe(m, now, 1, time.Second)
		observe(m, now, slowdown, length)
	}
	observe(m, now, 1, 100*time.Millisecond)
}

// TestLastingSlowdownBecomesTheBaseline checks that a slow period ends after a second,
// when its slowdown becomes the baseline, and that the baseline falls again at once.
func TestLastingSlowdownBecomesTheBaseline(t *testing.T) {
	m, now := NewModel(), int64(1)
	observe(m, &now, 1, time.Second)
	test.False(t, m.InSlowPeriod())
	observe(m, &now, 5, 200*time.Millisecond)
	test.True(t, m.InSlowPeriod())
	test.Eq(t, 1.0, m.BaselineSlowdown())
	observe(m, &now, 5, time.Second)
	test.False(t, m.InSlowPeriod(), test.Sprint("the slowdown has lasted for over a second"))
	test.Eq(t, 5.0, m.BaselineSlowdown())
	test.Eq(t, 5.0, m.ExpectedSlowdown())
	observe(m, &now, 1, 10*time.Millisecond)
	test.Eq(t, 1.0, m.BaselineSlowdown(), test.Sprint("the baseline falls with one report"))
}

// TestColdBackendServerIsNotInASlowPeriod checks that a backend server that is slow from
// its start has that slowdown as its baseline, and that slow periods come on top.
func TestColdBackendServerIsNotInASlowPeriod(t *testing.T) {
	m, now := NewModel(), int64(1)
	observe(m, &now, 2, 100*time.Millisecond)
	test.False(t, m.InSlowPeriod())
	observe(m, &now, 10, 100*time.Millisecond)
	test.True(t, m.InSlowPeriod())
	test.Eq(t, 2.0, m.BaselineSlowdown())
}

// TestShouldHoldLearnsFromSlowPeriods checks which runs are held: long ones while no slow
// period has been seen, shorter ones as well if slow periods were short, and only longer
// ones if they were long.
func TestShouldHoldLearnsFromSlowPeriods(t *testing.T) {
	scenarios := []struct {
		name string
		// length is that of the slow periods seen; 0: none was seen.
		length time.Duration
		work   time.Duration
		want   bool
	}{
		{"nothing known, long work", 0, 220 * time.Millisecond, true},
		{"nothing known, short work", 0, 20 * time.Millisecond, false},
		{"short periods, long work", 100 * time.Millisecond, 220 * time.Millisecond, true},
		{"short periods, work that gains a little", 100 * time.Millisecond, 40 * time.Millisecond, true},
		{"short periods, work that gains nothing", 100 * time.Millisecond, 15 * time.Millisecond, false},
		{"long periods, work that gains", 800 * time.Millisecond, 300 * time.Millisecond, true},
		{"long periods, work that gains nothing", 800 * time.Millisecond, 100 * time.Millisecond, false},
		{"slow for seconds", 3 * time.Second, 220 * time.Millisecond, false},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			m, now := NewModel(), int64(1)
			if s.length > 0 {
				observeSlowPeriods(m, &now, 60, 5, s.length)
			} else {
				observe(m, &now, 1, time.Second)
			}
			m.ObserveSlowdown(now, 5)
			_, hold := m.ShouldHold(now, Run{Work: s.work})
			test.Eq(t, s.want, hold)
		})
	}
}

// TestLatePenaltyMakesHoldingPay checks that a run is held when its slowed run would end
// too late and half of the slow periods end soon enough. A run that ends too late in any
// case is not held.
func TestLatePenaltyMakesHoldingPay(t *testing.T) {
	m, now := NewModel(), int64(1)
	observeSlowPeriods(m, &now, 30, 4, 150*time.Millisecond)
	for range 30 {
		observeSlowPeriods(m, &now, 1, 4, 600*time.Millisecond)
		observeSlowPeriods(m, &now, 1, 4, 150*time.Millisecond)
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

// TestHoldingEndsInALongSlowPeriod checks that a run is no longer held once a slow period
// outlasts those seen before.
func TestHoldingEndsInALongSlowPeriod(t *testing.T) {
	m, now := NewModel(), int64(1)
	observeSlowPeriods(m, &now, 60, 5, 200*time.Millisecond)
	began := now
	for held := true; held; now += 10 * ms {
		m.ObserveSlowdown(now, 5)
		_, held = m.ShouldHold(now, Run{Work: 220 * time.Millisecond})
	}
	test.Between(t, 200*time.Millisecond, time.Duration(now-began), 400*time.Millisecond)
}

// TestSlowdownThatRunsDoNotShowIsNotTrusted checks that no run is held when the backend
// server reports a slowdown while runs take no longer.
func TestSlowdownThatRunsDoNotShowIsNotTrusted(t *testing.T) {
	m, now := NewModel(), int64(1)
	observe(m, &now, 1, time.Second)
	m.ObserveSlowdown(now, 5)
	_, hold := m.ShouldHold(now, Run{Work: 220 * time.Millisecond})
	test.True(t, hold)
	for range 30 {
		slowdown, fresh := m.SlowdownAtStart(now)
		test.True(t, fresh)
		m.RecordRun(slowdown, 1.1)
	}
	_, hold = m.ShouldHold(now, Run{Work: 220 * time.Millisecond})
	test.False(t, hold)
	test.Between(t, 1.0, m.ExpectedSlowdown(), 1.3)
	for range 30 {
		m.RecordRun(5, 5)
	}
	_, hold = m.ShouldHold(now, Run{Work: 220 * time.Millisecond})
	test.True(t, hold, test.Sprint("runs show the slowdown again"))
}

// TestReportBecomesStale checks that SlowdownAtStart trusts a report up to maxReportAge.
func TestReportBecomesStale(t *testing.T) {
	m, now := NewModel(), int64(1)
	observe(m, &now, 1, time.Second)
	m.ObserveSlowdown(now, 5)
	_, fresh := m.SlowdownAtStart(now + maxReportAge)
	test.True(t, fresh)
	_, fresh = m.SlowdownAtStart(now + maxReportAge + 1)
	test.False(t, fresh)
}

// TestModelIsBounded checks for random reports that the forecasts are within their bounds,
// and that minima holds no more than the reports.
func TestModelIsBounded(t *testing.T) {
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
			test.Eq(t, true, out.Wait >= 0 && out.Wait <= lastingLength)
			test.Eq(t, true, out.OnTimeProbability >= 0 && out.OnTimeProbability <= 1)
			test.Eq(t, true, hold || out.Wait == 0)
			test.Eq(t, true, m.ExpectedSlowdown() >= 1)
		}
		test.LessEq(t, 500, len(m.minima))
	})
}

// TestStalenessCostGrowsWithAgeAndWork also checks that it is less when slow periods are
// rare, or when runs do not show the reported slowdown.
func TestStalenessCostGrowsWithAgeAndWork(t *testing.T) {
	const long, short = 200 * time.Millisecond, 20 * time.Millisecond
	frequent, now := NewModel(), int64(1)
	test.Eq(t, math.MaxInt64, frequent.StalenessCost(now, long))
	observeSlowPeriods(frequent, &now, 60, 5, 200*time.Millisecond)
	at := now - 10*ms
	test.Eq(t, 0, frequent.StalenessCost(at, long))
	// A slow period at five times the normal run time begins within 10 ms in one of a
	// hundred cases: 0.01 * 4 * 200 ms are 8 ms.
	test.Between(t, 6*time.Millisecond, frequent.StalenessCost(at+10*ms, long), 10*time.Millisecond)
	test.Less(t, 2*time.Millisecond, frequent.StalenessCost(at+10*ms, short))
	test.Greater(t, 30*time.Millisecond, frequent.StalenessCost(at+100*ms, long))
	frequent.ObserveSlowdown(now, 5)
	test.Greater(t, 30*time.Millisecond, frequent.StalenessCost(now+10*ms, long), test.Sprint("in a slow period, which may have ended"))
	rare, now := NewModel(), int64(1)
	for range 30 {
		observe(rare, &now, 1, 20*time.Second)
		observe(rare, &now, 5, 200*time.Millisecond)
	}
	observe(rare, &now, 1, 10*time.Millisecond)
	test.Less(t, time.Millisecond, rare.StalenessCost(now, long))
	for range 60 {
		frequent.RecordRun(5, 1)
	}
	test.Less(t, time.Millisecond, frequent.StalenessCost(at+10*ms, long))
}

// TestMeanOfForgottenPeriodsIsNotUsed checks the mean after so many lasting slow periods
// that the weights of all shorter ones, and with them their mean, are rounding errors.
func TestMeanOfForgottenPeriodsIsNotUsed(t *testing.T) {
	h := newLengthHistogram()
	for range 60_000 {
		h.record(lastingLength)
	}
	test.Eq(t, float64(lastingLength), h.mean())
}
