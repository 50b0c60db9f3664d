package gate

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test"
)

// simulateTeams simulates a gate with 18 slots and runs of 200 ms for 20 seconds. The
// usual load is four fifths of what the gate can run, from 72 small teams and a large one
// that sends as much as ten of these. In the simulation the large team sends twelve times
// its usual load, and the others theirs. simulateTeams returns the share of the requests
// of each small team that end in time, the least first, and that of the large team. When
// withTeams is false, the jobs carry no team, so that there is no fair queueing.
func simulateTeams(seed uint64, withTeams bool) (small []float64, large float64) {
	const (
		slots, smallTeams, seconds = 18, 72, 20
		work                       = 200 * time.Millisecond
		target                     = 600 * time.Millisecond
		step                       = int64(time.Millisecond)
	)
	ratePerTeam := 0.8 * slots / work.Seconds() / (smallTeams + 10)
	g := New(Options{Slots: slots, QueueLength: 200, QueueTime: time.Second, Order: Ranked, SoftSlowdown: 1.8})
	random := rand.New(rand.NewPCG(seed, 2))
	var requests, served [smallTeams + 1]int
	ends := map[int64][]*Job{}
	var start func(now int64, team int, job *Job)
	begin := func(now int64, jobs []*Job) {
		for _, job := range jobs {
			job.Start()
		}
	}
	start = func(now int64, team int, job *Job) {
		if now+int64(work) <= job.EndBy {
			served[team]++
		}
		ends[now+int64(work)] = append(ends[now+int64(work)], job)
	}
	now := int64(time.Second)
	for range seconds * 1000 {
		now += step
		for _, job := range ends[now] {
			begin(now, g.Finish(now, job, true))
		}
		delete(ends, now)
		for team := range smallTeams + 1 {
			rate := ratePerTeam
			if team == smallTeams {
				rate = 12 * 10 * ratePerTeam
			}
			if random.Float64() >= rate*time.Duration(step).Seconds() {
				continue
			}
			requests[team]++
			job := &Job{Rank: 1, Deadline: now + 4*int64(target), EndBy: now + int64(target), Work: work}
			if withTeams {
				job.Team = fmt.Sprint("team-", team)
			}
			job.Start = func() { start(now, team, job) }
			if run, refusal := g.Admit(now, job); refusal == nil && run {
				job.Start()
			}
		}
		for _, job := range g.queue.removeIf(func(j *Job) bool { return j.startBy < now }) {
			g.inFlight.Add(-1)
			_ = job
		}
	}
	for team := range smallTeams {
		small = append(small, float64(served[team])/float64(max(requests[team], 1)))
	}
	slices.Sort(small)
	return small, float64(served[smallTeams]) / float64(requests[smallTeams])
}

// TestLargeTeamDoesNotStarveSmallTeams checks that small teams that send as usual are
// served when a large team sends much more, and that they are served much worse without
// fair queueing. It looks at the tenth of the small teams that is served worst.
func TestLargeTeamDoesNotStarveSmallTeams(t *testing.T) {
	for seed := range uint64(3) {
		small, large := simulateTeams(seed, true)
		without, largeWithout := simulateTeams(seed, false)
		t.Logf("share served: worst tenth of the small teams %.2f, large team %.2f; without fair queueing %.2f and %.2f",
			mean(small[:7]), large, mean(without[:7]), largeWithout)
		test.GreaterEq(t, 0.9, mean(small[:7]))
		test.GreaterEq(t, 0.4, mean(small[:7])-mean(without[:7]))
	}
}

// mean returns the mean of values.
func mean(values []float64) (out float64) {
	for _, x := range values {
		out += x / float64(len(values))
	}
	return out
}

// TestFinishTagsOfIdleTeamsAreDropped checks that the number of finish tags is bounded
// when the teams have no work left.
func TestFinishTagsOfIdleTeamsAreDropped(t *testing.T) {
	var f fairQueueing
	for n := range 10 * maxFinishTags {
		job := &Job{Team: fmt.Sprint(n), Work: time.Millisecond}
		f.assignStartTag(job)
		f.charge(job)
		job.startTag += 1
		f.recordStart(job)
	}
	test.LessEq(t, maxFinishTags+1, len(f.finishTags))
}

// TestNestedJobsStartByDeadline checks that nested jobs, which have no team, start in the
// order of their deadlines although the virtual time advances between them.
func TestNestedJobsStartByDeadline(t *testing.T) {
	var f fairQueueing
	less := lessFor(Ranked)
	late, early := &Job{Nested: true, Deadline: 9, seq: 1}, &Job{Nested: true, Deadline: 5, seq: 2}
	f.assignStartTag(late)
	f.recordStart(&Job{Team: "red", startTag: 3})
	f.assignStartTag(early)
	test.True(t, less(early, late))
	test.False(t, less(late, early))
}
