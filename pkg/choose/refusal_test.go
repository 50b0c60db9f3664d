package choose

import (
	"testing"
	"time"

	"github.com/shoenig/test"

	"github.com/rushramp/rushramp/pkg/proximity"
	"github.com/rushramp/rushramp/pkg/tables"
	"github.com/rushramp/rushramp/pkg/wire"
)

// TestPickRoutedSkipsGatesThatWouldRefuse: a refusal costs its bytes and a round
// trip, so an entry that has just heard of a full gate does not ask it.
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
		{"idle, soft", idle, fresh, true, false, time.Second, 0, false},
		{"slowed, soft", slowed, fresh, true, false, time.Second, 0, true},
		{"slowed a while ago, soft", slowed, stale, true, false, time.Second, 0, false},
		{"slowed, in earnest", slowed, fresh, false, false, time.Second, 0, false},
		{"full, soft", full, fresh, true, false, time.Second, 0, true},
		{"full, soft, where it may wait", full, fresh, true, true, time.Second, 0, false},
		{"full, in earnest", full, fresh, false, false, time.Second, 0, false},
		{"full a while ago, soft", full, stale, true, false, time.Second, 0, false},
		{"would end too late", longQueue, fresh, false, false, 5 * work, 0, true},
		{"would end in time", longQueue, fresh, false, false, 10 * work, 0, false},
		{"no bound", longQueue, fresh, false, false, 0, 0, false},
		{"a while ago it would have ended too late", longQueue, stale, false, false, 5 * work, 0, false},
		{"its run alone is too long now", slowed, fresh, false, false, 4*work - 1, 0, true},
		{"its run is expected just in time, where a slot is free", slowed, fresh, false, false, 4 * work, 0, false},
		{"the same, where it would wait", wire.Stamp{Limit: 8, Running: 8, Slowdown: 400}, fresh, false, false, 5 * work, 0, true},
		{"too long now, where slots are free and the deadline is far", slowed, fresh, false, false, 4*work - 1, 6 * work, false},
		{"too long now, and the deadline would pass", slowed, fresh, false, false, 3 * work, 4 * work, true},
		{"would end too late behind others", longQueue, fresh, false, false, 5 * work, time.Hour, true},
		{"never heard of", wire.Stamp{}, 0, true, false, work, 0, false},
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
