package gate

import (
	"time"

	"github.com/rushramp/rushramp/pkg/errkind"
	"github.com/rushramp/rushramp/pkg/speed"
)

// RunTimeMargin is how many times its expected run time a routed job that waits must have
// left when it starts. Run times vary, and a run that ends too late takes the slot of one
// that would end in time. A job that finds a free slot needs its expected run time only:
// while runs are slow, the margin would make a gate refuse jobs although it has free
// slots. With runs that take twice as long, as those of cold backend servers do, gates with
// free slots refused two thirds of the requests.
const RunTimeMargin = 1.3

// Admit lets a job start or wait, or refuses it. run is true when the owner must start
// the job now. When run is false and refusal is nil, the job waits until Finish, Tick,
// ObserveSlowdown or SetColdState returns it. The kind of a refusal is GateBusier,
// Overloaded or DeadlineBeforeRun. A job that Reserve has admitted gives up its place, and
// is refused only if it would end too late.
func (g *Gate) Admit(now int64, job *Job) (run bool, refusal *errkind.Error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if job.reserved {
		return g.admitReserved(now, job)
	}
	g.enter(now, job)
	fc := g.forecastFor(now, job)
	if refusal := g.refusalFor(now, job, fc); refusal != nil {
		return false, refusal
	}
	g.inFlight.Add(1)
	g.fairness.charge(job)
	return g.startOrQueue(now, job, fc), nil
}

// enter sets the fields of a job that has just arrived.
func (g *Gate) enter(now int64, job *Job) {
	job.arrived = now
	job.index = notQueued
	g.startRate.assume(now, job.RateLimit)
	g.jobSeq++
	job.seq = g.jobSeq
	g.fairness.assignStartTag(job)
}

// startOrQueue starts an admitted job, or adds it to the queue. It returns true if the
// owner must start the job now.
func (g *Gate) startOrQueue(now int64, job *Job, fc forecast) (run bool) {
	if fc.canStart && !fc.held {
		g.recordStart(now, job)
		return true
	}
	job.held = fc.held
	job.startBy = startBy(job, fc)
	g.queue.push(job)
	return false
}

// startBy returns the latest time at which it is worth starting a waiting job.
func startBy(job *Job, fc forecast) int64 {
	if job.EndBy == 0 {
		return job.Deadline
	}
	return min(job.Deadline, job.EndBy-withMargin(fc.runTime))
}

// forecast is what a job can expect that is admitted now.
type forecast struct {
	// canStart is true when a slot is free and the limits on starts allow one; held is true
	// when the job should wait anyway, for the end of a slow period.
	canStart bool
	held     bool
	// wait is the expected time until the job starts, runTime that from its start to
	// its end.
	wait    time.Duration
	runTime time.Duration
	// onTimeProbability is the probability that a held job ends by its EndBy.
	onTimeProbability float64
}

// startsIn returns the expected time until the start of a job, which may wait for a slot
// and for its body at the same time.
func (fc *forecast) startsIn(job *Job) time.Duration { return max(fc.wait, job.transfer) }

// forecastFor estimates the wait and the run time of a job.
func (g *Gate) forecastFor(now int64, job *Job) forecast {
	limit := g.limit(now)
	startWait := g.startWait(now, job)
	fc := forecast{canStart: g.running < limit && startWait == 0}
	if !fc.canStart {
		fc.runTime = g.expectedRunTime(now, job)
		fc.wait = startWait
		if g.running >= limit {
			fc.wait = max(startWait, g.slotWait(now, job, fc.runTime, limit))
		}
		return fc
	}
	hold, worthHolding := g.shouldHold(now, job)
	if !worthHolding {
		fc.runTime = g.expectedRunTime(now, job)
		return fc
	}
	fc.held, fc.wait, fc.onTimeProbability = true, hold.Wait, hold.OnTimeProbability
	fc.runTime = g.runTimeAfterSlowPeriod(job)
	// Other held jobs may fill the slots when the slow period ends.
	ahead, work := g.workAhead(job, g.runTimeAfterSlowPeriod)
	if ahead >= limit-g.running {
		fc.wait += work / time.Duration(limit)
	}
	return fc
}

