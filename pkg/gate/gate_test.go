package gate

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/rushramp/rushramp/pkg/errkind"
	"github.com/rushramp/rushramp/pkg/placement"
)

const ms = int64(time.Millisecond)

// job returns a job of a class with a deadline and no other limits.
func job(class placement.Class, deadline int64) *Job { return &Job{Class: class, Deadline: deadline} }

// warmUp runs one job that takes service nanoseconds, so that the gate knows its service
// time, and returns the time at which it ended.
func warmUp(g *Gate, service int64) int64 {
	j := job(placement.Normal, 1000*ms)
	g.Admit(1, j)
	g.Finish(1+service, j, true)
	return 1 + service
}

func TestQueueOrders(t *testing.T) {
	// Three jobs arrive while one runs: a background job with a late deadline, an urgent
	// one with an early deadline and a normal one with a deadline between these.
	scenarios := []struct {
		order Order
		want  []string
	}{
		{FIFO, []string{"background", "urgent", "normal"}},
		{EDF, []string{"urgent", "normal", "background"}},
		{Priority, []string{"urgent", "normal", "background"}},
		{Slack, []string{"background", "urgent", "normal"}},
	}
	for _, s := range scenarios {
		t.Run(string(s.order), func(t *testing.T) {
			g := New(Options{Slots: 1, QueueLength: 10, QueueTime: time.Second, Order: s.order})
			now := warmUp(g, 5*ms)
			running := job(placement.Normal, now+900*ms)
			g.Admit(now, running)
			names := map[*Job]string{}
			for _, w := range []struct {
				name  string
				class placement.Class
				left  int64
			}{{"background", placement.Background, 800}, {"urgent", placement.Urgent, 100}, {"normal", placement.Normal, 200}} {
				j := job(w.class, now+w.left*ms)
				names[j] = w.name
				run, refusal := g.Admit(now, j)
				must.Nil(t, refusal)
				must.False(t, run)
			}
			var got []string
			for range s.want {
				now += 5 * ms
				next := g.Finish(now, running, true)
				must.Len(t, 1, next)
				running = next[0]
				got = append(got, names[running])
			}
			test.Eq(t, s.want, got)
		})
	}
}

// TestSlackKeepsDeadlines checks that a background job does not start before a job whose
// deadline it would endanger.
func TestSlackKeepsDeadlines(t *testing.T) {
	g := New(Options{Slots: 1, QueueLength: 10, QueueTime: time.Second, Order: Slack})
	now := warmUp(g, 5*ms)
	running := job(placement.Normal, now+900*ms)
	g.Admit(now, running)
	urgent := job(placement.Urgent, now+12*ms)
	g.Admit(now, job(placement.Background, now+800*ms))
	g.Admit(now, urgent)
	next := g.Finish(now+5*ms, running, true)
	test.Eq(t, []*Job{urgent}, next)
}

func TestRefusals(t *testing.T) {
	scenarios := []struct {
		name string
		job  Job
		want errkind.Kind
	}{
		{"deadline passed", Job{Deadline: 1}, errkind.DeadlineBeforeRun},
		{"expected wait longer than the time left", Job{Deadline: 8 * ms}, errkind.Overloaded},
		{"expected time longer than the sender accepts", Job{Deadline: 900 * ms, MaxCost: 6 * time.Millisecond}, errkind.GateBusier},
		{"fits", Job{Deadline: 900 * ms, MaxCost: 11 * time.Millisecond}, errkind.None},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			g := New(Options{Slots: 1, QueueLength: 10, QueueTime: time.Second, Order: FIFO})
			now := warmUp(g, 5*ms)
			g.Admit(now, job(placement.Normal, 900*ms))
			_, refusal := g.Admit(now, &s.job)
			if s.want == errkind.None {
				test.Nil(t, refusal)
				return
			}
			must.NotNil(t, refusal)
			test.Eq(t, s.want, refusal.Kind)
			test.Eq(t, errkind.RanNo, refusal.Ran)
		})
	}
}

