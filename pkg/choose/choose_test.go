package choose

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/rushramp/rushramp/pkg/tables"
	"github.com/rushramp/rushramp/pkg/wire"
)

const (
	ms    = int64(time.Millisecond)
	slots = 12
)

func allPolicies() map[string]Policy {
	out := map[string]Policy{}
	for _, name := range []string{"random", "round_robin", "least_outstanding", "hot_cold", "expected_wait", "idle_hints"} {
		// New knows all of these names, so it returns no error.
		out[name], _ = New(name, Options{StampHalfLife: 20 * time.Millisecond})
	}
	return out
}

func newExpectedWait() *ExpectedWait { return &ExpectedWait{StampHalfLife: 20 * time.Millisecond} }

// newCandidates returns candidates that sent a stamp at stampedAt, one for each number
// of calls in flight.
func newCandidates(stampedAt int64, inFlight ...uint32) []tables.Candidate {
	var out []tables.Candidate
	for _, n := range inFlight {
		load := tables.NewLoad(slots)
		load.ApplyStamp(stampedAt, wire.Stamp{Seq: 1, Running: n, Limit: slots, ServiceUS: 5000})
		out = append(out, tables.Candidate{Load: load})
	}
	return out
}

// countPicks returns how often each candidate is picked in n decisions.
func countPicks(p Policy, req *Request, n int) []int {
	rnd := rand.New(rand.NewPCG(1, 2))
	counts := make([]int, len(req.CandidateSet))
	for range n {
		counts[p.Choose(req, rnd).Index]++
	}
	return counts
}

func TestPoliciesNeverPickAnExcludedCandidate(t *testing.T) {
	for name, p := range allPolicies() {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				inFlight := rapid.SliceOfN(rapid.Uint32Range(0, 40), 0, 20).Draw(t, "in flight")
				req := &Request{Now: 100 * ms, CandidateSet: newCandidates(rapid.Int64Range(1, 100*ms).Draw(t, "stamped at"), inFlight...)}
				allowed := 0
				for i := range inFlight {
					if rapid.Bool().Draw(t, "excluded") {
						req.Excluded = req.Excluded.With(i)
					} else {
						allowed++
					}
				}
				pick := p.Choose(req, rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)))
				if allowed == 0 {
					must.Eq(t, NoCandidate, pick.Index)
					return
				}
				must.Between(t, 0, pick.Index, len(inFlight)-1)
				must.False(t, req.Excluded.Has(pick.Index))
			})
		})
	}
}

func TestPoliciesPickTheSameWithTheSameSeed(t *testing.T) {
	for name, p := range allPolicies() {
		if name == "round_robin" {
			continue
		}
		req := &Request{Now: 10 * ms, CandidateSet: newCandidates(5*ms, 3, 9, 4, 12, 0)}
		test.Eq(t, countPicks(p, req, 500), countPicks(p, req, 500), test.Sprint(name))
	}
}

func TestExpectedWaitPicks(t *testing.T) {
	scenarios := []struct {
		name  string
		setUp func(req *Request)
		// maxShare is the largest share of picks that candidate 0 may have.
		maxShare float64
		// minShare is the smallest share of picks that candidate 0 may have.
		minShare float64
	}{
		{"picks the candidate with the fewest calls", func(req *Request) { req.CandidateSet = newCandidates(99*ms, 2, 14, 14, 14) }, 1, 1},
		{"avoids a full candidate", func(req *Request) { req.CandidateSet = newCandidates(99*ms, 14, 2, 2, 2) }, 0, 0},
		{"an outdated stamp of an idle server does not attract calls", func(req *Request) {
			others := newCandidates(99*ms, 8, 8, 8)
			req.CandidateSet = append(newCandidates(-900*ms, 0), others...)
		}, 0.5, 0},
		{"avoids a server that fails fast", func(req *Request) {
			req.CandidateSet = newCandidates(99*ms, 0, 6, 6, 6)
			for range 10 {
				req.CandidateSet[0].Load.RecordAnswer(true)
			}
		}, 0.01, 0},
		{"picks a server again once it answers well", func(req *Request) {
			req.CandidateSet = newCandidates(99*ms, 0, 13, 13, 13)
			for range 10 {
				req.CandidateSet[0].Load.RecordAnswer(true)
			}
			for range 40 {
				req.CandidateSet[0].Load.RecordAnswer(false)
			}
		}, 1, 0.9},
		{"avoids a server that reports no load but answers nothing", func(req *Request) {
			req.CandidateSet = newCandidates(10*ms, 0, 10, 10, 10)
			for range 4 {
				req.CandidateSet[0].Load.RecordSent(11 * ms)
			}
		}, 0, 0},
		{"avoids a distant server while near ones have room", func(req *Request) {
			req.CandidateSet = newCandidates(99*ms, 4, 4, 4, 4)
			req.CandidateSet[0].Load.SetMinRTT(2 * time.Millisecond)
		}, 0.01, 0},
		{"picks a distant server when near ones are full", func(req *Request) {
			req.CandidateSet = newCandidates(99*ms, 4, 30, 30, 30)
			req.CandidateSet[0].Load.SetMinRTT(2 * time.Millisecond)
		}, 1, 1},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			req := &Request{Now: 100 * ms}
			s.setUp(req)
			const n = 400
			share := float64(countPicks(newExpectedWait(), req, n)[0]) / n
			test.Between(t, s.minShare, share, s.maxShare)
		})
	}
}

// TestEntriesWithTheSameStampsSpreadTheirCalls checks that there is no herd effect when
// 40 entries hold the same stamps of 30 servers with nearly equal loads.
func TestEntriesWithTheSameStampsSpreadTheirCalls(t *testing.T) {
	rnd := rand.New(rand.NewPCG(7, 7))
	picked := make([]int, 30)
	for range 40 {
		inFlight := make([]uint32, 30)
		for i := range inFlight {
			inFlight[i] = 8 + uint32(i%2)
		}
		picked[newExpectedWait().Choose(&Request{Now: 100 * ms, CandidateSet: newCandidates(99*ms, inFlight...)}, rnd).Index]++
	}
	for i, n := range picked {
		test.LessEq(t, 8, n, test.Sprintf("server %d", i))
	}
}

func TestMaxCostIsTheCostOfTheSecondBestCandidate(t *testing.T) {
	p := newExpectedWait()
	req := &Request{Now: 100 * ms, CandidateSet: newCandidates(100*ms, 0, 24)}
	pick := p.Choose(req, rand.New(rand.NewPCG(1, 1)))
	test.Eq(t, 0, pick.Index)
	// The second candidate costs a run of 5 ms, a wait behind 13 calls at 12 slots and
	// maxCostSlack. Its utilisation of 2 adds to the wait.
	test.Between(t, 11*time.Millisecond, pick.MaxCost, 20*time.Millisecond)
	single := p.Choose(&Request{Now: 100 * ms, CandidateSet: newCandidates(100*ms, 0)}, rand.New(rand.NewPCG(1, 1)))
	test.Eq(t, noMaxCost, single.MaxCost)
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{3, 16, 30, 300} {
		b.Run(fmt.Sprintf("expected_wait/%d", n), func(b *testing.B) {
			inFlight := make([]uint32, n)
			for i := range inFlight {
				inFlight[i] = uint32(i % slots)
			}
			p := newExpectedWait()
			req := &Request{Now: 100 * ms, CandidateSet: newCandidates(99*ms, inFlight...)}
			b.ReportAllocs()
			for b.Loop() {
				p.Choose(req, RuntimeRandom{})
			}
		})
	}
}
