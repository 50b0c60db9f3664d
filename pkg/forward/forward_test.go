package forward

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/clock"
	"github.com/rushramp/rushramp/pkg/common"
	"github.com/rushramp/rushramp/pkg/errkind"
	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/placement"
	"github.com/rushramp/rushramp/pkg/routing"
	"github.com/rushramp/rushramp/pkg/settings"
	"github.com/rushramp/rushramp/pkg/tables"
	"github.com/rushramp/rushramp/pkg/wire"
)

// fakeRunner records calls and ends them with the results of its answer function.
type fakeRunner struct {
	mu    sync.Mutex
	calls []wire.Call
	// answer returns the result of a call. A silent call never ends.
	answer func(c *wire.Call) (result call.Result, silent bool)
	// cancelled counts the calls that were cancelled.
	cancelled int
}

func (f *fakeRunner) Execute(c *wire.Call, _ []byte, done func(call.Result)) (cancel func()) {
	f.mu.Lock()
	f.calls = append(f.calls, *c)
	f.mu.Unlock()
	if result, silent := f.answer(c); !silent {
		done(result)
	}
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.cancelled++
	}
}

func answers(status int) func(*wire.Call) (call.Result, bool) {
	return func(*wire.Call) (call.Result, bool) {
		return call.Result{Answer: &call.Answer{Status: status}, Offered: true}, false
	}
}

func refuses(kind errkind.Kind, offered bool) func(*wire.Call) (call.Result, bool) {
	return func(*wire.Call) (call.Result, bool) {
		return call.Result{Refusal: errkind.New(kind, ""), Offered: offered}, false
	}
}

func silent(*wire.Call) (call.Result, bool) { return call.Result{}, true }

// refusesSoft refuses soft attempts and answers all others with the status.
func refusesSoft(status int) func(*wire.Call) (call.Result, bool) {
	return func(c *wire.Call) (call.Result, bool) {
		if c.Routed.Soft {
			return call.Refused(errkind.GateBusier, ""), false
		}
		return answers(status)(c)
	}
}

// newForwarder returns a forwarder with two routes to service s: "read", which is
// repeatable, and "post", which is not. Each runner is that of one backend server.
func newForwarder(runners ...*fakeRunner) *Forwarder {
	s := settings.Default()
	s.VM = settings.VM{ID: "vm", DataCentre: "here"}
	s.BackendServer.Service = "front"
	// One daemon has the whole slack of retries from its first start on.
	s.Platform.FirstStart = true
	view := &tables.View{}
	view.SetRetryDaemons(1)
	doc := &placement.Document{Version: 3, Routes: []routing.Route{
		{Name: "read", Host: "h", Prefix: "/read/", Repeatable: true, Attempts: 2, Parts: []routing.Part{{Service: "s", Weight: 1}}, Timeout: time.Second, Target: 400 * time.Millisecond},
		{Name: "post", Host: "h", Prefix: "/post/", Attempts: 2, Parts: []routing.Part{{Service: "s", Weight: 1}}, Timeout: time.Second, Target: 400 * time.Millisecond},
	}}
	compiled := placement.Compile(doc)
	view.SetPlacement(compiled)
	kind := &tables.KindView{Kind: compiled.Service("s").Kinds[0]}
	for range runners {
		endpoint := &tables.Endpoint{DataCentre: "here", Load: tables.NewLoad(4)}
		kind.LinkedCandidates = append(kind.LinkedCandidates, tables.Candidate{Endpoint: endpoint, Load: endpoint.Load})
	}
	for i, r := range runners {
		kind.LinkedCandidates[i].Endpoint.SetRunner(r)
	}
	view.SetService("s", tables.NewServiceView(compiled.Service("s"), []*tables.KindView{kind}))
	return NewForwarder(common.NewCommon(events.Discard(), &s), view, nil)
}

func newRequest(path string) *Request {
	return &Request{ID: "r-1", Host: "h", Method: "GET", URI: path, Path: path}
}

// totalCalls returns the number of calls that all runners got together.
func totalCalls(runners ...*fakeRunner) int {
	n := 0
	for _, r := range runners {
		n += len(r.calls)
	}
	return n
}

