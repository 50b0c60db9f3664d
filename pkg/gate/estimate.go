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
func (self *estimate) advance(now int64) {
	elapsed := float64(max(now-self.at, 0))
	self.at = max(self.at, now)
	if self.usual == 0 || elapsed == 0 {
		return
	}
	if self.running == 0 {
		self.forget(math.Exp2(-elapsed / (idleHalfLife * self.usual)))
		return
	}
	// What is forgotten is replaced by what is gained, so that memory stays
	// filled with the newest busy time.
	full := memory * self.usual
	keep := math.Exp(-elapsed * float64(self.running) / full)
	self.busy = self.busy*keep + full*(1-keep)
	self.ended *= keep
}

// forget moves the current service time towards the usual one.
func (self *estimate) forget(keep float64) {
	self.busy = self.busy*keep + (1-keep)*memory*self.usual
	self.ended = self.ended*keep + (1-keep)*memory
}

func (self *estimate) start(now int64) {
	self.advance(now)
	self.running++
}

func (self *estimate) end(now, started int64, counts bool) {
	self.advance(now)
	self.running--
	if !counts {
		return
	}
	run := float64(now - started)
	if self.usual == 0 {
		self.usual, self.busy, self.ended = run, run*memory, memory
		return
	}
	self.ended++
	self.usual += (run - self.usual) * usualWeight
}

// slowness is how many times longer than usual a run takes now, 1 when the
// difference may be chance.
func (self *estimate) slowness(now int64) float64 {
	self.advance(now)
	if self.usual == 0 {
		return 1
	}
	ratio := self.busy / max(self.ended, 1) / self.usual
	if ratio < notable {
		return 1
	}
	return ratio
}

// service is the expected time of a run that starts now.
func (self *estimate) service(now int64) time.Duration {
	return time.Duration(self.usual * self.slowness(now))
}
