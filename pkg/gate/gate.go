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
)

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
	// SlotShare is the share of the slots that the gate uses, up to 1; 0 stands for 1. Work
	// slows for all runs of a backend server that is nearly full.
	SlotShare float64
	// LearnLimit makes Use the start only: the gate learns from its runs how many go on
	// at once before work slows.
	LearnLimit bool
	// Restarted is true where another process of the daemon may have started jobs
	// before this one, and RestartAfter how long before this one it had ended at
	// least.
	Restarted    bool
	RestartAfter time.Duration
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
	// turns shares the slots out among teams.
	turns fairTurns
	// cold bounds the starts at a cold backend server.
	cold coldStarts

	stampSeq atomic.Uint64
	// inFlight repeats running plus queued for readers without the lock.
	inFlight atomic.Int64
}

// New makes a gate.
func New(opts Options) *Gate {
	if opts.SlotShare == 0 {
		opts.SlotShare = 1
	}
	g := &Gate{opts: opts, queue: newQueue(opts.Order), slots: opts.Slots, speed: speed.NewModel(), probedAt: -probeEvery}
	g.newLimiter()
	return g
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

// ObserveSlowdown takes over what the backend server says of its speed, 1: as usual. It
// returns the jobs that the owner must start now: those that were held until a
// slow spell ended.
func (g *Gate) ObserveSlowdown(now int64, slowdown float64) []*Job {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.speed.ObserveSlowdown(now, slowdown)
	return g.startWaiting(now)
}

func (g *Gate) begin(now int64, job *Job) {
	g.running++
	g.turns.started(job)
	g.cold.note(now)
	job.started = now
	job.atOnce = g.running
	job.slowdown, job.fresh = g.speed.SlowdownAtStart(now)
	job.inSpell = g.speed.InSlowPeriod()
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