// TestSlowdownShowsBeforeAnyRunEnds checks that the service time in stamps rises, and the
// limit falls, while runs take longer than usual but have not ended.
func TestSlowdownShowsBeforeAnyRunEnds(t *testing.T) {
	g := New(Options{Slots: 12, QueueLength: 10, QueueTime: time.Second, Order: FIFO, Adaptive: true})
	now := warmUp(g, 5*ms)
	for range 6 {
		g.Admit(now, job(placement.Normal, 1000*ms))
	}
	before := g.Stamp(now)
	after := g.Stamp(now + 50*ms)
	test.Eq(t, uint32(12), before.Limit)
	test.Eq(t, uint32(5_000), before.ServiceUS)
	test.Between(t, 40_000, after.ServiceUS, 80_000)
	test.Between(t, 1, after.Limit, 3)
	test.Greater(t, before.Seq, after.Seq)

	// With nothing running, an old slowdown is forgotten.
	for range 6 {
		g.Finish(now+50*ms, job(placement.Normal, 0), false)
	}
	test.Eq(t, uint32(5_000), g.Stamp(now+400*ms).ServiceUS)
}

// TestTickRemovesJobsOverMaxCost checks that Tick removes a waiting job with a MaxCost
// once runs have slowed, and leaves one without a MaxCost.
func TestTickRemovesJobsOverMaxCost(t *testing.T) {
	g := New(Options{Slots: 2, QueueLength: 10, QueueTime: time.Second, Order: FIFO, Adaptive: true})
	now := warmUp(g, 5*ms)
	for range 2 {
		g.Admit(now, job(placement.Normal, 1000*ms))
	}
	withMaxCost := &Job{Deadline: 1000 * ms, MaxCost: 20 * time.Millisecond}
	withoutMaxCost := &Job{Deadline: 1000 * ms}
	for _, j := range []*Job{withMaxCost, withoutMaxCost} {
		_, refusal := g.Admit(now, j)
		must.Nil(t, refusal)
	}
	_, overMaxCost := g.Tick(now + 5*ms)
	test.SliceEmpty(t, overMaxCost)
	_, overMaxCost = g.Tick(now + 100*ms)
	test.Eq(t, []*Job{withMaxCost}, overMaxCost)
	test.Eq(t, 3, g.InFlight())
	test.False(t, g.Withdraw(withMaxCost))
}

func TestGateNeverRunsMoreThanItsSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 6).Draw(t, "slots")
		order := rapid.SampledFrom([]Order{FIFO, EDF, Priority, Slack}).Draw(t, "order")
		g := New(Options{
			Slots: slots, QueueLength: rapid.IntRange(0, 5).Draw(t, "queue"),
			QueueTime: time.Second, Order: order, Adaptive: rapid.Bool().Draw(t, "adaptive"),
		})
		now := int64(1)
		var running, waiting []*Job
		start := func(jobs []*Job) {
			for _, j := range jobs {
				running = append(running, j)
				waiting = remove(waiting, j)
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += rapid.Int64Range(0, 20*ms).Draw(t, "step")
			switch {
			case rapid.Bool().Draw(t, "arrive"):
				j := job(placement.Class(rapid.IntRange(0, 2).Draw(t, "class")), now+rapid.Int64Range(1, 100*ms).Draw(t, "left"))
				run, refusal := g.Admit(now, j)
				if refusal == nil && run {
					running = append(running, j)
				} else if refusal == nil {
					waiting = append(waiting, j)
				}
			case len(running) > 0:
				j := running[0]
				running = running[1:]
				start(g.Finish(now, j, rapid.Bool().Draw(t, "counts")))
			case len(waiting) > 0:
				must.True(t, g.Withdraw(waiting[0]))
				must.False(t, g.Withdraw(waiting[0]))
				waiting = waiting[1:]
			}
			must.LessEq(t, slots, len(running))
			must.Eq(t, int64(len(running)+len(waiting)), g.InFlight())
		}
	})
}

// remove returns a copy of jobs without gone.
func remove(jobs []*Job, gone *Job) []*Job {
	out := jobs[:0:0]
	for _, j := range jobs {
		if j != gone {
			out = append(out, j)
		}
	}
	return out
}

func BenchmarkAdmitFinish(b *testing.B) {
	g := New(Options{Slots: 12, QueueLength: 200, QueueTime: time.Second, Order: FIFO, Adaptive: true})
	now := warmUp(g, 5*ms)
	j := job(placement.Normal, 1<<62)
	b.ReportAllocs()
	for b.Loop() {
		now += 1000
		g.Admit(now, j)
		g.Finish(now+500, j, true)
	}
}

