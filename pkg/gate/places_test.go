package gate

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/rushramp/rushramp/pkg/errkind"
)

func newPlacesGate(slots, queueLength int) *Gate {
	return New(Options{Slots: slots, QueueLength: queueLength, QueueTime: time.Second, Order: Ranked, SoftSlowdown: 2})
}

// routedJob returns a job of 100 ms of work that must end within left milliseconds.
func routedJob(now, left int64) *Job {
	return &Job{Work: 100 * time.Millisecond, EndBy: now + left*ms, Deadline: now + 2*left*ms}
}

// TestPlaceCountsAsAWaitingJob checks that a place is part of stamps, soft refusals, the queue
// length and expected waits, but occupies no slot.
func TestPlaceCountsAsAWaitingJob(t *testing.T) {
	g := newPlacesGate(1, 2)
	placed := routedJob(1, 5000)
	must.Nil(t, g.Reserve(1, placed, 10*time.Millisecond))
	stamp := g.Stamp(1)
	test.Eq(t, 0, stamp.Running)
	test.Eq(t, 1, stamp.Queued)
	test.Eq(t, 1, g.InFlight())

	soft := routedJob(1, 5000)
	soft.Soft = true
	_, refusal := g.Admit(1, soft)
	must.NotNil(t, refusal)
	test.Eq(t, errkind.GateBusier, refusal.Kind)

	run, refusal := g.Admit(1, routedJob(1, 5000))
	test.Nil(t, refusal)
	test.True(t, run, test.Sprint("the place occupies the slot"))

	// With the run of the place before its own, the job would end after 330 ms, otherwise after
	// 230 ms.
	behind := routedJob(1, 299)
	behind.Rank = 1
	_, refusal = g.Admit(1, behind)
	must.NotNil(t, refusal)
	test.Eq(t, errkind.Overloaded, refusal.Kind)

	must.Nil(t, g.Reserve(1, routedJob(1, 5000), 0))
	_, refusal = g.Admit(1, routedJob(1, 5000))
	must.NotNil(t, refusal)
	test.StrContains(t, refusal.Detail, "the queue is full")
	refusal = g.Reserve(1, routedJob(1, 5000), 0)
	must.NotNil(t, refusal)
	test.StrContains(t, refusal.Detail, "the queue is full")
}

// TestPlacesMayTakeFreeSlots checks that the queue length does not refuse large bodies while
// slots are free, and that it does so beyond them.
func TestPlacesMayTakeFreeSlots(t *testing.T) {
	for _, queueLength := range []int{0, 2} {
		g := newPlacesGate(3, queueLength)
		_, refusal := g.Admit(1, routedJob(1, 5000))
		must.Nil(t, refusal)
		for range 2 + queueLength {
			must.Nil(t, g.Reserve(1, routedJob(1, 5000), 0))
		}
		refusal = g.Reserve(1, routedJob(1, 5000), 0)
		must.NotNil(t, refusal)
		test.StrContains(t, refusal.Detail, "the queue is full")
		run, refusal := g.Admit(1, routedJob(1, 5000))
		test.Nil(t, refusal)
		test.True(t, run)
	}
}

// TestTransferTimeDecides checks that a job is refused if it would end too late because of its
// transfer, although a slot is free, and that the transfer and the wait for a slot overlap.
func TestTransferTimeDecides(t *testing.T) {
	g := newPlacesGate(1, 10)
	// The first job that would end too late on a free backend server runs as a late probe.
	must.Nil(t, g.Reserve(1, &Job{Work: 100 * time.Millisecond, EndBy: 2, Deadline: 3 * ms}, 0))
	job := &Job{Work: 100 * time.Millisecond, EndBy: 500 * ms, Deadline: 500 * ms}
	refusal := g.Reserve(1, job, 401*time.Millisecond)
	must.NotNil(t, refusal)
	test.Eq(t, errkind.Overloaded, refusal.Kind)
	test.Eq(t, errkind.RanNo, refusal.Ran)
	test.Eq(t, 1, g.InFlight())
	must.Nil(t, g.Reserve(1, job, 399*time.Millisecond))

	busy := newPlacesGate(1, 10)
	_, refusal = busy.Admit(1, routedJob(1, 1000))
	must.Nil(t, refusal)
	must.Nil(t, busy.Reserve(1, &Job{Work: 100 * time.Millisecond, EndBy: 235 * ms, Deadline: 235 * ms}, 100*time.Millisecond))
}

