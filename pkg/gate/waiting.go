package gate

import "time"

// patience is by how much the expected time of a waiting call may exceed what
// its sender accepts before it is sent back: it was not run, and another
// server may take it.
const patience = 1.5

// Tick starts waiting jobs when the limit rose since the last call, and takes
// out those that wait behind a server that has slowed since they came, while
// their sender knows of a better one. The owner refuses them as not run.
func (g *Gate) Tick(now int64) (start, sendBack []*Job) {
	if g.inFlight.Load() == 0 {
		return nil, nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	start = g.startWaiting(now)
	if g.estimate.slowness(now) > slowTolerance {
		sendBack = g.takeImpatient(now)
	}
	return start, sendBack
}

func (g *Gate) takeImpatient(now int64) []*Job {
	service := g.estimate.service(now)
	wait := service * time.Duration(g.queue.len()) / time.Duration(g.limit(now))
	out := g.queue.takeIf(func(j *Job) bool {
		return j.MaxCost > 0 && float64(wait+service) > patience*float64(j.MaxCost)
	})
	g.inFlight.Add(-int64(len(out)))
	return out
}

// mostHeldLooks is how many jobs that stay held are looked at for one that could
// start, and then of shorter ones. Backend servers of the users' sites have 6 to 18
// slots, so that more than these could hardly start at once; those behind the first
// that run as long are much like them, and a word on the speed comes with each answer.
const mostHeldLooks = 8

func (g *Gate) startWaiting(now int64) []*Job {
	var out, held []*Job
	limit := g.limit(now)
	for g.running < limit && len(held) < mostHeldLooks && g.mayStart(now) {
		job := g.queue.pop(now, g.estimate.service(now))
		if job == nil {
			break
		}
		if g.staysHeld(now, job) {
			job.held = true
			held = append(held, job)
			continue
		}
		g.begin(now, job)
		out = append(out, job)
	}
	if len(held) >= mostHeldLooks {
		out, held = g.startShorter(now, limit, out, held)
	}
	for _, job := range held {
		g.queue.push(job)
	}
	if probe := g.probe(now, limit); probe != nil {
		out = append(out, probe)
	}
	return out
}

// startShorter goes on behind many held jobs: what runs for less time than all of
// them gains less by waiting. Each look that starts nothing shortens what
// is looked for; there are half as many as of the first ones.
func (g *Gate) startShorter(now int64, limit int, out, held []*Job) (started, stillHeld []*Job) {
	shortest := held[0].Work
	for _, job := range held {
		shortest = min(shortest, job.Work)
	}
	for looks := 0; looks < mostHeldLooks/2 && g.running < limit && g.mayStart(now); {
		job := g.queue.takeShorter(shortest)
		if job == nil {
			break
		}
		if g.staysHeld(now, job) {
			job.held = true
			held, shortest = append(held, job), job.Work
			looks++
			continue
		}
		g.begin(now, job)
		out = append(out, job)
	}
	return out, held
}

// probe starts a waiting job over the limit where that tells whether the limit
// could be higher; nil: it does not.
func (g *Gate) probe(now int64, limit int) *Job {
	if g.limiter == nil || g.running != limit || !g.mayStart(now) || g.queue.len() == 0 || g.speed.InSlowPeriod() || !g.limiter.ShouldProbe(now) {
		return nil
	}
	job := g.queue.pop(now, g.estimate.service(now))
	g.begin(now, job)
	return job
}

// staysHeld is true while a waiting job should not start although a slot is free.
// In a spell that outlasts what was expected, a job whose slowed run would end
// too late goes on waiting: for the spell's end, or until it can still be refused
// in time.
func (g *Gate) staysHeld(now int64, job *Job) bool {
	if _, hold := g.holds(now, job); hold {
		return true
	}
	at := outlook{free: true, service: g.expected(now, job)}
	return g.speed.InSlowPeriod() && tooLate(now, job, at) && !g.takesLate(now, job, at)
}

// DrainQueue takes all waiting jobs out, for a backend server that takes no
// more; the owner dismisses them.
func (g *Gate) DrainQueue() []*Job {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := g.queue.takeIf(func(*Job) bool { return true })
	g.inFlight.Add(-int64(len(out)))
	return out
}

// Withdraw takes a waiting job out; false when it does not wait any more.
func (g *Gate) Withdraw(job *Job) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.queue.remove(job) {
		return false
	}
	g.inFlight.Add(-1)
	return true
}
