package choose

import (
	"testing"
	"time"

	"github.com/shoenig/test"

	"github.com/rushramp/rushramp/pkg/proximity"
	"github.com/rushramp/rushramp/pkg/tables"
	"github.com/rushramp/rushramp/pkg/wire"
)

// TestPickRoutedSkipsGatesThatWouldRefuse checks that an entry does not ask a gate whose
// recent stamp shows that it would refuse, since a refusal costs bytes and a round trip.
func TestPickRoutedSkipsGatesThatWouldRefuse(t *testing.T) {
	now := int64(time.Hour)
	idle := wire.Stamp{Limit: 8, Slowdown: 100}
	slowed := wire.Stamp{Limit: 8, Slowdown: 400}
	full := wire.Stamp{Limit: 8, Running: 8, Slowdown: 100}
	longQueue := wire.Stamp{Limit: 8, Running: 8, Queued: 32, Slowdown: 100}
	const fresh, stale = maxStampAge / 2, 2 * maxStampAge
	scenarios := []struct {
		name           string
		stamp          wire.Stamp
		age            time.Duration
		soft           bool
		sameDataCentre bool
		timeToTarget   time.Duration
		timeToDeadline time.Duration
		skipped        bool
	}{
		{"soft: idle", idle, fresh, true, false, time.Second, 0, false},
		{"soft: slowed", slowed, fresh, true, false, time.Second, 0, true},
		{"soft: slowed by an old stamp", slowed, stale, true, false, time.Second, 0, false},
		{"not soft: slowed", slowed, fresh, false, false, time.Second, 0, false},
		{"soft: full", full, fresh, true, false, time.Second, 0, true},
		{"soft: full, in the same data centre, where it may queue", full, fresh, true, true, time.Second, 0, false},
		{"not soft: full", full, fresh, false, false, time.Second, 0, false},
		{"soft: full by an old stamp", full, stale, true, false, time.Second, 0, false},
		{"queue too long for the target", longQueue, fresh, false, false, 5 * work, 0, true},
		{"queue short enough for the target", longQueue, fresh, false, false, 10 * work, 0, false},
		{"long queue without a target", longQueue, fresh, false, false, 0, 0, false},
		{"queue too long by an old stamp", longQueue, stale, false, false, 5 * work, 0, false},
		{"free slot: run longer than the target", slowed, fresh, false, false, 4*work - 1, 0, true},
		{"free slot: run as long as the target", slowed, fresh, false, false, 4 * work, 0, false},
		{"no free slot: run shorter than the target, but not by the margin", wire.Stamp{Limit: 8, Running: 8, Slowdown: 400}, fresh, false, false, 5 * work, 0, true},
		{"free slots: run longer than the target, ends before the deadline", slowed, fresh, false, false, 4*work - 1, 6 * work, false},
		{"free slots: run longer than the target, ends at the deadline", slowed, fresh, false, false, 3 * work, 4 * work, true},
		{"queue too long for the target, deadline far", longQueue, fresh, false, false, 5 * work, time.Hour, true},
		{"no stamp", wire.Stamp{}, 0, true, false, work, 0, false},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			dataCentre := "there"
			if s.sameDataCentre {
				dataCentre = "here"
			}
			candidate := newCandidate(dataCentre, s.stamp, s.age, now)
			req := &RoutedRequest{
				Now: now, CandidateSet: []tables.Candidate{candidate}, Location: proximity.Location{DataCentre: "here"}, Work: work,
				Soft: s.soft, SoftSlowdown: 1.8, UsableShare: 0.8, TimeToTarget: s.timeToTarget, TimeToDeadline: s.timeToDeadline,
			}
			pick := PickRouted(req, RuntimeRandom{})
			test.Eq(t, s.skipped, pick.Index == NoCandidate)
			test.Eq(t, s.skipped, pick.PassedOver == 1)
		})
	}
}
