package choose

import (
	"math"
	"time"

	"github.com/rushramp/rushramp/pkg/gate"
	"github.com/rushramp/rushramp/pkg/proximity"
	"github.com/rushramp/rushramp/pkg/tables"
)

// maxRefusedNearer is how many attempts of a request with a large body may queue nearer and be
// refused before it crosses. Otherwise a data centre with many busy backend servers could use
// up the attempts of a request that another data centre would serve.
const maxRefusedNearer = 3

// AttemptRequest is the input of PickAttempt, which ignores Soft of the RoutedRequest.
type AttemptRequest struct {
	RoutedRequest
	// MaySoft is true while the request may make soft attempts. SoftRefused holds the
	// candidates that have refused one.
	MaySoft     bool
	SoftRefused IndexSet
	// AboveMean is true for a request that moves more bytes than the mean. Only such
	// requests queue nearer to save the cost of a crossing to another region: if small ones
	// did too, a region with a burst of callers would queue requests, and answer them late,
	// while other regions have free capacity.
	AboveMean bool
	// LargeBody is true for a request whose body is sent only when the executor grants it.
	// Such requests also queue in their own data centre to save a crossing within the region.
	LargeBody bool
	// RefusedNearer counts the attempts of a request with a large body that queued nearer and
	// were refused.
	RefusedNearer int
	// Transfer is the expected time of the transfer of a large body to a nearer candidate whose
	// stamp does not tell it.
	Transfer time.Duration
	// LongestWait is the longest expected wait with which gates admit a request; 0: any.
	LongestWait time.Duration
}

// Crossing says how PickAttempt weighed queueing nearer against a crossing.
type Crossing uint8

// The results of the comparison.
const (
	// NotWeighed: the cheapest attempt stays in the data centre, or the request is one that
	// does not queue to save a crossing.
	NotWeighed Crossing = iota
	// QueuesNearer: the request queues nearer instead of crossing.
	QueuesNearer
	// NoneNearer: no nearer candidate may get the request, or several have refused it.
	NoneNearer
	// CostsMore: the expected time of queueing nearer exceeds that of the crossing by more
	// than the crossing costs.
	CostsMore
	// EndsTooLate: queueing nearer would end too late, or its gates are known to refuse the
	// request because it would.
	EndsTooLate
	crossingCount
)

// String returns the name of the result in metrics and log lines.
func (c Crossing) String() string {
	return [...]string{"not_weighed", "queues_nearer", "none_nearer", "costs_more", "too_late", "unknown"}[min(c, crossingCount)]
}

// AttemptPick is the result of PickAttempt.
type AttemptPick struct {
	RoutedPick
	// Soft is true for an attempt that a busy gate should refuse at once.
	Soft     bool
	Crossing Crossing
}

// PickAttempt chooses the candidate of an attempt and whether the attempt is soft. While soft
// attempts are left, it prefers one at a candidate that has not refused any. Otherwise it
// takes any candidate that is not excluded, and the request may queue there. A request whose
// bytes are expensive goes farther away only where queueing nearer costs more or would end too
// late. Source: docs/design/uneven-demand.md.
func PickAttempt(req *AttemptRequest, rnd Random) AttemptPick {
	queueing := req.RoutedRequest
	queueing.Soft = false
	pick := req.pickSoft(rnd)
	if !pick.Soft {
		pick.RoutedPick = PickRouted(&queueing, rnd)
	}
	if !req.mayQueueNearer(&pick) {
		return pick
	}
	if req.RefusedNearer >= maxRefusedNearer {
		pick.Crossing = NoneNearer
		return pick
	}
	if req.LargeBody {
		queueing.NearerThan = pick.Proximity
	}
	queued := PickRouted(&queueing, rnd)
	pick.Crossing = req.weigh(&pick.RoutedPick, &queued)
	if pick.Crossing == QueuesNearer {
		return AttemptPick{RoutedPick: queued, Crossing: QueuesNearer}
	}
	return pick
}

