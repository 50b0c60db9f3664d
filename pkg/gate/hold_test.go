package gate

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/rushramp/rushramp/pkg/errkind"
)

const (
	hour = int64(time.Hour)
	// heldWork is the work of a job that is held in a slow period.
	heldWork = 200 * time.Millisecond
)

// holdingGate returns a gate with four slots, whose backend server has had slow periods of
// 100 ms about once a second and has just reported that it is slowed.
func holdingGate() (g *Gate, now int64) {
	g = New(Options{Slots: 4, QueueLength: 10, QueueTime: time.Minute, Order: Ranked, SoftSlowdown: 1.8, UsableShare: 1})
	now = 1
	report := func(slowdown float64, d time.Duration) {
		for end := now + int64(d); now < end; now += 10 * ms {
			g.ObserveSlowdown(now, slowdown)
		}
	}
	for range 20 {
		report(1, time.Second)
		report(5, 100*time.Millisecond)
	}
	report(1, time.Second)
	g.ObserveSlowdown(now, 5)
	return g, now
}

// TestJobIsHeldUntilTheSlowPeriodEnds checks that a held job takes no slot, and that a job
// with little work, which gains nothing by waiting, starts at once.
func TestJobIsHeldUntilTheSlowPeriodEnds(t *testing.T) {
	g, now := holdingGate()
	long := &Job{Deadline: now + hour, EndBy: now + hour, Work: heldWork}
	started, refusal := g.Admit(now, long)
	must.Nil(t, refusal)
	test.False(t, started)
	test.True(t, g.AwaitsReport(now))
	test.Eq(t, uint32(0), g.Stamp(now).Running)
	started, _ = g.Admit(now, &Job{Deadline: now + hour, EndBy: now + hour, Work: 5 * time.Millisecond})
	test.True(t, started, test.Sprint("short work"))
	test.SliceEmpty(t, g.ObserveSlowdown(now+50*ms, 5))
	test.Eq(t, []*Job{long}, g.ObserveSlowdown(now+90*ms, 1))
	test.False(t, g.AwaitsReport(now+90*ms))
}

// TestHeldJobsStartByRank checks the order in which held jobs start, and that no more of
// them start than there are slots.
func TestHeldJobsStartByRank(t *testing.T) {
	g, now := holdingGate()
	var want []*Job
	for _, rank := range []uint16{2, 2, 2, 0, 1} {
		job := &Job{Rank: rank, Deadline: now + hour, EndBy: now + hour, Work: heldWork}
		_, refusal := g.Admit(now, job)
		must.Nil(t, refusal)
		want = append(want, job)
	}
	test.Eq(t, []*Job{want[3], want[4], want[0], want[1]}, g.ObserveSlowdown(now+90*ms, 1))
	test.Eq(t, []*Job{want[2]}, g.Finish(now+300*ms, want[3], true))
}

// TestHeldJobStartsInALongSlowPeriod checks that a held job starts when a slow period
// lasts longer than those before.
func TestHeldJobStartsInALongSlowPeriod(t *testing.T) {
	g, now := holdingGate()
	job := &Job{Deadline: now + hour, EndBy: now + hour, Work: heldWork}
	_, refusal := g.Admit(now, job)
	must.Nil(t, refusal)
	var start []*Job
	for at := now; len(start) == 0 && at < now+2*int64(time.Second); at += 10 * ms {
		start = g.ObserveSlowdown(at, 5)
		now = at
	}
	must.Eq(t, []*Job{job}, start)
	test.Between(t, 100*time.Millisecond, job.WaitTime(), time.Second)
}

// TestHeldJobCanBeWithdrawnInTime checks that a job whose slowed run would end too late
// waits for the end of the slow period, and that its MaxWait ends while its sender can
// still try another backend server.
func TestHeldJobCanBeWithdrawnInTime(t *testing.T) {
	g, now := holdingGate()
	began := now
	for range 3 {
		started, _ := g.Admit(now, &Job{Deadline: now + hour, EndBy: now + hour, Work: 5 * time.Millisecond})
		must.True(t, started)
	}
	job := &Job{Deadline: now + int64(900*time.Millisecond), EndBy: now + int64(600*time.Millisecond), Work: heldWork}
	started, refusal := g.Admit(now, job)
	must.Nil(t, refusal)
	test.False(t, started)
	test.Eq(t, 340*time.Millisecond, job.MaxWait(now), test.Sprint("its run time with the margin before its EndBy"))
	for ; now < began+340*ms; now += 10 * ms {
		test.SliceEmpty(t, g.ObserveSlowdown(now, 5))
	}
	test.True(t, g.Withdraw(job))
}

