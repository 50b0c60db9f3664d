package forward

import (
	"bytes"
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/errkind"
	"github.com/rushramp/rushramp/pkg/proximity"
	"github.com/rushramp/rushramp/pkg/wire"
)

// newUnevenForwarder returns a forwarder with a full backend server near, and an idle one in
// another data centre of its region.
func newUnevenForwarder(near, far *fakeRunner) *Forwarder {
	f := newCrossingForwarder(near, far, 1)
	f.view.Service("s").Match("GET", "/read/").LinkedCandidates[1].Endpoint.Region = "r"
	return f
}

func newUpload(size int) *Request {
	req := newRequest("/post/1")
	req.Body = bytes.Repeat([]byte("x"), size)
	return req
}

func TestOnlyGrantedBodiesQueueNearerWithinTheRegion(t *testing.T) {
	for _, s := range []struct {
		name        string
		size, above int
		crosses     int
	}{
		{"large", 60_000, 32 << 10, 0},
		{"small", 32 << 10, 32 << 10, 1},
		{"no body waits for a grant", 60_000, 0, 1},
	} {
		near, far := &fakeRunner{answer: answers(200)}, &fakeRunner{answer: answers(200)}
		f := newUnevenForwarder(near, far)
		f.Settings.Links.GrantBodiesAbove = s.above
		got := f.Forward(t.Context(), newUpload(s.size))
		must.NotNil(t, got.Answer)
		test.Len(t, s.crosses, far.calls, test.Sprint(s.name))
		must.Len(t, 1-s.crosses, near.calls)
		for _, sent := range near.calls {
			test.False(t, sent.Routed.Soft)
		}
	}
}

// TestLargeBodiesCrossWhereQueueingNearerFails covers a near executor that refuses, has died or
// is leaving.
func TestLargeBodiesCrossWhereQueueingNearerFails(t *testing.T) {
	for _, kind := range []errkind.Kind{errkind.Overloaded, errkind.LinkUnavailable, errkind.Leaving, errkind.DeadlineBeforeRun} {
		near, far := &fakeRunner{answer: refuses(kind, false)}, &fakeRunner{answer: answers(200)}
		got := newUnevenForwarder(near, far).Forward(t.Context(), newUpload(60_000))
		must.NotNil(t, got.Answer, must.Sprint(kind))
		test.Len(t, 1, near.calls)
		test.Len(t, 1, far.calls)
	}
}

// TestUploadQueuedAtAStalledExecutorEndsOnce: one that may have run is not sent elsewhere.
func TestUploadQueuedAtAStalledExecutorEndsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := &fakeRunner{answer: silent}, &fakeRunner{answer: answers(200)}
		got := newUnevenForwarder(near, far).Forward(t.Context(), newUpload(60_000))
		must.NotNil(t, got.Refusal)
		test.Eq(t, errkind.RanMaybe, got.Refusal.Ran)
		test.Len(t, 1, near.calls)
		test.Len(t, 0, far.calls)
		test.Eq(t, 1, near.cancelled)
	})
}

// TestLargeBodiesCrossWhereNearLinksAreSlow: the transfer alone would make the request late.
func TestLargeBodiesCrossWhereNearLinksAreSlow(t *testing.T) {
	near, far := &fakeRunner{answer: answers(200)}, &fakeRunner{answer: answers(200)}
	f := newUnevenForwarder(near, far)
	f.transfers.record(proximity.SameDataCentre, 60_000, 350*time.Millisecond)
	got := f.Forward(t.Context(), newUpload(60_000))
	must.NotNil(t, got.Answer)
	test.Len(t, 0, near.calls)
	test.Len(t, 1, far.calls)
}

func TestTransferTimesFollowAnsweredBodies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near := &fakeRunner{answer: func(*wire.Call) (call.Result, bool) {
			time.Sleep(100 * time.Millisecond)
			return call.Result{Answer: &call.Answer{Status: 200, Queued: 30 * time.Millisecond, Run: 20 * time.Millisecond}, Offered: true}, false
		}}
		f := newForwarder(near)
		test.Eq(t, 0, f.transfers.expected(proximity.SameDataCentre, 60_000))
		f.Forward(t.Context(), newUpload(100))
		test.Eq(t, 0, f.transfers.expected(proximity.SameDataCentre, 60_000), test.Sprint("a body that waits for no grant"))
		f.Forward(t.Context(), newUpload(60_000))
		test.Eq(t, 50*time.Millisecond, f.transfers.expected(proximity.SameDataCentre, 60_000))
		test.Eq(t, 100*time.Millisecond, f.transfers.expected(proximity.SameDataCentre, 120_000))
		test.Eq(t, 0, f.transfers.expected(proximity.Region, 60_000))
	})
}

// TestBytesForTheWorkPriceLargeBodies: of two requests with as many bytes, the one that takes
// more work costs less to send away.
func TestBytesForTheWorkPriceLargeBodies(t *testing.T) {
	s := newRequestSizes()
	test.Eq(t, 1, s.meanWorkShare(time.Second), test.Sprint("no work is known yet"))
	s.add("read", 0, 1000, 100*time.Millisecond)
	test.Eq(t, 2, s.meanWorkShare(50*time.Millisecond))
	test.Eq(t, 0.5, s.meanWorkShare(200*time.Millisecond))
	test.Eq(t, 1, s.meanWorkShare(0))
}

