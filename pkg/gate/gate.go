// Package gate decides which jobs run on the daemon's backend server: it starts, queues
// or refuses each of them. A job is one call or request; the owner of the gate runs it.
// Times are nanoseconds of a monotonic clock that the owner passes in.
// Source: docs/design/gate.md.
package gate

import (
	"container/heap"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rushramp/rushramp/pkg/concurrency"
	"github.com/rushramp/rushramp/pkg/speed"
)

// Options configures a gate.
type Options struct {
	// Slots is how many jobs the backend server runs at once.
	Slots int
	// QueueLength is how many jobs may wait, QueueTime the longest expected wait with
	// which a job is admitted.
	QueueLength int
	QueueTime   time.Duration
	Order       Order
	// Adaptive lowers the number of jobs that run at once while runs take notably longer
	// than on average.
	Adaptive bool
	// SoftSlowdown is the reported slowdown, 1 at normal speed, above which soft jobs are
	// refused.
	SoftSlowdown float64
	// UsableShare is the share of the slots that the gate uses, up to 1; 0 stands for 1.
	// It may be less because a nearly full backend server slows down all its runs.
	UsableShare float64
	// LearnLimit makes UsableShare the initial value only: the gate learns from its runs
	// how many jobs may run at once before they slow one another down.
	LearnLimit bool
	// Restarted is true when an earlier process of the daemon may have started jobs.
	// RestartAfter is the least time between the end of that process and the start of
	// this one.
	Restarted    bool
	RestartAfter time.Duration
}

// Gate is the gate of one backend server. It is safe for concurrent use.
type Gate struct {
	opts Options

	mu      sync.Mutex
	running int
	queue   *queue
	// places are the jobs whose bodies are on the way, in the order of their arrival. They
	// count as waiting jobs but cannot start.
	places      []*Job
	serviceTime serviceTimeEstimator
	jobSeq      uint64
	// slots is the number of slots that the backend server reported last, at first that
	// of the options.
	slots int
	// limiter learns how many jobs may run at once; nil without Options.LearnLimit.
	limiter *concurrency.Limiter
	// speed models the speed of the backend server from the slowdowns that it reports.
	speed *speed.Model
	// lastLateProbe is when the last late probe was admitted.
	lastLateProbe int64
	// fairness orders the jobs of different teams.
	fairness fairQueueing
	// coldStarts limits the starts while the backend server is cold.
	coldStarts coldStartLimiter
	// startRate limits the rate of starts to that which the backend server takes.
	startRate startRate

	stampSeq atomic.Uint64
	// inFlight is the number of running and waiting jobs and of places, readable without mu.
	inFlight atomic.Int64
}

// New returns a gate.
func New(opts Options) *Gate {
	if opts.UsableShare == 0 {
		opts.UsableShare = 1
	}
	g := &Gate{opts: opts, queue: newQueue(opts.Order), slots: opts.Slots, speed: speed.NewModel(), lastLateProbe: -lateProbeInterval}
	g.resetLimiter()
	return g
}

// SetSlots changes the number of slots to n, or 1 if n is less. Jobs that may start now
// are returned by the next Tick.
func (g *Gate) SetSlots(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if n = max(n, 1); n != g.slots {
		g.slots = n
		g.resetLimiter()
	}
}

// ObserveSlowdown stores a slowdown that the backend server reports, 1 at normal speed.
// It returns the jobs that the owner must start now, such as those that were held until
// a slow period ended.
func (g *Gate) ObserveSlowdown(now int64, slowdown float64) []*Job {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.speed.ObserveSlowdown(now, slowdown)
	return g.startWaiting(now)
}

// recordStart records that a job starts now.
func (g *Gate) recordStart(now int64, job *Job) {
	g.running++
	g.queue.countOvertaken(job)
	g.fairness.recordStart(job)
	g.coldStarts.record(now)
	g.startRate.record(now)
	job.started = now
	job.concurrency = g.running
	job.slowdown, job.slowdownFresh = g.speed.SlowdownAtStart(now)
	job.inSlowPeriod = g.speed.InSlowPeriod()
	g.serviceTime.start(now)
}

// discard records that admitted jobs, which neither wait nor hold a place any more, will not
// run.
func (g *Gate) discard(jobs ...*Job) {
	g.inFlight.Add(-int64(len(jobs)))
	for _, job := range jobs {
		if g.fairness.refund(job, g.queue.main.jobs, g.queue.background.jobs, g.places) {
			heap.Init(&g.queue.main)
		}
	}
}

// Finish records that a job has ended, and returns the jobs that the owner must start
// now. representative is false when the run tells nothing about the service time, as
// when it was cancelled or failed at once.
func (g *Gate) Finish(now int64, job *Job, representative bool) []*Job {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	g.inFlight.Add(-1)
	g.serviceTime.end(now, job.started, representative)
	if representative && job.slowdownFresh && job.Work > 0 {
		g.learnFromRun(now, job)
	}
	return g.startWaiting(now)
}