// TestTransferPastTheDeadlineIsRefused checks that not even a late probe is admitted if its
// body arrives after its deadline.
func TestTransferPastTheDeadlineIsRefused(t *testing.T) {
	g := newPlacesGate(1, 10)
	refusal := g.Reserve(1, routedJob(1, 500), 1001*time.Millisecond)
	must.NotNil(t, refusal)
	test.Eq(t, errkind.Overloaded, refusal.Kind)
	test.Zero(t, g.InFlight())
}

// TestLateProbeStartsWithItsBody checks that a late probe with a place starts when its body has
// arrived, that a second one in the same interval is refused, and that it is refused if no slot
// is free any more.
func TestLateProbeStartsWithItsBody(t *testing.T) {
	for _, busy := range []int{8, 10} {
		g := newPlacesGate(10, 10)
		for range 8 {
			_, refusal := g.Admit(1, routedJob(1, 5000))
			must.Nil(t, refusal)
		}
		probe := &Job{Work: 100 * time.Millisecond, EndBy: 50 * ms, Deadline: 1000 * ms}
		must.Nil(t, g.Reserve(1, probe, 10*time.Millisecond))
		must.NotNil(t, g.Reserve(1, &Job{Work: 100 * time.Millisecond, EndBy: 50 * ms, Deadline: 1000 * ms}, 10*time.Millisecond))
		for range busy - 8 {
			_, refusal := g.Admit(1, routedJob(1, 5000))
			must.Nil(t, refusal)
		}
		run, refusal := g.Admit(10*ms, probe)
		test.Eq(t, busy == 8, run)
		test.Eq(t, busy == 8, refusal == nil)
	}
}

// TestBodyAfterTheDeadlineIsRefused checks that a job does not start if its body arrives when
// its deadline has passed.
func TestBodyAfterTheDeadlineIsRefused(t *testing.T) {
	g := newPlacesGate(1, 10)
	job := &Job{Deadline: 100 * ms}
	must.Nil(t, g.Reserve(1, job, 0))
	run, refusal := g.Admit(100*ms, job)
	test.False(t, run)
	must.NotNil(t, refusal)
	test.Eq(t, errkind.DeadlineBeforeRun, refusal.Kind)
	test.Zero(t, g.InFlight())
}

// TestPlacedJobIsAdmitted checks that a job starts, waits or is refused when its body has
// arrived, and that it is not refused as soft.
func TestPlacedJobIsAdmitted(t *testing.T) {
	g := newPlacesGate(1, 1)
	first, second, third := routedJob(1, 1000), routedJob(1, 5000), routedJob(1, 300)
	first.Soft = true
	must.Nil(t, g.Reserve(1, first, 0))
	g.opts.QueueLength = 10
	must.Nil(t, g.Reserve(1, second, 0))
	must.Nil(t, g.Reserve(1, third, 0))

	run, refusal := g.Admit(10*ms, first)
	test.Nil(t, refusal)
	test.True(t, run)
	run, refusal = g.Admit(20*ms, second)
	test.Nil(t, refusal)
	test.False(t, run)
	test.Eq(t, 3, g.InFlight())
	_, refusal = g.Admit(250*ms, third)
	must.NotNil(t, refusal)
	test.Eq(t, errkind.Overloaded, refusal.Kind)
	test.Eq(t, errkind.RanNo, refusal.Ran)
	test.Eq(t, 2, g.InFlight())
	test.True(t, slices.Equal([]*Job{second}, g.Finish(300*ms, first, true)))
	g.Finish(400*ms, second, true)
	test.Zero(t, g.InFlight())
}