func TestTheFrameCarriesTheRequestsProperties(t *testing.T) {
	r := &fakeRunner{answer: answers(200)}
	got := newForwarder(r).Forward(t.Context(), newRequest("/read/1"))
	must.NotNil(t, got.Answer)
	sent := r.calls[0]
	test.Eq(t, "s", sent.Service)
	test.Eq(t, "r-1", sent.Routed.ID)
	test.Eq(t, "front", sent.Routed.Caller)
	test.True(t, sent.Routed.Repeatable)
	test.True(t, sent.Routed.Soft)
	test.True(t, sent.Routed.Near)
	test.Eq(t, 3, sent.Placement)
	test.Between(t, 0, sent.Remaining, time.Second)
}

func TestOutcomesAndNumbersOfAttempts(t *testing.T) {
	ok := answers(200)
	scenarios := []struct {
		name    string
		path    string
		runners []func(*wire.Call) (call.Result, bool)
		status  int
		kind    errkind.Kind
		ran     errkind.Ran
		// attempts counts those of all runners; -1: any number.
		attempts int
	}{
		{"all refuse soft attempts, then the request may queue", "/read/", []func(*wire.Call) (call.Result, bool){refusesSoft(200), refusesSoft(200)}, 200, 0, 0, 3},
		{"a post is sent again after a soft refusal", "/post/", []func(*wire.Call) (call.Result, bool){refusesSoft(200)}, 200, 0, 0, 2},
		{"a post that reached no backend server is sent again", "/post/", []func(*wire.Call) (call.Result, bool){refuses(errkind.BackendAbsent, false), ok}, 200, 0, 0, -1},
		{"a read that failed is sent again", "/read/", []func(*wire.Call) (call.Result, bool){answers(500), answers(500)}, 500, 0, 0, 2},
		{"a read whose answer was lost is sent again", "/read/", []func(*wire.Call) (call.Result, bool){refuses(errkind.BackendFailed, true), refuses(errkind.BackendFailed, true)}, 0, errkind.BackendFailed, errkind.RanMaybe, 2},
		{"a post that failed is not sent again", "/post/", []func(*wire.Call) (call.Result, bool){answers(500), answers(500)}, 500, 0, 0, 1},
		{"a post whose answer was lost is not sent again", "/post/", []func(*wire.Call) (call.Result, bool){refuses(errkind.LinkLost, false), refuses(errkind.LinkLost, false)}, 0, errkind.LinkLost, errkind.RanMaybe, 1},
		{"a post that the backend server marked as not run is sent again", "/post/", []func(*wire.Call) (call.Result, bool){refuses(errkind.BackendRefused, true), refuses(errkind.BackendRefused, true)}, 0, errkind.BackendRefused, errkind.RanNo, 2},
		{"an unmarked 503 of a post becomes a failure that may have run", "/post/", []func(*wire.Call) (call.Result, bool){answers(503)}, 0, errkind.BackendFailed, errkind.RanMaybe, 1},
		{"an unmarked 503 of a read is passed on", "/read/", []func(*wire.Call) (call.Result, bool){answers(503)}, 503, 0, 0, 1},
		{"all backend servers are full", "/read/", []func(*wire.Call) (call.Result, bool){refuses(errkind.Overloaded, false), refuses(errkind.Overloaded, false)}, 0, errkind.Overloaded, errkind.RanNo, 2},
		{"no candidate is known", "/read/", nil, 0, errkind.NoBackendServer, errkind.RanNo, 0},
		{"no route", "/none/", nil, 0, errkind.UnknownRoute, errkind.RanNo, 0},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			var runners []*fakeRunner
			for _, answer := range s.runners {
				runners = append(runners, &fakeRunner{answer: answer})
			}
			got := newForwarder(runners...).Forward(t.Context(), newRequest(s.path))
			if s.attempts >= 0 {
				test.Eq(t, s.attempts, totalCalls(runners...))
			}
			if s.status > 0 {
				must.NotNil(t, got.Answer)
				test.Eq(t, s.status, got.Answer.Status)
				return
			}
			must.NotNil(t, got.Refusal)
			test.Eq(t, s.kind, got.Refusal.Kind)
			test.Eq(t, s.ran, got.Refusal.Ran)
		})
	}
}

func TestTheCallerGetsTheFirstFailureWhenTheSecondAttemptIsRefused(t *testing.T) {
	first := &fakeRunner{answer: answers(500)}
	second := &fakeRunner{answer: answers(500)}
	second.answer = func(c *wire.Call) (call.Result, bool) {
		if len(first.calls) > 0 {
			return refuses(errkind.Overloaded, false)(c)
		}
		first.answer = refuses(errkind.Overloaded, false)
		return answers(500)(c)
	}
	got := newForwarder(first, second).Forward(t.Context(), newRequest("/read/"))
	must.NotNil(t, got.Answer)
	test.Eq(t, 500, got.Answer.Status)
}

