package gate

import (
	"container/heap"
	"time"

	"github.com/rushramp/rushramp/pkg/errkind"
	"github.com/rushramp/rushramp/pkg/placement"
)

// Order decides which waiting job starts first.
type Order string

// The orders. docs/design/gate.md compares them.
const (
	// FIFO starts jobs in the order of their arrival.
	FIFO Order = "fifo"
	// EDF starts the job with the earliest deadline first.
	EDF Order = "edf"
	// Priority starts jobs by their class, most urgent first.
	Priority Order = "priority"
	// Slack starts background jobs first while that endangers the deadline of no other
	// job. The idea is that of Bosch and Mullender, "Real-Time Disk Scheduling in a
	// Mixed-Media File System", section 3.2.
	Slack Order = "slack"
	// Ranked starts jobs by rank; those of one rank by Nested, the fair share of their
	// team and the time by which they should end, in this order.
	Ranked Order = "ranked"
)

// Job is one call or routed request at the gate. The owner sets the exported fields
// before Admit.
type Job struct {
	// Class orders jobs under Priority and Slack.
	Class placement.Class
	// Deadline is when the caller stops waiting, in nanoseconds.
	Deadline int64
	// MaxCost is the longest expected time until the end of the run, its wait included,
	// that the sender accepts; 0 or less: any.
	MaxCost time.Duration
	// Rank orders jobs under Ranked, 0 first.
	Rank uint16
	// Team is the team that sent the request; empty: none. Under Ranked, the teams share
	// the slots evenly among the jobs of one rank.
	Team string
	// Nested is true for a call that a backend server makes during a run. Under Ranked,
	// nested jobs start first among those of one rank, since the run that makes the call
	// keeps its slot until the call is answered.
	Nested bool
	// Work is the expected run time at a backend server at normal speed; 0: unknown, and
	// the gate uses its estimate of the service time of all jobs.
	Work time.Duration
	// Soft makes the gate refuse the job at once while the backend server is slowed or
	// nearly full.
	Soft bool
	// SameDataCentre is true for a sender in the backend server's data centre. Its soft
	// jobs may wait while fewer jobs run or wait than there are slots, since the next
	// backend server to try is farther away.
	SameDataCentre bool
	// EndBy is when a routed job should have ended, in nanoseconds. A job that is
	// expected to end later is refused while its sender can still try another backend
	// server. 0: no limit.
	EndBy int64
	// Due is the time by which the sender wants the run to end, in nanoseconds. Under Ranked it
	// orders jobs that are equal otherwise. 0: EndBy, or Deadline.
	Due int64
	// RateLimit is the rate limit of the backend server in requests per second that the
	// sender knows, 0 if it knows none. The gate uses it until the backend server has
	// responded.
	RateLimit float64
	// Start runs the job. RefuseOverMaxCost refuses a waiting job that Tick has removed
	// because its expected time exceeds its MaxCost. RefuseDrained refuses a waiting job
	// that DrainQueue has removed. The owner calls them, outside the gate's methods.
	Start             func()
	RefuseOverMaxCost func()
	RefuseDrained     func(why *errkind.Error)

	arrived int64
	started int64
	// startTag is the job's start tag in fair queueing among teams.
	startTag float64
	// startBy is the latest time at which it is worth starting a waiting job.
	startBy int64
	// overtaken is how many jobs that arrived later have started while the job waited.
	overtaken int
	seq       uint64
	index     int
	// transfer is the expected time until the body of a job that holds a place has
	// arrived, at least 1; 0 for other jobs.
	transfer time.Duration
	// reserved is true once Reserve has admitted the job.
	reserved bool
	// lateProbe is true if the job was last admitted as a late probe.
	lateProbe bool
	// held is true once the job had to wait for the end of a slow period although a slot
	// was free.
	held bool
	// concurrency is how many jobs ran right after this one had started, itself included.
	concurrency int
	// slowdown is the newest reported slowdown when the job started, slowdownFresh
	// whether that report was recent. inSlowPeriod is true for a start in a slow period.
	slowdown      float64
	slowdownFresh bool
	inSlowPeriod  bool
}

// notQueued is the index of a job that is not in the queue.
const notQueued = -1

// lessFunc reports whether a starts before b.
type lessFunc func(a, b *Job) bool