// TestReleasedPlaceDoesNotStart checks that a job whose place was released in any way is not
// admitted any more.
func TestReleasedPlaceDoesNotStart(t *testing.T) {
	for name, release := range map[string]func(t *testing.T, g *Gate, job *Job){
		"release":        func(t *testing.T, g *Gate, job *Job) { test.True(t, g.Release(job)) },
		"withdraw":       func(t *testing.T, g *Gate, job *Job) { test.True(t, g.Withdraw(job)) },
		"drain":          func(t *testing.T, g *Gate, job *Job) { test.True(t, slices.Equal([]*Job{job}, g.DrainQueue())) },
		"release places": func(t *testing.T, g *Gate, job *Job) { test.True(t, slices.Equal([]*Job{job}, g.ReleasePlaces())) },
	} {
		t.Run(name, func(t *testing.T) {
			g := newPlacesGate(1, 10)
			job := routedJob(1, 1000)
			must.Nil(t, g.Reserve(1, job, 0))
			release(t, g, job)
			test.Zero(t, g.InFlight())
			test.Zero(t, g.Stamp(1).Queued)
			run, refusal := g.Admit(1, job)
			test.False(t, run)
			test.NotNil(t, refusal)
			test.False(t, g.Release(job))
			test.False(t, g.Withdraw(job))
			test.Zero(t, g.InFlight())
		})
	}
}

// TestReleaseLeavesWaitingJobs checks that Release has no effect on a job whose body has
// arrived.
func TestReleaseLeavesWaitingJobs(t *testing.T) {
	g := newPlacesGate(1, 10)
	job := routedJob(1, 1000)
	must.Nil(t, g.Reserve(1, job, 0))
	g.Admit(1, routedJob(1, 1000))
	run, refusal := g.Admit(1, job)
	test.False(t, run)
	test.Nil(t, refusal)
	test.False(t, g.Release(job))
	test.True(t, g.Withdraw(job))
}

// TestPlacesAreCountedOnce plays random jobs with and without places, and checks that the gate
// counts each job at it exactly once, starts only jobs whose bodies have arrived and whose
// place was not released, and at most as many at once as it has slots.
func TestPlacesAreCountedOnce(t *testing.T) {
	const slots = 3
	rapid.Check(t, func(t *rapid.T) {
		g := newPlacesGate(slots, 20)
		now := int64(1)
		var placed, waiting, running []*Job
		begin := func(jobs []*Job) {
			for _, job := range jobs {
				must.True(t, slices.Contains(waiting, job))
				waiting = slices.DeleteFunc(waiting, func(other *Job) bool { return other == job })
				running = append(running, job)
			}
		}
		newJob := func() *Job {
			left := rapid.Int64Range(1, 900).Draw(t, "left")
			return &Job{
				Rank: uint16(rapid.IntRange(0, 2).Draw(t, "rank")), Soft: rapid.Bool().Draw(t, "soft"), Team: rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "team"),
				Work: time.Duration(rapid.IntRange(0, 300).Draw(t, "work")) * time.Millisecond, EndBy: now + left*ms, Deadline: now + 2*left*ms,
			}
		}
		admit := func(job *Job) {
			run, refusal := g.Admit(now, job)
			switch {
			case refusal != nil:
				must.False(t, run)
			case run:
				running = append(running, job)
			default:
				waiting = append(waiting, job)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"admit": func(*rapid.T) { admit(newJob()) },
			"reserve": func(t *rapid.T) {
				job := newJob()
				if g.Reserve(now, job, time.Duration(rapid.IntRange(0, 400).Draw(t, "transfer"))*time.Millisecond) == nil {
					placed = append(placed, job)
				}
			},
			"body arrives": func(t *rapid.T) {
				if len(placed) > 0 {
					job := rapid.SampledFrom(placed).Draw(t, "job")
					placed = slices.DeleteFunc(placed, func(other *Job) bool { return other == job })
					admit(job)
				}
			},
			"release": func(t *rapid.T) {
				if len(placed) > 0 {
					job := rapid.SampledFrom(placed).Draw(t, "job")
					must.True(t, g.Release(job))
					placed = slices.DeleteFunc(placed, func(other *Job) bool { return other == job })
				}
			},
			"finish": func(t *rapid.T) {
				if len(running) > 0 {
					job := rapid.SampledFrom(running).Draw(t, "job")
					running = slices.DeleteFunc(running, func(other *Job) bool { return other == job })
					begin(g.Finish(now, job, rapid.Bool().Draw(t, "representative")))
				}
			},
			"drain": func(*rapid.T) {
				must.Len(t, len(placed)+len(waiting), g.DrainQueue())
				placed, waiting = nil, nil
			},
			"tick": func(t *rapid.T) {
				now += rapid.Int64Range(0, 100).Draw(t, "ms") * ms
				start, overMaxCost := g.Tick(now)
				begin(start)
				must.Len(t, 0, overMaxCost)
			},
			"": func(t *rapid.T) {
				must.Eq(t, int64(len(placed)+len(waiting)+len(running)), g.InFlight())
				must.Eq(t, len(placed)+len(waiting), int(g.Stamp(now).Queued))
				must.LessEq(t, slots, len(running))
			},
		})
	})
}

