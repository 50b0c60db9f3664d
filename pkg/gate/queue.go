package gate

import (
	"container/heap"
	"time"

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
	// Start runs the job, SendBack refuses one that waited. The gate's owner
	// calls them without the gate's lock.
	Start    func()
	SendBack func()

	arrived int64
	started int64
	seq     uint64
	index   int
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

func (self *jobHeap) Len() int           { return len(self.jobs) }
func (self *jobHeap) Less(i, j int) bool { return self.less(self.jobs[i], self.jobs[j]) }
func (self *jobHeap) Swap(i, j int) {
	self.jobs[i], self.jobs[j] = self.jobs[j], self.jobs[i]
	self.jobs[i].index = i
	self.jobs[j].index = j
}

func (self *jobHeap) Push(x any) {
	job := x.(*Job)
	job.index = len(self.jobs)
	self.jobs = append(self.jobs, job)
}

func (self *jobHeap) Pop() any {
	last := len(self.jobs) - 1
	job := self.jobs[last]
	self.jobs[last] = nil
	self.jobs = self.jobs[:last]
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
	self := &queue{order: order}
	self.main.less = lessOf(order)
	self.background.less = earlierArrival
	return self
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

func (self *queue) len() int { return self.main.Len() + self.background.Len() }

func (self *queue) heapOf(job *Job) *jobHeap {
	if self.order == Slack && job.Class == placement.Background {
		return &self.background
	}
	return &self.main
}

func (self *queue) push(job *Job) { heap.Push(self.heapOf(job), job) }

func (self *queue) remove(job *Job) bool {
	if job.index == notQueued {
		return false
	}
	heap.Remove(self.heapOf(job), job.index)
	return true
}

// takeIf takes out all jobs that a condition holds for.
func (self *queue) takeIf(cond func(*Job) bool) []*Job {
	var out []*Job
	for _, h := range []*jobHeap{&self.main, &self.background} {
		for _, job := range h.jobs {
			if cond(job) {
				out = append(out, job)
			}
		}
	}
	for _, job := range out {
		self.remove(job)
	}
	return out
}

// pop takes the job that starts next, or nil. service is the expected time of
// one run.
func (self *queue) pop(now int64, service time.Duration) *Job {
	if self.background.Len() > 0 && (self.main.Len() == 0 || self.hasSlack(now, service)) {
		return heap.Pop(&self.background).(*Job)
	}
	if self.main.Len() > 0 {
		return heap.Pop(&self.main).(*Job)
	}
	return nil
}

// hasSlack is true when the most pressing job would still end in time if one
// run went before it: runs are not preempted, so it may wait one run, and then
// needs its own.
func (self *queue) hasSlack(now int64, service time.Duration) bool {
	const runs = 2
	return self.main.jobs[0].Deadline-now > runs*int64(service)
}
