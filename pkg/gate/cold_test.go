package gate

import (
	"math"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// coldGate returns a gate with many slots whose backend server is cold for the next three
// seconds and may get maxStarts starts a second.
func coldGate(now int64, maxStarts int) *Gate {
	g := New(Options{Slots: 1000, QueueLength: 1000, QueueTime: time.Minute, Order: Ranked})
	g.SetColdState(now, ColdState{MaxStartsPerSecond: maxStarts, Since: now, Until: now + 3000*ms})
	return g
}

// coldJob returns a job with ten seconds until its deadline.
func coldJob(now int64) *Job {
	return &Job{Work: 10 * time.Millisecond, Deadline: now + 10_000*ms, EndBy: now + 10_000*ms}
}

// TestAnyStartLimitFitsInMemory guards against a limit that the operators' configuration states:
// after a restart, a gate assumes as many starts of the process before it as the limit allowed.
func TestAnyStartLimitFitsInMemory(t *testing.T) {
	g := New(Options{Slots: 4, QueueLength: 4, QueueTime: time.Minute, Order: Ranked, Restarted: true, RestartAfter: 100 * time.Millisecond})
	now := int64(50 * ms)
	g.SetColdState(now, ColdState{MaxStartsPerSecond: math.MaxInt, Since: now - 3000*ms, Until: now + 3000*ms})
	test.LessEq(t, maxStartsCounted, len(g.coldStarts.starts))
	test.False(t, g.coldStarts.exhausted(now), test.Sprint("a limit that no gate reaches limits nothing"))
}

// TestStartLimitOfAColdBackendServer checks that a cold backend server gets no more than
// MaxStartsPerSecond starts in any second, whenever jobs come and end.
func TestStartLimitOfAColdBackendServer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const maxStarts = 5
		now := int64(10_000 * ms)
		g := coldGate(now, maxStarts)
		var starts []int64
		var running []*Job
		recordStarts := func(jobs ...*Job) {
			for _, job := range jobs {
				starts = append(starts, now)
				running = append(running, job)
			}
		}
		for range 200 {
			now += rapid.Int64Range(0, 40).Draw(t, "pause") * ms
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				job := coldJob(now)
				if run, refusal := g.Admit(now, job); run && refusal == nil {
					recordStarts(job)
				}
			case 1:
				if len(running) > 0 {
					job := running[0]
					running = running[1:]
					recordStarts(g.Finish(now, job, true)...)
				}
			default:
				start, _ := g.Tick(now)
				recordStarts(start...)
			}
		}
		for i := maxStarts; i < len(starts) && starts[i] < 13_000*ms; i++ {
			must.Greater(t, int64(time.Second), starts[i]-starts[i-maxStarts])
		}
	})
}

// TestJobWithoutTimeForAColdStartIsRefused checks that a job that could not start in time
// at a cold backend server is refused at once, as is a soft one, and that others wait.
func TestJobWithoutTimeForAColdStartIsRefused(t *testing.T) {
	now := int64(10_000 * ms)
	g := coldGate(now, 1)
	run, refusal := g.Admit(now, coldJob(now))
	must.Nil(t, refusal)
	must.True(t, run)
	urgent := coldJob(now)
	urgent.EndBy = now + 500*ms
	_, refusal = g.Admit(now, urgent)
	must.NotNil(t, refusal)
	soft := coldJob(now)
	soft.Soft = true
	_, refusal = g.Admit(now, soft)
	must.NotNil(t, refusal)
	run, refusal = g.Admit(now, coldJob(now))
	must.Nil(t, refusal)
	must.False(t, run)
	start, _ := g.Tick(now + 1000*ms)
	test.Len(t, 0, start)
	start, _ = g.Tick(now + startWindow)
	test.Len(t, 1, start)
}

