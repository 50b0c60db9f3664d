package gate

import (
	"testing"
	"time"
)

// busyGate returns a gate for routed requests with all usable slots taken and the given
// number of jobs waiting.
func busyGate(b *testing.B, waiting int, cold bool) *Gate {
	g := New(Options{Slots: 11, QueueLength: 10_000, QueueTime: time.Hour, Order: Ranked, SoftSlowdown: 1.8, UsableShare: 0.8, LearnLimit: true})
	if cold {
		g.SetColdState(1, ColdState{MaxStartsPerSecond: 30, Since: 1, Until: int64(time.Hour)})
	}
	for range g.UsableSlots() + waiting {
		if _, refusal := g.Admit(1, benchJob()); refusal != nil {
			b.Fatal(refusal)
		}
	}
	return g
}

func benchJob() *Job {
	const hour = int64(time.Hour)
	return &Job{Rank: 1, Deadline: hour, EndBy: hour, Work: 100 * time.Millisecond}
}

// BenchmarkAdmit admits a job that has to wait, and withdraws it.
func BenchmarkAdmit(b *testing.B) {
	for name, s := range map[string]struct {
		waiting int
		cold    bool
	}{"idle queue": {0, false}, "200 wait": {200, false}, "200 wait, cold": {200, true}} {
		b.Run(name, func(b *testing.B) {
			g := busyGate(b, s.waiting, s.cold)
			b.ReportAllocs()
			for b.Loop() {
				job := benchJob()
				if _, refusal := g.Admit(2, job); refusal == nil {
					g.Withdraw(job)
				}
			}
		})
	}
}

// BenchmarkObserveSlowdown observes a slowdown while 200 jobs are held for the end of a
// slow period, with slots free.
func BenchmarkObserveSlowdown(b *testing.B) {
	g := New(Options{Slots: 1000, QueueLength: 10_000, QueueTime: time.Hour, Order: Ranked, SoftSlowdown: 1.8, UsableShare: 0.8})
	now := int64(time.Minute)
	for range 50 {
		now += int64(100 * time.Millisecond)
		g.ObserveSlowdown(now, 1)
		now += int64(100 * time.Millisecond)
		g.ObserveSlowdown(now, 4)
	}
	for range 200 {
		job := benchJob()
		job.EndBy = now + int64(time.Second)
		job.Work = 300 * time.Millisecond
		_, _ = g.Admit(now, job)
	}
	b.ReportAllocs()
	for b.Loop() {
		g.ObserveSlowdown(now, 4)
	}
	b.ReportMetric(float64(g.InFlight()-int64(g.running)), "held")
}
