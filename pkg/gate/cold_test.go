package gate

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// coldGate is a gate with many slots of a backend server that is cold from now on.
func coldGate(now int64, most int) *Gate {
	g := New(Options{Slots: 1000, QueueLength: 1000, QueueTime: time.Minute, Order: Ranked})
	g.SetColdState(now, ColdState{MaxStartsPerSecond: most, Since: now, Until: now + 3000*ms})
	return g
}

func coldJob(now int64) *Job {
	return &Job{Work: 10 * time.Millisecond, Deadline: now + 10_000*ms, EndBy: now + 10_000*ms}
}

// TestAColdBackendServerGetsNoMoreStartsThanItBears: in any second, whatever comes
// and ends when.
func TestAColdBackendServerGetsNoMoreStartsThanItBears(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const most = 5
		now := int64(10_000 * ms)
		g := coldGate(now, most)
		var starts []int64
		var running []*Job
		note := func(jobs ...*Job) {
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
					note(job)
				}
			case 1:
				if len(running) > 0 {
					job := running[0]
					running = running[1:]
					note(g.Finish(now, job, true)...)
				}
			default:
				start, _ := g.Tick(now)
				note(start...)
			}
		}
		for i := most; i < len(starts) && starts[i] < 13_000*ms; i++ {
			must.Greater(t, int64(time.Second), starts[i]-starts[i-most])
		}
	})
}

// TestAStartThatComesTooLateIsRefusedAtOnce, and one that comes in time waits.
func TestAStartThatComesTooLateIsRefusedAtOnce(t *testing.T) {
	now := int64(10_000 * ms)
	g := coldGate(now, 1)
	run, refusal := g.Admit(now, coldJob(now))
	must.Nil(t, refusal)
	must.True(t, run)
	hasty := coldJob(now)
	hasty.EndBy = now + 500*ms
	_, refusal = g.Admit(now, hasty)
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
	start, _ = g.Tick(now + coldWindow)
	test.Len(t, 1, start)
}

// TestAWarmWordAllowsWhatAColdOneBears: the backend server may have become cold
// right after it, so that no more starts before the next word.
func TestAWarmWordAllowsWhatAColdOneBears(t *testing.T) {
	now := int64(10_000 * ms)
	g := New(Options{Slots: 1000, QueueLength: 1000, QueueTime: time.Minute, Order: Ranked})
	word := func() []*Job { return g.SetColdState(now, ColdState{MaxStartsPerSecond: 4, Since: now}) }
	word()
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
	test.True(t, g.AwaitsReport(now), test.Sprint("a word is asked for"))
	hasty := coldJob(now)
	hasty.EndBy = now + 100*ms
	run, refusal := g.Admit(now, hasty)
	test.Nil(t, refusal, test.Sprint("the word comes in time"))
	test.False(t, run)
	test.True(t, g.Withdraw(hasty))
	now += ms
	test.Len(t, 3, word())
	// The next word tells that it is cold since then: what started before counts
	// from there only.
	now += 10 * ms
	g.SetColdState(now, ColdState{MaxStartsPerSecond: 4, Since: now, Until: now + 3000*ms})
	test.Eq(t, 4, admitted(5))
	test.False(t, g.AwaitsReport(now), test.Sprint("a word would change nothing"))
	test.False(t, g.NeedsColdCheck(now))
}

// TestTwoColdTimesInARowCountAsOne: in the second in which one ends and the next
// begins, the backend server bears no more than in any other.
func TestTwoColdTimesInARowCountAsOne(t *testing.T) {
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
	now += coldWindow
	start, _ := g.Tick(now)
	test.Len(t, 4, start)
}

// TestAWarmWordBetweenTwoColdTimes: what started at the end of one cold time counts
// in the second in which the next may begin, though a word between the two said that
// the backend server is warm.
func TestAWarmWordBetweenTwoColdTimes(t *testing.T) {
	const most = 4
	now := int64(10_000 * ms)
	g := coldGate(now, most)
	started := 0
	admit := func() {
		for range most {
			if run, _ := g.Admit(now, coldJob(now)); run {
				started++
			}
		}
	}
	now += 2800 * ms
	admit()
	now += 250 * ms
	g.SetColdState(now, ColdState{MaxStartsPerSecond: most, Since: now})
	now += 100 * ms
	admit()
	g.SetColdState(now+50*ms, ColdState{MaxStartsPerSecond: most, Since: now - 50*ms, Until: now + 3000*ms})
	test.LessEq(t, most, started, test.Sprint("within 350 ms"))
}

// TestStartsOfTheProcessBeforeCount: a backend server that was cold before this
// process began may have got all that it bears from the one before.
func TestStartsOfTheProcessBeforeCount(t *testing.T) {
	now := 50 * ms
	for _, s := range []struct {
		name      string
		since     int64
		restarted bool
		want      bool
	}{
		{"cold before this process", -500 * ms, true, false},
		{"cold with this process", -50 * ms, true, true},
		{"cold with this process, which took its time to start", -160 * ms, true, true},
		{"no process before this one", -500 * ms, false, true},
	} {
		t.Run(s.name, func(t *testing.T) {
			g := New(Options{Slots: 10, QueueLength: 10, QueueTime: time.Minute, Order: Ranked, Restarted: s.restarted, RestartAfter: 300 * time.Millisecond})
			g.SetColdState(now, ColdState{MaxStartsPerSecond: 2, Since: s.since, Until: s.since + 3000*ms})
			run, refusal := g.Admit(now, coldJob(now))
			must.Nil(t, refusal)
			test.Eq(t, s.want, run)
			start, _ := g.Tick(now + coldWindow)
			test.Eq(t, !s.want, len(start) == 1)
		})
	}
}
