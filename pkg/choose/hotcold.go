package choose

import "time"

const (
	// hotQuantile is the share of candidates that count as cold, by calls in
	// flight. The value is the published paper's.
	hotQuantile = 0.84
	// hotColdSample is how many candidates are looked at for one call.
	hotColdSample = 3
)

// HotCold follows the rule of the published Prequal paper over stamps instead
// of probes: among a few random candidates, those with many calls in flight
// are hot; of the cold ones the fastest is taken, and if all are hot the one
// with the fewest calls in flight. Source: Wydrowski et al., "Load is not what
// you should balance: Introducing Prequal", NSDI 2024.
type HotCold struct{}

type hotColdView struct {
	index    int
	inFlight float64
	latency  time.Duration
}

// Choose implements Policy.
func (HotCold) Choose(req *Request, rnd Random) Pick {
	n := countUntried(req)
	if n == 0 {
		return Pick{Index: NoCandidate}
	}
	threshold := hotThreshold(req)
	best := hotColdView{index: NoCandidate}
	for range min(hotColdSample, n) {
		next := viewOf(req, pickUntried(req, rnd.IntN(n)))
		if best.index == NoCandidate || next.betterThan(best, threshold) {
			best = next
		}
	}
	return Pick{Index: best.index, MaxCost: unbounded}
}

func viewOf(req *Request, index int) hotColdView {
	known := req.CandidateSet[index].Load.Snapshot(req.Now)
	return hotColdView{
		index:    index,
		inFlight: float64(known.InFlight+known.SentSinceStamp) / float64(known.Limit),
		latency:  known.ServiceTime + req.CandidateSet[index].Load.RoundTrip(),
	}
}

func (h hotColdView) betterThan(other hotColdView, threshold float64) bool {
	hot, otherHot := h.inFlight > threshold, other.inFlight > threshold
	switch {
	case hot && otherHot:
		return h.inFlight < other.inFlight
	case hot != otherHot:
		return otherHot
	}
	return h.latency < other.latency
}

// hotThreshold estimates the quantile as a point between the least and the
// most loaded candidate, which needs no sorting and no memory.
func hotThreshold(req *Request) float64 {
	low, high := 0.0, 0.0
	for i := range req.CandidateSet {
		inFlight := viewOf(req, i).inFlight
		if i == 0 || inFlight < low {
			low = inFlight
		}
		high = max(high, inFlight)
	}
	return low + hotQuantile*(high-low)
}
