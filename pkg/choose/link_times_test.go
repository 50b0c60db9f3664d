package choose

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/rushramp/rushramp/pkg/gate"
	"github.com/rushramp/rushramp/pkg/proximity"
	"github.com/rushramp/rushramp/pkg/speed"
	"github.com/rushramp/rushramp/pkg/tables"
	"github.com/rushramp/rushramp/pkg/wire"
)

// expectedTimeWithoutLinks is expectedTime as it was before stamps reported on links.
func expectedTimeWithoutLinks(r *RoutedRequest, load *tables.LoadSnapshot) float64 {
	limit := float64(load.Limit)
	inFlight := float64(load.Outstanding)
	prior := priorSlowdown
	if r.Soft {
		prior = priorSoftSlowdown
	}
	slowdown := prior
	if load.StampReceivedAt != 0 {
		age := float64(max(r.Now-load.StampReceivedAt, 0))
		inFlight = max(inFlight, decay(age/float64(max(r.Work, 1)))*float64(load.InFlight)+float64(load.SentSinceStamp))
		if load.Slowdown > 0 {
			slowdown += decay(math.Ln2*age/float64(slowdownHalfLife)) * (speed.FromPercent(load.Slowdown) - prior)
		}
	}
	runTime := float64(r.Work) * slowdown
	cost := runTime + queueWait(inFlight, limit, 1/limit, runTime) + float64(load.MinRTT)
	if noAnswer := float64(load.NoAnswerFor); noAnswer > noAnswerFactor*runTime {
		cost += noAnswer
	}
	if load.UnresponsiveFor > 0 && load.UnresponsiveFor < avoidUnresponsiveFor {
		cost += float64(avoidUnresponsiveFor)
	}
	if load.FailureShare > toleratedFailureShare {
		cost += load.FailureShare * routedFailurePenalty * float64(r.Work)
	}
	return cost
}

// wouldRefuseWithoutLinks is wouldRefuse as it was before stamps reported on links.
func wouldRefuseWithoutLinks(r *RoutedRequest, load *tables.LoadSnapshot, sameDataCentre bool) bool {
	if load.StampReceivedAt == 0 || r.Now-load.StampReceivedAt > int64(maxStampAge) {
		return false
	}
	if r.Soft {
		return r.wouldRefuseSoft(load, sameDataCentre)
	}
	needed := r.expectedRunTime(load)
	if queuedAhead := load.InFlight + load.SentSinceStamp - load.Limit + 1; queuedAhead > 0 {
		runTime := gate.RunTimeMargin * r.expectedRunTime(load)
		needed = runTime + runTime*float64(queuedAhead)/float64(load.Limit)
	}
	if r.TimeToTarget <= 0 || needed <= float64(r.TimeToTarget) {
		return false
	}
	inFlight := load.InFlight + load.SentSinceStamp
	return !(gate.AcceptsLateRuns(inFlight, load.Limit) && float64(r.TimeToDeadline) > r.expectedRunTime(load))
}

// randomLoad returns a load without anything about links.
func randomLoad(random *rand.Rand, now int64) *tables.Load {
	load := tables.NewLoad(1 + random.IntN(18))
	load.SetMinRTT(time.Duration(random.IntN(10)) * time.Millisecond)
	if random.IntN(5) > 0 {
		load.ApplyStamp(now-random.Int64N(int64(500*time.Millisecond)), wire.Stamp{
			Seq: 1, Running: uint32(random.IntN(20)), Queued: uint32(random.IntN(20)), Limit: uint32(random.IntN(18)), Slowdown: uint32(random.IntN(500)), NormalSlowdown: uint32(random.IntN(2) * 150),
		})
	}
	for range random.IntN(5) {
		load.RecordSent(now - random.Int64N(int64(time.Second)))
		load.RecordAnswer(random.IntN(2) == 0)
	}
	load.RecordOffered(random.Int64N(1 << 20))
	return load
}

// TestWithoutSlowLinksNothingChanges compares with the former decisions, for random loads and
// requests, also those with a granted body.
func TestWithoutSlowLinksNothingChanges(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	now := int64(time.Hour)
	for range 20_000 {
		load := randomLoad(random, now).Snapshot(now)
		req := &RoutedRequest{
			Now: now, Work: time.Duration(1 + random.Int64N(int64(200*time.Millisecond))), Soft: random.IntN(2) == 0, SoftSlowdown: 1.8, UsableShare: 0.8,
			TimeToTarget: time.Duration(random.Int64N(int64(time.Second))) - 100*time.Millisecond, TimeToDeadline: time.Duration(random.Int64N(int64(2 * time.Second))),
			BodySize: random.Int64N(2) * 360_000, OwnVM: "own",
		}
		link := req.linkTimesTo(&tables.Endpoint{VM: "other"}, &load)
		must.Eq(t, linkTimes{}, link)
		must.Eq(t, expectedTimeWithoutLinks(req, &load), req.expectedTime(&load, &link))
		sameDataCentre := random.IntN(2) == 0
		must.Eq(t, wouldRefuseWithoutLinks(req, &load, sameDataCentre), req.wouldRefuse(&load, &link, sameDataCentre))
	}
}

