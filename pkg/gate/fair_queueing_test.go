package gate

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test"
)

// teamLoad plays one gate of 18 slots and runs of 200 ms, 72 small teams that send what
// is their share of four fifths of it, and one that sends twelve times as much as it did,
// all within their limits. It returns the share of the requests served of each small team,
// the least first, and that of the large one.
func teamLoad(seed uint64, named bool) (small []float64, large float64) {
	const (
		slots, smallTeams, seconds = 18, 72, 20
		work                       = 200 * time.Millisecond
		target                     = 600 * time.Millisecond
		step                       = int64(time.Millisecond)
	)
	perTeam := 0.8 * slots / work.Seconds() / (smallTeams + 10)
	g := New(Options{Slots: slots, QueueLength: 200, QueueTime: time.Second, Order: Ranked, SoftSlowdown: 1.8})
	random := rand.New(rand.NewPCG(seed, 2))
	var asked, served [smallTeams + 1]int
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
			rate := perTeam
			if team == smallTeams {
				rate = 12 * 10 * perTeam
			}
			if random.Float64() >= rate*time.Duration(step).Seconds() {
				continue
			}
			asked[team]++
			job := &Job{Rank: 1, Deadline: now + 4*int64(target), EndBy: now + int64(target), Work: work}
			if named {
				job.Team = fmt.Sprint("team-", team)
			}
			job.Start = func() { start(now, team, job) }
			if run, refusal := g.Admit(now, job); refusal == nil && run {
				job.Start()
			}
		}
		for _, job := range g.queue.takeIf(func(j *Job) bool { return j.startBy < now }) {
			g.inFlight.Add(-1)
			_ = job
		}
	}
	for team := range smallTeams {
		small = append(small, float64(served[team])/float64(max(asked[team], 1)))
	}
	slices.Sort(small)
	return small, float64(served[smallTeams]) / float64(asked[smallTeams])
}

// TestATeamDoesNotStarveOthers that send as usual beside it: the worst tenth of these is
// served, and the slots are as full as without.
func TestATeamDoesNotStarveOthers(t *testing.T) {
	for seed := range uint64(3) {
		small, large := teamLoad(seed, true)
		without, largeWithout := teamLoad(seed, false)
		t.Logf("worst tenth of the small teams %.2f, the large one %.2f; without turns %.2f and %.2f",
			mean(small[:7]), large, mean(without[:7]), largeWithout)
		test.GreaterEq(t, 0.9, mean(small[:7]))
		test.GreaterEq(t, 0.4, mean(small[:7])-mean(without[:7]))
	}
}

func mean(of []float64) (out float64) {
	for _, x := range of {
		out += x / float64(len(of))
	}
	return out
}

// TestTurnsOfTeamsWithNoWorkAreForgotten: memory is bounded by the teams that wait.
func TestTurnsOfTeamsWithNoWorkAreForgotten(t *testing.T) {
	var f fairTurns
	for n := range 10 * mostTeams {
		job := &Job{Team: fmt.Sprint(n), Work: time.Millisecond}
		f.give(job)
		f.admitted(job)
		job.turn += 1
		f.started(job)
	}
	test.LessEq(t, mostTeams+1, len(f.ends))
}

// TestCallsKeepTheOrderOfTheirDeadlines although turns of teams go on between them.
func TestCallsKeepTheOrderOfTheirDeadlines(t *testing.T) {
	var f fairTurns
	less := lessOf(Ranked)
	late, early := &Job{Nested: true, Deadline: 9, seq: 1}, &Job{Nested: true, Deadline: 5, seq: 2}
	f.give(late)
	f.started(&Job{Team: "red", turn: 3})
	f.give(early)
	test.True(t, less(early, late))
	test.False(t, less(late, early))
}
