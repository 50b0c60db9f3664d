package bench

import (
	"math"
	"time"

	"github.com/rushramp/rushramp/pkg/choose"
)

// oracle is a policy that reads each gate's true state at no cost. It is the
// optimum that other policies are compared with, and exists in the bench only.
// It knows the number of calls, but not the servers' speeds.
type oracle struct {
	inFlight map[string]func() (calls int64, slots int)
}

func newOracle(c *cluster) choose.Policy {
	o := &oracle{inFlight: map[string]func() (int64, int){}}
	for _, n := range c.nodes {
		if n.backend == nil {
			continue
		}
		o.inFlight[n.vm.ID] = func() (int64, int) {
			if n.daemon == nil {
				return 0, 1
			}
			gate := n.daemon.Executor.Gate()
			return gate.InFlight(), gate.Slots()
		}
	}
	return o
}

// Choose implements choose.Policy.
func (o *oracle) Choose(req *choose.Request, rnd choose.Random) choose.Pick {
	best, minWait, minRoundTrip := choose.NoCandidate, 0.0, time.Duration(0)
	offset := rnd.IntN(max(len(req.CandidateSet), 1))
	for n := range req.CandidateSet {
		i := (n + offset) % len(req.CandidateSet)
		if req.Excluded.Has(i) {
			continue
		}
		calls, slots := o.inFlight[req.CandidateSet[i].Endpoint.VM]()
		// A gate with a free slot has no wait, so the round trip decides.
		wait := max(float64(calls+1-int64(slots))/float64(slots), 0)
		roundTrip := req.CandidateSet[i].Load.MinRTT()
		if best == choose.NoCandidate || wait < minWait || (wait == minWait && roundTrip < minRoundTrip) {
			best, minWait, minRoundTrip = i, wait, roundTrip
		}
	}
	return choose.Pick{Index: best, MaxCost: math.MaxInt64}
}