// shortCall returns a call with 30 ms of work and 260 ms left.
func shortCall(now int64, soft bool, candidates ...tables.Candidate) *RoutedRequest {
	return &RoutedRequest{
		Now: now, CandidateSet: candidates, Location: proximity.Location{DataCentre: "here"}, Work: 30 * time.Millisecond,
		Soft: soft, SoftSlowdown: 1.8, UsableShare: 0.8, TimeToTarget: 260 * time.Millisecond, TimeToDeadline: 260 * time.Millisecond,
	}
}

// TestASlowLinkGetsNoShortCallsUntilItsDelayHasGone while the other backend server is as busy
// as its slots allow, and gets its share again later.
func TestASlowLinkGetsNoShortCallsUntilItsDelayHasGone(t *testing.T) {
	stampedAt := int64(time.Hour)
	slow := newCandidate("here", wire.Stamp{Limit: 6, Slowdown: 100, LinkDelayMS: 400}, 0, stampedAt)
	for _, s := range []struct {
		age       time.Duration
		gotByslow bool
	}{{0, false}, {50 * time.Millisecond, false}, {300 * time.Millisecond, false}, {700 * time.Millisecond, false}, {2500 * time.Millisecond, true}} {
		now := stampedAt + int64(s.age)
		free := newCandidate("here", wire.Stamp{Limit: 6, Running: 4, Slowdown: 100}, 0, now)
		counts := [2]int{}
		for seed := range uint64(100) {
			pick := PickRouted(shortCall(now, seed%2 == 0, slow, free), rand.New(rand.NewPCG(1, seed)))
			counts[pick.Index]++
		}
		test.Eq(t, s.gotByslow, counts[0] > 0, test.Sprintf("%v: %v", s.age, counts))
	}
}

// TestADelayCountsByWhatTheRequestCanBear: no fixed limit makes a VM be passed over.
func TestADelayCountsByWhatTheRequestCanBear(t *testing.T) {
	now := int64(time.Hour)
	slow := newCandidate("here", wire.Stamp{Limit: 6, Slowdown: 100, LinkDelayMS: 240}, 0, now)
	for _, soft := range []bool{false, true} {
		call := shortCall(now, soft, slow)
		pick := PickRouted(call, RuntimeRandom{})
		test.Eq(t, NoCandidate, pick.Index, test.Sprint("240 ms and a run of 30 ms do not fit in 260 ms"))
		test.Eq(t, 1, pick.PassedOver)
		call.TimeToTarget, call.TimeToDeadline = time.Second, time.Second
		test.Eq(t, 0, PickRouted(call, RuntimeRandom{}).Index)
	}
	old := shortCall(now+2*int64(maxStampAge), false, slow)
	test.Eq(t, 0, PickRouted(old, RuntimeRandom{}).Index, test.Sprint("an old stamp makes no request be refused"))
}

// TestABodyPrefersTheVMWhereItArrivesFirst, counting the bodies that wait there and those that
// this entry has offered since.
func TestABodyPrefersTheVMWhereItArrivesFirst(t *testing.T) {
	now := int64(time.Hour)
	narrow := wire.Stamp{Limit: 6, Slowdown: 100, LinkRateKB: 1200}
	waiting := wire.Stamp{Limit: 6, Slowdown: 100, BodyWaitMS: 600, LinkRateKB: 20_000}
	wide := wire.Stamp{Limit: 6, Running: 6, Queued: 1, Slowdown: 100}
	pick := func(size int64, candidates ...tables.Candidate) int {
		return PickRouted(&RoutedRequest{
			Now: now, CandidateSet: candidates, Location: proximity.Location{DataCentre: "here"}, Work: 120 * time.Millisecond,
			Soft: true, SoftSlowdown: 1.8, UsableShare: 0.8, TimeToTarget: 800 * time.Millisecond, TimeToDeadline: 2 * time.Second, BodySize: size,
		}, RuntimeRandom{}).Index
	}
	candidates := []tables.Candidate{newCandidate("here", narrow, 0, now), newCandidate("here", waiting, 0, now), newCandidate("here", wide, 0, now)}
	test.Eq(t, 2, pick(360_000, candidates...))
	test.Eq(t, 0, pick(360_000, candidates[:2]...), test.Sprint("0.3 s beside 0.6 s"))
	test.NotEq(t, 2, pick(0, candidates...), test.Sprint("the rate does not matter to a small body"))
	candidates[0].Load.RecordOffered(720_000)
	test.Eq(t, 1, pick(360_000, candidates[:2]...), test.Sprint("0.9 s beside 0.62 s"))
	candidates[0].Load.ApplyStamp(now, wire.Stamp{Seq: 2, Limit: 6, Slowdown: 100, LinkRateKB: 1200})
	test.Eq(t, 0, pick(360_000, candidates[:2]...), test.Sprint("a new stamp includes what was offered before"))
}