func TestARequestIsRefusedWhileThereIsNoPlacement(t *testing.T) {
	f := newForwarder()
	f.view.SetPlacement(nil)
	got := f.Forward(t.Context(), newRequest("/read/"))
	must.NotNil(t, got.Refusal)
	test.Eq(t, errkind.PlacementUnknown, got.Refusal.Kind)
	test.Eq(t, 503, got.Refusal.Kind.Row().Status)
}

func TestAnUnansweredRequestEndsAtItsTimeoutAndMayHaveRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &fakeRunner{answer: silent}
		f := newForwarder(r)
		startedAt := time.Now()
		got := f.Forward(t.Context(), newRequest("/post/"))
		must.NotNil(t, got.Refusal)
		test.Eq(t, errkind.RanMaybe, got.Refusal.Ran)
		test.Eq(t, time.Second+answerGrace, time.Since(startedAt))
		test.Eq(t, 1, r.cancelled)
	})
}

func TestAnAttemptIsCancelledWhenTheCallerDisconnects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &fakeRunner{answer: silent}
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		got := newForwarder(r).Forward(ctx, newRequest("/read/"))
		must.NotNil(t, got.Refusal)
		test.Eq(t, errkind.CallerGone, got.Refusal.Kind)
		test.Eq(t, 1, r.cancelled)
		test.Eq(t, 1, len(r.calls))
	})
}

// reportLoads updates the known load of each candidate by a load stamp received now.
func reportLoads(f *Forwarder, stamp wire.Stamp) {
	for _, candidate := range f.view.Service("s").Match("GET", "/").LinkedCandidates {
		candidate.Load.ApplyStamp(f.Now(), stamp)
	}
}

// TestGatesThatHaveJustReportedToBeFullAreNotAsked: the entry refuses the request itself,
// as not run and with a Retry-After, and sends it to no gate.
func TestGatesThatHaveJustReportedToBeFullAreNotAsked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		one, two := &fakeRunner{answer: answers(200)}, &fakeRunner{answer: answers(200)}
		f := newForwarder(one, two)
		reportLoads(f, wire.Stamp{Seq: 1, Limit: 4, Running: 4, Queued: 400, Slowdown: 100})
		result := f.Forward(t.Context(), newRequest("/read/x"))
		must.NotNil(t, result.Refusal)
		test.Eq(t, errkind.Overloaded, result.Refusal.Kind)
		test.Eq(t, errkind.RanNo, result.Refusal.Ran)
		test.Positive(t, result.RetryAfter)
		test.Eq(t, 0, totalCalls(one, two))
		time.Sleep(time.Second)
		result = f.Forward(t.Context(), newRequest("/read/x"))
		must.NotNil(t, result.Answer, must.Sprint("a load report of a second ago no longer counts"))
	})
}

// TestCallsThatServicesMakeMayUseTheirWholeTimeout, and are not refused for missing their
// target: a refusal would fail the run that made the call, and waste its work.
func TestCallsThatServicesMakeMayUseTheirWholeTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		origin := wire.OriginUnknown
		runner := &fakeRunner{answer: func(*wire.Call) (call.Result, bool) {
			return call.Result{Answer: &call.Answer{Status: 200}, Offered: true, Origin: origin, Stamp: wire.Stamp{Seq: 10, Limit: 4, Slowdown: 100}}, false
		}}
		f := newForwarder(runner)
		// The request has 120 ms of expected work, and ten others wait for four slots. It
		// would miss its target of 400 ms, but not its timeout of a second.
		full := wire.Stamp{Seq: 1, Limit: 4, Running: 4, Queued: 10, Slowdown: 100}
		reportLoads(f, full)
		must.NotNil(t, f.Forward(t.Context(), newRequest("/read/x")).Refusal)
		origin = wire.OriginService
		time.Sleep(time.Second)
		must.NotNil(t, f.Forward(t.Context(), newRequest("/read/x")).Answer)
		full.Seq = 20
		reportLoads(f, full)
		must.NotNil(t, f.Forward(t.Context(), newRequest("/read/x")).Answer)
	})
}

