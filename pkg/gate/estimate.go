package gate

import "time"

const (
	// fastWeight is the weight of one run in the current service time.
	fastWeight = 1.0 / 8
	// baseWeight is the weight of one run in the usual service time.
	baseWeight = 1.0 / 512
	// ageFactor: running calls that are on average this many times older than
	// the current service time show that the backend server has slowed.
	ageFactor = 3
	// idleDecay is how many usual service times without a finished run halve
	// the difference between the current and the usual service time.
	idleDecay = 8
)

// estimate follows the service time of the backend server: what runs take now,
// and what they usually take.
type estimate struct {
	current float64
	usual   float64
	// lastAt is when the last run ended.
	lastAt int64
	// startSum is the sum of the start times of running calls, relative to
	// the first start, so that it stays small.
	startSum int64
	origin   int64
	running  int
}

func (self *estimate) start(now int64) {
	if self.origin == 0 {
		self.origin = now
	}
	self.startSum += now - self.origin
	self.running++
}

func (self *estimate) end(now, started int64, counts bool) {
	self.startSum -= started - self.origin
	self.running--
	if !counts {
		return
	}
	run := float64(now - started)
	if self.usual == 0 {
		self.current, self.usual = run, run
	}
	self.current = self.decayed(now)
	self.current += (run - self.current) * fastWeight
	self.usual += (run - self.usual) * baseWeight
	self.lastAt = now
}

// decayed is the current service time, moved towards the usual one while no
// run ended: an old slowness is no reason to stay away.
func (self *estimate) decayed(now int64) float64 {
	if self.usual == 0 || now <= self.lastAt {
		return self.current
	}
	half := idleDecay * self.usual
	weight := half / (half + float64(now-self.lastAt))
	return weight*self.current + (1-weight)*self.usual
}

// service is the expected time of a run that starts now.
func (self *estimate) service(now int64) time.Duration {
	current := self.decayed(now)
	if age := self.meanAge(now); self.running > 1 && age > ageFactor*current {
		current = age
	}
	return time.Duration(current)
}

func (self *estimate) meanAge(now int64) float64 {
	if self.running == 0 {
		return 0
	}
	return float64(now-self.origin) - float64(self.startSum)/float64(self.running)
}

// slowness is how many times longer than usual a run takes now.
func (self *estimate) slowness(now int64) float64 {
	if self.usual == 0 {
		return 1
	}
	return float64(self.service(now)) / self.usual
}
