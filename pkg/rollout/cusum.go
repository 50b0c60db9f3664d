package rollout

import "math"

// The test of one route: a cumulative sum (CUSUM, Page's form of the sequential
// likelihood ratio test) over the runs of the new version, of the logarithm of how much
// likelier each is if the version is worse than the old ones than if it is as good. A
// run is either bad (failed; or slow) or good. The sum never falls below zero, so that a
// long good history does not hide what begins late, and it may trip at any time.
//
// Why this one: it is the quickest there is for a change of unknown time at a given rate
// of false alarms; it needs one number a route; and with runs counted as slow or not it
// holds for any distribution of work times, also where only part of the answers is slow.
// Tests at fixed numbers of runs would be late or, if looked at each time, wrong more
// often than they say.
//
// Two alternatives run beside each other: much worse (a bad part larger by 0.3), told
// after few runs, and a little worse (by 0.1), told later.
//
// Error rates and delays are measured by TestErrorRates and TestDelays; the figures stand
// in docs/design/rollout.md.
const (
	// trip is where a sum tells a bad version. The chance that a sum trips within n runs
	// of a version as good as the reference is below n*exp(-trip).
	trip = 13.0
	// mostAtOnce bounds what one report of one backend server adds, so that one moment at
	// one server (its connections are reset, its neighbours slow it down) tells nothing:
	// the runs of that moment all fall together and are no independent evidence. Three
	// reports at least, 0.75 s.
	mostAtOnce = trip / 3

	muchWorse   = 0.3
	littleWorse = 0.1

	// failureFloor and slowFloor are the smallest bad parts of the old versions that are
	// reckoned with: fewer runs than tell rarer ones are seen. slowFloor holds for the
	// runs that a slow spell overtakes before the backend server tells of it.
	failureFloor = 0.01
	slowFloor    = 0.03
	// slowMargin times the slow part of the old versions is reckoned with: slow runs come
	// together, and at few canaries more unevenly than over all old backend servers. Of
	// 20,000 good roll-outs 11 were told bad with 1, 5 with 1.2 and 2 with 1.5; a version
	// slow three times in ten gets 28, 32 and 37 runs of a route (TestErrorRates).
	slowMargin = 1.5
	// blindFailures and blindSlow are reckoned with where the old versions run nothing at
	// the time (while switching, or they are gone), so that nobody tells whether a fault
	// strikes both.
	blindFailures = 0.05
	blindSlow     = 0.1
	// mostUsual is the largest bad part of the old versions beside which anything is told.
	// Beyond it the fault strikes both, and the runs of its time are no evidence.
	mostUsual = 0.6
)

// cusum is the sum of one alternative.
type cusum float64

// add weighs the runs of one report against a usual bad part and one that is larger by
// the step. It returns true where the sum trips.
func (c *cusum) add(bad, good uint32, usual, step float64) bool {
	if usual > mostUsual {
		return false
	}
	worse := usual + step
	gain := float64(bad)*math.Log(worse/usual) + float64(good)*math.Log((1-worse)/(1-usual))
	*c = max(0, *c+cusum(min(gain, mostAtOnce)))
	return *c >= trip
}

// pair is the two alternatives of one kind of bad run.
type pair struct{ much, little cusum }

// add is true where either trips. blind is for a reference of another time: only the
// much worse one counts then.
func (p *pair) add(bad, good uint32, usual float64, blind bool) bool {
	tripped := p.much.add(bad, good, usual, muchWorse)
	if blind {
		return tripped
	}
	return p.little.add(bad, good, usual, littleWorse) || tripped
}
