package gate

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test"
)

// callerKind is a group of simulated callers of one kind. A closed-loop caller sends its
// next request when it has the answer; with arrivals, requests come at random times.
type callerKind struct {
	callers int
	// arrivalsPerSecond is the rate of requests of a group without callers.
	arrivalsPerSecond float64
	timeout, target   time.Duration
	team              string
	nested            bool
	rank              uint16
}

// kindResult is what the callers of one kind got.
type kindResult struct {
	requests, inTime int
	// longestWait is the longest wait of a request that ran.
	longestWait time.Duration
}

// share returns the share of the requests that ended in time.
func (r kindResult) share() float64 { return float64(r.inTime) / float64(max(r.requests, 1)) }

// patienceSimulation simulates a gate of four slots with runs of 21 ms, and withdraws jobs at
// the end of their wait as the runner does.
type patienceSimulation struct {
	gate    *Gate
	random  *rand.Rand
	now     int64
	kinds   []callerKind
	results []kindResult
	ends    map[int64][]*Job
	kindOf  map[*Job]int
	// next holds the closed-loop requests that are sent in the next step.
	next []int
}

// simulatedRun is how long a simulated run takes.
const simulatedRun = 21 * time.Millisecond

// simulatePatience simulates 30 seconds of the kinds of callers.
func simulatePatience(order Order, seed uint64, kinds ...callerKind) []kindResult {
	s := &patienceSimulation{
		gate:   New(Options{Slots: 4, QueueLength: 200, QueueTime: 10 * time.Second, Order: order, SoftSlowdown: 1.8}),
		random: rand.New(rand.NewPCG(seed, 7)), now: int64(time.Second), kinds: kinds,
		results: make([]kindResult, len(kinds)), ends: map[int64][]*Job{}, kindOf: map[*Job]int{},
	}
	for kind, k := range kinds {
		for range k.callers {
			s.next = append(s.next, kind)
		}
	}
	for range 30 * 1000 {
		s.step()
	}
	return s.results
}

func (s *patienceSimulation) step() {
	s.now += ms
	for _, job := range s.ends[s.now] {
		s.answered(job)
		s.begin(s.gate.Finish(s.now, job, true))
	}
	delete(s.ends, s.now)
	waiting := slices.SortedFunc(slices.Values(s.gate.queue.main.jobs), func(a, b *Job) int { return cmp.Compare(a.seq, b.seq) })
	for _, job := range waiting {
		if job.startBy <= s.now && s.gate.Withdraw(job) {
			s.answered(job)
		}
	}
	next := s.next
	s.next = nil
	for _, kind := range next {
		s.send(kind)
	}
	for kind, k := range s.kinds {
		if s.random.Float64() < k.arrivalsPerSecond/1000 {
			s.send(kind)
		}
	}
}

// answered makes the closed-loop caller of a job send its next request.
func (s *patienceSimulation) answered(job *Job) {
	if kind := s.kindOf[job]; s.kinds[kind].callers > 0 {
		s.next = append(s.next, kind)
	}
	delete(s.kindOf, job)
}

func (s *patienceSimulation) send(kind int) {
	k := s.kinds[kind]
	s.results[kind].requests++
	job := &Job{
		Rank: k.rank, Team: k.team, Nested: k.nested, Work: simulatedRun,
		Deadline: s.now + int64(k.timeout), EndBy: s.now + int64(min(k.target, k.timeout)), Due: s.now + int64(k.target),
	}
	if k.nested {
		job.EndBy = job.Deadline
	}
	s.kindOf[job] = kind
	run, refusal := s.gate.Admit(s.now, job)
	switch {
	case refusal != nil:
		s.answered(job)
	case run:
		s.begin([]*Job{job})
	}
}

func (s *patienceSimulation) begin(jobs []*Job) {
	for _, job := range jobs {
		result := &s.results[s.kindOf[job]]
		result.longestWait = max(result.longestWait, job.WaitTime())
		if s.now+int64(simulatedRun) <= job.EndBy {
			result.inTime++
		}
		s.ends[s.now+int64(simulatedRun)] = append(s.ends[s.now+int64(simulatedRun)], job)
	}
}

