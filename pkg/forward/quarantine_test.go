package forward

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/errkind"
	"github.com/rushramp/rushramp/pkg/quarantine"
	"github.com/rushramp/rushramp/pkg/wire"
)

// reportCrash reports a crash, with the given id, of a backend server that was running the
// request.
func reportCrash(f *Forwarder, id uint64, req *Request) {
	f.Quarantine.RecordCrash(f.Now(), id, []quarantine.Fingerprint{req.fingerprint()})
}

// TestAQuarantinedRequestIsRefusedAtOnce: as not run, with the time to the end of the
// quarantine as Retry-After, and without an attempt. Other requests are answered.
func TestAQuarantinedRequestIsRefusedAtOnce(t *testing.T) {
	r := &fakeRunner{answer: answers(200)}
	f := newForwarder(r)
	reportCrash(f, 1, newRequest("/read/1"))
	must.NotNil(t, f.Forward(t.Context(), newRequest("/read/1")).Answer)
	reportCrash(f, 2, newRequest("/read/1"))
	got := f.Forward(t.Context(), newRequest("/read/1"))
	must.NotNil(t, got.Refusal)
	test.Eq(t, errkind.RequestHeld, got.Refusal.Kind)
	test.Eq(t, errkind.RanNo, got.Refusal.Ran)
	test.Between(t, 9*time.Minute, got.RetryAfter, 10*time.Minute)
	test.Eq(t, 1, totalCalls(r))
	must.NotNil(t, f.Forward(t.Context(), newRequest("/read/2")).Answer)
}

// TestARequestQuarantinedBetweenTwoAttemptsIsNotSentAgain. The caller gets the failure of
// the first attempt, because that one ran.
func TestARequestQuarantinedBetweenTwoAttemptsIsNotSentAgain(t *testing.T) {
	var f *Forwarder
	crashes := func(*wire.Call) (call.Result, bool) {
		reportCrash(f, 1, newRequest("/read/1"))
		reportCrash(f, 2, newRequest("/read/1"))
		return refuses(errkind.BackendFailed, true)(nil)
	}
	first, second := &fakeRunner{answer: crashes}, &fakeRunner{answer: crashes}
	f = newForwarder(first, second)
	got := f.Forward(t.Context(), newRequest("/read/1"))
	must.NotNil(t, got.Refusal)
	test.Eq(t, errkind.BackendFailed, got.Refusal.Kind)
	test.Eq(t, 1, totalCalls(first, second))
}

// TestAQuarantineRefusalOfAnExecutorEndsTheAttempts: an executor may know of a quarantine
// before the entry does.
func TestAQuarantineRefusalOfAnExecutorEndsTheAttempts(t *testing.T) {
	first, second := &fakeRunner{answer: refuses(errkind.RequestHeld, false)}, &fakeRunner{answer: refuses(errkind.RequestHeld, false)}
	got := newForwarder(first, second).Forward(t.Context(), newRequest("/post/1"))
	must.NotNil(t, got.Refusal)
	test.Eq(t, errkind.RequestHeld, got.Refusal.Kind)
	test.Eq(t, 1, totalCalls(first, second))
}
