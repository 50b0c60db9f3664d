package forward

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/errkind"
	"github.com/rushramp/rushramp/pkg/wire"
)

// limitedStamp returns a stamp with a rate limit of 5 calls a second.
func limitedStamp(seq uint64, tokens float64) wire.Stamp {
	stamp := wire.Stamp{Seq: seq, Limit: 4, Slowdown: 100}
	stamp.SetStartRate(5, tokens)
	return stamp
}

// TestEntryStatesTheRateLimitUntilAnAnswerWithoutOne: refusals of a restarted executor, which
// does not know the limit yet, do not make the entry forget it.
func TestEntryStatesTheRateLimitUntilAnAnswerWithoutOne(t *testing.T) {
	result := call.Result{Answer: &call.Answer{Status: 200}, Offered: true, Stamp: limitedStamp(1, 2)}
	r := &fakeRunner{answer: func(*wire.Call) (call.Result, bool) { return result, false }}
	f := newForwarder(r)
	f.Forward(t.Context(), newRequest("/read/1"))
	result = call.Refused(errkind.Overloaded, "")
	result.Stamp = wire.Stamp{Seq: 2, Limit: 4}
	f.Forward(t.Context(), newRequest("/read/2"))
	result = call.Result{Answer: &call.Answer{Status: 200}, Offered: true, Stamp: wire.Stamp{Seq: 3, Limit: 4}}
	f.Forward(t.Context(), newRequest("/read/3"))
	f.Forward(t.Context(), newRequest("/read/4"))
	must.Len(t, 4, r.calls)
	for i, want := range []float64{0, 5, 5, 0} {
		test.Eq(t, want, r.calls[i].Routed.RateLimit(), test.Sprint(i))
	}
}

// TestRequestsBeyondAllRateLimitsAreRefusedAtOnce, and their callers are told when a token is
// free.
func TestRequestsBeyondAllRateLimitsAreRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, second := &fakeRunner{answer: answers(200)}, &fakeRunner{answer: answers(200)}
		f := newForwarder(first, second)
		candidates := f.view.Service("s").Match("GET", "/read/1").LinkedCandidates
		candidates[0].Load.ApplyStamp(f.Now(), limitedStamp(1, -0.55))
		candidates[1].Load.ApplyStamp(f.Now(), limitedStamp(1, -5))
		startedAt := time.Now()
		got := f.Forward(t.Context(), newRequest("/read/1"))
		must.NotNil(t, got.Refusal)
		test.Eq(t, errkind.Overloaded, got.Refusal.Kind)
		test.Eq(t, errkind.RanNo, got.Refusal.Ran)
		test.Eq(t, 310*time.Millisecond, got.RetryAfter.Round(time.Millisecond), test.Sprint("the wait for the next token of the first"))
		test.Zero(t, time.Since(startedAt))
		test.SliceEmpty(t, first.calls)
		test.SliceEmpty(t, second.calls)

		time.Sleep(got.RetryAfter)
		got = f.Forward(t.Context(), newRequest("/read/1"))
		must.NotNil(t, got.Answer)
		test.Len(t, 1, first.calls)
	})
}
