// Package gate admits calls to the one backend server beside the daemon: it
// runs, queues or refuses them. It decides only; its owner runs the jobs.
// Times are nanoseconds of a steady clock, handed in by the owner.
// Source: docs/design/gate.md.
package gate

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rushramp/rushramp/pkg/errkind"
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
}

// Gate is the gate of one backend server. It is safe for concurrent use.
type Gate struct {
	opts Options

	mu       sync.Mutex
	running  int
	queue    *queue
	estimate estimate
	jobSeq   uint64

	stampSeq atomic.Uint64
	// inFlight repeats running plus queued for readers without the lock.
	inFlight atomic.Int64
}

// New makes a gate.
func New(opts Options) *Gate {
	return &Gate{opts: opts, queue: newQueue(opts.Order)}
}

// Admit takes a job in. run is true when the owner must start it now; false
// with no error means that it waits, and a later Finish hands it out.
func (g *Gate) Admit(now int64, job *Job) (run bool, refusal *errkind.Error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	job.arrived = now
	job.index = notQueued
	g.jobSeq++
	job.seq = g.jobSeq
	service := g.estimate.service(now)
	limit := g.limit(now)
	free := g.running < limit && g.queue.len() == 0
	if refusal := g.check(now, job, service, limit, free); refusal != nil {
		return false, refusal
	}
	g.inFlight.Add(1)
	if free {
		g.begin(now, job)
		return true, nil
	}
	g.queue.push(job)
	return false, nil
}

func (g *Gate) check(now int64, job *Job, service time.Duration, limit int, free bool) *errkind.Error {
	var wait time.Duration
	if !free {
		wait = service * time.Duration(g.queue.len()+1) / time.Duration(limit)
	}
	switch {
	case job.Deadline <= now:
		return errkind.New(errkind.DeadlineBeforeRun, "no time was left at the gate")
	case job.MaxCost > 0 && wait+service > job.MaxCost:
		return errkind.New(errkind.GateBusier, "its expected time is over the bound that came with the call")
	case free:
		return nil
	case g.queue.len() >= g.opts.QueueLength:
		return errkind.New(errkind.Overloaded, "the queue is full")
	case wait > g.opts.QueueTime:
		return errkind.New(errkind.Overloaded, "the expected wait of %v is over the bound", wait)
	case now+int64(wait) >= job.Deadline:
		return errkind.New(errkind.Overloaded, "the expected wait of %v is longer than the time left", wait)
	}
	return nil
}

func (g *Gate) begin(now int64, job *Job) {
	g.running++
	job.started = now
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
	return g.startWaiting(now)
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
	var out []*Job
	limit := g.limit(now)
	for g.running < limit {
		job := g.queue.pop(now, g.estimate.service(now))
		if job == nil {
			break
		}
		g.begin(now, job)
		out = append(out, job)
	}
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

// limit is how many calls run at once: the slots, or fewer while a neighbour
// slows the backend server, so that less work is stuck behind it.
func (g *Gate) limit(now int64) int {
	if !g.opts.Adaptive {
		return g.opts.Slots
	}
	slowness := g.estimate.slowness(now)
	if slowness <= slowTolerance {
		return g.opts.Slots
	}
	return max(1, int(float64(g.opts.Slots)*slowTolerance/slowness))
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
	}
}

// InFlight counts the jobs at the gate, running and waiting.
func (g *Gate) InFlight() int64 { return g.inFlight.Load() }

// Slowed is true while the backend server is notably slower than usual.
func (g *Gate) Slowed(now int64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.estimate.slowness(now) > slowTolerance
}

// Slots returns the number of slots.
func (g *Gate) Slots() int { return g.opts.Slots }

// Queued returns how long a started job waited.
func (j *Job) Queued() time.Duration { return time.Duration(j.started - j.arrived) }
