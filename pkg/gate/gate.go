// Package gate admits calls to the one backend server beside the daemon: it
// runs, queues or refuses them. It decides only; its owner runs the jobs.
// Times are nanoseconds of a steady clock, handed in by the owner.
// Source: docs/design/gate.md.
package gate

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rushramp/rushramp/pkg/concurrency"
	"github.com/rushramp/rushramp/pkg/speed"
	"github.com/rushramp/rushramp/pkg/wire"
)

// patience is by how much the expected time of a waiting call may exceed what
// its sender accepts before it is sent back: it was not run, and another
// server may take it.
const patience = 1.5

// slowTolerance is how many times slower than usual the backend server may be
// before the limit falls below the slots.
const slowTolerance = 2.2

// Options are the gate's settings.
type Options struct {
	Slots       int
	QueueLength int
	QueueTime   time.Duration
	Order       Order
	Adaptive    bool
	// SoftSlowdown is the slowdown, 1 for none, above which soft jobs are
	// refused.
	SoftSlowdown float64
	// Use is the share of the slots that the gate uses, up to 1; 0 stands for 1. Work
	// slows for all runs of a backend server that is nearly full.
	Use float64
	// Learn makes Use the start only: the gate learns from its runs how many go on
	// at once before work slows.
	Learn bool
}

// Gate is the gate of one backend server. It is safe for concurrent use.
type Gate struct {
	opts Options

	mu       sync.Mutex
	running  int
	queue    *queue
	estimate estimate
	jobSeq   uint64
	// slots may change: the backend server says how many it has.
	slots int
	// limiter learns how many jobs run at once where Options.Learn is set; else it
	// is nil.
	limiter *concurrency.Limiter
	// speed is what is known of the backend server's speed, from its own word.
	speed *speed.Model
	// probedAt is when a job was last admitted that was expected to be late.
	probedAt int64

	stampSeq atomic.Uint64
	// inFlight repeats running plus queued for readers without the lock.
	inFlight atomic.Int64
}

// New makes a gate.
func New(opts Options) *Gate {
	if opts.Use == 0 {
		opts.Use = 1
	}
	g := &Gate{opts: opts, queue: newQueue(opts.Order), slots: opts.Slots, speed: speed.NewModel(), probedAt: -probeEvery}
	g.newLimiter()
	return g
}

// newLimiter begins to learn anew, for another number of slots.
func (g *Gate) newLimiter() {
	if g.opts.Learn {
		g.limiter = concurrency.NewLimiter(g.slots, g.share())
	}
}

// SetSlots changes how many jobs run at once; the owner starts those that this
// frees at its next tick.
func (g *Gate) SetSlots(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if n = max(n, 1); n != g.slots {
		g.slots = n
		g.newLimiter()
	}
}

// Report takes over what the backend server says of its speed, 1: as usual. It
// returns the jobs that the owner must start now: those that were held until a
// slow spell ended.
func (g *Gate) Report(now int64, slowdown float64) []*Job {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.speed.Report(now, slowdown)
	return g.startWaiting(now)
}

func (g *Gate) begin(now int64, job *Job) {
	g.running++
	job.started = now
	job.atOnce = g.running
	job.slowdown, job.fresh = g.speed.Start(now)
	job.inSpell = g.speed.InSpell()
	g.estimate.start(now)
}

// Finish notes that a job ended and returns the jobs that the owner must start
// now. counts is false when the run says nothing of the service time, as when
// it was cancelled or failed at once.
func (g *Gate) Finish(now int64, job *Job, counts bool) []*Job {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	g.inFlight.Add(-1)
	g.estimate.end(now, job.started, counts)
	if counts && job.fresh && job.Work > 0 {
		g.learn(now, job)
	}
	return g.startWaiting(now)
}

// learn takes over how long a run took that started on fresh word.
func (g *Gate) learn(now int64, job *Job) {
	ratio := float64(now-job.started) / float64(job.Work)
	if job.inSpell {
		g.speed.Ran(job.slowdown, ratio)
		return
	}
	if g.limiter != nil {
		g.limiter.Ran(now, job.atOnce, ratio/job.slowdown)
	}
}

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

func (g *Gate) startWaiting(now int64) []*Job {
	var out, held []*Job
	limit := g.limit(now)
	for g.running < limit {
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
	for _, job := range held {
		g.queue.push(job)
	}
	if probe := g.probe(now, limit); probe != nil {
		out = append(out, probe)
	}
	return out
}

// probe starts a waiting job over the limit where that tells whether the limit
// could be higher; nil: it does not.
func (g *Gate) probe(now int64, limit int) *Job {
	if g.limiter == nil || g.running != limit || g.queue.len() == 0 || g.speed.InSpell() || !g.limiter.Probes(now) {
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
	return g.speed.InSpell() && tooLate(now, job, at) && !g.takesLate(now, job, at)
}

// TakeWaiting takes all waiting jobs out, for a backend server that takes no
// more; the owner dismisses them.
func (g *Gate) TakeWaiting() []*Job {
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

// limit is how many calls run at once: the share of the slots in use, or fewer
// while a neighbour slows the backend server, so that less work is stuck behind
// it.
func (g *Gate) limit(now int64) int {
	usable := g.usable()
	if !g.opts.Adaptive {
		return usable
	}
	slowness := g.estimate.slowness(now)
	if slowness <= slowTolerance {
		return usable
	}
	return max(1, int(float64(usable)*slowTolerance/slowness))
}

// leastUse is the share of the slots below which leaving the others unused costs
// more than work that is slowed: with two slots, one is less than two that take
// 1.7 times as long.
const leastUse = 0.6

// usable is how many jobs run at once at a backend server that works as usual.
func (g *Gate) usable() int {
	if g.limiter != nil {
		return g.limiter.Limit()
	}
	return g.share()
}

// share is the share of the slots that is used where nothing is learnt.
func (g *Gate) share() int {
	usable := int(g.opts.Use * float64(g.slots))
	if float64(usable) < leastUse*float64(g.slots) {
		return g.slots
	}
	return usable
}

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
		Slowdown:  speed.Percent(g.speed.Slowdown()),
	}
}

// Doubt is by how much longer the run of a job that is admitted now must be
// expected to take, since the newest word on the backend server's speed is old; 0
// where it could not start at once.
func (g *Gate) Doubt(now int64, job *Job) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.running >= g.limit(now) {
		return 0
	}
	return g.speed.Doubt(now, job.Work)
}

// Holds is true while jobs wait although slots are free: for the end of a slow
// spell, which the owner should look for.
func (g *Gate) Holds(now int64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.len() > 0 && g.running < g.limit(now)
}

// InFlight counts the jobs at the gate, running and waiting.
func (g *Gate) InFlight() int64 { return g.inFlight.Load() }

// Slowed is true while the backend server is notably slower than usual.
func (g *Gate) Slowed(now int64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.estimate.slowness(now) > slowTolerance
}

// Usable is how many jobs run at once at a backend server that works as usual.
func (g *Gate) Usable() int {
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

// Patience is how long a job that waits may go on waiting.
func (j *Job) Patience(now int64) time.Duration { return time.Duration(max(j.startBy-now, 0)) }

// Held is true when the job had to wait for the end of a slow spell although a
// slot was free.
func (j *Job) Held() bool { return j.held }

// AtOnce is how many jobs ran when this one had started, itself among them; 0:
// it did not start.
func (j *Job) AtOnce() int { return j.atOnce }

// Queued returns how long a started job waited.
func (j *Job) Queued() time.Duration { return time.Duration(j.started - j.arrived) }
