package gate

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test"
)

// scarceStarts plays the load after a loss of power: a service bears 20 starts a second.
// Its own requests, rank 0, come 30 times a second and can wait for 15 ms; calls of
// requests of rank 1 come as often. It returns how many of each start in three seconds.
func scarceStarts(seed uint64, patience int64) (own, called int) {
	const most = 20
	now, random := int64(10_000*ms), rand.New(rand.NewPCG(seed, 0))
	g := coldGate(now, most)
	var running []*Job
	admit := func(rank uint16, left int64) {
		job := &Job{Rank: rank, Nested: rank > 0, Work: 10 * time.Millisecond, Deadline: now + left, EndBy: now + left}
		if run, _ := g.Admit(now, job); run {
			running = append(running, job)
		}
	}
	for range 290 {
		now += 10 * ms
		if random.IntN(3) == 0 {
			admit(1, patience)
		}
		if random.IntN(3) == 0 {
			admit(0, 30*ms)
		}
		start, _ := g.Tick(now)
		running = append(running, start...)
		for len(running) > 0 {
			job := running[0]
			running = running[1:]
			if job.Rank == 0 {
				own++
			} else {
				called++
			}
			running = append(running, g.Finish(now, job, true)...)
		}
	}
	return own, called
}

// TestWhatCanWaitTakesScarceColdStarts: the order by rank orders only those that wait.
// Calls that may wait until their deadline take starts from more urgent requests; held
// to their target they leave these more, and no start is lost.
func TestWhatCanWaitTakesScarceColdStarts(t *testing.T) {
	var ownOfPatient, patient, own, called int
	for seed := range uint64(50) {
		o, c := scarceStarts(seed, 420*ms)
		ownOfPatient, patient = ownOfPatient+o, patient+c
		o, c = scarceStarts(seed, 30*ms)
		own, called = own+o, called+c
	}
	t.Logf("patient calls: %d own, %d calls; others: %d and %d", ownOfPatient, patient, own, called)
	test.Greater(t, 11*ownOfPatient/10, own)
	test.Greater(t, own*9/10, called, test.Sprint("calls are not starved"))
	test.Eq(t, ownOfPatient+patient, own+called, test.Sprint("no start is lost"))
}
