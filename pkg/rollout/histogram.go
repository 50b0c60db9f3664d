package rollout

import (
	"math"
	"time"
)

const (
	// timeSteps by a quarter of an octave from shortestTime on reach 16 s, which is
	// longer than any route's usual work; what is beyond is in the last one.
	timeSteps       = 48
	stepsPerOctave  = 4
	shortestTime    = 4 * time.Millisecond
	slowestReported = 2000
	usualSpeed      = 100
)

// timeStep is the step of a time.
func timeStep(d time.Duration) int {
	if d <= shortestTime {
		return 0
	}
	return min(int(stepsPerOctave*math.Log2(float64(d)/float64(shortestTime))), timeSteps-1)
}

// usualTime is how long the run would have taken at the usual speed of its backend
// server.
func (o *Outcome) usualTime() time.Duration {
	slowdown := min(max(o.StartSlowdown, o.PeakSlowdown), slowestReported)
	if slowdown == 0 {
		slowdown = usualSpeed
	}
	return max(o.Duration, 0) * usualSpeed / time.Duration(slowdown)
}
