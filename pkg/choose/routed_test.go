package choose

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test"

	"github.com/rushramp/rushramp/pkg/evacuation"
	"github.com/rushramp/rushramp/pkg/proximity"
	"github.com/rushramp/rushramp/pkg/tables"
	"github.com/rushramp/rushramp/pkg/wire"
)

const work = 100 * time.Millisecond

// newCandidate returns a candidate with a stamp of the given age, or without a stamp if
// the stamp has no limit.
func newCandidate(dataCentre string, stamp wire.Stamp, age time.Duration, now int64) tables.Candidate {
	load := tables.NewLoad(10)
	stamp.Seq = 1
	if stamp.Limit > 0 {
		load.ApplyStamp(now-int64(age), stamp)
	}
	return tables.Candidate{Endpoint: &tables.Endpoint{DataCentre: dataCentre, Load: load}, Load: load}
}

func TestPickRouted(t *testing.T) {
	now := int64(time.Hour)
	idle, slow, full := wire.Stamp{Limit: 10, Slowdown: 100}, wire.Stamp{Limit: 10, Slowdown: 400}, wire.Stamp{Limit: 10, Running: 10, Queued: 10, Slowdown: 100}
	scenarios := []struct {
		name       string
		candidates []tables.Candidate
		wantIndex  int
	}{
		{"equal loads: the same data centre", []tables.Candidate{newCandidate("there", idle, 0, now), newCandidate("here", idle, 0, now)}, 1},
		{"same data centre slowed: the other one", []tables.Candidate{newCandidate("there", idle, 0, now), newCandidate("here", slow, 0, now)}, 0},
		{"same data centre slowed by an old stamp: the same data centre", []tables.Candidate{newCandidate("there", idle, 0, now), newCandidate("here", slow, 2*time.Second, now)}, 1},
		{"same data centre full: the other one", []tables.Candidate{newCandidate("there", idle, 0, now), newCandidate("here", full, 0, now)}, 0},
		{"no candidate", nil, NoCandidate},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			req := &RoutedRequest{Now: now, CandidateSet: s.candidates, Location: proximity.Location{DataCentre: "here"}, CrossingCost: CrossingCosts{proximity.Region: 2 * work / 3, proximity.OtherRegion: 2 * work}, Work: work, Soft: true, SoftSlowdown: 1.8, UsableShare: 0.8}
			for seed := range uint64(20) {
				test.Eq(t, s.wantIndex, PickRouted(req, rand.New(rand.NewPCG(1, seed))).Index)
			}
		})
	}
}

// TestCrossingCostDependsOnProximity compares three backend servers that differ only in
// their proximity and in the number of running requests.
func TestCrossingCostDependsOnProximity(t *testing.T) {
	now := int64(time.Hour)
	server := func(dataCentre, region string, running uint32) tables.Candidate {
		c := newCandidate(dataCentre, wire.Stamp{Limit: 10, Running: running, Slowdown: 100}, 0, now)
		c.Endpoint.Region = region
		return c
	}
	for _, s := range []struct {
		name                                    string
		sameDataCentre, sameRegion, otherRegion uint32
		wantIndex                               int
	}{
		{"all idle: the same data centre", 0, 0, 0, 0},
		{"same data centre busier than the cheap crossing costs: the region", 15, 0, 0, 1},
		{"region as busy: the same data centre", 15, 15, 0, 0},
		{"both busier than the expensive crossing costs: the other region", 35, 35, 0, 2},
	} {
		req := &RoutedRequest{
			Now: now, CandidateSet: []tables.Candidate{server("a", "r", s.sameDataCentre), server("b", "r", s.sameRegion), server("c", "x", s.otherRegion)},
			Location: newLocation("a", "r"), Work: work, CrossingCost: newCrossingCosts(work/4, 2*work),
		}
		for seed := range uint64(20) {
			test.Eq(t, s.wantIndex, PickRouted(req, rand.New(rand.NewPCG(1, seed))).Index, test.Sprint(s.name))
		}
	}
}

func newLocation(dataCentre, region string) proximity.Location {
	return proximity.Location{DataCentre: dataCentre, Region: region}
}

func newCrossingCosts(region, other time.Duration) CrossingCosts {
	return CrossingCosts{proximity.Region: region, proximity.OtherRegion: other}
}

func TestPickRoutedSkipsCandidatesThatMayNotBePicked(t *testing.T) {
	now := int64(time.Hour)
	idle := wire.Stamp{Limit: 10, Slowdown: 100}
	req := &RoutedRequest{
		Now: now, CandidateSet: []tables.Candidate{newCandidate("here", idle, 0, now), newCandidate("there", idle, 0, now), newCandidate("far", idle, 0, now)},
		Excluded: IndexSet(0).With(0), Allowed: []string{"here", "far"}, Location: proximity.Location{DataCentre: "here"}, Work: work,
	}
	test.Eq(t, 2, PickRouted(req, RuntimeRandom{}).Index)
	req.Evacuated = evacuation.Set{}.With(1, []evacuation.Change{{DataCentre: "far", Evacuated: true}})
	test.Eq(t, NoCandidate, PickRouted(req, RuntimeRandom{}).Index)
	req.Evacuated = evacuation.Set{}
	req.Excluded = req.Excluded.With(2)
	test.Eq(t, NoCandidate, PickRouted(req, RuntimeRandom{}).Index)
}

func TestPickRoutedSpreadsRequestsOverEqualCandidates(t *testing.T) {
	now := int64(time.Hour)
	idle := wire.Stamp{Limit: 10, Slowdown: 100}
	req := &RoutedRequest{Now: now, CandidateSet: []tables.Candidate{newCandidate("here", idle, 0, now), newCandidate("here", idle, 0, now)}, Location: proximity.Location{DataCentre: "here"}, Work: work}
	counts := [2]int{}
	for range 200 {
		counts[PickRouted(req, RuntimeRandom{}).Index]++
	}
	test.Between(t, 50, counts[0], 150)
}
