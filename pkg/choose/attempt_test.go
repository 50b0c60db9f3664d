package choose

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test"
	"pgregory.net/rapid"

	"github.com/rushramp/rushramp/pkg/gate"
	"github.com/rushramp/rushramp/pkg/proximity"
	"github.com/rushramp/rushramp/pkg/tables"
	"github.com/rushramp/rushramp/pkg/wire"
)

func TestTheCostOfACrossingMakesNoRequestLate(t *testing.T) {
	crossing := RoutedPick{Index: 1, Proximity: proximity.OtherRegion, Cost: 1000, ExpectedTime: 100}
	for _, s := range []struct {
		name   string
		queued RoutedPick
		within time.Duration
		want   bool
	}{
		{"cheaper and in time", RoutedPick{Proximity: proximity.Region, Cost: 500, ExpectedTime: 500}, 800, true},
		{"cheaper, but too late with the spread of run times", RoutedPick{Proximity: proximity.Region, Cost: 500, ExpectedTime: 500}, 600, false},
		{"more expensive", RoutedPick{Proximity: proximity.Region, Cost: 1500, ExpectedTime: 1500}, 9000, false},
		{"cheaper, but no nearer", RoutedPick{Proximity: proximity.OtherRegion, Cost: 500, ExpectedTime: 500}, 800, false},
		{"no candidate to queue at", RoutedPick{Index: NoCandidate}, 9000, false},
		{"already late", RoutedPick{Proximity: proximity.Region, Cost: 500, ExpectedTime: 500}, -1, false},
	} {
		test.Eq(t, s.want, (&AttemptRequest{RoutedRequest: RoutedRequest{TimeToTarget: s.within}}).weigh(&crossing, &s.queued) == QueuesNearer, test.Sprint(s.name))
	}
}

// pickBefore is the choice of the release before large bodies queued nearer within a region.
func pickBefore(req *AttemptRequest, rnd Random) (pick RoutedPick, soft bool) {
	choice := req.RoutedRequest
	if req.MaySoft {
		choice.Soft = true
		choice.Excluded = req.SoftRefused | req.Excluded
		if pick = PickRouted(&choice, rnd); pick.Index != NoCandidate && pick.Proximity != proximity.OtherRegion {
			return pick, true
		}
	}
	crosses := choice.Soft && pick.Index != NoCandidate
	if crosses && !req.AboveMean {
		return pick, true
	}
	queueChoice := choice
	queueChoice.Soft = false
	queueChoice.Excluded = req.Excluded
	queued := PickRouted(&queueChoice, rnd)
	nearer := queued.Index != NoCandidate && queued.Proximity < pick.Proximity
	inTime := gate.RunTimeMargin*queued.ExpectedTime <= float64(choice.TimeToTarget)
	if crosses && !(nearer && queued.Cost < pick.Cost && inTime) {
		return pick, true
	}
	return queued, false
}

// drawAttemptRequest draws candidates in three places with loads and an attempt at them.
func drawAttemptRequest(t *rapid.T) *AttemptRequest {
	now := int64(time.Hour)
	req := &AttemptRequest{
		RoutedRequest: RoutedRequest{
			Now: now, Location: newLocation("a", "r"), Work: work, SoftSlowdown: 1.8, UsableShare: 0.8,
			Excluded:       IndexSet(rapid.Uint64Range(0, 255).Draw(t, "excluded")),
			TimeToTarget:   time.Duration(rapid.IntRange(-100, 2000).Draw(t, "target")) * time.Millisecond,
			TimeToDeadline: 2 * time.Second,
			CrossingCost:   newCrossingCosts(time.Duration(rapid.IntRange(0, 1000).Draw(t, "region"))*time.Millisecond, time.Duration(rapid.IntRange(0, 3000).Draw(t, "other"))*time.Millisecond),
		},
		MaySoft: rapid.Bool().Draw(t, "may soft"), SoftRefused: IndexSet(rapid.Uint64Range(0, 255).Draw(t, "soft refused")),
		AboveMean: rapid.Bool().Draw(t, "above mean"),
	}
	for i := range rapid.IntRange(0, 8).Draw(t, "candidates") {
		stamp := wire.Stamp{Limit: 4, Running: uint32(rapid.IntRange(0, 4).Draw(t, "running")), Queued: uint32(rapid.IntRange(0, 20).Draw(t, "queued")), Slowdown: uint32(rapid.IntRange(100, 300).Draw(t, "slowdown"))}
		c := newCandidate([]string{"a", "b", "c"}[i%3], stamp, time.Duration(rapid.IntRange(0, 300).Draw(t, "age"))*time.Millisecond, now)
		c.Endpoint.Region = []string{"r", "r", "x"}[i%3]
		req.CandidateSet = append(req.CandidateSet, c)
	}
	return req
}

