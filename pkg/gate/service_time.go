package gate

import (
	"math"
	"time"
)

const (
	// memory is how many runs' worth of busy time the current service time
	// looks back on. Fewer follow a slow-down faster and are noisier.
	memory = 16
	// usualWeight is the weight of one run in the usual service time.
	usualWeight = 1.0 / 512
	// notable is the ratio to the usual service time below which a difference
	// may be chance. The count of ended runs has a standard deviation of
	// sqrt(memory/2), so this is three of them: once in some thousand looks.
	notable = 2.2
	// idleHalfLife is how many usual service times without a running call halve
	// what is remembered: an old slowness is no reason to stay away.
	idleHalfLife = 4
)

// estimate follows the service time of the backend server: what runs take now,
// and what they usually take. The current one is the busy time of all slots
// over the runs that ended in it, both forgotten at the same pace. Runs that
// have not ended count in the busy time, so a slow-down shows before any slowed
// run ends (the maximum-likelihood estimate of a mean from censored times).
type estimate struct {
	usual float64
	// busy is remembered busy time in nanoseconds, ended the runs in it.
	busy  float64
	ended float64
	// at is the time up to which busy is counted.
	at      int64
	running int
}

// advance counts the busy time up to now, and forgets.
func (e *estimate) advance(now int64) {
	elapsed := float64(max(now-e.at, 0))
	e.at = max(e.at, now)
	if e.usual == 0 || elapsed == 0 {
		return
	}
	if e.running == 0 {
		e.forget(math.Exp2(-elapsed / (idleHalfLife * e.usual)))
		return
	}
	// What is forgotten is replaced by what is gained, so that memory stays
	// filled with the newest busy time.
	full := memory * e.usual
	keep := math.Exp(-elapsed * float64(e.running) / full)
	e.busy = e.busy*keep + full*(1-keep)
	e.ended *= keep
}

// forget moves the current service time towards the usual one.
func (e *estimate) forget(keep float64) {
	e.busy = e.busy*keep + (1-keep)*memory*e.usual
	e.ended = e.ended*keep + (1-keep)*memory
}

func (e *estimate) start(now int64) {
	e.advance(now)
	e.running++
}

func (e *estimate) end(now, started int64, counts bool) {
	e.advance(now)
	e.running--
	if !counts {
		return
	}
	run := float64(now - started)
	if e.usual == 0 {
		e.usual, e.busy, e.ended = run, run*memory, memory
		return
	}
	e.ended++
	e.usual += (run - e.usual) * usualWeight
}

// slowness is how many times longer than usual a run takes now, 1 when the
// difference may be chance.
func (e *estimate) slowness(now int64) float64 {
	e.advance(now)
	if e.usual == 0 {
		return 1
	}
	ratio := e.busy / max(e.ended, 1) / e.usual
	if ratio < notable {
		return 1
	}
	return ratio
}

// service is the expected time of a run that starts now.
func (e *estimate) service(now int64) time.Duration {
	return time.Duration(e.usual * e.slowness(now))
}