// TestNestedJobsPassQueuedLargeBodies guards against large bodies that queue in their data
// centre starving the calls of running requests.
func TestNestedJobsPassQueuedLargeBodies(t *testing.T) {
	g := newPlacesGate(2, 100)
	running := []*Job{routedJob(1, 5000), routedJob(1, 5000)}
	for _, job := range running {
		run, refusal := g.Admit(1, job)
		must.Nil(t, refusal)
		must.True(t, run)
	}
	arrived := routedJob(1, 5000)
	must.Nil(t, g.Reserve(1, arrived, 10*time.Millisecond))
	run, refusal := g.Admit(1, arrived)
	must.Nil(t, refusal)
	must.False(t, run)
	for range 10 {
		must.Nil(t, g.Reserve(1, routedJob(1, 5000), 10*time.Millisecond))
	}

	for now, ended := range running {
		nested := &Job{Work: 30 * time.Millisecond, EndBy: 300 * ms, Deadline: 300 * ms, Nested: true}
		run, refusal = g.Admit(2, nested)
		must.Nil(t, refusal, must.Sprint("large bodies that start after the call make the gate refuse it"))
		must.False(t, run)
		started := g.Finish(100*ms+int64(now), ended, true)
		must.Len(t, 1, started)
		test.True(t, started[0] == nested, test.Sprint("a large body started first"))
		running[now] = nested
	}
	started := g.Finish(110*ms, running[0], true)
	must.Len(t, 1, started)
	test.True(t, started[0] == arrived)
}

// TestQueuedLargeBodyIsAdmittedWhileItEndsInTime is the executor's part of queueing nearer: a
// head that is not soft waits while its run ends in time with the margin and the transfer.
func TestQueuedLargeBodyIsAdmittedWhileItEndsInTime(t *testing.T) {
	for _, s := range []struct {
		name     string
		left     int64
		transfer time.Duration
		admitted bool
	}{
		// The wait is that of the run and the place ahead, (100+100)/2 ms, and the run with its
		// margin takes 130 ms.
		{"in time", 232, time.Millisecond, true},
		{"too late", 228, time.Millisecond, false},
		{"transfer within the wait", 232, 90 * time.Millisecond, true},
		{"transfer too long", 300, 180 * time.Millisecond, false},
	} {
		g := newPlacesGate(2, 100)
		for range 2 {
			run, refusal := g.Admit(1, routedJob(1, 5000))
			must.Nil(t, refusal)
			must.True(t, run)
		}
		must.Nil(t, g.Reserve(1, &Job{Work: 100 * time.Millisecond, Deadline: 200 * ms}, 0))
		job := routedJob(1, s.left)
		refusal := g.Reserve(1, job, s.transfer)
		test.Eq(t, s.admitted, refusal == nil, test.Sprint(s.name))
	}
}
