package entry

import (
	"context"
	"time"

	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/choose"
	"github.com/rushramp/rushramp/pkg/errkind"
	"github.com/rushramp/rushramp/pkg/measure"
	"github.com/rushramp/rushramp/pkg/quarantine"
	"github.com/rushramp/rushramp/pkg/rollout"
	"github.com/rushramp/rushramp/pkg/tables"
	"github.com/rushramp/rushramp/pkg/wire"
)

// try is one call's attempts. Source: docs/design/retries.md.
type try struct {
	owner  *Entry
	ctx    context.Context
	plan   *AdmittedCall
	body   []byte
	budget *budget
	req    choose.Request
	// tried are the candidates that refused this call, or were silent.
	tried choose.IndexSet
	// lane is the side of the service's roll-out on which the next attempt goes.
	lane rollout.Lane
	// claim is the generation of the key in which the next attempt may run.
	claim wire.Claim
	// attempts counts those that were begun.
	attempts int
	// left is how many attempts remain, a soft one not counted.
	left int
	// soft is true while the next attempt is refused at once by a gate that is
	// busier than believed.
	soft bool
}

func (t *try) run() call.Result {
	last := call.Refused(errkind.NoBackendServer, "no backend server in %v can take the call", t.plan.KindView.Kind.DataCentres)
	for t.left > 0 {
		t.req.Now = t.owner.Now()
		// It may have become known between two attempts that the call's content ends the
		// backend servers that run it.
		if refusal, left := t.owner.Quarantine.Refusal(t.req.Now, t.content); refusal != nil {
			return call.Result{Refusal: refusal, RetryAfter: left}
		}
		pick := t.pick()
		if pick.Index == choose.NoCandidate {
			return last
		}
		result := t.attempt(pick.Index, t.maxCost(pick))
		if !result.FromExecutor {
			// A server that is silent is not asked again.
			t.tried = t.tried.With(pick.Index)
		}
		result = t.settle(result)
		if !t.again(pick.Index, result) {
			t.budget.answered(result)
			return result
		}
		last = result
	}
	return last
}

// content is that of the call.
func (t *try) content() quarantine.Fingerprint { return t.frame(0, 0).Fingerprint(t.body) }

// pick chooses the next candidate in the call's lane. Where its lane has none left it
// goes to the other one, so that a roll-out that tries a few calls refuses none for it.
func (t *try) pick() choose.Pick {
	traffic := t.owner.view.RolloutTraffic(t.plan.Request.Service)
	if t.attempts > 0 {
		t.lane = traffic.Again()
	}
	t.attempts++
	pick := t.pickIn(traffic)
	if next := traffic.Again(); pick.Index == choose.NoCandidate && next != t.lane {
		t.lane = next
		return t.pickIn(traffic)
	}
	return pick
}

// pickIn chooses among the candidates that the call's lane allows.
func (t *try) pickIn(traffic *rollout.Traffic) choose.Pick {
	t.req.Excluded = t.tried
	for i := range t.req.CandidateSet {
		if route := t.req.CandidateSet[i].Endpoint; traffic != nil && !traffic.Takes(t.lane, route.Version(), route.VM) {
			t.req.Excluded = t.req.Excluded.With(i)
		}
	}
	return t.owner.policy.Choose(&t.req, t.owner.random)
}

// again decides whether another attempt follows. Only what was not run is
// tried again, whatever the kind of request.
func (t *try) again(index int, result call.Result) bool {
	if result.Refusal == nil {
		return false
	}
	if result.Refusal.Kind == errkind.KeyMoved && result.NextClaim.Generation > 0 {
		t.claim = result.NextClaim
		t.left--
		return t.left > 0
	}
	if !result.Refusal.RetryElsewhere() || t.plan.unkeyed() {
		return false
	}
	soft := t.soft
	t.soft = false
	if soft && result.Refusal.Kind == errkind.GateBusier {
		// Its stamp has told us how busy, and it stays a candidate: the others
		// may be worse. A gate that is full for everybody says so in another
		// way, and is a retry like any other.
		t.owner.stats.softRefusals.Inc()
		return true
	}
	t.left--
	t.tried = t.tried.With(index)
	if t.left == 0 || !t.budget.take() {
		return false
	}
	t.owner.stats.retries.Inc()
	return true
}

// hardFactor is how many times the next best candidate's cost an attempt after
// the soft one accepts.
const hardFactor = 3

// maxCost is the bound that goes with an attempt: tight on the soft one, loose
// on the next, none on the last, which may queue.
func (t *try) maxCost(pick choose.Pick) time.Duration {
	switch {
	case t.soft:
		return max(pick.MaxCost, 1)
	case t.left > 1 && pick.MaxCost < t.owner.Settings.Retries.DefaultTimeout:
		return max(hardFactor*pick.MaxCost, 1)
	}
	return 0
}

