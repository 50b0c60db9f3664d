package gate

import (
	"math"
	"time"
)

const (
	// windowRuns is how many runs' worth of busy time the current service time is
	// computed from. Fewer runs follow a slow-down faster, with more noise.
	windowRuns = 16
	// meanWeight is the weight of one run in the mean service time.
	meanWeight = 1.0 / 512
	// minSlowdown is the least ratio of the current to the mean service time that counts
	// as a slowdown; a lower one may be chance. The standard deviation of endedRuns is
	// sqrt(windowRuns/2). The ratio allows for three standard deviations, which chance
	// exceeds about once in a thousand readings.
	minSlowdown = 2.2
	// idleHalfLife is the time without a running job, in mean service times, after which
	// half of the current service time's difference from the mean is forgotten, because
	// an old slowdown is no reason to run fewer jobs.
	idleHalfLife = 4
)

// serviceTimeEstimator estimates the mean and the current service time of the backend
// server, in nanoseconds. The current one is the busy time of all slots divided by the
// number of runs that ended in it; both decay at the same rate. The busy time includes
// runs that have not ended, so that a slow-down shows before any slowed run ends. This
// is the maximum-likelihood estimate of a mean from censored times.
type serviceTimeEstimator struct {
	// mean is the mean service time; 0: no run has ended yet.
	mean float64
	// busyTime is the decayed busy time in nanoseconds, endedRuns the decayed number of
	// runs that ended in it.
	busyTime  float64
	endedRuns float64
	// updatedAt is the time up to which busyTime is counted.
	updatedAt int64
	running   int
}

// advance adds the busy time up to now and decays the older one.
func (e *serviceTimeEstimator) advance(now int64) {
	elapsed := float64(max(now-e.updatedAt, 0))
	e.updatedAt = max(e.updatedAt, now)
	if e.mean == 0 || elapsed == 0 {
		return
	}
	if e.running == 0 {
		e.decayToMean(math.Exp2(-elapsed / (idleHalfLife * e.mean)))
		return
	}
	// New busy time replaces what decays, so that the window stays full.
	full := windowRuns * e.mean
	keep := math.Exp(-elapsed * float64(e.running) / full)
	e.busyTime = e.busyTime*keep + full*(1-keep)
	e.endedRuns *= keep
}

// decayToMean moves the current service time towards the mean; keep is the share of the
// old values that remains.
func (e *serviceTimeEstimator) decayToMean(keep float64) {
	e.busyTime = e.busyTime*keep + (1-keep)*windowRuns*e.mean
	e.endedRuns = e.endedRuns*keep + (1-keep)*windowRuns
}

// start records that a run starts.
func (e *serviceTimeEstimator) start(now int64) {
	e.advance(now)
	e.running++
}

// end records that a run ends. One that is not representative does not count as ended.
func (e *serviceTimeEstimator) end(now, started int64, representative bool) {
	e.advance(now)
	e.running--
	if !representative {
		return
	}
	run := float64(now - started)
	if e.mean == 0 {
		e.mean, e.busyTime, e.endedRuns = run, run*windowRuns, windowRuns
		return
	}
	e.endedRuns++
	e.mean += (run - e.mean) * meanWeight
}

// slowdown returns the current service time as a multiple of the mean, or 1 while the
// difference may be chance.
func (e *serviceTimeEstimator) slowdown(now int64) float64 {
	e.advance(now)
	if e.mean == 0 {
		return 1
	}
	ratio := e.busyTime / max(e.endedRuns, 1) / e.mean
	if ratio < minSlowdown {
		return 1
	}
	return ratio
}

// current returns the expected service time of a run that starts now; 0: no run has
// ended yet.
func (e *serviceTimeEstimator) current(now int64) time.Duration {
	return time.Duration(e.mean * e.slowdown(now))
}
