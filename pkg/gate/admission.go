package gate

import (
	"time"

	"github.com/rushramp/rushramp/pkg/errkind"
	"github.com/rushramp/rushramp/pkg/speed"
)

// RunTimeMargin is how many times its expected run a routed job that has to wait for
// a slot must have left to be worth starting: runs spread, and one that ends too
// late takes the slot of one that would not. Where a slot is free its expected run
// is enough: with runs that take twice as long for three seconds after a start, as
// cold ones do, two thirds of the requests were refused by gates that had slots.
const RunTimeMargin = 1.3

// Admit takes a job in. run is true when the owner must start it now; false
// with no error means that it waits, and a later Finish hands it out.
func (g *Gate) Admit(now int64, job *Job) (run bool, refusal *errkind.Error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	job.arrived = now
	job.index = notQueued
	g.jobSeq++
	job.seq = g.jobSeq
	g.turns.give(job)
	at := g.expect(now, job)
	if refusal := g.check(now, job, at); refusal != nil {
		return false, refusal
	}
	g.inFlight.Add(1)
	g.turns.admitted(job)
	if at.free && !at.held {
		g.begin(now, job)
		return true, nil
	}
	job.held = at.held
	job.startBy = job.Deadline
	if job.EndBy > 0 {
		job.startBy = min(job.Deadline, job.EndBy-withSpread(at.service))
	}
	g.queue.push(job)
	return false, nil
}

// outlook is what a job that is admitted now has to expect.
type outlook struct {
	// free is true where a slot is free for it, held where it should wait all the
	// same, for the end of a slow spell.
	free bool
	held bool
	// wait is the expected time until its start, service that of its run.
	wait    time.Duration
	service time.Duration
	// inTime are the odds that a held job ends in time.
	inTime float64
}

// expect works out what a job has to expect.
func (g *Gate) expect(now int64, job *Job) outlook {
	limit := g.limit(now)
	start := g.startWait(now, job)
	at := outlook{free: g.running < limit && start == 0}
	if !at.free {
		at.service = g.expected(now, job)
		at.wait = start
		if g.running >= limit {
			at.wait = max(start, g.queueWait(now, job, at.service, limit))
		}
		return at
	}
	held, hold := g.holds(now, job)
	if !hold {
		at.service = g.expected(now, job)
		return at
	}
	at.held, at.wait, at.inTime = true, held.Wait, held.OnTimeProbability
	at.service = g.expectedAfterSpell(job)
	// Others are held, too, and may fill the slots when the spell ends.
	ahead, work := g.queue.workAhead(job, g.expectedAfterSpell)
	if ahead >= limit-g.running {
		at.wait += work / time.Duration(limit)
	}
	return at
}

// holds decides whether a job should wait for the end of a slow spell although
// a slot is free.
func (g *Gate) holds(now int64, job *Job) (speed.HoldForecast, bool) {
	if job.Work == 0 {
		return speed.HoldForecast{}, false
	}
	run := speed.Run{Work: job.Work}
	if job.EndBy > 0 {
		run.TimeLeft = time.Duration(max(job.EndBy-now, 1))
		run.LatePenalty = time.Duration(job.EndBy - job.arrived)
	}
	return g.speed.ShouldHold(now, run)
}

// leastInTime are the odds of ending in time that a held job must have: one that
// is refused after a wait is worse off than one that is refused at once.
const leastInTime = 0.4

// tooLate is true where a job is not expected to end in time.
func tooLate(now int64, job *Job, at outlook) bool {
	if job.EndBy == 0 {
		return false
	}
	if at.held {
		return at.inTime < leastInTime
	}
	if at.free {
		return now+int64(at.service) > job.EndBy
	}
	return now+int64(at.wait)+withSpread(at.service) > job.EndBy
}