// routedGate returns a gate with two slots that is configured as for routed requests.
func routedGate() *Gate {
	return New(Options{Slots: 2, QueueLength: 10, QueueTime: time.Minute, Order: Ranked, SoftSlowdown: 1.8, UsableShare: 1})
}

// TestSoftJobs checks that a full or slowed gate refuses soft jobs, and that those from
// the same data centre may use all slots.
func TestSoftJobs(t *testing.T) {
	const deadline = int64(time.Hour)
	newGate := func() *Gate {
		return New(Options{Slots: 3, QueueLength: 10, QueueTime: time.Minute, Order: Ranked, SoftSlowdown: 1.8, UsableShare: 0.8})
	}
	g := newGate()
	soft := func(sameDataCentre bool) *errkind.Error {
		_, refusal := g.Admit(1, &Job{Deadline: deadline, EndBy: deadline, Work: time.Second, Soft: true, SameDataCentre: sameDataCentre})
		return refusal
	}
	must.Nil(t, soft(false))
	must.Nil(t, soft(false))
	test.Eq(t, errkind.GateBusier, soft(false).Kind, test.Sprint("nearly full for a sender in another data centre"))
	must.Nil(t, soft(true))
	test.Eq(t, errkind.GateBusier, soft(true).Kind, test.Sprint("full"))
	g = newGate()
	g.ObserveSlowdown(1, 4)
	test.Eq(t, errkind.GateBusier, soft(true).Kind, test.Sprint("slowed"))
}

// TestGateUsesItsShareOfTheSlots checks how many jobs run at once with a UsableShare of
// 0.8.
func TestGateUsesItsShareOfTheSlots(t *testing.T) {
	const hour = int64(time.Hour)
	for slots, want := range map[int]int{1: 1, 2: 2, 3: 2, 6: 4, 12: 9} {
		g := New(Options{Slots: slots, QueueLength: 100, QueueTime: time.Minute, Order: Ranked, SoftSlowdown: 1.8, UsableShare: 0.8})
		var running []*Job
		for range 3 * slots {
			j := &Job{Deadline: hour, EndBy: hour, Work: time.Second}
			run, refusal := g.Admit(1, j)
			must.Nil(t, refusal)
			if run {
				running = append(running, j)
			}
		}
		test.Len(t, want, running, test.Sprint(slots, "slots"))
		test.Len(t, 1, g.Finish(2, running[0], true), test.Sprint("a job that ends frees a slot for one"))
		test.Eq(t, uint32(want), g.Stamp(2).Limit)
	}
}

// TestRoutedJobWaitsOnlyForJobsAheadOfIt checks that the expected wait of a routed job
// leaves out the waiting jobs of a later rank.
func TestRoutedJobWaitsOnlyForJobsAheadOfIt(t *testing.T) {
	const hour = int64(time.Hour)
	g := routedGate()
	for range 2 {
		run, refusal := g.Admit(1, &Job{Deadline: hour, EndBy: hour, Work: time.Second})
		must.True(t, run)
		must.Nil(t, refusal)
	}
	for range 4 {
		_, refusal := g.Admit(1, &Job{Rank: 2, Deadline: hour, EndBy: hour, Work: time.Second})
		must.Nil(t, refusal)
	}
	// An expected wait of 0.5 s and a run of 1 s with its margin, with no job ahead.
	urgent := &Job{Rank: 0, Deadline: hour, EndBy: 1 + int64(1900*time.Millisecond), Work: time.Second}
	_, refusal := g.Admit(1, urgent)
	must.Nil(t, refusal)
	test.Eq(t, 600*time.Millisecond, urgent.MaxWait(1))
	late := &Job{Rank: 2, Deadline: hour, EndBy: 1 + int64(1900*time.Millisecond), Work: time.Second}
	_, refusal = g.Admit(1, late)
	must.NotNil(t, refusal)
	test.Eq(t, errkind.Overloaded, refusal.Kind)
	test.Eq(t, errkind.RanNo, refusal.Ran)
}

