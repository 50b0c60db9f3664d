package choose

// IdleHints picks the candidate with the newest stamp among those that have an idle slot
// left after the calls that this entry has sent since the stamp. If there is none, it
// falls back to LeastOutstanding. It is join-idle-queue with stamps as the idle reports.
type IdleHints struct{ fallback LeastOutstanding }

// Choose implements Policy.
func (ih *IdleHints) Choose(req *Request, rnd Random) Pick {
	best, newest := NoCandidate, int64(0)
	for i := range req.CandidateSet {
		if req.Excluded.Has(i) {
			continue
		}
		load := req.CandidateSet[i].Load.Snapshot(req.Now)
		idleSlots := load.Limit - load.InFlight - load.SentSinceStamp
		if idleSlots > 0 && load.StampReceivedAt > newest {
			best, newest = i, load.StampReceivedAt
		}
	}
	if best == NoCandidate {
		return ih.fallback.Choose(req, rnd)
	}
	return Pick{Index: best, MaxCost: noMaxCost}
}