// jobHeap implements heap.Interface. Each job holds its index in the heap, so that a
// withdrawn one is removed in logarithmic time.
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

// queue holds the waiting jobs: under Slack, background jobs in a heap of their own, and
// all others in main.
type queue struct {
	order      Order
	main       jobHeap
	background jobHeap
}

func newQueue(order Order) *queue {
	q := &queue{order: order}
	q.main.less = lessFor(order)
	q.background.less = arrivedEarlier
	return q
}

// lessFor returns the comparison of an order. Jobs that are equal in it start in the
// order of their arrival.
func lessFor(order Order) lessFunc {
	switch order {
	case EDF, Slack:
		return func(a, b *Job) bool {
			if a.Deadline != b.Deadline {
				return a.Deadline < b.Deadline
			}
			return arrivedEarlier(a, b)
		}
	case Ranked:
		return func(a, b *Job) bool {
			if a.Rank != b.Rank {
				return a.Rank < b.Rank
			}
			if a.Nested != b.Nested {
				return a.Nested
			}
			if a.startTag != b.startTag {
				return a.startTag < b.startTag
			}
			if aDue, bDue := a.due(), b.due(); aDue != bDue {
				return aDue < bDue
			}
			return arrivedEarlier(a, b)
		}
	case Priority:
		return func(a, b *Job) bool {
			if a.Class != b.Class {
				return classRank(a.Class) < classRank(b.Class)
			}
			return arrivedEarlier(a, b)
		}
	}
	return arrivedEarlier
}

// due returns the time that orders a job under Ranked. It must not be later than the job's
// last moment in the queue: a job ordered by its deadline but withdrawn at its target is
// overtaken by all that arrive until then.
func (j *Job) due() int64 {
	switch {
	case j.Due != 0:
		return min(j.Due, j.Deadline)
	case j.EndBy != 0:
		return min(j.EndBy, j.Deadline)
	}
	return j.Deadline
}

func arrivedEarlier(a, b *Job) bool { return a.seq < b.seq }

// classRank returns the position of a class under Priority, 0 first.
func classRank(class placement.Class) int {
	switch class {
	case placement.Urgent:
		return 0
	case placement.Background:
		return 2
	}
	return 1
}

func (q *queue) len() int { return q.main.Len() + q.background.Len() }

func (q *queue) heapFor(job *Job) *jobHeap {
	if q.order == Slack && job.Class == placement.Background {
		return &q.background
	}
	return &q.main
}

func (q *queue) push(job *Job) { heap.Push(q.heapFor(job), job) }

// remove removes a job, and returns false if it is not in the queue.
func (q *queue) remove(job *Job) bool {
	h := q.heapFor(job)
	// The index of a job that was never admitted is 0, which may be that of another job.
	if job.index < 0 || job.index >= h.Len() || h.jobs[job.index] != job {
		return false
	}
	heap.Remove(h, job.index)
	return true
}

// removeIf removes and returns all jobs for which cond returns true.
func (q *queue) removeIf(cond func(*Job) bool) []*Job {
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

// pop removes and returns the job that starts next, or nil. runTime is the expected time
// of one run.
func (q *queue) pop(now int64, runTime time.Duration) *Job {
	if q.background.Len() > 0 && (q.main.Len() == 0 || q.hasSlack(now, runTime)) {
		return heap.Pop(&q.background).(*Job)
	}
	if q.main.Len() > 0 {
		return heap.Pop(&q.main).(*Job)
	}
	return nil
}

// countOvertaken counts for each waiting job that arrived before the given one that the
// latter has overtaken it.
func (q *queue) countOvertaken(by *Job) {
	for _, h := range []*jobHeap{&q.main, &q.background} {
		for _, job := range h.jobs {
			if job.seq < by.seq {
				job.overtaken++
			}
		}
	}
}

// popShorter removes and returns the first job with less work than the given, or nil if
// there is none.
func (q *queue) popShorter(work time.Duration) *Job {
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

// hasSlack reports whether the job in main with the earliest deadline still ends in time
// if one background job runs first: runs are not preempted, so it needs the time of two
// runs.
func (q *queue) hasSlack(now int64, runTime time.Duration) bool {
	const runs = 2
	return q.main.jobs[0].Deadline-now > runs*int64(runTime)
}
