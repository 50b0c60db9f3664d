package gate

import (
	"container/heap"
	"time"

	"github.com/rushramp/rushramp/pkg/errkind"
	"github.com/rushramp/rushramp/pkg/placement"
)

// Order says which waiting call starts first.
type Order string

// The orders. docs/design/gate.md compares them.
const (
	FIFO     Order = "fifo"
	EDF      Order = "edf"
	Priority Order = "priority"
	// Slack lets background calls go first only while no other call's deadline
	// is endangered by it. The idea is that of Bosch and Mullender, "Real-Time
	// Disk Scheduling in a Mixed-Media File System", section 3.2.
	Slack Order = "slack"
	// Ranked puts the rank of a routed request before its deadline.
	Ranked Order = "ranked"
)

// Job is one call at the gate. The fields in capitals are set by the caller.
type Job struct {
	// Class orders the job in the orders that look at it.
	Class placement.Class
	// Deadline is when the caller stops waiting, in nanoseconds.
	Deadline int64
	// MaxCost is the longest expected time at this gate, wait and run, that
	// the sender accepts. Zero or less: no bound.
	MaxCost time.Duration
	// Rank orders jobs of routed requests, 0 first; it goes before the deadline.
	Rank uint16
	// Team shares the slots with other teams of one rank evenly; empty: the job has none.
	Team string
	// Nested jobs go first among those of one rank: a service waits for each in
	// the middle of a run, with its slot held.
	Nested bool
	// Work is how long the job would run at a backend server that works as
	// usual; 0: the gate takes its own estimate of all jobs.
	Work time.Duration
	// Soft jobs are refused at once while the backend server is slowed or
	// nearly full.
	Soft bool
	// Near relaxes Soft to a free slot: the sender would pay for going on.
	Near bool
	// EndBy is when a routed job should have ended, in nanoseconds: one that
	// cannot is refused while another server may still take it. 0: no bound.
	EndBy int64
	// Start runs the job, SendBack refuses one that waited, and Dismiss one whose
	// backend server takes no more. The gate's owner calls them without the
	// gate's lock.
	Start    func()
	SendBack func()
	Dismiss  func(why *errkind.Error)

	arrived int64
	started int64
	// turn is the job's place among those of other teams.
	turn float64
	// startBy is until when a waiting job is worth starting.
	startBy int64
	seq     uint64
	index   int
	// held is true once the job had to wait for the end of a slow spell.
	held bool
	// atOnce is how many jobs ran when this one had started.
	atOnce int
	// slowdown is the one at which the job started, where fresh word told it;
	// inSpell is true where that was in a slow spell.
	slowdown float64
	fresh    bool
	inSpell  bool
}

// notQueued is the index of a job that does not wait.
const notQueued = -1

type lessFunc func(a, b *Job) bool

// jobHeap implements heap.Interface over jobs that know their place, so that
// a cancelled one is taken out in logarithmic time.
type jobHeap struct {
	jobs []*Job
	less lessFunc
}

func (jh *jobHeap) Len() int           { return len(jh.jobs) }
func (jh *jobHeap) Less(i, j int) bool { return jh.less(jh.jobs[i], jh.jobs[j]) }
func (jh *jobHeap) Swap(i, j int) {
	jh.jobs[i], jh.jobs[j] = jh.jobs[j], jh.jobs[i]
	jh.jobs[i].index = i
	jh.jobs[j].index = j
}

func (jh *jobHeap) Push(x any) {
	job := x.(*Job)
	job.index = len(jh.jobs)
	jh.jobs = append(jh.jobs, job)
}

func (jh *jobHeap) Pop() any {
	last := len(jh.jobs) - 1
	job := jh.jobs[last]
	jh.jobs[last] = nil
	jh.jobs = jh.jobs[:last]
	job.index = notQueued
	return job
}

// queue holds the waiting jobs. Only the slack order uses the second heap.
type queue struct {
	order      Order
	main       jobHeap
	background jobHeap
}

