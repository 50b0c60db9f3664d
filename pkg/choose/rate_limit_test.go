package choose

import (
	"testing"
	"time"

	"github.com/shoenig/test"

	"github.com/rushramp/rushramp/pkg/proximity"
	"github.com/rushramp/rushramp/pkg/tables"
	"github.com/rushramp/rushramp/pkg/wire"
)

// limitedStamp returns the stamp of an idle gate with a rate limit of 5 calls a second.
func limitedStamp(tokens float64) wire.Stamp {
	stamp := wire.Stamp{Limit: 8, Slowdown: 100}
	stamp.SetStartRate(5, tokens)
	return stamp
}

// TestPickRoutedKeepsToRateLimits: a backend server without a token is passed over by soft
// attempts, and by others if its token comes too late for the target.
func TestPickRoutedKeepsToRateLimits(t *testing.T) {
	now := int64(time.Hour)
	const target = 300 * time.Millisecond
	scenarios := []struct {
		name    string
		stamp   wire.Stamp
		age     time.Duration
		sent    int
		soft    bool
		skipped bool
	}{
		{"soft: a token is left", limitedStamp(1), 0, 0, true, false},
		{"soft: this entry has used the last token", limitedStamp(1), 0, 1, true, true},
		{"soft: no token", limitedStamp(0.5), 0, 0, true, true},
		{"soft: a token has come since", limitedStamp(0.5), 100 * time.Millisecond, 0, true, false},
		{"soft: no token by an old stamp", limitedStamp(-40), 2 * time.Second, 0, true, false},
		{"not soft: a token comes in time", limitedStamp(0.5), 0, 0, false, false},
		{"not soft: a token comes too late", limitedStamp(-1), 0, 0, false, true},
		{"not soft: a token comes in time by now", limitedStamp(-1), 300 * time.Millisecond, 0, false, false},
		{"no limit", wire.Stamp{Limit: 8, Slowdown: 100}, 0, 3, true, false},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			candidate := newCandidate("here", s.stamp, s.age, now)
			for range s.sent {
				candidate.Load.RecordSent(now)
			}
			pick := PickRouted(&RoutedRequest{
				Now: now, CandidateSet: []tables.Candidate{candidate}, Location: proximity.Location{DataCentre: "here"}, Work: work,
				Soft: s.soft, SoftSlowdown: 1.8, UsableShare: 0.8, TimeToTarget: target, TimeToDeadline: time.Second,
			}, RuntimeRandom{})
			test.Eq(t, s.skipped, pick.Index == NoCandidate)
			test.Eq(t, s.skipped, pick.PassedOver == 1)
		})
	}
}

// TestWaitForATokenCountsInTheExpectedTime: a request that may queue prefers a backend server
// with a queue that is shorter than the wait for the token of an idle one.
func TestWaitForATokenCountsInTheExpectedTime(t *testing.T) {
	now := int64(time.Hour)
	queued := newCandidate("here", wire.Stamp{Limit: 8, Running: 8, Slowdown: 100}, 0, now)
	for tokens, want := range map[float64]int{1: 0, 0.5: 1} {
		pick := PickRouted(&RoutedRequest{
			Now: now, CandidateSet: []tables.Candidate{newCandidate("here", limitedStamp(tokens), 0, now), queued},
			Location: proximity.Location{DataCentre: "here"}, Work: work, TimeToTarget: time.Second, TimeToDeadline: time.Second,
		}, RuntimeRandom{})
		test.Eq(t, want, pick.Index, test.Sprintf("%v tokens", tokens))
	}
}
