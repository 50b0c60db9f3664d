package gate

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// reportSlack is subtracted from the Since of each report, as the owner of the gate does.
const reportSlack = 50 * ms

// coldPeriods is a backend server with several cold periods of the same length. begins
// are their beginnings.
type coldPeriods struct {
	begins []int64
	length int64
}

// until returns the end of the cold period at now; 0: the backend server is warm.
func (c coldPeriods) until(now int64) int64 {
	for _, begin := range c.begins {
		if now >= begin && now < begin+c.length {
			return begin + c.length
		}
	}
	return 0
}

// report returns the state that the owner of the gate sets at now, from an answer that
// the backend server gave at the time answered to a question sent at the time asked.
func (c coldPeriods) report(maxStarts int, asked, answered, now int64) ColdState {
	until := c.until(answered)
	if until == 0 {
		return ColdState{MaxStartsPerSecond: maxStarts, Since: asked - reportSlack, Until: now}
	}
	left := until - answered
	return ColdState{MaxStartsPerSecond: maxStarts, Since: asked + left - c.length - reportSlack, Until: now + left}
}

// drawColdPeriods draws two or three cold periods and the time of one report in each of
// them, which comes with a heartbeat if the owner of the gate does not ask.
func drawColdPeriods(t *rapid.T, begin int64) (periods coldPeriods, reportTimes []int64) {
	periods.length = rapid.Int64Range(100, 3000).Draw(t, "lasts") * ms
	for range rapid.IntRange(2, 3).Draw(t, "cold periods") {
		begin += rapid.Int64Range(1, 1200).Draw(t, "gap") * ms
		periods.begins = append(periods.begins, begin)
		reportTimes = append(reportTimes, begin+rapid.Int64Range(0, periods.length/ms-1).Draw(t, "told")*ms)
		begin += periods.length
	}
	return periods, reportTimes
}

// TestStartLimitHoldsAcrossColdPeriods checks that the backend server gets no more than
// MaxStartsPerSecond starts while it is cold in any second, whatever reports come between
// its cold periods and however old they are.
func TestStartLimitHoldsAcrossColdPeriods(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const maxStarts = 5
		now := int64(10_000 * ms)
		periods, reportTimes := drawColdPeriods(t, now)
		g := New(Options{Slots: 1000, QueueLength: 1000, QueueTime: time.Minute, Order: Ranked})
		g.SetColdState(now, ColdState{MaxStartsPerSecond: maxStarts, Since: now - reportSlack})
		var cold []int64
		recordStarts := func(started int) {
			for ; started > 0 && periods.until(now) > 0; started-- {
				cold = append(cold, now)
			}
		}
		sendReport := func(asked int64) {
			answered := rapid.Int64Range(asked/ms, now/ms).Draw(t, "said") * ms
			recordStarts(len(g.SetColdState(now, periods.report(maxStarts, asked, answered, now))))
		}
		end := periods.begins[len(periods.begins)-1] + periods.length
		for asked := int64(0); now < end; now += rapid.Int64Range(1, 60).Draw(t, "pause") * ms {
			for len(reportTimes) > 0 && now >= reportTimes[0] {
				// The heartbeat of this cold period came earlier, at its own time.
				resumeAt := now
				now, reportTimes = reportTimes[0], reportTimes[1:]
				sendReport(now)
				now = resumeAt
			}
			if asked > 0 || rapid.IntRange(0, 9).Draw(t, "unasked") == 0 {
				sendReport(max(asked, now-20*ms))
				asked = 0
			}
			for range rapid.IntRange(0, maxStarts+2).Draw(t, "jobs") {
				if run, _ := g.Admit(now, coldJob(now)); run {
					recordStarts(1)
				}
			}
			start, _ := g.Tick(now)
			recordStarts(len(start))
			if g.NeedsColdCheck(now) || g.AwaitsReport(now) {
				asked = now
			}
		}
		for i := maxStarts; i < len(cold); i++ {
			must.Greater(t, int64(time.Second), cold[i]-cold[i-maxStarts], must.Sprint(cold))
		}
	})
}

// TestWarmReportsAllowMoreStartsThanTheLimit checks that after a cold period only the
// starts within it go on counting. Each report that the backend server is warm removes
// all other starts from the count, so that the cold limit does not hold for a second
// longer.
func TestWarmReportsAllowMoreStartsThanTheLimit(t *testing.T) {
	const maxStarts = 10
	now := int64(10_000 * ms)
	g := coldGate(now, maxStarts)
	started := 0
	admit := func() {
		if run, _ := g.Admit(now, coldJob(now)); run {
			started++
		}
	}
	end := now + 3000*ms
	for ; now < end; now += 20 * ms {
		admit()
		start, _ := g.Tick(now)
		started += len(start)
	}
	test.LessEq(t, 3*maxStarts, started, test.Sprint("in three seconds"))
	g.DrainQueue()
	started = 0
	for ; now < end+1000*ms; now += 20 * ms {
		started += len(g.SetColdState(now, ColdState{MaxStartsPerSecond: maxStarts, Since: now - reportSlack, Until: now}))
		for range 3 {
			admit()
		}
	}
	test.Greater(t, 4*maxStarts, started, test.Sprint("in the second after the cold period"))
}