// TestRequestsWithoutLargeBodiesChooseAsBefore also covers deployments in which no body waits
// for a grant.
func TestRequestsWithoutLargeBodiesChooseAsBefore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		req := drawAttemptRequest(t)
		seed := rapid.Uint64().Draw(t, "seed")
		rnd, rndBefore := rand.New(rand.NewPCG(seed, 1)), rand.New(rand.NewPCG(seed, 1))
		got := PickAttempt(req, rnd)
		want, soft := pickBefore(req, rndBefore)
		test.Eq(t, want, got.RoutedPick)
		test.Eq(t, soft, got.Soft)
		test.Eq(t, rndBefore.Uint64(), rnd.Uint64(), test.Sprint("the choice took other random numbers"))
	})
}

// TestLargeBodiesCrossOnlyWhereQueueingNearerIsWorse checks the rule against its definition.
func TestLargeBodiesCrossOnlyWhereQueueingNearerIsWorse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		req := drawAttemptRequest(t)
		req.LargeBody = true
		req.Transfer = time.Duration(rapid.IntRange(0, 500).Draw(t, "transfer")) * time.Millisecond
		got := PickAttempt(req, RuntimeRandom{})
		if got.Crossing == QueuesNearer {
			test.False(t, got.Soft, test.Sprint("a soft attempt could not queue"))
			test.Less(t, proximity.OtherRegion, got.Proximity)
			test.LessEq(t, req.TimeToTarget, req.Work+req.Transfer)
		}
		if got.Index == NoCandidate {
			before, _ := pickBefore(req, RuntimeRandom{})
			test.Eq(t, NoCandidate, before.Index, test.Sprint("the price of a crossing refused a request"))
		}
	})
}

func TestLargeBodiesQueueNearerWithinTheRegion(t *testing.T) {
	now := int64(time.Hour)
	queue := func(queued uint32) wire.Stamp {
		return wire.Stamp{Limit: 10, Running: 10, Queued: queued, Slowdown: 100}
	}
	idle := wire.Stamp{Limit: 10, Slowdown: 100}
	for _, s := range []struct {
		name         string
		near, near2  uint32
		cost         time.Duration
		within       time.Duration
		transfer     time.Duration
		longestWait  time.Duration
		large        bool
		wantIndex    int
		wantSoft     bool
		wantCrossing Crossing
	}{
		{"queues where it starts first", 19, 9, 10 * work, 8 * work, 0, 0, true, 1, false, QueuesNearer},
		{"small body crosses", 19, 9, 10 * work, 8 * work, 0, 0, false, 2, true, NotWeighed},
		{"crossing costs less", 19, 9, work / 2, 8 * work, 0, 0, true, 2, true, CostsMore},
		{"would end too late", 39, 29, 10 * work, 4 * work, 0, 0, true, 2, true, EndsTooLate},
		{"in time with the margin", 21, 21, 10 * work, 42 * work / 10, 0, 0, true, 0, false, QueuesNearer},
		{"in time only without the margin", 21, 21, 10 * work, 41 * work / 10, 0, 0, true, 2, true, EndsTooLate},
		{"transfer within the wait", 9, 9, 10 * work, 8 * work, work, 0, true, 0, false, QueuesNearer},
		{"transfer too long", 9, 9, 10 * work, 8 * work, 7 * work, 0, true, 2, true, EndsTooLate},
		{"gates admit no such wait", 19, 19, 10 * work, 8 * work, 0, work, true, 2, true, EndsTooLate},
	} {
		req := &AttemptRequest{
			RoutedRequest: RoutedRequest{
				Now: now, CandidateSet: []tables.Candidate{newCandidate("a", queue(s.near), 0, now), newCandidate("a", queue(s.near2), 0, now), newCandidate("b", idle, 0, now)},
				Location: newLocation("a", ""), CrossingCost: newCrossingCosts(s.cost, s.cost), Work: work, SoftSlowdown: 1.8, UsableShare: 0.8,
				TimeToTarget: s.within, TimeToDeadline: 20 * work,
			},
			MaySoft: true, LargeBody: s.large, Transfer: s.transfer, LongestWait: s.longestWait,
		}
		got := PickAttempt(req, rand.New(rand.NewPCG(1, 1)))
		if s.near == s.near2 && got.Index == 1 {
			got.Index = 0
		}
		test.Eq(t, s.wantIndex, got.Index, test.Sprint(s.name))
		test.Eq(t, s.wantSoft, got.Soft, test.Sprint(s.name))
		test.Eq(t, s.wantCrossing, got.Crossing, test.Sprint(s.name))
	}
}

