package rollout

// Stop returns the stop that follows from a bad verdict on the order's version; it is to be
// sent to all daemons. ok is false where the verdict is not bad.
func (v Verdict) Stop(order Order) (stop Stop, ok bool) {
	return Stop{Service: order.Service, Order: order.Revision, Cause: truncateCause(v.Cause)}, v.Bad
}

// Verdict returns the verdict that a stop stands for. A daemon that has received a stop
// passes it to Decide in place of its own verdict, so that the next plan rolls back.
func (s Stop) Verdict() Verdict { return Verdict{Bad: true, Cause: s.Cause} }
