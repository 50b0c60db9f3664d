package gate

import (
	"slices"
	"time"

	"github.com/rushramp/rushramp/pkg/errkind"
)

// Reserve is the counterpart of Admit for a job whose body has not arrived. transfer is the
// expected time until the body has arrived; 0: unknown. An admitted job holds a place: it counts
// as a waiting job but occupies no slot and does not start. Its owner calls Admit when the body
// has arrived, or Release.
func (g *Gate) Reserve(now int64, job *Job, transfer time.Duration) *errkind.Error {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.enter(now, job)
	job.transfer = max(transfer, 1)
	fc := g.forecastFor(now, job)
	if refusal := g.refusalFor(now, job, fc); refusal != nil {
		return refusal
	}
	g.inFlight.Add(1)
	g.fairness.charge(job)
	job.reserved = true
	job.startBy = startBy(job, fc)
	g.places = append(g.places, job)
	return nil
}

// admitReserved is Admit for a job that Reserve has admitted.
func (g *Gate) admitReserved(now int64, job *Job) (run bool, refusal *errkind.Error) {
	if !g.removePlace(job) {
		return false, errkind.New(errkind.Overloaded, "the place of the request was released before its body had arrived")
	}
	job.arrived, job.transfer = now, 0
	fc := g.forecastFor(now, job)
	if refusal := g.lateRefusalFor(now, job, fc); refusal != nil {
		g.discard(job)
		return false, refusal
	}
	return g.startOrQueue(now, job, fc), nil
}

// lateRefusalFor returns the error for a job that would end too late; nil: it would not, or is
// admitted all the same. A late probe that held a place still starts if it can: refused here, it
// could not correct an estimate of the work that is too long.
func (g *Gate) lateRefusalFor(now int64, job *Job, fc forecast) *errkind.Error {
	probes := job.lateProbe && fc.canStart && !fc.held
	switch {
	case job.Deadline <= now:
		return errkind.New(errkind.DeadlineBeforeRun, "the deadline had passed when the body of the request had arrived")
	case !probes && endsTooLate(now, job, fc) && !g.admitsLate(now, job, fc), now+int64(fc.wait) >= job.Deadline:
		return errTooLate(job, fc)
	}
	return nil
}

// Release releases the place of a job whose body will not arrive. It returns false if the
// job has no place.
func (g *Gate) Release(job *Job) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.removePlace(job) {
		return false
	}
	g.discard(job)
	return true
}

// ReleasePlaces removes and returns all jobs that hold a place; the owner must refuse
// them by Job.RefuseDrained.
func (g *Gate) ReleasePlaces() []*Job {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := g.places
	g.places = nil
	g.discard(out...)
	return out
}

// removePlace removes the place of a job, and returns false if it has none.
func (g *Gate) removePlace(job *Job) bool {
	i := slices.Index(g.places, job)
	if i < 0 {
		return false
	}
	g.places = slices.Delete(g.places, i, i+1)
	return true
}

// waiting returns the number of waiting jobs and of places.
func (g *Gate) waiting() int { return g.queue.len() + len(g.places) }

// workAhead returns the number of waiting jobs and places that come before a job, and the
// sum of their run times as runTime gives them.
func (g *Gate) workAhead(job *Job, runTime func(*Job) time.Duration) (jobs int, work time.Duration) {
	count := func(others []*Job, less lessFunc) {
		for _, other := range others {
			if less(other, job) {
				jobs++
				work += runTime(other)
			}
		}
	}
	count(g.queue.main.jobs, g.queue.main.less)
	count(g.queue.background.jobs, g.queue.background.less)
	count(g.places, g.queue.main.less)
	return jobs, work
}