// TestARequestWhoseCallerHasDisconnectedIsNotSent: after a pause of the process the caller
// may be gone before the first attempt.
func TestARequestWhoseCallerHasDisconnectedIsNotSent(t *testing.T) {
	runner := &fakeRunner{answer: answers(200)}
	f := newForwarder(runner)
	ctx, disconnect := context.WithCancel(t.Context())
	disconnect()
	result := f.Forward(ctx, newRequest("/read/x"))
	must.NotNil(t, result.Refusal)
	test.Eq(t, errkind.CallerGone, result.Refusal.Kind)
	test.Eq(t, errkind.RanNo, result.Refusal.Ran)
	test.Eq(t, 0, totalCalls(runner))
}

// TestAnAttemptCarriesTheNumberOfEarlierOnes that reached a backend server. From it the
// executor knows that its run repeats another.
func TestAnAttemptCarriesTheNumberOfEarlierOnes(t *testing.T) {
	first, second := &fakeRunner{answer: answers(500)}, &fakeRunner{answer: answers(500)}
	newForwarder(first, second).Forward(t.Context(), newRequest("/read/"))
	generations := map[uint32]int{}
	for _, c := range append(first.calls, second.calls...) {
		generations[c.Claim.Generation]++
	}
	test.Eq(t, map[uint32]int{0: 1, 1: 1}, generations)
}

// TestARequestIsNotSentAgainAfterASuspension that lasted beyond its deadline, although the
// monotonic clock stood still during the suspension.
func TestARequestIsNotSentAgainAfterASuspension(t *testing.T) {
	var vm *clock.Manual
	suspends := func(*wire.Call) (call.Result, bool) {
		vm.Suspend(10 * time.Second)
		return refuses(errkind.BackendAbsent, false)(nil)
	}
	one, two := &fakeRunner{answer: suspends}, &fakeRunner{answer: suspends}
	f := newForwarder(one, two)
	f.Clock, vm = clock.NewManual()
	got := f.Forward(t.Context(), newRequest("/post/1"))
	must.NotNil(t, got.Refusal)
	test.Eq(t, errkind.DeadlineBeforeRun, got.Refusal.Kind)
	test.Eq(t, errkind.RanNo, got.Refusal.Ran)
	test.Eq(t, 1, totalCalls(one, two))
}

// TestARunWhoseCallsFailedIsNotRepeated: its calls were retried already, and a second run
// would make them again. A run that failed for another reason is repeated.
func TestARunWhoseCallsFailedIsNotRepeated(t *testing.T) {
	for _, callsFailed := range []bool{true, false} {
		fails := func(*wire.Call) (call.Result, bool) {
			return call.Result{Answer: &call.Answer{Status: 500, CallsFailed: callsFailed}, Offered: true}, false
		}
		one, two := &fakeRunner{answer: fails}, &fakeRunner{answer: fails}
		f := newForwarder(one, two)
		got := f.Forward(t.Context(), newRequest("/read/1"))
		must.NotNil(t, got.Answer)
		test.Eq(t, 500, got.Answer.Status)
		want := 2
		if callsFailed {
			want = 1
		}
		test.Eq(t, want, totalCalls(one, two))
		test.Eq(t, callsFailed, got.Answer.CallsFailed)
	}
}

// callFailureCounter counts the calls that were reported as failed.
type callFailureCounter struct{ count int }

func (c *callFailureCounter) RepeatShare() float64 { return 0 }
func (c *callFailureCounter) RecordFailedCall()    { c.count++ }

// TestFailedCallsOfTheLocalBackendServerAreReported, and failed requests of other callers
// are not.
func TestFailedCallsOfTheLocalBackendServerAreReported(t *testing.T) {
	failing := &fakeRunner{answer: refuses(errkind.Overloaded, false)}
	f := newForwarder(failing)
	counter := &callFailureCounter{}
	f.localRuns = counter
	f.Forward(t.Context(), newRequest("/post/1"))
	test.Eq(t, 0, counter.count)
	f.calledRoutes.record("post", wire.OriginService)
	f.Forward(t.Context(), newRequest("/post/1"))
	test.Eq(t, 1, counter.count)
	failing.answer = answers(200)
	f.Forward(t.Context(), newRequest("/post/1"))
	test.Eq(t, 1, counter.count)
}

// BenchmarkForward forwards requests without a link, each with one attempt.
func BenchmarkForward(b *testing.B) {
	r := &fakeRunner{answer: answers(200)}
	f := newForwarder(r)
	req := newRequest("/read/1")
	b.ReportAllocs()
	for b.Loop() {
		f.Forward(b.Context(), req)
		r.calls = r.calls[:0]
	}
}