// TestWaitingJobNeedsRunTimeMargin checks that a job that has to wait is admitted only
// with RunTimeMargin times its expected run time left, since half of the runs take longer
// than expected.
func TestWaitingJobNeedsRunTimeMargin(t *testing.T) {
	// Both slots are taken: the expected wait is 0.5 s.
	for left, want := range map[time.Duration]bool{1750 * time.Millisecond: false, 1850 * time.Millisecond: true} {
		g := routedGate()
		for range 2 {
			run, _ := g.Admit(1, &Job{Deadline: int64(time.Hour), EndBy: int64(time.Hour), Work: time.Second})
			must.True(t, run)
		}
		_, refusal := g.Admit(1, &Job{Deadline: int64(time.Hour), EndBy: 1 + int64(left), Work: time.Second})
		test.Eq(t, want, refusal == nil, test.Sprint(left))
	}
}

// TestFreeSlotNeedsNoRunTimeMargin checks that a job starts in a free slot if its expected
// run time is left, and is refused if less is and half of the slots are in use.
func TestFreeSlotNeedsNoRunTimeMargin(t *testing.T) {
	for left, want := range map[time.Duration]bool{950 * time.Millisecond: false, 1050 * time.Millisecond: true} {
		g := routedGate()
		g.lastLateProbe = 1
		fillHalf(t, g)
		run, _ := g.Admit(1, &Job{Deadline: int64(time.Hour), EndBy: 1 + int64(left), Work: time.Second})
		test.Eq(t, want, run, test.Sprint(left))
	}
}

// fillHalf starts jobs until the gate accepts no late ones.
func fillHalf(t *testing.T, g *Gate) {
	for AcceptsLateRuns(int64(g.running), int64(g.usableSlots())) {
		run, _ := g.Admit(1, &Job{Deadline: int64(time.Hour), EndBy: int64(time.Hour), Work: time.Second})
		must.True(t, run)
	}
}

// TestLateRunsWhileSlotsAreFree checks that a job that would end after its EndBy starts
// while less than half of the slots are in use: a late answer is worth more than none.
func TestLateRunsWhileSlotsAreFree(t *testing.T) {
	const hour = int64(time.Hour)
	g := New(Options{Slots: 4, QueueLength: 10, QueueTime: time.Minute, Order: Ranked, SoftSlowdown: 1.8, UsableShare: 1})
	g.ObserveSlowdown(1, 4)
	late := func(deadline int64) (run bool) {
		run, _ = g.Admit(1, &Job{Deadline: deadline, EndBy: 1 + int64(time.Second), Work: time.Second})
		return run
	}
	test.False(t, late(1+int64(3*time.Second)), test.Sprint("it would end after its deadline"))
	test.True(t, late(hour))
	test.True(t, late(hour))
	test.False(t, late(hour), test.Sprint("half of the slots are in use"))
}

// TestTickStartsJobsAfterSlotsWereAdded checks that Tick returns a waiting job for a new
// slot.
func TestTickStartsJobsAfterSlotsWereAdded(t *testing.T) {
	const hour = int64(time.Hour)
	g := routedGate()
	for range 4 {
		_, refusal := g.Admit(1, &Job{Deadline: hour, EndBy: hour, Work: time.Second})
		must.Nil(t, refusal)
	}
	g.SetSlots(3)
	start, _ := g.Tick(2)
	test.Len(t, 1, start)
}

// TestWorkEstimateThatIsTooLongIsProbed checks that a gate whose jobs have a work time
// longer than each EndBy admits a few of them, so that the work time can be corrected.
func TestWorkEstimateThatIsTooLongIsProbed(t *testing.T) {
	g := New(Options{Slots: 100, QueueLength: 10, QueueTime: time.Minute, Order: Ranked, SoftSlowdown: 1.8, UsableShare: 1})
	fillHalf(t, g)
	admitted := 0
	for now := int64(1); now < int64(time.Second); now += int64(10 * time.Millisecond) {
		run, refusal := g.Admit(now, &Job{Deadline: int64(time.Hour), EndBy: int64(2 * time.Second), Work: time.Minute})
		test.Eq(t, run, refusal == nil)
		if run {
			admitted++
		} else {
			test.Eq(t, errkind.Overloaded, refusal.Kind)
		}
	}
	test.Eq(t, 10, admitted)
	g.ObserveSlowdown(1, 4)
	_, refusal := g.Admit(int64(time.Second), &Job{Deadline: int64(time.Hour), EndBy: int64(2 * time.Second), Work: time.Minute})
	must.NotNil(t, refusal, must.Sprint("a run on a slowed backend server says nothing about the work"))
}