func (g *Gate) check(now int64, job *Job, at outlook) *errkind.Error {
	switch {
	case job.Soft && g.busyForSoft(now, job):
		return errkind.New(errkind.GateBusier, "")
	case tooLate(now, job, at) && !g.takesLate(now, job, at):
		return errkind.New(errkind.Overloaded, "wait %v and run %v would end too late", at.wait.Round(time.Millisecond), at.service.Round(time.Millisecond))
	case job.Deadline <= now:
		return errkind.New(errkind.DeadlineBeforeRun, "no time was left at the gate")
	case job.MaxCost > 0 && at.wait+at.service > job.MaxCost:
		return errkind.New(errkind.GateBusier, "its expected time is over the bound that came with the call")
	case at.free && !at.held:
		return nil
	case g.queue.len() >= g.opts.QueueLength:
		return errkind.New(errkind.Overloaded, "the queue is full")
	case at.wait > g.opts.QueueTime:
		return errkind.New(errkind.Overloaded, "the expected wait of %v is over the bound", at.wait)
	case now+int64(at.wait) >= job.Deadline:
		return errkind.New(errkind.Overloaded, "the expected wait of %v is longer than the time left", at.wait)
	}
	return nil
}

// withSpread is how long a run that is expected to take service must have, in
// nanoseconds.
func withSpread(service time.Duration) int64 { return int64(RunTimeMargin * float64(service)) }

// startWait is how long a job waits until the backend server bears its start,
// behind those that go before it.
func (g *Gate) startWait(now int64, job *Job) time.Duration {
	if g.cold.MaxStartsPerSecond == 0 || g.queue.len() == 0 {
		return g.cold.wait(now, 0)
	}
	ahead, _ := g.queue.workAhead(job, func(*Job) time.Duration { return 0 })
	return g.cold.wait(now, ahead)
}

// queueWait is how long a job waits for a slot while none is free. A routed job
// waits only for those that go before it in the order.
func (g *Gate) queueWait(now int64, job *Job, service time.Duration, limit int) time.Duration {
	if job.EndBy == 0 {
		return service * time.Duration(g.queue.len()+1) / time.Duration(limit)
	}
	_, ahead := g.queue.workAhead(job, func(other *Job) time.Duration { return g.expected(now, other) })
	return (ahead + service) / time.Duration(limit)
}

// lateUse is the share of the usable slots in use below which a gate takes runs
// that would end after their target: they take the slot of no other.
const lateUse = 0.5

// AcceptsLateRuns is true while a gate that runs so many of the jobs that it could
// has slots for runs that would end after their target.
func AcceptsLateRuns(running, usable int64) bool { return float64(running) < lateUse*float64(usable) }

// takesLate decides whether a job that would end too late runs all the same:
// where slots are free, if it would end before its deadline, or as a probe.
func (g *Gate) takesLate(now int64, job *Job, at outlook) bool {
	if at.free && AcceptsLateRuns(int64(g.running), int64(g.usable())) && now+int64(at.wait)+int64(at.service) < job.Deadline {
		return true
	}
	return g.probes(now, at.free)
}

// probeEvery is the least time between two runs that are admitted although
// they are expected to end too late, in nanoseconds.
const probeEvery = int64(100 * time.Millisecond)

// probes decides whether a job that would end too late runs all the same: it
// would start at once on a backend server that works as usual, and no other did
// so lately. An estimate that is too long would else refuse all the runs that
// could correct it.
func (g *Gate) probes(now int64, free bool) bool {
	if !free || g.tooSlowForSoft(now) || now-g.probedAt < probeEvery {
		return false
	}
	g.probedAt = now
	return true
}

// busyForSoft is true while a soft job is better off elsewhere: at a slowed
// backend server, at a cold one that bears no further start, or where it would
// wait. A sender of the own data centre would pay for going on, so its job may wait
// behind as many as there are slots that the gate does not use.
func (g *Gate) busyForSoft(now int64, job *Job) bool {
	most := g.usable()
	if job.Near {
		most = g.slots
	}
	return g.tooSlowForSoft(now) || g.running+g.queue.len() >= most || g.bearsNoStart(now)
}

// expected is the expected time of one run of a job that starts now.
func (g *Gate) expected(now int64, job *Job) time.Duration {
	if job.Work == 0 {
		return g.estimate.service(now)
	}
	return time.Duration(float64(job.Work) * g.speed.ExpectedSlowdown())
}

// expectedAfterSpell is the expected time of one run of a job that starts when
// the slow spell has ended.
func (g *Gate) expectedAfterSpell(job *Job) time.Duration {
	return time.Duration(float64(job.Work) * g.speed.BaselineSlowdown())
}
