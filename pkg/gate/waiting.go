package gate

import "time"

// maxCostExcess is the factor by which the expected time of a waiting job may exceed its
// MaxCost before Tick removes the job, so that another backend server may run it.
const maxCostExcess = 1.5

// Tick returns the waiting jobs that the owner must start now, as when the limit has
// risen. While runs are slowed it also removes and returns the waiting jobs whose
// expected time has grown far beyond their MaxCost; the owner must refuse these by
// Job.RefuseOverMaxCost.
func (g *Gate) Tick(now int64) (start, overMaxCost []*Job) {
	if g.inFlight.Load() == 0 {
		return nil, nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	start = g.startWaiting(now)
	if g.serviceTime.slowdown(now) > toleratedSlowdown {
		overMaxCost = g.removeOverMaxCost(now)
	}
	return start, overMaxCost
}

// removeOverMaxCost removes and returns the waiting jobs whose expected time exceeds
// their MaxCost by more than maxCostExcess.
func (g *Gate) removeOverMaxCost(now int64) []*Job {
	runTime := g.serviceTime.current(now)
	wait := runTime * time.Duration(g.waiting()) / time.Duration(g.limit(now))
	out := g.queue.removeIf(func(j *Job) bool {
		return j.MaxCost > 0 && float64(wait+runTime) > maxCostExcess*float64(j.MaxCost)
	})
	g.discard(out...)
	return out
}

// maxHeldChecks is how many jobs that stay held startWaiting checks, in the queue's
// order, before it goes on to jobs with less work. Backend servers have 6 to 18 slots, so
// that more jobs could hardly start at once, and jobs behind these with as much work are
// most likely held, too. Each report of the backend server leads to another check.
const maxHeldChecks = 8

// startWaiting starts the waiting jobs that may start now, and returns them. Jobs that
// stay held go back into the queue.
func (g *Gate) startWaiting(now int64) []*Job {
	var out, held []*Job
	limit := g.limit(now)
	for g.running < limit && len(held) < maxHeldChecks && g.allowsStart(now) {
		job := g.queue.pop(now, g.serviceTime.current(now))
		if job == nil {
			break
		}
		if g.staysHeld(now, job) {
			job.held = true
			held = append(held, job)
			continue
		}
		g.recordStart(now, job)
		out = append(out, job)
	}
	if len(held) >= maxHeldChecks {
		out, held = g.startShorter(now, limit, out, held)
	}
	for _, job := range held {
		g.queue.push(job)
	}
	if probe := g.startProbe(now, limit); probe != nil {
		out = append(out, probe)
	}
	return out
}

// startShorter starts waiting jobs with less work than all held ones, since shorter jobs
// gain less by waiting. Each job that stays held lowers the bound on the work, and there
// are half as many checks as in startWaiting. It returns out and held with the jobs that
// it started and held appended.
func (g *Gate) startShorter(now int64, limit int, out, held []*Job) (started, stillHeld []*Job) {
	shortest := held[0].Work
	for _, job := range held {
		shortest = min(shortest, job.Work)
	}
	for checks := 0; checks < maxHeldChecks/2 && g.running < limit && g.allowsStart(now); {
		job := g.queue.popShorter(shortest)
		if job == nil {
			break
		}
		if g.staysHeld(now, job) {
			job.held = true
			held, shortest = append(held, job), job.Work
			checks++
			continue
		}
		g.recordStart(now, job)
		out = append(out, job)
	}
	return out, held
}

// startProbe starts and returns a waiting job above the limit if the limiter asks for
// one to learn whether the limit could be higher; nil: none.
func (g *Gate) startProbe(now int64, limit int) *Job {
	if g.limiter == nil || g.running != limit || !g.allowsStart(now) || g.queue.len() == 0 || g.speed.InSlowPeriod() || !g.limiter.ShouldProbe(now) {
		return nil
	}
	job := g.queue.pop(now, g.serviceTime.current(now))
	g.recordStart(now, job)
	return job
}

// staysHeld reports whether a waiting job should not start although a slot is free,
// because it is expected to do better after the slow period, or because a run that starts
// now would end too late. In the latter case it waits for the end of the slow period, or
// until the owner withdraws it.
func (g *Gate) staysHeld(now int64, job *Job) bool {
	if _, worthHolding := g.shouldHold(now, job); worthHolding {
		return true
	}
	fc := forecast{canStart: true, runTime: g.expectedRunTime(now, job)}
	return g.speed.InSlowPeriod() && endsTooLate(now, job, fc) && !g.admitsLate(now, job, fc)
}

// DrainQueue removes and returns all waiting jobs and those that hold a place, for a
// backend server that accepts no more jobs; the owner must refuse them by
// Job.RefuseDrained.
func (g *Gate) DrainQueue() []*Job {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := append(g.queue.removeIf(func(*Job) bool { return true }), g.places...)
	g.places = nil
	g.discard(out...)
	return out
}

// Withdraw removes a waiting job, or releases the place of one whose body is on the way. It
// returns false if the job is neither.
func (g *Gate) Withdraw(job *Job) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.queue.remove(job) && !g.removePlace(job) {
		return false
	}
	g.discard(job)
	return true
}