// settle turns "may have run" into what the key's row says, for a call whose
// key is claimed and whose executor gave no word.
func (t *try) settle(result call.Result) call.Result {
	if result.FromExecutor || result.Refusal == nil || result.Refusal.Ran == errkind.RanNo || !t.plan.guarded() {
		return result
	}
	return t.owner.sealer.Seal(t.frame(0, 0), t.body, result.Refusal)
}

// flight is one attempt that has not ended.
type flight struct {
	to     *tables.Candidate
	index  int
	sentAt int64
	cancel func()
}

// landed is how a flight ended.
type landed struct {
	flight *flight
	result call.Result
}

// attempt sends the call to one candidate and waits for its end, or for that
// of a hedge that was sent after it.
func (t *try) attempt(index int, cost time.Duration) call.Result {
	// Room for the hedge, too, so that the slower of the two blocks nobody.
	ends := make(chan landed, 2)
	first, refusal := t.launch(index, cost, ends)
	if refusal != nil {
		return call.Result{Refusal: refusal}
	}
	return t.await(first, ends)
}

// launch sends the call to a candidate. ends receives its end.
func (t *try) launch(index int, cost time.Duration, ends chan<- landed) (*flight, *errkind.Error) {
	to := &t.req.CandidateSet[index]
	now := t.owner.Now()
	left := time.Duration(t.plan.deadline - now)
	if left <= 0 {
		return nil, errkind.New(errkind.DeadlineBeforeRun, "the time ran out at the entry")
	}
	runner := to.Endpoint.Runner()
	if runner == nil {
		return nil, errkind.New(errkind.LinkUnavailable, "the link to %s is down", to.Endpoint.VM)
	}
	f := &flight{to: to, index: index, sentAt: now}
	to.Load.RecordSent(now)
	frame := t.frame(left, cost)
	frame.WantStamp = t.wantStamp(to, now, cost)
	f.cancel = runner.Execute(frame, t.body, func(r call.Result) { ends <- landed{flight: f, result: t.land(f, r)} })
	return f, nil
}

// land takes over what the end of a flight tells of its backend server, also
// when nobody waits for it any more.
func (t *try) land(f *flight, result call.Result) call.Result {
	now := t.owner.Now()
	f.to.Load.RecordEnded(now)
	if result.Stamp.Seq > 0 {
		f.to.Load.ApplyStamp(now, result.Stamp)
	}
	f.to.Load.RecordAnswer(failed(result))
	result.MinRTT = f.to.Load.RoundTrip()
	result.Server, result.DataCentre = f.to.Endpoint.VM, f.to.Endpoint.DataCentre
	return result
}

// await waits for the executor's word until a little after the deadline: the
// executor knows whether the call ran, the entry does not.
func (t *try) await(first *flight, ends chan landed) call.Result {
	bound := time.NewTimer(time.Duration(t.plan.deadline-t.owner.Now()) + grace)
	defer bound.Stop()
	hedge := t.newHedge(first, ends)
	defer hedge.stop()
	for {
		select {
		case end := <-ends:
			if hedge.wins(end) {
				return end.result
			}
		case <-hedge.due():
			hedge.consider()
		case <-bound.C:
			first.cancel()
			hedge.cancel()
			return call.Refused(errkind.DeadlineWhileRunning, "the executor did not answer in time")
		case <-t.ctx.Done():
			first.cancel()
			hedge.cancel()
			return call.Result{Refusal: errkind.New(errkind.CallerGone, "the caller left").Maybe()}
		}
	}
}

// typicalStamp is the size that asking for a stamp is paid with in advance.
const typicalStamp = 14

// wantStamp asks for a stamp where it is worth its bytes: always with a soft
// attempt, which may be refused because of what the stamp then says, or when
// the newest one is old. A stamp of this daemon's own gate costs nothing.
func (t *try) wantStamp(to *tables.Candidate, now int64, cost time.Duration) bool {
	if to.Endpoint.VM == t.owner.Settings.VM.ID {
		return true
	}
	value := measure.LowValue
	if at := to.Load.StampReceivedAt(); cost > 0 || at == 0 || now-at > int64(t.owner.Settings.Choosing.StampHalfLife) {
		value = measure.HighValue
	}
	return t.owner.Measure.TrySpend(now, typicalStamp, value)
}

func (t *try) frame(left, cost time.Duration) *wire.Call {
	req := t.plan.Request
	return &wire.Call{
		Service:   req.Service,
		Kind:      t.plan.KindView.Kind.Name,
		Method:    req.Method,
		URI:       req.URI,
		Headers:   req.Headers,
		Key:       req.IdempotencyKey,
		Placement: t.plan.KindView.Kind.Version,
		Claim:     t.claim,
		Remaining: left,
		MaxCost:   cost,
	}
}
