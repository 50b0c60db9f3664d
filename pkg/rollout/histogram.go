package rollout

import (
	"math"
	"time"
)

const (
	// histogramSteps is the number of steps of a histogram of durations. Each step but the
	// first and the last is a quarter of an octave wide; the last one, from 13.8 s on, is
	// longer than the normal work of any route.
	histogramSteps = 48
	stepsPerOctave = 4
	// firstStepTime is where the first step begins; the step also holds shorter durations.
	firstStepTime = 4 * time.Millisecond
	// maxSlowdownPercent bounds the slowdown by which a duration is corrected.
	maxSlowdownPercent = 2000
	// normalSlowdownPercent is the slowdown of a backend server at normal speed.
	normalSlowdownPercent = 100
)

// histogramStep returns the step of a duration, from 0 to histogramSteps-1.
func histogramStep(d time.Duration) int {
	if d <= firstStepTime {
		return 0
	}
	return min(int(stepsPerOctave*math.Log2(float64(d)/float64(firstStepTime))), histogramSteps-1)
}

// normalisedDuration returns how long the run would have taken at the normal speed of its
// backend server.
func (o *Outcome) normalisedDuration() time.Duration {
	slowdown := min(max(o.StartSlowdown, o.PeakSlowdown), maxSlowdownPercent)
	if slowdown == 0 {
		slowdown = normalSlowdownPercent
	}
	return max(o.Duration, 0) * normalSlowdownPercent / time.Duration(slowdown)
}