// TestPatientCallersAreServed guards against requests that are refused at their target
// because all others, whose callers wait for less long, overtake them.
func TestPatientCallersAreServed(t *testing.T) {
	const target = time.Second
	for name, s := range map[string]struct {
		order  Order
		kind   callerKind
		others callerKind
	}{
		"one with 5 s":                {Ranked, callerKind{callers: 1, timeout: 5 * time.Second}, callerKind{callers: 12}},
		"one with 3.1 s":              {Ranked, callerKind{callers: 1, timeout: 3100 * time.Millisecond}, callerKind{callers: 12}},
		"one with 3 s":                {Ranked, callerKind{callers: 1, timeout: 3 * time.Second}, callerKind{callers: 12}},
		"eight of sixteen with 5 s":   {Ranked, callerKind{callers: 8, timeout: 5 * time.Second}, callerKind{callers: 8}},
		"twelve with 60 s":            {Ranked, callerKind{callers: 12, timeout: time.Minute}, callerKind{callers: 12}},
		"one with 5 s, all of a team": {Ranked, callerKind{callers: 1, timeout: 5 * time.Second, team: "a"}, callerKind{callers: 12, team: "a"}},
		"one call of a service, 5 s":  {Ranked, callerKind{callers: 1, timeout: 5 * time.Second, nested: true}, callerKind{callers: 12, nested: true}},
	} {
		t.Run(name, func(t *testing.T) {
			s.kind.target, s.others.target, s.others.timeout = target, target, 3*time.Second
			results := simulatePatience(s.order, 1, s.others, s.kind)
			others, patient := float64(results[0].inTime)/float64(s.others.callers), float64(results[1].inTime)/float64(s.kind.callers)
			t.Logf("in time per caller: 3 s %.0f, others %.0f; longest waits %v, %v", others, patient, results[0].longestWait, results[1].longestWait)
			test.GreaterEq(t, 0.9*others, patient)
			test.GreaterEq(t, 0.9*patient, others)
		})
	}
}

// TestTimeoutsAboveTheTargetDoNotMatter: at every load, callers with the same target are
// served alike, whatever their timeouts are.
func TestTimeoutsAboveTheTargetDoNotMatter(t *testing.T) {
	const target = time.Second
	for _, load := range []float64{0.8, 1, 1.3} {
		rate := load * 4 / simulatedRun.Seconds() / 2
		for _, nested := range []bool{false, true} {
			results := simulatePatience(Ranked, 3,
				callerKind{arrivalsPerSecond: rate, timeout: 3 * time.Second, target: target, nested: nested},
				callerKind{arrivalsPerSecond: rate, timeout: 5 * time.Second, target: target, nested: nested})
			t.Logf("load %.1f, nested %v: in time %.3f with 3 s, %.3f with 5 s; longest waits %v, %v", load, nested,
				results[0].share(), results[1].share(), results[0].longestWait, results[1].longestWait)
			test.GreaterEq(t, 0.9*results[0].share(), results[1].share())
			test.GreaterEq(t, 0.9*results[1].share(), results[0].share())
		}
	}
}

// TestTeamPaysForWhatItWasServedOnly guards against a team whose withdrawn requests count as
// served, so that it gets less the more of its requests wait in vain. A third of the load is of
// callers without a team.
func TestTeamPaysForWhatItWasServedOnly(t *testing.T) {
	for _, load := range []float64{0.8, 1.3, 2} {
		rate := load * 4 / simulatedRun.Seconds() / 3
		team := callerKind{arrivalsPerSecond: rate, timeout: 3 * time.Second, target: time.Second, team: "a"}
		other, without := team, team
		other.team, without.team = "b", ""
		for seed := range uint64(3) {
			results := simulatePatience(Ranked, seed, team, other, without)
			a, b := results[0].inTime, results[1].inTime
			t.Logf("load %.1f: served %d and %d of the teams, %d without a team", load, a, b, results[2].inTime)
			test.GreaterEq(t, 0.9*float64(max(a, b)), float64(min(a, b)))
		}
	}
}

// TestUrgentJobsStartFirst: lower ranks, calls of services and callers whose timeout is shorter
// than the target wait less than others, also at overload.
func TestUrgentJobsStartFirst(t *testing.T) {
	rate := 1.3 * 4 / simulatedRun.Seconds() / 4
	usual := callerKind{arrivalsPerSecond: rate, timeout: 3 * time.Second, target: time.Second, rank: 1}
	urgent, nested, short := usual, usual, usual
	urgent.rank, nested.nested, short.timeout = 0, true, 500*time.Millisecond
	results := simulatePatience(Ranked, 3, urgent, nested, short, usual)
	t.Logf("%+v", results)
	test.GreaterEq(t, 0.99, results[0].share())
	test.GreaterEq(t, 0.99, results[1].share())
	test.GreaterEq(t, 0.9*results[3].share(), results[2].share())
	test.Less(t, results[3].longestWait, results[2].longestWait)
}

// TestOvertakenJobsAreCounted: only starts of jobs that arrived later count.
func TestOvertakenJobsAreCounted(t *testing.T) {
	g := New(Options{Slots: 1, QueueLength: 10, QueueTime: time.Minute, Order: Ranked, SoftSlowdown: 1.8})
	now := int64(time.Second)
	newJob := func(rank uint16) *Job {
		job := &Job{Rank: rank, Work: simulatedRun, Deadline: now + int64(time.Minute), EndBy: now + int64(time.Minute)}
		_, refusal := g.Admit(now, job)
		test.Nil(t, refusal)
		return job
	}
	running, early, waiting, late := newJob(1), newJob(1), newJob(1), newJob(0)
	for range 2 {
		now += int64(simulatedRun)
		running = g.Finish(now, running, true)[0]
	}
	test.True(t, g.Withdraw(waiting))
	test.Eq(t, []int{1, 1, 0}, []int{early.Overtaken(), waiting.Overtaken(), late.Overtaken()})
}
