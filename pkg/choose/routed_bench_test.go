package choose

import (
	"testing"
	"time"

	"github.com/rushramp/rushramp/pkg/evacuation"
	"github.com/rushramp/rushramp/pkg/proximity"
	"github.com/rushramp/rushramp/pkg/tables"
	"github.com/rushramp/rushramp/pkg/wire"
)

// BenchmarkPickRouted picks among as many candidates as a subset has, with and without
// an evacuated data centre.
func BenchmarkPickRouted(b *testing.B) {
	now := int64(time.Hour)
	var subset []tables.Candidate
	for n := range 36 {
		dataCentre := []string{"here", "there", "far"}[n%3]
		subset = append(subset, newCandidate(dataCentre, wire.Stamp{Limit: 8, Running: uint32(n % 6), Slowdown: 100}, time.Duration(n)*time.Millisecond, now))
	}
	for name, evacuated := range map[string]evacuation.Set{
		"none evacuated": {},
		"one evacuated":  evacuation.Set{}.With(1, []evacuation.Change{{DataCentre: "far", Evacuated: true}}),
	} {
		b.Run(name, func(b *testing.B) {
			req := &RoutedRequest{
				Now: now, CandidateSet: subset, Location: proximity.Location{DataCentre: "here"}, CrossingCost: CrossingCosts{proximity.Region: work, proximity.OtherRegion: 2 * work}, Work: work, Soft: true, SoftSlowdown: 1.8, UsableShare: 0.8,
				TimeToTarget: 4 * work, TimeToDeadline: 8 * work, Evacuated: evacuated,
			}
			b.ReportAllocs()
			for b.Loop() {
				PickRouted(req, RuntimeRandom{})
			}
		})
	}
}
