package gate

import (
	"time"

	"github.com/rushramp/rushramp/pkg/speed"
	"github.com/rushramp/rushramp/pkg/wire"
)

// Stamp returns the gate's report of its present load, as it is sent to other daemons.
func (g *Gate) Stamp(now int64) wire.Stamp {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := wire.Stamp{
		Seq:            g.stampSeq.Add(1),
		Running:        uint32(g.running),
		Queued:         uint32(g.waiting()),
		Limit:          uint32(g.limit(now)),
		ServiceUS:      uint32(min(g.serviceTime.current(now).Microseconds(), 1<<31)),
		Slowdown:       speed.ToPercent(g.speed.Slowdown()),
		NormalSlowdown: encodeNormalSlowdown(g.normalSlowdown(now)),
	}
	if g.startRate.limited {
		out.SetStartRate(g.startRate.perSecond, g.startRate.available(now, g.waiting()))
	}
	return out
}

// encodeNormalSlowdown returns a normal slowdown as stamps carry it: in percent, with 0
// for no slowdown, which saves a byte in most stamps.
func encodeNormalSlowdown(slowdown float64) uint32 {
	if slowdown <= 1 {
		return 0
	}
	return speed.ToPercent(slowdown)
}

// StalenessCost returns by how much the run time of a job that is admitted now differs
// from its expected run time, on average, because the backend server's speed may have
// changed since its newest report. It is 0 if the job could not start at once.
func (g *Gate) StalenessCost(now int64, job *Job) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.running >= g.limit(now) || g.startsExhausted(now) {
		return 0
	}
	return g.speed.StalenessCost(now, job.Work)
}

// AwaitsReport reports whether jobs wait although slots are free, for a report of the
// backend server that the owner should ask for: that a slow period has ended, or that
// the backend server is still warm.
func (g *Gate) AwaitsReport(now int64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.queue.len() == 0 || g.running >= g.limit(now) {
		return false
	}
	return !g.coldStarts.exhausted(now) && g.startRate.wait(now, 0) == 0
}

// InFlight returns the number of jobs at the gate: running, waiting and holding a
// place.
func (g *Gate) InFlight() int64 { return g.inFlight.Load() }

// UsableSlots returns how many jobs may run at once while the backend server works at
// normal speed.
func (g *Gate) UsableSlots() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.usableSlots()
}

// Slots returns the number of slots of the backend server.
func (g *Gate) Slots() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.slots
}

// MaxWait returns how much longer a waiting job may wait before the owner should
// withdraw it.
func (j *Job) MaxWait(now int64) time.Duration { return time.Duration(max(j.startBy-now, 0)) }

// StartBy returns the latest time at which it is worth starting a job that waits or holds
// a place, in nanoseconds.
func (j *Job) StartBy() int64 { return j.startBy }

// Held reports whether the job had to wait for the end of a slow period although a slot
// was free.
func (j *Job) Held() bool { return j.held }

// ConcurrencyAtStart returns how many jobs ran right after this one had started, itself
// included; 0: it has not started.
func (j *Job) ConcurrencyAtStart() int { return j.concurrency }

// Overtaken returns how many jobs that arrived later started while the job waited. It is
// settled once the job has started or was withdrawn.
func (j *Job) Overtaken() int { return j.overtaken }

// WaitTime returns how long a started job waited.
func (j *Job) WaitTime() time.Duration { return time.Duration(j.started - j.arrived) }
