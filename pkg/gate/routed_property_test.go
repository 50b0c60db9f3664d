package gate

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"pgregory.net/rapid"
)

// routedGateModel drives a gate for routed requests, and tracks its waiting and running
// jobs.
type routedGateModel struct {
	gate    *Gate
	now     int64
	waiting map[*Job]bool
	running map[*Job]bool
}

// begin checks that each job that the gate returns was waiting, and tracks it as running.
func (m *routedGateModel) begin(t *rapid.T, jobs []*Job) {
	for _, job := range jobs {
		test.True(t, m.waiting[job], test.Sprint("returned without having waited"))
		delete(m.waiting, job)
		m.running[job] = true
	}
}

// admit sends the gate a random job.
func (m *routedGateModel) admit(t *rapid.T) {
	job := &Job{
		Rank: uint16(rapid.IntRange(0, 2).Draw(t, "rank")), Soft: rapid.Bool().Draw(t, "soft"),
		Work:     time.Duration(rapid.IntRange(0, 300).Draw(t, "work")) * time.Millisecond,
		EndBy:    m.now + rapid.Int64Range(1, 900).Draw(t, "end by")*ms,
		Deadline: m.now + rapid.Int64Range(1, 2000).Draw(t, "deadline")*ms,
	}
	started, refusal := m.gate.Admit(m.now, job)
	switch {
	case refusal != nil:
		test.False(t, started)
	case started:
		m.running[job] = true
	default:
		m.waiting[job] = true
	}
}

// finish ends one running job.
func (m *routedGateModel) finish(t *rapid.T) {
	for job := range m.running {
		delete(m.running, job)
		m.begin(t, m.gate.Finish(m.now, job, rapid.Bool().Draw(t, "counts")))
		return
	}
}

// withdraw withdraws one waiting job.
func (m *routedGateModel) withdraw(t *rapid.T) {
	for job := range m.waiting {
		test.True(t, m.gate.Withdraw(job))
		delete(m.waiting, job)
		return
	}
}

// TestNoRoutedJobIsLostOrRunTwice checks that each admitted job starts once or is removed
// once, and that no more jobs run than there are slots, whatever the backend server
// reports and the gate holds or learns.
func TestNoRoutedJobIsLostOrRunTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const slots = 4
		m := &routedGateModel{
			gate: New(Options{
				Slots: slots, QueueLength: 20, QueueTime: time.Minute, Order: Ranked, SoftSlowdown: 1.8, UsableShare: 0.8, LearnLimit: true,
			}),
			now: 1, waiting: map[*Job]bool{}, running: map[*Job]bool{},
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			m.now += rapid.Int64Range(0, 40).Draw(t, "pause") * ms
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0, 1:
				m.admit(t)
			case 2:
				m.finish(t)
			case 3:
				m.begin(t, m.gate.ObserveSlowdown(m.now, rapid.SampledFrom([]float64{1, 1, 2, 5, 10}).Draw(t, "slowdown")))
			case 4:
				m.withdraw(t)
			case 5:
				start, _ := m.gate.Tick(m.now)
				m.begin(t, start)
			case 6:
				if rapid.IntRange(0, 9).Draw(t, "leaves") == 0 {
					for _, job := range m.gate.DrainQueue() {
						test.True(t, m.waiting[job])
						delete(m.waiting, job)
					}
				}
			}
			test.LessEq(t, slots, len(m.running))
			test.Eq(t, int64(len(m.running)+len(m.waiting)), m.gate.InFlight())
		}
		for m.gate.InFlight() > 0 {
			m.now += 10 * ms
			m.begin(t, m.gate.ObserveSlowdown(m.now, 1))
			m.finish(t)
		}
		test.MapEmpty(t, m.waiting)
	})
}
