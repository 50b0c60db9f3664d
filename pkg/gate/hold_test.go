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
	run  = 200 * time.Millisecond
)

// holdingGate is a gate of four slots whose backend server has worked as usual
// for a second, but for spells of 100 ms, and has just said that it is slowed.
func holdingGate() (g *Gate, now int64) {
	g = New(Options{Slots: 4, QueueLength: 10, QueueTime: time.Minute, Order: Ranked, SoftSlowdown: 1.8, SlotShare: 1})
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

// TestAStartIsHeldUntilTheSpellEnds: the job takes no slot meanwhile, and what
// gains nothing by waiting starts beside it.
func TestAStartIsHeldUntilTheSpellEnds(t *testing.T) {
	g, now := holdingGate()
	long := &Job{Deadline: now + hour, EndBy: now + hour, Work: run}
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

// TestHeldStartsKeepTheirOrder: by rank, and no more than there are slots.
func TestHeldStartsKeepTheirOrder(t *testing.T) {
	g, now := holdingGate()
	var want []*Job
	for _, rank := range []uint16{2, 2, 2, 0, 1} {
		job := &Job{Rank: rank, Deadline: now + hour, EndBy: now + hour, Work: run}
		_, refusal := g.Admit(now, job)
		must.Nil(t, refusal)
		want = append(want, job)
	}
	test.Eq(t, []*Job{want[3], want[4], want[0], want[1]}, g.ObserveSlowdown(now+90*ms, 1))
	test.Eq(t, []*Job{want[2]}, g.Finish(now+300*ms, want[3], true))
}

// TestAHoldThatDoesNotPayIsNotMade: a spell that lasts is no reason to wait.
func TestAHoldThatDoesNotPayIsNotMade(t *testing.T) {
	g, now := holdingGate()
	job := &Job{Deadline: now + hour, EndBy: now + hour, Work: run}
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

// TestAHeldJobIsRefusedInTime: its slowed run would be late, so it waits for the
// spell's end, and can be refused while its sender has time for another.
func TestAHeldJobIsRefusedInTime(t *testing.T) {
	g, now := holdingGate()
	began := now
	for range 3 {
		started, _ := g.Admit(now, &Job{Deadline: now + hour, EndBy: now + hour, Work: 5 * time.Millisecond})
		must.True(t, started)
	}
	job := &Job{Deadline: now + int64(900*time.Millisecond), EndBy: now + int64(600*time.Millisecond), Work: run}
	started, refusal := g.Admit(now, job)
	must.Nil(t, refusal)
	test.False(t, started)
	test.Eq(t, 340*time.Millisecond, job.MaxWait(now), test.Sprint("1.3 times its run before it should end"))
	for ; now < began+340*ms; now += 10 * ms {
		test.SliceEmpty(t, g.ObserveSlowdown(now, 5))
	}
	test.True(t, g.Withdraw(job))
}

// TestLittleHopeIsRefusedAtOnce: no spell seen so far would end soon enough.
func TestLittleHopeIsRefusedAtOnce(t *testing.T) {
	g, now := holdingGate()
	for range 2 {
		started, _ := g.Admit(now, &Job{Deadline: now + hour, EndBy: now + hour, Work: 5 * time.Millisecond})
		must.True(t, started)
	}
	_, refusal := g.Admit(now, &Job{Deadline: now + int64(300*time.Millisecond), EndBy: now + int64(230*time.Millisecond), Work: run})
	must.NotNil(t, refusal)
	test.Eq(t, errkind.Overloaded, refusal.Kind)
	test.Eq(t, errkind.RanNo, refusal.Ran)
}

// TestTheLimitIsLearnt: runs above 0.6 of the slots take longer, so the gate runs
// fewer at once; where none do, it runs more.
func TestTheLimitIsLearnt(t *testing.T) {
	for knee, want := range map[int][2]int{6: {5, 6}, 10: {9, 10}} {
		g := New(Options{Slots: 10, QueueLength: 100, QueueTime: time.Minute, Order: Ranked, SoftSlowdown: 1.8, SlotShare: 0.8, LearnLimit: true})
		play(g, knee, 4000)
		test.Between(t, want[0], g.UsableSlots(), want[1], test.Sprint("work slows above ", knee))
	}
}

// play sends a gate more than it takes for a fifth of the time, and nothing for
// the rest.
func play(g *Gate, knee, steps int) {
	type going struct {
		job  *Job
		ends int64
	}
	var all []going
	begin := func(now int64, jobs ...*Job) {
		for _, job := range jobs {
			took := int64(run)
			if job.ConcurrencyAtStart() > knee {
				took = took * 17 / 10
			}
			all = append(all, going{job, now + took})
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
			job := &Job{Deadline: now + hour, EndBy: now + hour, Work: run}
			if started, _ := g.Admit(now, job); started {
				begin(now, job)
			}
		}
	}
}

// TestManyHeldStarts: a word in the spell looks at few of them, and the one that ends
// it starts all that there are slots for, in their order.
func TestManyHeldStarts(t *testing.T) {
	const jobs, slots = 5 * mostHeldLooks, 4 * mostHeldLooks
	g, now := holdingGate()
	g.opts.QueueLength = jobs
	g.SetSlots(slots)
	var want []*Job
	for range jobs {
		job := &Job{Deadline: now + hour, EndBy: now + hour, Work: run}
		_, refusal := g.Admit(now, job)
		must.Nil(t, refusal)
		want = append(want, job)
	}
	test.SliceEmpty(t, g.ObserveSlowdown(now+50*ms, 5))
	looked := 0
	for _, job := range want {
		job.held = false
	}
	test.SliceEmpty(t, g.ObserveSlowdown(now+60*ms, 5))
	for _, job := range want {
		if job.held {
			looked++
		}
	}
	test.Eq(t, mostHeldLooks, looked)
	test.Eq(t, want[:slots], g.ObserveSlowdown(now+90*ms, 1))
	test.Eq(t, want[slots:slots+1], g.Finish(now+300*ms, want[0], true))
}

// TestShortWorkStartsBesideManyHeldJobs: eight long jobs of the first rank are held for the end of a spell; a short one of
// the second rank, which gains nothing by waiting, finds its slot free and is not
// looked at.
func TestShortWorkStartsBesideManyHeldJobs(t *testing.T) {
	g, now := holdingGate()
	g.opts.QueueLength = 100
	g.SetSlots(1)
	first := &Job{Deadline: now + hour, EndBy: now + hour, Work: 5 * time.Millisecond}
	started, _ := g.Admit(now, first)
	must.True(t, started)
	for range mostHeldLooks {
		_, refusal := g.Admit(now, &Job{Deadline: now + hour, EndBy: now + hour, Work: run})
		must.Nil(t, refusal)
	}
	short := &Job{Rank: 1, Deadline: now + hour, EndBy: now + hour, Work: 5 * time.Millisecond}
	started, refusal := g.Admit(now, short)
	must.Nil(t, refusal)
	must.False(t, started)
	test.Eq(t, []*Job{short}, g.Finish(now+5*ms, first, true))
}
