package rollout

// Stop makes the word that goes to all daemons of a verdict against the version that
// an order moves to; ok is false while nothing is told against it.
func (v Verdict) Stop(order Order) (stop Stop, ok bool) {
	return Stop{Service: order.Service, Order: order.Revision, Cause: shortened(v.Cause)}, v.Bad
}

// Verdict is what a stop means to a decider that has not told it itself. A decider
// hands it to Decide in place of its own verdict, so that the next plan holds the stop.
func (s Stop) Verdict() Verdict { return Verdict{Bad: true, Cause: s.Cause} }