// TestJobUnlikelyToEndInTimeIsRefused checks that a job is refused at once when no slow
// period seen so far would end soon enough for it.
func TestJobUnlikelyToEndInTimeIsRefused(t *testing.T) {
	g, now := holdingGate()
	for range 2 {
		started, _ := g.Admit(now, &Job{Deadline: now + hour, EndBy: now + hour, Work: 5 * time.Millisecond})
		must.True(t, started)
	}
	_, refusal := g.Admit(now, &Job{Deadline: now + int64(300*time.Millisecond), EndBy: now + int64(230*time.Millisecond), Work: heldWork})
	must.NotNil(t, refusal)
	test.Eq(t, errkind.Overloaded, refusal.Kind)
	test.Eq(t, errkind.RanNo, refusal.Ran)
}

// TestGateLearnsItsLimit checks that the gate runs fewer jobs at once when more than six
// of ten slow one another down, and more when none do.
func TestGateLearnsItsLimit(t *testing.T) {
	for knee, want := range map[int][2]int{6: {5, 6}, 10: {9, 10}} {
		g := New(Options{Slots: 10, QueueLength: 100, QueueTime: time.Minute, Order: Ranked, SoftSlowdown: 1.8, UsableShare: 0.8, LearnLimit: true})
		simulateBursts(g, knee, 4000)
		test.Between(t, want[0], g.UsableSlots(), want[1], test.Sprint("runs slow down above ", knee))
	}
}

// simulateBursts sends a gate more jobs than it can run for a fifth of the time, and none
// for the rest. Runs that start as one of more than knee take 1.7 times as long.
func simulateBursts(g *Gate, knee, steps int) {
	type execution struct {
		job  *Job
		ends int64
	}
	var all []execution
	begin := func(now int64, jobs ...*Job) {
		for _, job := range jobs {
			took := int64(heldWork)
			if job.ConcurrencyAtStart() > knee {
				took = took * 17 / 10
			}
			all = append(all, execution{job, now + took})
		}
	}
	for step := range steps {
		now := 1 + int64(step)*20*ms
		begin(now, g.ObserveSlowdown(now, 1)...)
		for i := 0; i < len(all); i++ {
			if all[i].ends <= now {
				job := all[i].job
				all = append(all[:i], all[i+1:]...)
				i--
				begin(now, g.Finish(now, job, true)...)
			}
		}
		if step%100 >= 20 {
			continue
		}
		for range 2 {
			job := &Job{Deadline: now + hour, EndBy: now + hour, Work: heldWork}
			if started, _ := g.Admit(now, job); started {
				begin(now, job)
			}
		}
	}
}

// TestManyHeldJobs checks that a report in a slow period makes the gate check only
// maxHeldChecks held jobs, and that the report that ends the period starts a job for each
// slot, in their order.
func TestManyHeldJobs(t *testing.T) {
	const jobs, slots = 5 * maxHeldChecks, 4 * maxHeldChecks
	g, now := holdingGate()
	g.opts.QueueLength = jobs
	g.SetSlots(slots)
	var want []*Job
	for range jobs {
		job := &Job{Deadline: now + hour, EndBy: now + hour, Work: heldWork}
		_, refusal := g.Admit(now, job)
		must.Nil(t, refusal)
		want = append(want, job)
	}
	test.SliceEmpty(t, g.ObserveSlowdown(now+50*ms, 5))
	checked := 0
	for _, job := range want {
		job.held = false
	}
	test.SliceEmpty(t, g.ObserveSlowdown(now+60*ms, 5))
	for _, job := range want {
		if job.held {
			checked++
		}
	}
	test.Eq(t, maxHeldChecks, checked)
	test.Eq(t, want[:slots], g.ObserveSlowdown(now+90*ms, 1))
	test.Eq(t, want[slots:slots+1], g.Finish(now+300*ms, want[0], true))
}

// TestShortJobStartsBehindManyHeldJobs guards against a failure: eight long jobs of the
// first rank were held for the end of a slow period, and a short job of the second rank,
// which gains nothing by waiting, was not checked although a slot was free.
func TestShortJobStartsBehindManyHeldJobs(t *testing.T) {
	g, now := holdingGate()
	g.opts.QueueLength = 100
	g.SetSlots(1)
	first := &Job{Deadline: now + hour, EndBy: now + hour, Work: 5 * time.Millisecond}
	started, _ := g.Admit(now, first)
	must.True(t, started)
	for range maxHeldChecks {
		_, refusal := g.Admit(now, &Job{Deadline: now + hour, EndBy: now + hour, Work: heldWork})
		must.Nil(t, refusal)
	}
	short := &Job{Rank: 1, Deadline: now + hour, EndBy: now + hour, Work: 5 * time.Millisecond}
	started, refusal := g.Admit(now, short)
	must.Nil(t, refusal)
	must.False(t, started)
	test.Eq(t, []*Job{short}, g.Finish(now+5*ms, first, true))
}
