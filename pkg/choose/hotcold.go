package choose

import "time"

const (
	// hotQuantile is the quantile of utilisation above which a candidate is hot. The
	// value is that of the Prequal paper.
	hotQuantile = 0.84
	// hotColdSampleSize is the number of random candidates that are compared for one
	// call.
	hotColdSampleSize = 3
)

// HotCold applies the hot-cold rule of Prequal to stamps instead of probes. A candidate
// with many calls in flight is hot. Of a few random candidates it picks the cold one
// with the lowest latency or, if all are hot, the one with the fewest calls in flight
// per slot. Source: Wydrowski et al., "Load is not what you should balance: Introducing
// Prequal", NSDI 2024.
type HotCold struct{}

// hotColdLoad is the load of one candidate by which the hot-cold rule compares.
type hotColdLoad struct {
	index int
	// utilisation is the number of calls in flight per slot.
	utilisation float64
	// latency is the service time plus the round trip.
	latency time.Duration
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
		latency:     load.ServiceTime + req.CandidateSet[index].Load.MinRTT(),
	}
}

// betterThan reports whether the rule prefers h to other.
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

// hotThreshold estimates hotQuantile by interpolating between the lowest and the highest
// utilisation of the candidates, which needs no sorting.
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