// TestLargeBodiesDoNotQueueAtServersThatFail guards against losing requests at a backend server
// that fails all of them while another data centre is idle.
func TestLargeBodiesDoNotQueueAtServersThatFail(t *testing.T) {
	now := int64(time.Hour)
	for _, fails := range []bool{false, true} {
		near := newCandidate("a", wire.Stamp{Limit: 10, Running: 10, Queued: 9, Slowdown: 100}, 0, now)
		for range 50 {
			near.Load.RecordAnswer(fails)
		}
		got := PickAttempt(newQueueingRequest(now, near), RuntimeRandom{})
		test.Eq(t, fails, got.Index == 1)
	}
}

// newQueueingRequest returns a request with a large body that may queue at a candidate in its
// data centre or cross to an idle one.
func newQueueingRequest(now int64, near tables.Candidate) *AttemptRequest {
	far := newCandidate("b", wire.Stamp{Limit: 10, Slowdown: 100}, 0, now)
	return &AttemptRequest{
		RoutedRequest: RoutedRequest{
			Now: now, CandidateSet: []tables.Candidate{near, far}, Location: newLocation("a", ""), CrossingCost: newCrossingCosts(10*work, 10*work),
			Work: work, SoftSlowdown: 1.8, UsableShare: 0.8, TimeToTarget: 8 * work, TimeToDeadline: 20 * work, BodySize: 100_000,
		},
		MaySoft: true, LargeBody: true,
	}
}

// TestStampsOfLinksPrecedeTheMeanTransfer guards against a slow link of one VM that makes large
// bodies pass over all others of its data centre.
func TestStampsOfLinksPrecedeTheMeanTransfer(t *testing.T) {
	now := int64(time.Hour)
	for _, s := range []struct {
		rateKB uint32
		want   Crossing
	}{{0, EndsTooLate}, {100_000, QueuesNearer}} {
		near := newCandidate("a", wire.Stamp{Limit: 10, Running: 10, Queued: 9, Slowdown: 100, LinkRateKB: s.rateKB}, 0, now)
		req := newQueueingRequest(now, near)
		req.Transfer = 7 * work
		test.Eq(t, s.want, PickAttempt(req, RuntimeRandom{}).Crossing)
	}
}

// TestTheCostOfQueueingCountsTheWholeTransferAndRun: the margin of gates applies neither to
// transfers nor to runs at a free slot.
func TestTheCostOfQueueingCountsTheWholeTransferAndRun(t *testing.T) {
	now := int64(time.Hour)
	for _, s := range []struct {
		name  string
		stamp wire.Stamp
		want  time.Duration
	}{
		{"free slot", wire.Stamp{Limit: 10, Slowdown: 300}, 3 * work},
		{"transfer longer than the wait", wire.Stamp{Limit: 10, Running: 10, Slowdown: 100, LinkRateKB: uint32(100 * time.Second / (3 * work))}, 4 * work},
	} {
		near := newCandidate("a", s.stamp, 0, now)
		got := newQueueingRequest(now, near).costOfQueueing(&RoutedPick{})
		test.InDelta(t, float64(s.want+near.Load.MinRTT()), got, float64(work)/100, test.Sprint(s.name))
	}
}

// TestQueueingNearerCountsTheDelayOfLinks guards against queueing behind a slow link, be it that
// of the candidate's VM or the entry's own.
func TestQueueingNearerCountsTheDelayOfLinks(t *testing.T) {
	now := int64(time.Hour)
	near := newCandidate("a", wire.Stamp{Limit: 10, Slowdown: 100, LinkDelayMS: 300}, 0, now)
	req := newQueueingRequest(now, near)
	req.OwnVM, req.OwnLinkDelay = "own", 100*time.Millisecond
	want := float64(work + 300*time.Millisecond + near.Load.MinRTT())
	test.InDelta(t, want, req.costOfQueueing(&RoutedPick{}), float64(work)/100)
	test.InDelta(t, want, req.neededToQueue(&RoutedPick{}), float64(work)/100)
}