func newQueue(order Order) *queue {
	q := &queue{order: order}
	q.main.less = lessOf(order)
	q.background.less = earlierArrival
	return q
}

func lessOf(order Order) lessFunc {
	switch order {
	case EDF, Slack:
		return func(a, b *Job) bool {
			if a.Deadline != b.Deadline {
				return a.Deadline < b.Deadline
			}
			return earlierArrival(a, b)
		}
	case Ranked:
		return func(a, b *Job) bool {
			if a.Rank != b.Rank {
				return a.Rank < b.Rank
			}
			if a.Nested != b.Nested {
				return a.Nested
			}
			if a.turn != b.turn {
				return a.turn < b.turn
			}
			if a.Deadline != b.Deadline {
				return a.Deadline < b.Deadline
			}
			return earlierArrival(a, b)
		}
	case Priority:
		return func(a, b *Job) bool {
			if a.Class != b.Class {
				return rank(a.Class) < rank(b.Class)
			}
			return earlierArrival(a, b)
		}
	}
	return earlierArrival
}

func earlierArrival(a, b *Job) bool { return a.seq < b.seq }

// rank orders classes, most urgent first.
func rank(class placement.Class) int {
	switch class {
	case placement.Urgent:
		return 0
	case placement.Background:
		return 2
	}
	return 1
}

func (q *queue) len() int { return q.main.Len() + q.background.Len() }

func (q *queue) heapOf(job *Job) *jobHeap {
	if q.order == Slack && job.Class == placement.Background {
		return &q.background
	}
	return &q.main
}

// workAhead counts the waiting jobs that would start before one, and gives
// their expected work in all.
func (q *queue) workAhead(job *Job, expected func(*Job) time.Duration) (jobs int, work time.Duration) {
	for _, h := range []*jobHeap{&q.main, &q.background} {
		for _, other := range h.jobs {
			if h.less(other, job) {
				jobs++
				work += expected(other)
			}
		}
	}
	return jobs, work
}

func (q *queue) push(job *Job) { heap.Push(q.heapOf(job), job) }

// remove takes a job out; false when it does not wait, also where it was never
// admitted.
func (q *queue) remove(job *Job) bool {
	h := q.heapOf(job)
	if job.index < 0 || job.index >= h.Len() || h.jobs[job.index] != job {
		return false
	}
	heap.Remove(h, job.index)
	return true
}

// takeIf takes out all jobs that a condition holds for.
func (q *queue) takeIf(cond func(*Job) bool) []*Job {
	var out []*Job
	for _, h := range []*jobHeap{&q.main, &q.background} {
		for _, job := range h.jobs {
			if cond(job) {
				out = append(out, job)
			}
		}
	}
	for _, job := range out {
		q.remove(job)
	}
	return out
}

// pop takes the job that starts next, or nil. service is the expected time of
// one run.
func (q *queue) pop(now int64, service time.Duration) *Job {
	if q.background.Len() > 0 && (q.main.Len() == 0 || q.hasSlack(now, service)) {
		return heap.Pop(&q.background).(*Job)
	}
	if q.main.Len() > 0 {
		return heap.Pop(&q.main).(*Job)
	}
	return nil
}

// takeShorter takes out the first job that runs for less than a time, or nil.
func (q *queue) takeShorter(work time.Duration) *Job {
	for _, h := range []*jobHeap{&q.main, &q.background} {
		var first *Job
		for _, job := range h.jobs {
			if job.Work < work && (first == nil || h.less(job, first)) {
				first = job
			}
		}
		if first != nil {
			heap.Remove(h, first.index)
			return first
		}
	}
	return nil
}

// hasSlack is true when the most pressing job would still end in time if one
// run went before it: runs are not preempted, so it may wait one run, and then
// needs its own.
func (q *queue) hasSlack(now int64, service time.Duration) bool {
	const runs = 2
	return q.main.jobs[0].Deadline-now > runs*int64(service)
}
