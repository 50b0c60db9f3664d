package choose

// IdleHints sends a call to a candidate whose newest stamp showed an idle slot
// that this entry has not used up since, the newest hint first. Without a hint
// it falls back to the better of two by outstanding calls. It is the idea of
// join-idle-queue over stamps.
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
