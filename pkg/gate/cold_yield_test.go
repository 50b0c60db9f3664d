package gate

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// TestScarceColdStartsGoToTheMoreUrgent is the load after a loss of power: a service
// bears 20 starts a second. Its own requests, rank 0, come 30 times a second and can
// wait for 40 ms; calls of requests of rank 1 come as often and wait for 300 ms. A
// start is worth three to the one and one to the other.
func TestScarceColdStartsGoToTheMoreUrgent(t *testing.T) {
	const most = 20
	now := int64(10_000 * ms)
	g := coldGate(now, most)
	started := map[uint8]int{}
	var running []*Job
	admit := func(rank uint8, left int64) {
		job := &Job{Rank: rank, Called: rank > 0, Work: 10 * time.Millisecond, Deadline: now + left, EndBy: now + left}
		if run, _ := g.Admit(now, job); run {
			running = append(running, job)
		}
	}
	for i := range int64(290) {
		now += 10 * ms
		if i%3 == 0 {
			admit(1, 320*ms)
			admit(0, 55*ms)
		}
		start, _ := g.Tick(now)
		running = append(running, start...)
		for _, job := range running {
			started[job.Rank]++
			running = append(running, g.Finish(now, job, true)...)
		}
		running = running[:0]
	}
	test.Greater(t, 3*started[1], started[0], test.Sprint(started))
	test.Greater(t, 5*most/2, started[0]+started[1], test.Sprint("hardly a start is lost"))
}

// TestLessUrgentJobsStartWhereNoneIsTurnedAway, and again some time after one was.
func TestLessUrgentJobsStartWhereNoneIsTurnedAway(t *testing.T) {
	now := int64(10_000 * ms)
	g := coldGate(now, 2)
	admit := func(rank uint8, soft bool) (run bool, refused bool) {
		job := &Job{Rank: rank, Soft: soft, Work: 10 * time.Millisecond, Deadline: now + 100*ms, EndBy: now + 100*ms}
		run, refusal := g.Admit(now, job)
		return run, refusal != nil
	}
	run, _ := admit(1, false)
	must.True(t, run)
	run, _ = admit(0, false)
	must.True(t, run)
	_, refused := admit(0, true)
	must.True(t, refused, must.Sprint("softly: it goes on elsewhere"))
	now += coldWindow
	run, _ = admit(1, false)
	must.True(t, run)
	run, _ = admit(1, false)
	must.True(t, run)
	now += 300 * ms
	_, refused = admit(0, false)
	must.True(t, refused)
	now += yieldFor - 200*ms
	_, refused = admit(1, false)
	test.True(t, refused)
	run, _ = admit(0, false)
	test.True(t, run)
	now += 200 * ms
	run, _ = admit(1, false)
	test.True(t, run)
}
