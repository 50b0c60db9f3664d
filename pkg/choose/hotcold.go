package choose

import "time"

const (
	// hotQuantile is the share of candidates that count as cold, by calls in
	// flight. The value is the published paper's.
	hotQuantile = 0.84
	// hotColdSampleSize is how many candidates are looked at for one call.
	hotColdSampleSize = 3
)

// HotCold follows the rule of the published Prequal paper over stamps instead
// of probes: among a few random candidates, those with many calls in flight
// are hot; of the cold ones the fastest is taken, and if all are hot the one
// with the fewest calls in flight. Source: Wydrowski et al., "Load is not what
// you should balance: Introducing Prequal", NSDI 2024.
type HotCold struct{}

type hotColdLoad struct {
	index       int
	utilisation float64
	latency     time.Duration
}

// Choose implements Policy.
func (HotCold) Choose(req *Request, rnd Random) Pick {
	n := countAllowed(req)
	if n == 0 {
		return Pick{Index: NoCandidate}
	}
	threshold := hotThreshold(req)
	best := hotColdLoad{index: NoCandidate}
	for range min(hotColdSampleSize, n) {
		sampled := hotColdLoadOf(req, nthAllowed(req, rnd.IntN(n)))
		if best.index == NoCandidate || sampled.betterThan(best, threshold) {
			best = sampled
		}
	}
	return Pick{Index: best.index, MaxCost: noMaxCost}
}

func hotColdLoadOf(req *Request, index int) hotColdLoad {
	load := req.CandidateSet[index].Load.Snapshot(req.Now)
	return hotColdLoad{
		index:       index,
		utilisation: float64(load.InFlight+load.SentSinceStamp) / float64(load.Limit),
		latency:     load.ServiceTime + req.CandidateSet[index].Load.RoundTrip(),
	}
}

func (h hotColdLoad) betterThan(other hotColdLoad, threshold float64) bool {
	hot, otherHot := h.utilisation > threshold, other.utilisation > threshold
	switch {
	case hot && otherHot:
		return h.utilisation < other.utilisation
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
		utilisation := hotColdLoadOf(req, i).utilisation
		if i == 0 || utilisation < low {
			low = utilisation
		}
		high = max(high, utilisation)
	}
	return low + hotQuantile*(high-low)
}