// pickSoft chooses the candidate of a soft attempt. Soft of the result is false if the request
// makes none.
func (r *AttemptRequest) pickSoft(rnd Random) AttemptPick {
	if !r.MaySoft {
		return AttemptPick{}
	}
	soft := r.RoutedRequest
	soft.Soft = true
	soft.Excluded |= r.SoftRefused
	pick := PickRouted(&soft, rnd)
	return AttemptPick{RoutedPick: pick, Soft: pick.Index != NoCandidate}
}

// mayQueueNearer reports whether the request may queue nearer instead of taking a pick. Where
// no soft attempt is left, all gates are busy, and PickRouted compares their queues.
func (r *AttemptRequest) mayQueueNearer(pick *AttemptPick) bool {
	if !pick.Soft {
		return false
	}
	return r.LargeBody && pick.Proximity > proximity.SameDataCentre || r.AboveMean && pick.Proximity == proximity.OtherRegion
}

// weigh compares a soft attempt farther away with queueing at another candidate. Queueing must
// be nearer and cost less, and must end in time, so that no request is late because of the cost
// of a crossing.
func (r *AttemptRequest) weigh(crossing, queued *RoutedPick) Crossing {
	switch {
	case queued.Index == NoCandidate && queued.PassedOver == 0:
		return NoneNearer
	case queued.Index == NoCandidate:
		return EndsTooLate
	case queued.Proximity >= crossing.Proximity, r.costOfQueueing(queued) >= crossing.Cost:
		return CostsMore
	case r.neededToQueue(queued) > float64(r.TimeToTarget):
		return EndsTooLate
	}
	return QueuesNearer
}

// costOfQueueing returns the cost of queueing at a candidate, in nanoseconds. For a request
// with a large body, the wait is computed as its gate computes it.
func (r *AttemptRequest) costOfQueueing(queued *RoutedPick) float64 {
	load, link, fresh := r.freshLoad(queued)
	if !fresh {
		return queued.Cost
	}
	return queued.Cost - queued.ExpectedTime + r.timeAtGate(&load, &link, 1) + r.timeBesidesGate(&load, &link)
}

// neededToQueue returns the time that a request must have left to queue at a candidate, in
// nanoseconds, with the margin that gates allow for the spread of run times. A large body
// arrives while the request waits for its start.
func (r *AttemptRequest) neededToQueue(queued *RoutedPick) float64 {
	needed := gate.RunTimeMargin * queued.ExpectedTime
	if !r.LargeBody {
		return needed
	}
	load, link, fresh := r.freshLoad(queued)
	if fresh {
		needed = r.neededTime(&load, &link) + r.timeBesidesGate(&load, &link)
	}
	run := gate.RunTimeMargin * float64(r.Work)
	if r.LongestWait > 0 && needed-run > gate.RunTimeMargin*float64(r.LongestWait) {
		return math.Inf(1)
	}
	if link.transfer > 0 {
		return needed
	}
	return max(needed, run+float64(r.Transfer))
}

// timeBesidesGate returns what is added to the time at a gate, in nanoseconds: the round trip,
// the delay of the links, and the penalties for a server that fails or does not answer.
func (r *AttemptRequest) timeBesidesGate(load *tables.LoadSnapshot, link *linkTimes) float64 {
	return r.addPenalties(float64(load.MinRTT)+link.delay+link.ownDelay, load, r.expectedRunTime(load))
}

// freshLoad returns the load of a candidate at which a request with a large body may queue,
// and what links add to its time there. fresh is false for other requests, and if no recent
// stamp shows the queue.
func (r *AttemptRequest) freshLoad(queued *RoutedPick) (load tables.LoadSnapshot, link linkTimes, fresh bool) {
	if !r.LargeBody {
		return load, link, false
	}
	candidate := &r.CandidateSet[queued.Index]
	candidate.Load.SnapshotInto(r.Now, &load)
	link = r.linkTimesTo(candidate.Endpoint, &load)
	return load, link, load.StampReceivedAt != 0 && r.Now-load.StampReceivedAt <= int64(maxStampAge)
}
