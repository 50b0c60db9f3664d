package forward

// rank is the rank of the request at gates. A call that the backend server beside this
// daemon makes is no more urgent than the most urgent request that it can belong to:
// by the rank of its own route it would go before requests that are worth more. After
// a loss of power each answer of such a request took the starts of two calls from a
// service that bore a third of what it was asked for, and its own first requests were
// refused.
func (a *attempts) rank() uint8 {
	if a.owner.runs == nil || !a.owner.called.has(a.route.Name) {
		return a.route.Priority
	}
	return max(a.route.Priority, a.owner.runs.Rank())
}
