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
		known := req.CandidateSet[i].Load.Snapshot(req.Now)
		idle := known.Limit - known.InFlight - known.SentSinceStamp
		if idle > 0 && known.StampReceivedAt > newest {
			best, newest = i, known.StampReceivedAt
		}
	}
	if best == NoCandidate {
		return ih.fallback.Choose(req, rnd)
	}
	return Pick{Index: best, MaxCost: unbounded}
}
