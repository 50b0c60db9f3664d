package gate

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test"
)

// simulateScarceStarts simulates a gate whose cold backend server may get 20 starts a
// second, as after a loss of power. Direct requests of rank 0 come about 33 times a second
// and can wait for about 15 ms. Nested calls of rank 1 come as often and have
// nestedTimeLeft nanoseconds until their deadline. It returns how many of each start in
// three seconds.
func simulateScarceStarts(seed uint64, nestedTimeLeft int64) (direct, nested int) {
	const maxStarts = 20
	now, random := int64(10_000*ms), rand.New(rand.NewPCG(seed, 0))
	g := coldGate(now, maxStarts)
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
			admit(1, nestedTimeLeft)
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
				direct++
			} else {
				nested++
			}
			running = append(running, g.Finish(now, job, true)...)
		}
	}
	return direct, nested
}

// TestNestedCallsWithMuchTimeTakeScarceColdStarts shows why nested calls must end by
// their target while the backend server is cold. The rank orders only the jobs that wait
// at the same time, so nested calls that may wait until a late deadline take starts from
// more urgent requests. With less time left they leave more starts to those, and the
// total stays the same.
func TestNestedCallsWithMuchTimeTakeScarceColdStarts(t *testing.T) {
	var directIfPatient, nestedIfPatient, direct, nested int
	for seed := range uint64(50) {
		d, n := simulateScarceStarts(seed, 420*ms)
		directIfPatient, nestedIfPatient = directIfPatient+d, nestedIfPatient+n
		d, n = simulateScarceStarts(seed, 30*ms)
		direct, nested = direct+d, nested+n
	}
	t.Logf("starts with much time left: %d direct, %d nested; with little: %d direct, %d nested", directIfPatient, nestedIfPatient, direct, nested)
	test.Greater(t, 11*directIfPatient/10, direct)
	test.Greater(t, direct*9/10, nested, test.Sprint("nested calls are not starved"))
	test.Eq(t, directIfPatient+nestedIfPatient, direct+nested, test.Sprint("no start is lost"))
}
