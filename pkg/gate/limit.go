package gate

import "github.com/rushramp/rushramp/pkg/concurrency"

// slowTolerance is how many times slower than usual the backend server may be
// before the limit falls below the slots.
const slowTolerance = 2.2

// newLimiter begins to learn anew, for another number of slots.
func (g *Gate) newLimiter() {
	if g.opts.LearnLimit {
		g.limiter = concurrency.NewLimiter(g.slots, g.share())
	}
}

// limit is how many calls run at once: the share of the slots in use, or fewer
// while a neighbour slows the backend server, so that less work is stuck behind
// it.
func (g *Gate) limit(now int64) int {
	usable := g.usable()
	if !g.opts.Adaptive {
		return usable
	}
	slowness := g.estimate.slowness(now)
	if slowness <= slowTolerance {
		return usable
	}
	return max(1, int(float64(usable)*slowTolerance/slowness))
}

// leastUse is the share of the slots below which leaving the others unused costs
// more than work that is slowed: with two slots, one is less than two that take
// 1.7 times as long.
const leastUse = 0.6

// usable is how many jobs run at once at a backend server that works as usual.
func (g *Gate) usable() int {
	if g.limiter != nil {
		return g.limiter.Limit()
	}
	return g.share()
}

// share is the share of the slots that is used where nothing is learnt.
func (g *Gate) share() int {
	usable := int(g.opts.SlotShare * float64(g.slots))
	if float64(usable) < leastUse*float64(g.slots) {
		return g.slots
	}
	return usable
}

// learn takes over how long a run took that started on fresh word.
func (g *Gate) learn(now int64, job *Job) {
	ratio := float64(now-job.started) / float64(job.Work)
	if job.inSpell {
		g.speed.RecordRun(job.slowdown, ratio)
		return
	}
	if g.limiter != nil {
		g.limiter.RecordRun(now, job.atOnce, ratio/job.slowdown)
	}
}