// TestABodyThatWouldArriveTooLateIsNotOffered: its gate would refuse the head, or the run would
// end too late. A body arrives while the request waits for a slot.
func TestABodyThatWouldArriveTooLateIsNotOffered(t *testing.T) {
	now := int64(time.Hour)
	const target = 800 * time.Millisecond
	for _, s := range []struct {
		name    string
		running uint32
		size    int64
		skipped bool
	}{
		{"free slot, in time", 0, 650_000, false},
		{"free slot, too late", 0, 720_000, true},
		{"no free slot, in time", 6, 600_000, false},
		{"no free slot, too late by the margin", 6, 680_000, true},
		{"no free slot, the transfer takes less time than the wait", 24, 200_000, false},
	} {
		stamp := wire.Stamp{Limit: 6, Running: s.running, Slowdown: 100, LinkRateKB: 1000}
		req := &RoutedRequest{
			Now: now, CandidateSet: []tables.Candidate{newCandidate("here", stamp, 0, now)}, Location: proximity.Location{DataCentre: "here"},
			Work: 120 * time.Millisecond, TimeToTarget: target, TimeToDeadline: target, BodySize: s.size,
		}
		test.Eq(t, s.skipped, PickRouted(req, RuntimeRandom{}).Index == NoCandidate, test.Sprint(s.name))
	}
}

// TestAnOldRateIsTriedAgain: a rate that was learnt too low would not be corrected otherwise.
func TestAnOldRateIsTriedAgain(t *testing.T) {
	now := int64(time.Hour)
	req := &RoutedRequest{Now: now, BodySize: 360_000}
	for _, s := range []struct {
		age  time.Duration
		want time.Duration
	}{{0, 860 * time.Millisecond}, {200 * time.Millisecond, 660 * time.Millisecond}, {time.Second, 360 * time.Millisecond}, {6 * time.Second, 0}} {
		load := newCandidate("here", wire.Stamp{Limit: 6, BodyWaitMS: 500, LinkRateKB: 1000}, s.age, now).Load.Snapshot(now)
		test.Eq(t, s.want, time.Duration(req.linkTimesTo(&tables.Endpoint{}, &load).transfer))
	}
}

// TestAnEntryWithASlowLinkPrefersItsOwnVM, passes over no other VM because of its own link,
// and does not count its own delay again where stamps contain it.
func TestAnEntryWithASlowLinkPrefersItsOwnVM(t *testing.T) {
	now := int64(time.Hour)
	own := newCandidate("here", wire.Stamp{Limit: 6, Running: 6, Queued: 1, Slowdown: 100}, 0, now)
	own.Endpoint.VM = "own"
	other := newCandidate("here", wire.Stamp{Limit: 6, Slowdown: 100}, 0, now)
	other.Endpoint.VM = "other"
	seesEntry := newCandidate("here", wire.Stamp{Limit: 6, Slowdown: 100, LinkDelayMS: 300}, 0, now)
	pick := func(ownDelay time.Duration, candidates ...tables.Candidate) RoutedPick {
		req := shortCall(now, true, candidates...)
		req.OwnVM, req.OwnLinkDelay = "own", ownDelay
		return PickRouted(req, RuntimeRandom{})
	}
	test.Eq(t, 1, pick(0, own, other).Index)
	test.Eq(t, 0, pick(300*time.Millisecond, own, other).Index)
	alone := pick(300*time.Millisecond, seesEntry)
	test.Eq(t, 0, alone.Index)
	test.Less(t, float64(400*time.Millisecond), alone.ExpectedTime)
	test.Eq(t, NoCandidate, pick(0, seesEntry).Index)
}