// shouldHold decides whether a job should wait for the end of a slow period although
// a slot is free.
func (g *Gate) shouldHold(now int64, job *Job) (speed.HoldForecast, bool) {
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

// minOnTimeProbability is the least probability of ending in time with which a job is
// held. A job with a lower one is refused at once, so that its sender can still try
// another backend server.
const minOnTimeProbability = 0.4

// endsTooLate reports whether a job is expected to end after its EndBy.
func endsTooLate(now int64, job *Job, fc forecast) bool {
	if job.EndBy == 0 {
		return false
	}
	endsAtOnce := now + int64(job.transfer) + int64(fc.runTime)
	switch {
	case fc.held && job.transfer == 0:
		return fc.onTimeProbability < minOnTimeProbability
	case fc.held:
		return fc.onTimeProbability < minOnTimeProbability || endsAtOnce > job.EndBy
	case fc.canStart:
		return endsAtOnce > job.EndBy
	}
	return now+int64(fc.startsIn(job))+withMargin(fc.runTime) > job.EndBy
}

// refusalFor returns the error with which a job is refused; nil: it is admitted.
func (g *Gate) refusalFor(now int64, job *Job, fc forecast) *errkind.Error {
	switch {
	case job.Soft && g.refusesSoft(now, job):
		return errkind.New(errkind.GateBusier, "")
	case endsTooLate(now, job, fc) && !g.admitsLate(now, job, fc):
		return errTooLate(job, fc)
	case job.Deadline <= now:
		return errkind.New(errkind.DeadlineBeforeRun, "the deadline had passed when the request reached the gate")
	case job.MaxCost > 0 && fc.startsIn(job)+fc.runTime > job.MaxCost:
		return errkind.New(errkind.GateBusier, "the expected time until the end of the run is longer than the sender accepts")
	case fc.canStart && !fc.held && job.transfer == 0:
		return nil
	case g.waiting() >= g.maxWaiting(now, job, fc):
		return errkind.New(errkind.Overloaded, "the queue is full")
	case fc.wait > g.opts.QueueTime:
		return errkind.New(errkind.Overloaded, "the expected wait of %v is longer than the longest wait allowed", fc.wait)
	case now+int64(fc.startsIn(job)) >= job.Deadline:
		return errkind.New(errkind.Overloaded, "the expected wait of %v is longer than the time left until the deadline", fc.startsIn(job))
	}
	return nil
}

// maxWaiting returns how many jobs may wait, with or without a place, when a job arrives.
// Places may also stand for the free slots: a job whose body had already arrived would start
// in one at once, however short the queue is.
func (g *Gate) maxWaiting(now int64, job *Job, fc forecast) int {
	if job.transfer == 0 || fc.held || !fc.canStart {
		return g.opts.QueueLength
	}
	return g.opts.QueueLength + g.limit(now) - g.running
}

// errTooLate returns the error for a job that is expected to end after its EndBy.
func errTooLate(job *Job, fc forecast) *errkind.Error {
	return errkind.New(errkind.Overloaded, "with an expected wait of %v and an expected run time of %v the request would end too late", fc.startsIn(job).Round(time.Millisecond), fc.runTime.Round(time.Millisecond))
}

// withMargin returns the time, in nanoseconds, that a waiting job with an expected run
// time must have left when it starts.
func withMargin(runTime time.Duration) int64 { return int64(RunTimeMargin * float64(runTime)) }

// startWait returns how long a job waits until the limits on cold starts and on the rate of
// starts allow it to start, behind the waiting jobs that start before it.
func (g *Gate) startWait(now int64, job *Job) time.Duration {
	ahead := 0
	if g.waiting() > 0 && (g.coldStarts.MaxStartsPerSecond > 0 || g.startRate.limited) {
		ahead, _ = g.workAhead(job, func(*Job) time.Duration { return 0 })
	}
	return max(g.coldStarts.wait(now, ahead), g.startRate.wait(now, ahead))
}

// slotWait returns how long a job waits for a slot while none is free. A routed job
// waits only for the jobs that start before it in the queue's order.
func (g *Gate) slotWait(now int64, job *Job, runTime time.Duration, limit int) time.Duration {
	if job.EndBy == 0 {
		return runTime * time.Duration(g.waiting()+1) / time.Duration(limit)
	}
	_, ahead := g.workAhead(job, func(other *Job) time.Duration { return g.expectedRunTime(now, other) })
	return (ahead + runTime) / time.Duration(limit)
}

// maxLateRunUtilisation is the utilisation of the usable slots below which a gate admits
// jobs that are expected to end after their EndBy, since no other job needs the free
// slots.
const maxLateRunUtilisation = 0.5

// AcceptsLateRuns reports whether a gate admits jobs that are expected to end after
// their EndBy, by the number of its running jobs and of its usable slots.
func AcceptsLateRuns(running, usable int64) bool {
	return float64(running) < maxLateRunUtilisation*float64(usable)
}

// admitsLate decides whether a job that is expected to end after its EndBy runs anyway:
// because it ends before its deadline and enough slots are free, or as a probe.
func (g *Gate) admitsLate(now int64, job *Job, fc forecast) bool {
	if fc.canStart && AcceptsLateRuns(int64(g.running), int64(g.usableSlots())) && now+int64(fc.startsIn(job))+int64(fc.runTime) < job.Deadline {
		return true
	}
	job.lateProbe = g.admitsLateProbe(now, fc.canStart)
	return job.lateProbe
}

// lateProbeInterval is the least time between two late probes, in nanoseconds.
const lateProbeInterval = int64(100 * time.Millisecond)

// admitsLateProbe decides whether a job that is expected to end too late runs as a
// probe of its expected run time: it can start at once on a backend server at normal
// speed, and the last probe was long enough ago. Without probes, a Job.Work that is too
// long would make the gate refuse all the runs that could correct it.
func (g *Gate) admitsLateProbe(now int64, canStart bool) bool {
	if !canStart || g.tooSlowForSoft(now) || now-g.lastLateProbe < lateProbeInterval {
		return false
	}
	g.lastLateProbe = now
	return true
}

// refusesSoft reports whether a soft job is refused because another backend server
// probably runs it sooner: this one is slowed, may get no further start now, or has no
// usable slot free. A job whose sender is in this data centre may wait while fewer jobs run
// or wait than there are slots, since the next backend server to try is farther away.
func (g *Gate) refusesSoft(now int64, job *Job) bool {
	maxJobs := g.usableSlots()
	if job.SameDataCentre {
		maxJobs = g.slots
	}
	return g.tooSlowForSoft(now) || g.running+g.waiting() >= maxJobs || g.startsExhausted(now)
}

// expectedRunTime returns the expected run time of a job that starts now.
func (g *Gate) expectedRunTime(now int64, job *Job) time.Duration {
	if job.Work == 0 {
		return g.serviceTime.current(now)
	}
	return time.Duration(float64(job.Work) * g.speed.ExpectedSlowdown())
}

// runTimeAfterSlowPeriod returns the expected run time of a job that starts when the
// slow period has ended.
func (g *Gate) runTimeAfterSlowPeriod(job *Job) time.Duration {
	return time.Duration(float64(job.Work) * g.speed.BaselineSlowdown())
}
