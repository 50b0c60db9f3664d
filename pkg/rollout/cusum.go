package rollout

import "math"

// The new version is tested on each route with a cumulative sum (CUSUM, Page's
// sequential likelihood-ratio test). Each run is good or bad; one test counts failed runs
// as bad, another one slow runs. The sum adds, for each run, the logarithm of how much
// likelier the run is if the version's bad rate (the share of its runs that are bad) is
// higher than the old versions' rate than if it is the same. The sum never falls below
// zero, so that a long good history does not delay the detection of a fault that begins
// late.
//
// CUSUM has the shortest detection delay for a change at an unknown time, at a given
// rate of false alarms, and needs one number a route. As runs count only as slow or not,
// it holds for any distribution of work times, also where only some answers are slow.
// Tests after fixed numbers of runs detect a fault later, and give more false alarms than
// their nominal rate if they are evaluated repeatedly.
//
// Each test runs for two alternatives: a bad rate that is higher by 0.3, detected within
// few runs, and one that is higher by 0.1, detected later.
//
// TestErrorRates and TestDelays measure the error rates and delays; docs/design/rollout.md
// lists them.
const (
	// alarmThreshold is the sum, a natural logarithm, at which a test raises an alarm. The
	// chance of an alarm within n runs of a version as good as the baseline is below
	// n*exp(-alarmThreshold).
	alarmThreshold = 13.0
	// maxGainPerReport bounds what one report of one backend server adds to a sum: runs
	// that fail together, as when connections are reset, are not independent evidence. An
	// alarm needs three reports at least.
	maxGainPerReport = alarmThreshold / 3

	// largeIncrease and smallIncrease are the two alternatives: by how much the bad rate is
	// higher than the baseline's.
	largeIncrease = 0.3
	smallIncrease = 0.1

	// minFailureRate and minSlowRate are the lowest baseline rates to test against: lower
	// ones cannot be estimated from the few runs of the history. minSlowRate also covers
	// runs during which the backend server slows down before it reports its slowdown.
	minFailureRate = 0.01
	minSlowRate    = 0.03
	// slowRateMargin multiplies the baseline's slow rate, because slow runs come in
	// clusters, and those are spread less evenly over a few canaries than over all old
	// backend servers. A higher margin gives fewer false alarms and a later detection.
	slowRateMargin = 1.5
	// staleMinFailureRate and staleMinSlowRate take the place of the minimum rates while
	// the baseline is stale: the old versions run too little then to show a fault that
	// affects both versions.
	staleMinFailureRate = 0.05
	staleMinSlowRate    = 0.1
	// maxBaselineRate is the highest baseline rate at which runs are tested. Above it a
	// fault affects both versions, and the runs are no evidence against the new one.
	maxBaselineRate = 0.6
)

// cusum is the cumulative sum of log-likelihood ratios for one alternative.
type cusum float64

// add adds the bad and good runs of one report. The alternative is a bad rate that is
// higher than the baseline's rate by increase. It returns true where the sum reaches the
// alarm threshold.
func (c *cusum) add(bad, good uint32, rate, increase float64) bool {
	if rate > maxBaselineRate {
		return false
	}
	higher := rate + increase
	gain := float64(bad)*math.Log(higher/rate) + float64(good)*math.Log((1-higher)/(1-rate))
	*c = max(0, *c+cusum(min(gain, maxGainPerReport)))
	return *c >= alarmThreshold
}

// cusumPair holds the sums for the two alternatives of one test.
type cusumPair struct{ large, small cusum }

// add adds the runs of one report to both sums and returns true where either reaches the
// alarm threshold. With a stale baseline only the large increase is tested.
func (p *cusumPair) add(bad, good uint32, rate float64, stale bool) bool {
	alarm := p.large.add(bad, good, rate, largeIncrease)
	if stale {
		return alarm
	}
	return p.small.add(bad, good, rate, smallIncrease) || alarm
}
