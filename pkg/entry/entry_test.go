package entry

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/choose"
	"github.com/rushramp/rushramp/pkg/common"
	"github.com/rushramp/rushramp/pkg/errkind"
	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/placement"
	"github.com/rushramp/rushramp/pkg/quarantine"
	"github.com/rushramp/rushramp/pkg/settings"
	"github.com/rushramp/rushramp/pkg/tables"
	"github.com/rushramp/rushramp/pkg/wire"
)

// fakeExecutor ends each call with the same result, after a delay.
type fakeExecutor struct {
	delay     time.Duration
	result    call.Result
	calls     int
	cancelled int
}

func (x *fakeExecutor) Execute(_ *wire.Call, _ []byte, done func(call.Result)) func() {
	x.calls++
	result := x.result
	result.FromExecutor = result.Refusal == nil || result.Refusal.Kind != errkind.LinkLost
	time.AfterFunc(x.delay, func() { done(result) })
	return func() { x.cancelled++ }
}

func answering(delay time.Duration) *fakeExecutor {
	return &fakeExecutor{delay: delay, result: call.Result{Answer: &call.Answer{Status: 200, Body: []byte("ok")}}}
}

func refusing(kind errkind.Kind) *fakeExecutor {
	return &fakeExecutor{result: call.Refused(kind, "test")}
}

// firstUntried is a policy that chooses the first candidate that was not tried.
type firstUntried struct{}

func (firstUntried) Choose(req *choose.Request, _ choose.Random) choose.Pick {
	for i := range req.CandidateSet {
		if !req.Excluded.Has(i) {
			return choose.Pick{Index: i, MaxCost: time.Second}
		}
	}
	return choose.Pick{Index: choose.NoCandidate}
}

// fakeSealer ends each seal with the same result.
type fakeSealer struct {
	result call.Result
	calls  int
}

func (s *fakeSealer) Seal(*wire.Call, []byte, *errkind.Error) call.Result {
	s.calls++
	return s.result
}

// newEntry returns an entry with a service "s" that has one kind, "k". Each server is a
// candidate, in the order given.
func newEntry(kind placement.Kind, sealer Sealer, servers ...*fakeExecutor) *Entry {
	s := settings.Default()
	s.VM = settings.VM{ID: "vm", DataCentre: "here"}
	kind.Name, kind.Path, kind.DataCentres = "k", "/*", []string{"here"}
	compiled := placement.Compile(&placement.Document{Version: 1, Services: []placement.Service{{Name: "s", Kinds: []placement.Kind{kind}}}})
	w := tables.NewWorld("vm", "here")
	view := &tables.KindView{Kind: compiled.Service("s").Kinds[0]}
	for i, runner := range servers {
		endpoint := &tables.Endpoint{VM: fmt.Sprint("server-", i), Load: tables.NewLoad(4)}
		endpoint.SetRunner(runner)
		view.LinkedCandidates = append(view.LinkedCandidates, tables.Candidate{Endpoint: endpoint, Load: endpoint.Load})
	}
	w.View.SetPlacement(compiled)
	w.View.SetService("s", tables.NewServiceView(compiled.Service("s"), []*tables.KindView{view}))
	w.View.SetReady()
	// One daemon has the whole slack of retries from its first start on.
	w.View.SetRetryDaemons(1)
	s.Platform.FirstStart = true
	s.Retries.BudgetFloor = 10
	return NewEntry(common.NewCommon(events.Discard(), &s), w, firstUntried{}, sealer)
}

// runCall admits and runs a call with an idempotency key, which may be empty.
func runCall(t *testing.T, e *Entry, key string) call.Result {
	admitted, misplaced, refusal := e.Admit(context.Background(), &Request{Service: "s", Method: "GET", URI: "/a", IdempotencyKey: key})
	must.Nil(t, refusal)
	must.Nil(t, misplaced)
	return e.Run(context.Background(), admitted, nil)
}

