package gate

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"pgregory.net/rapid"
)

// routedWorld follows what becomes of the jobs of a routed gate.
type routedWorld struct {
	gate    *Gate
	now     int64
	waiting map[*Job]bool
	running map[*Job]bool
}

// begin notes jobs that the gate hands out: each was admitted, and none twice.
func (w *routedWorld) begin(t *rapid.T, jobs []*Job) {
	for _, job := range jobs {
		test.True(t, w.waiting[job], test.Sprint("handed out without having waited"))
		delete(w.waiting, job)
		w.running[job] = true
	}
}

func (w *routedWorld) admit(t *rapid.T) {
	job := &Job{
		Rank: uint16(rapid.IntRange(0, 2).Draw(t, "rank")), Soft: rapid.Bool().Draw(t, "soft"),
		Work:     time.Duration(rapid.IntRange(0, 300).Draw(t, "work")) * time.Millisecond,
		EndBy:    w.now + rapid.Int64Range(1, 900).Draw(t, "end by")*ms,
		Deadline: w.now + rapid.Int64Range(1, 2000).Draw(t, "deadline")*ms,
	}
	started, refusal := w.gate.Admit(w.now, job)
	switch {
	case refusal != nil:
		test.False(t, started)
	case started:
		w.running[job] = true
	default:
		w.waiting[job] = true
	}
}

func (w *routedWorld) finish(t *rapid.T) {
	for job := range w.running {
		delete(w.running, job)
		w.begin(t, w.gate.Finish(w.now, job, rapid.Bool().Draw(t, "counts")))
		return
	}
}

func (w *routedWorld) withdraw(t *rapid.T) {
	for job := range w.waiting {
		test.True(t, w.gate.Withdraw(job))
		delete(w.waiting, job)
		return
	}
}

// TestNoRoutedJobIsLostOrRunTwice: whatever is reported, held, withdrawn and
// learnt, each job that was admitted starts once or is taken out once, and no
// more run than there are slots.
func TestNoRoutedJobIsLostOrRunTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const slots = 4
		w := &routedWorld{
			gate: New(Options{
				Slots: slots, QueueLength: 20, QueueTime: time.Minute, Order: Ranked, SoftSlowdown: 1.8, SlotShare: 0.8, LearnLimit: true,
			}),
			now: 1, waiting: map[*Job]bool{}, running: map[*Job]bool{},
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			w.now += rapid.Int64Range(0, 40).Draw(t, "pause") * ms
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0, 1:
				w.admit(t)
			case 2:
				w.finish(t)
			case 3:
				w.begin(t, w.gate.ObserveSlowdown(w.now, rapid.SampledFrom([]float64{1, 1, 2, 5, 10}).Draw(t, "slowdown")))
			case 4:
				w.withdraw(t)
			case 5:
				start, _ := w.gate.Tick(w.now)
				w.begin(t, start)
			case 6:
				if rapid.IntRange(0, 9).Draw(t, "leaves") == 0 {
					for _, job := range w.gate.DrainQueue() {
						test.True(t, w.waiting[job])
						delete(w.waiting, job)
					}
				}
			}
			test.LessEq(t, slots, len(w.running))
			test.Eq(t, int64(len(w.running)+len(w.waiting)), w.gate.InFlight())
		}
		for w.gate.InFlight() > 0 {
			w.now += 10 * ms
			w.begin(t, w.gate.ObserveSlowdown(w.now, 1))
			w.finish(t)
		}
		test.MapEmpty(t, w.waiting)
	})
}