// TestWarmReportAllowsOnlyTheColdLimit checks that no more than MaxStartsPerSecond jobs
// start between two reports that the backend server is warm, since it may have become
// cold right after the first.
func TestWarmReportAllowsOnlyTheColdLimit(t *testing.T) {
	now := int64(10_000 * ms)
	g := New(Options{Slots: 1000, QueueLength: 1000, QueueTime: time.Minute, Order: Ranked})
	report := func() []*Job { return g.SetColdState(now, ColdState{MaxStartsPerSecond: 4, Since: now}) }
	report()
	admitted := func(count int) (started int) {
		for range count {
			if run, _ := g.Admit(now, coldJob(now)); run {
				started++
			}
		}
		return started
	}
	now += ms
	test.Eq(t, 2, admitted(2))
	test.False(t, g.NeedsColdCheck(now))
	test.Eq(t, 1, admitted(1))
	test.True(t, g.NeedsColdCheck(now))
	test.Eq(t, 1, admitted(4))
	test.True(t, g.AwaitsReport(now), test.Sprint("the owner should ask for a report"))
	urgent := coldJob(now)
	urgent.EndBy = now + 100*ms
	run, refusal := g.Admit(now, urgent)
	test.Nil(t, refusal, test.Sprint("the report comes in time"))
	test.False(t, run)
	test.True(t, g.Withdraw(urgent))
	now += ms
	test.Len(t, 3, report())
	// The next report says that the backend server has become cold now: the starts before
	// this time no longer count.
	now += 10 * ms
	g.SetColdState(now, ColdState{MaxStartsPerSecond: 4, Since: now, Until: now + 3000*ms})
	test.Eq(t, 4, admitted(5))
	test.False(t, g.AwaitsReport(now), test.Sprint("a report would change nothing"))
	test.False(t, g.NeedsColdCheck(now))
}

// TestStartLimitBetweenTwoColdPeriods checks that the limit also holds in the second in
// which one cold period ends and the next begins.
func TestStartLimitBetweenTwoColdPeriods(t *testing.T) {
	now := int64(10_000 * ms)
	g := coldGate(now, 4)
	admitted := func(count int) (started int) {
		for range count {
			if run, _ := g.Admit(now, coldJob(now)); run {
				started++
			}
		}
		return started
	}
	now += 2800 * ms
	test.Eq(t, 4, admitted(4))
	now += 250 * ms
	g.SetColdState(now, ColdState{MaxStartsPerSecond: 4, Since: now})
	now += 150 * ms
	g.SetColdState(now, ColdState{MaxStartsPerSecond: 4, Since: now - 50*ms, Until: now + 3000*ms})
	test.Eq(t, 0, admitted(4))
	now += startWindow
	start, _ := g.Tick(now)
	test.Len(t, 4, start)
}

// TestWarmReportBetweenTwoColdPeriods checks that the starts at the end of one cold period
// count in the second in which the next may begin, although a report between the two said
// that the backend server was warm.
func TestWarmReportBetweenTwoColdPeriods(t *testing.T) {
	const maxStarts = 4
	now := int64(10_000 * ms)
	g := coldGate(now, maxStarts)
	started := 0
	admit := func() {
		for range maxStarts {
			if run, _ := g.Admit(now, coldJob(now)); run {
				started++
			}
		}
	}
	now += 2800 * ms
	admit()
	now += 250 * ms
	g.SetColdState(now, ColdState{MaxStartsPerSecond: maxStarts, Since: now})
	now += 100 * ms
	admit()
	g.SetColdState(now+50*ms, ColdState{MaxStartsPerSecond: maxStarts, Since: now - 50*ms, Until: now + 3000*ms})
	test.LessEq(t, maxStarts, started, test.Sprint("within 350 ms"))
}

// TestStartsOfThePreviousProcessCount checks that a backend server that was cold before
// this process started is assumed to have got all the allowed starts from the previous
// process.
func TestStartsOfThePreviousProcessCount(t *testing.T) {
	now := 50 * ms
	for _, s := range []struct {
		name      string
		since     int64
		restarted bool
		want      bool
	}{
		{"cold before this process started", -500 * ms, true, false},
		{"cold since this process started", -50 * ms, true, true},
		{"cold since shortly before this process started", -160 * ms, true, true},
		{"no previous process", -500 * ms, false, true},
	} {
		t.Run(s.name, func(t *testing.T) {
			g := New(Options{Slots: 10, QueueLength: 10, QueueTime: time.Minute, Order: Ranked, Restarted: s.restarted, RestartAfter: 300 * time.Millisecond})
			g.SetColdState(now, ColdState{MaxStartsPerSecond: 2, Since: s.since, Until: s.since + 3000*ms})
			run, refusal := g.Admit(now, coldJob(now))
			must.Nil(t, refusal)
			test.Eq(t, s.want, run)
			start, _ := g.Tick(now + startWindow)
			test.Eq(t, !s.want, len(start) == 1)
		})
	}
}
