package quota

// Stats counts the events of a node since its start.
type Stats struct {
	// Asked counts Asks sent for tokens outside of lease renewals, Granted requests that got
	// a token, Refused requests over a limit, Unsure requests for which it is unknown
	// whether the team is within its limit, Back tokens returned for requests that were not run.
	Asked, Granted, Refused, Unsure, Back uint64
	// ReturnsReserved and ReturnsLongest count refused callers that were told a return time
	// with a reserved token, or the longest useful time that they honour.
	// ReturnsUnreachable counts those that cannot be answered within their target.
	// ReturnsUsed counts reserved tokens that a request has taken, ReturnsUnused those that
	// were returned.
	ReturnsReserved, ReturnsLongest, ReturnsUnreachable, ReturnsUsed, ReturnsUnused uint64
	// Deferred counts token requests that this daemon, as a counter, could not answer
	// because it did not know whether the team had used its limit.
	Deferred uint64
}

// count records a verdict.
func (s *Stats) count(v Verdict) {
	switch {
	case v.Granted:
		s.Granted++
	case v.Unsure:
		s.Unsure++
	default:
		s.Refused++
	}
}

// Stats returns the counts since the start.
func (n *Node) Stats() Stats {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.stats
}