func TestOnlyCallsThatDidNotRunAreRetried(t *testing.T) {
	neverRepeat := placement.Kind{NeverRepeat: true}
	optionalKey := placement.Kind{NeverRepeat: true, Key: placement.KeyOptional}
	scenarios := []struct {
		name  string
		kind  placement.Kind
		key   string
		first *fakeExecutor
		// sealResult is how a seal ends.
		sealResult call.Result
		want       errkind.Kind
		ran        errkind.Ran
		// calls is the number of calls that the second server gets.
		calls int
		seals int
	}{
		{name: "a call that did not run goes to another server", first: refusing(errkind.Leaving), want: errkind.None, calls: 1},
		{name: "a server that is busier twice is left for another one", first: refusing(errkind.GateBusier), want: errkind.None, calls: 1},
		{name: "a call that may have run is not retried", first: refusing(errkind.LinkLost), want: errkind.LinkLost, ran: errkind.RanMaybe},
		{name: "a call that the backend server broke off is not retried", first: refusing(errkind.BackendFailed), want: errkind.BackendFailed, ran: errkind.RanMaybe},
		{name: "a never-repeat call that did not run goes to another server", kind: neverRepeat, key: "k", first: refusing(errkind.Overloaded), want: errkind.None, calls: 1},
		{name: "an unanswered never-repeat call is sealed, then retried", kind: neverRepeat, key: "k", first: refusing(errkind.LinkLost),
			sealResult: call.Result{Refusal: errkind.New(errkind.KeyMoved, ""), NextClaim: wire.Claim{Version: 1, Generation: 2}}, want: errkind.None, calls: 1, seals: 1},
		{name: "an unanswered never-repeat call that may have run is not retried", kind: neverRepeat, key: "k", first: refusing(errkind.LinkLost),
			sealResult: call.Refused(errkind.KeyInProgress, ""), want: errkind.KeyInProgress, ran: errkind.RanMaybe, seals: 1},
		{name: "a never-repeat call without a key is sent once", kind: optionalKey, first: refusing(errkind.Overloaded), want: errkind.Overloaded},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			second, sealer := answering(0), &fakeSealer{result: s.sealResult}
			e := newEntry(s.kind, sealer, s.first, second)
			result := runCall(t, e, s.key)
			test.Eq(t, s.calls, second.calls)
			test.Eq(t, s.seals, sealer.calls)
			if s.want == errkind.None {
				test.NotNil(t, result.Answer)
				return
			}
			must.NotNil(t, result.Refusal)
			test.Eq(t, s.want, result.Refusal.Kind)
			test.Eq(t, s.ran, result.Refusal.Ran)
		})
	}
}

// inTurn is a policy that chooses the candidates one after the other, as one does that heeds the
// load that a refusal tells.
type inTurn struct{ chosen int }

func (p *inTurn) Choose(req *choose.Request, _ choose.Random) choose.Pick {
	p.chosen++
	return choose.Pick{Index: (p.chosen - 1) % len(req.CandidateSet), MaxCost: time.Second}
}

func TestASoftRefusalSendsTheCallToAnotherServer(t *testing.T) {
	first, second := refusing(errkind.GateBusier), answering(0)
	e := newEntry(placement.Kind{}, &fakeSealer{}, first, second)
	e.policy = &inTurn{}
	must.NotNil(t, runCall(t, e, "").Answer)
	test.Eq(t, 1, first.calls)
	test.Eq(t, 1, second.calls)
	test.Eq(t, Counts{SoftRefusals: 1}, e.Counts(), test.Sprint("a soft refusal costs no retry"))
}

func TestASecondSoftRefusalCostsARetry(t *testing.T) {
	first := refusing(errkind.GateBusier)
	e := newEntry(placement.Kind{}, &fakeSealer{}, first, answering(0))
	must.NotNil(t, runCall(t, e, "").Answer)
	test.Eq(t, 2, first.calls)
	test.Eq(t, Counts{SoftRefusals: 1, Retries: 1}, e.Counts())
}

func TestOnlySlowCallsOfSafeKindsAreHedged(t *testing.T) {
	scenarios := []struct {
		name   string
		kind   placement.Kind
		key    string
		delay  time.Duration
		hedges int
	}{
		{"a slow call of a safe kind", placement.Kind{HedgeSafe: true}, "", time.Second, 1},
		{"a fast call of a safe kind", placement.Kind{HedgeSafe: true}, "", time.Millisecond, 0},
		{"a slow call of a kind that is not safe", placement.Kind{}, "", time.Second, 0},
		// The placement rejects this combination; the entry does not rely on that.
		{"a never-repeat kind", placement.Kind{HedgeSafe: true, NeverRepeat: true}, "k", time.Second, 0},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				first, second := answering(s.delay), answering(time.Millisecond)
				e := newEntry(s.kind, &fakeSealer{}, first, second)
				result := runCall(t, e, s.key)
				test.NotNil(t, result.Answer)
				test.Eq(t, s.hedges, second.calls)
				test.Eq(t, s.hedges, first.cancelled)
				time.Sleep(2 * time.Second)
			})
		})
	}
}

func TestARefusedHedgeDoesNotEndTheCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, second := answering(time.Second), refusing(errkind.GateBusier)
		e := newEntry(placement.Kind{HedgeSafe: true}, &fakeSealer{}, first, second)
		result := runCall(t, e, "")
		test.Eq(t, 1, second.calls)
		must.NotNil(t, result.Answer)
		test.Eq(t, "ok", string(result.Answer.Body))
	})
}

func TestHedgesStayWithinTheirBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, second := answering(time.Second), answering(time.Second)
		e := newEntry(placement.Kind{HedgeSafe: true}, &fakeSealer{}, first, second)
		const calls = 200
		for range calls {
			runCall(t, e, "")
		}
		floor := e.Settings.Retries.BudgetFloor
		test.LessEq(t, floor+int(calls*e.Settings.Retries.HedgeBudget)+1, int(e.Counts().Hedges))
		time.Sleep(2 * time.Second)
	})
}

func TestACallIsRefusedAfterItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEntry(placement.Kind{Timeout: 300 * time.Millisecond}, &fakeSealer{}, answering(time.Hour))
		startedAt := time.Now()
		result := runCall(t, e, "")
		must.NotNil(t, result.Refusal)
		test.Eq(t, errkind.DeadlineWhileRunning, result.Refusal.Kind)
		test.Eq(t, errkind.RanMaybe, result.Refusal.Ran)
		test.Eq(t, 300*time.Millisecond+answerGrace, time.Since(startedAt))
		time.Sleep(time.Hour)
	})
}

// callingServer is a backend server that calls another service through an entry, and
// answers 503 when that call is refused, as applications do.
type callingServer struct{ entry *Entry }

func (s *callingServer) Execute(_ *wire.Call, _ []byte, done func(call.Result)) func() {
	admitted, _, refusal := s.entry.Admit(context.Background(), &Request{Service: "s", Method: "GET", URI: "/a"})
	status := 503
	if refusal == nil {
		if r := s.entry.Run(context.Background(), admitted, nil); r.Answer != nil {
			status = r.Answer.Status
		}
	}
	done(call.Result{Answer: &call.Answer{Status: status}, FromExecutor: true})
	return func() {}
}

// TestRetriesDoNotMultiplyAlongAChainOfServices sends calls through a chain of 29
// services. The last service refuses all calls as overloaded, and the retries of all
// entries together may raise its load by a tenth at most.
func TestRetriesDoNotMultiplyAlongAChainOfServices(t *testing.T) {
	const services, calls = 29, 1000
	last := []*fakeExecutor{refusing(errkind.Overloaded), refusing(errkind.Overloaded), refusing(errkind.Overloaded)}
	e := newEntry(placement.Kind{}, &fakeSealer{}, last...)
	for range services - 1 {
		caller := newEntry(placement.Kind{}, &fakeSealer{}, answering(0))
		view := caller.view.Service("s").Match("GET", "/a")
		view.LinkedCandidates[0].Endpoint.SetRunner(&callingServer{entry: e})
		e = caller
	}
	for range calls {
		test.Eq(t, 503, runCall(t, e, "").Answer.Status)
	}
	reached := 0
	for _, s := range last {
		reached += s.calls
	}
	t.Logf("%d calls reached the last service for %d calls of the first", reached, calls)
	test.LessEq(t, calls*11/10, reached)
}

// TestACallThatCrashesBackendServersIsRefused: it is quarantined, so it is sent to no
// executor, and the caller is told when to retry.
func TestACallThatCrashesBackendServersIsRefused(t *testing.T) {
	server := answering(0)
	e := newEntry(placement.Kind{}, nil, server)
	must.NotNil(t, runCall(t, e, "").Answer)
	content := (&wire.Call{Service: "s", Method: "GET", URI: "/a"}).Fingerprint(nil)
	for crash := range uint64(2) {
		e.Quarantine.RecordCrash(e.Now(), crash+1, []quarantine.Fingerprint{content})
	}
	got := runCall(t, e, "")
	must.NotNil(t, got.Refusal)
	test.Eq(t, errkind.RequestHeld, got.Refusal.Kind)
	test.Eq(t, errkind.RanNo, got.Refusal.Ran)
	test.Greater(t, 9*time.Minute, got.RetryAfter)
	test.Eq(t, 1, server.calls)
}

// TestAHedgeWithoutACandidateCostsNothing: the only other backend server has refused the call.
func TestAHedgeWithoutACandidateCostsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, second := refusing(errkind.GateBusier), answering(time.Second)
		e := newEntry(placement.Kind{HedgeSafe: true}, &fakeSealer{}, first, second)
		e.budgets.forService("s").hedges.CanTake(e.Now())
		before := e.budgets.forService("s").hedges.Balance()
		for range 3 {
			must.NotNil(t, runCall(t, e, "").Answer)
		}
		test.Eq(t, 0, e.Counts().Hedges)
		test.GreaterEq(t, before, e.budgets.forService("s").hedges.Balance())
	})
}
