package gate

import "github.com/rushramp/rushramp/pkg/concurrency"

// toleratedSlowdown is the measured slowdown, as a multiple of the mean service time,
// above which an adaptive gate lowers its limit.
const toleratedSlowdown = 2.2

// resetLimiter starts learning anew, for another number of slots.
func (g *Gate) resetLimiter() {
	if g.opts.LearnLimit {
		g.limiter = concurrency.NewLimiter(g.slots, g.configuredSlots())
	}
}

// limit returns how many jobs may run at once: the usable slots, or fewer while runs of
// an adaptive gate are slowed, so that less work waits behind slowed runs.
func (g *Gate) limit(now int64) int {
	usable := g.usableSlots()
	if !g.opts.Adaptive {
		return usable
	}
	slowdown := g.serviceTime.slowdown(now)
	if slowdown <= toleratedSlowdown {
		return usable
	}
	return max(1, int(float64(usable)*toleratedSlowdown/slowdown))
}

// minUsableShare is the share of the slots below which configuredSlots returns all of
// them, because leaving so many unused costs more than slower runs: of two slots, one
// alone does less work than two whose runs take 1.7 times as long.
const minUsableShare = 0.6

// usableSlots returns how many jobs may run at once while the backend server works at
// normal speed.
func (g *Gate) usableSlots() int {
	if g.limiter != nil {
		return g.limiter.Limit()
	}
	return g.configuredSlots()
}

// configuredSlots returns the number of slots that Options.UsableShare allows, or all of
// them if that is less than minUsableShare.
func (g *Gate) configuredSlots() int {
	usable := int(g.opts.UsableShare * float64(g.slots))
	if float64(usable) < minUsableShare*float64(g.slots) {
		return g.slots
	}
	return usable
}

// learnFromRun passes the run time of a job that started at a freshly reported slowdown
// to the speed model, or to the limiter if it started outside a slow period.
func (g *Gate) learnFromRun(now int64, job *Job) {
	ratio := float64(now-job.started) / float64(job.Work)
	if job.inSlowPeriod {
		g.speed.RecordRun(job.slowdown, ratio)
		return
	}
	if g.limiter != nil {
		g.limiter.RecordRun(now, job.concurrency, ratio/job.slowdown)
	}
}
