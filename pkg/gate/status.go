package gate

import (
	"time"

	"github.com/rushramp/rushramp/pkg/speed"
	"github.com/rushramp/rushramp/pkg/wire"
)

// Stamp reports the load now.
func (g *Gate) Stamp(now int64) wire.Stamp {
	g.mu.Lock()
	defer g.mu.Unlock()
	return wire.Stamp{
		Seq:       g.stampSeq.Add(1),
		Running:   uint32(g.running),
		Queued:    uint32(g.queue.len()),
		Limit:     uint32(g.limit(now)),
		ServiceUS: uint32(min(g.estimate.service(now).Microseconds(), 1<<31)),
		Slowdown:  speed.ToPercent(g.speed.Slowdown()),
		Usual:     usualOf(g.usualSlowdown(now)),
	}
}

// usualOf is a usual slowdown as stamps carry it: 0 for none, to save a byte on
// most of them.
func usualOf(slowdown float64) uint32 {
	if slowdown <= 1 {
		return 0
	}
	return speed.ToPercent(slowdown)
}

// StalenessCost is by how much longer the run of a job that is admitted now must be
// expected to take, since the newest word on the backend server's speed is old; 0
// where it could not start at once.
func (g *Gate) StalenessCost(now int64, job *Job) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.running >= g.limit(now) || g.bearsNoStart(now) {
		return 0
	}
	return g.speed.StalenessCost(now, job.Work)
}

// AwaitsReport is true while jobs wait although slots are free, for a word of the backend
// server that the owner should ask for: that a slow spell has ended, or that it is
// still warm.
func (g *Gate) AwaitsReport(now int64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.queue.len() == 0 || g.running >= g.limit(now) {
		return false
	}
	return !g.bearsNoStart(now)
}

// InFlight counts the jobs at the gate, running and waiting.
func (g *Gate) InFlight() int64 { return g.inFlight.Load() }

// Slowed is true while the backend server is notably slower than usual.
func (g *Gate) Slowed(now int64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.estimate.slowness(now) > slowTolerance
}

// UsableSlots is how many jobs run at once at a backend server that works as usual.
func (g *Gate) UsableSlots() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.usable()
}

// Slots returns the number of slots.
func (g *Gate) Slots() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.slots
}

// MaxWait is how long a job that waits may go on waiting.
func (j *Job) MaxWait(now int64) time.Duration { return time.Duration(max(j.startBy-now, 0)) }

// Held is true when the job had to wait for the end of a slow spell although a
// slot was free.
func (j *Job) Held() bool { return j.held }

// ConcurrencyAtStart is how many jobs ran when this one had started, itself among them; 0:
// it did not start.
func (j *Job) ConcurrencyAtStart() int { return j.atOnce }

// WaitTime returns how long a started job waited.
func (j *Job) WaitTime() time.Duration { return time.Duration(j.started - j.arrived) }