// TestLogTellsWhatCrossedAndWhatStayedNear checks the fields and metrics that lead from a
// request to the bytes that it moved between data centres.
func TestLogTellsWhatCrossedAndWhatStayedNear(t *testing.T) {
	near, far := &fakeRunner{answer: answers(200)}, &fakeRunner{answer: answers(200)}
	f := newUnevenForwarder(near, far)
	a, upload := newTestAttempts(f, newUpload(60_000)), 60_000+frameBytes
	must.NotNil(t, a.run().Answer)
	test.Eq(t, crossingTotals{keptBytes: upload, queuedNearer: true}, a.crossings)
	test.StrContains(t, a.recordsText(), " queues_nearer -> 200")
	test.Eq(t, uint64(upload), f.Metrics.GetOrCreateCounter(`rushramp_kept_near_bytes_total{service="s"}`).Get())
	test.Eq(t, 1, f.Metrics.GetOrCreateCounter(`rushramp_kept_near_total{service="s",outcome="answered"}`).Get())

	near.answer = refuses(errkind.Overloaded, false)
	a = newTestAttempts(f, newUpload(60_000))
	must.NotNil(t, a.run().Answer)
	test.True(t, a.crossings.queuedNearer)
	test.Eq(t, 0, a.crossings.keptBytes)
	test.Eq(t, upload, a.crossings.crossedBytes)
	test.Eq(t, "none_nearer", a.crossings.cause.String())
	test.Eq(t, uint64(upload), f.Metrics.GetOrCreateCounter(`rushramp_crossed_bytes_total{service="s",place="region",cause="none_nearer"}`).Get())
	test.Eq(t, 1, f.Metrics.GetOrCreateCounter(`rushramp_kept_near_total{service="s",outcome="refused"}`).Get())
	test.Len(t, 4, a.crossings.fields())
	test.Len(t, 0, (&crossingTotals{}).fields())
}

func newTestAttempts(f *Forwarder, req *Request) *attempts {
	match := f.Match(req)
	return f.newAttempts(context.Background(), req, match.route, match.placement.Version, f.Now())
}

// TestManyRefusalsNearerLeaveAttemptsForACrossing guards against a data centre with many busy
// backend servers that uses up all attempts of a request.
func TestManyRefusalsNearerLeaveAttemptsForACrossing(t *testing.T) {
	var runners []*fakeRunner
	for range maxTries {
		runners = append(runners, &fakeRunner{answer: refuses(errkind.Overloaded, false)})
	}
	far := &fakeRunner{answer: answers(200)}
	f := newForwarder(append(runners, far)...)
	candidates := f.view.Service("s").Match("GET", "/read/").LinkedCandidates
	for _, c := range candidates[:maxTries] {
		c.Load.ApplyStamp(f.Now(), wire.Stamp{Seq: 1, Limit: 4, Running: 4, Queued: 1, Slowdown: 100})
	}
	candidates[maxTries].Endpoint.DataCentre = "there"
	candidates[maxTries].Load.ApplyStamp(f.Now(), wire.Stamp{Seq: 1, Limit: 4, Slowdown: 100})
	f.sizes.add("read", 0, 1000, 120*time.Millisecond)
	a := newTestAttempts(f, newUpload(60_000))
	must.NotNil(t, a.run().Answer)
	test.Len(t, 1, far.calls)
	test.Eq(t, 4, a.tries)
	test.Eq(t, "none_nearer", a.crossings.cause.String())
}

func TestTransferTimesLeaveOutTheOwnVM(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newForwarder(&fakeRunner{answer: func(*wire.Call) (call.Result, bool) {
			time.Sleep(100 * time.Millisecond)
			return call.Result{Answer: &call.Answer{Status: 200}, Offered: true}, false
		}})
		f.view.Service("s").Match("GET", "/read/").LinkedCandidates[0].Endpoint.VM = f.Settings.VM.ID
		f.Forward(t.Context(), newUpload(60_000))
		test.Eq(t, 0, f.transfers.expected(proximity.SameDataCentre, 60_000))
	})
}

func TestTransferTimesLeaveOutAnswersOfOtherAttempts(t *testing.T) {
	f := newForwarder(&fakeRunner{})
	a := newTestAttempts(f, newUpload(60_000))
	a.loadCandidates()
	a.candidates[0].Endpoint.VM = "asked"
	a.recordTransfer(&a.candidates[0], &call.Result{Answer: &call.Answer{Status: 200}, Server: "left before"}, time.Second)
	test.Eq(t, 0, f.transfers.expected(proximity.SameDataCentre, 60_000))
	a.recordTransfer(&a.candidates[0], &call.Result{Answer: &call.Answer{Status: 200}, Server: "asked"}, time.Second)
	test.Eq(t, time.Second, f.transfers.expected(proximity.SameDataCentre, 60_000))
}

// TestLargeBodiesCrossWhereTheyAreCheapOrGatesAdmitNoWait checks the means and settings that the
// entry passes to the decision.
func TestLargeBodiesCrossWhereTheyAreCheapOrGatesAdmitNoWait(t *testing.T) {
	for _, s := range []struct {
		cause  string
		change func(*Forwarder)
	}{
		{"costs_more", func(f *Forwarder) { f.sizes.work.mean = float64(time.Microsecond) }},
		{"too_late", func(f *Forwarder) { f.Settings.Gate.QueueTime = time.Millisecond }},
	} {
		near, far := &fakeRunner{answer: answers(200)}, &fakeRunner{answer: answers(200)}
		f := newUnevenForwarder(near, far)
		s.change(f)
		a := newTestAttempts(f, newUpload(60_000))
		must.NotNil(t, a.run().Answer)
		test.Len(t, 1, far.calls)
		test.Eq(t, s.cause, a.crossings.cause.String())
	}
}
