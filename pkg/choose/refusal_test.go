package choose

import (
	"testing"
	"time"

	"github.com/shoenig/test"

	"github.com/rushramp/rushramp/pkg/proximity"
	"github.com/rushramp/rushramp/pkg/tables"
	"github.com/rushramp/rushramp/pkg/wire"
)

// TestGatesThatWouldRefuseArePassedOver: a refusal costs its bytes and a round
// trip, so an entry that has just heard of a full gate does not ask it.
func TestGatesThatWouldRefuseArePassedOver(t *testing.T) {
	now := int64(time.Hour)
	idle := wire.Stamp{Limit: 8, Slowdown: 100}
	slowed := wire.Stamp{Limit: 8, Slowdown: 400}
	full := wire.Stamp{Limit: 8, Running: 8, Slowdown: 100}
	behindMany := wire.Stamp{Limit: 8, Running: 8, Queued: 32, Slowdown: 100}
	const fresh, old = freshFor / 2, 2 * freshFor
	scenarios := []struct {
		name   string
		stamp  wire.Stamp
		age    time.Duration
		soft   bool
		near   bool
		within time.Duration
		left   time.Duration
		passed bool
	}{
		{"idle, soft", idle, fresh, true, false, time.Second, 0, false},
		{"slowed, soft", slowed, fresh, true, false, time.Second, 0, true},
		{"slowed a while ago, soft", slowed, old, true, false, time.Second, 0, false},
		{"slowed, in earnest", slowed, fresh, false, false, time.Second, 0, false},
		{"full, soft", full, fresh, true, false, time.Second, 0, true},
		{"full, soft, where it may wait", full, fresh, true, true, time.Second, 0, false},
		{"full, in earnest", full, fresh, false, false, time.Second, 0, false},
		{"full a while ago, soft", full, old, true, false, time.Second, 0, false},
		{"would end too late", behindMany, fresh, false, false, 5 * work, 0, true},
		{"would end in time", behindMany, fresh, false, false, 10 * work, 0, false},
		{"no bound", behindMany, fresh, false, false, 0, 0, false},
		{"a while ago it would have ended too late", behindMany, old, false, false, 5 * work, 0, false},
		{"its run alone is too long now", slowed, fresh, false, false, 4*work - 1, 0, true},
		{"its run is expected just in time, where a slot is free", slowed, fresh, false, false, 4 * work, 0, false},
		{"the same, where it would wait", wire.Stamp{Limit: 8, Running: 8, Slowdown: 400}, fresh, false, false, 5 * work, 0, true},
		{"too long now, where slots are free and the deadline is far", slowed, fresh, false, false, 4*work - 1, 6 * work, false},
		{"too long now, and the deadline would pass", slowed, fresh, false, false, 3 * work, 4 * work, true},
		{"would end too late behind others", behindMany, fresh, false, false, 5 * work, time.Hour, true},
		{"never heard of", wire.Stamp{}, 0, true, false, work, 0, false},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			dataCentre := "there"
			if s.near {
				dataCentre = "here"
			}
			candidate := at(dataCentre, s.stamp, s.age, now)
			req := &RoutedRequest{
				Now: now, CandidateSet: []tables.Candidate{candidate}, Location: proximity.Location{DataCentre: "here"}, Work: work,
				Soft: s.soft, SoftSlowdown: 1.8, UsableShare: 0.8, TimeToTarget: s.within, TimeToDeadline: s.left,
			}
			pick := PickRouted(req, RuntimeRandom{})
			test.Eq(t, s.passed, pick.Index == NoCandidate)
			test.Eq(t, s.passed, pick.PassedOver == 1)
		})
	}
}
