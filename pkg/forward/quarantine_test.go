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

// crash tells the forwarder that a content ran when a backend server's process ended.
func crash(f *Forwarder, id uint64, req *Request) {
	f.Quarantine.RecordCrash(f.Now(), id, []quarantine.Fingerprint{req.fingerprint()})
}

// TestAHeldRequestIsRefusedAtOnce: as not run, with the time when it may run again, and
// without asking anybody. Others are served.
func TestAHeldRequestIsRefusedAtOnce(t *testing.T) {
	r := &fakeRunner{answer: answers(200)}
	f := newForwarder(r)
	crash(f, 1, request("/read/1"))
	must.NotNil(t, f.Forward(t.Context(), request("/read/1")).Answer)
	crash(f, 2, request("/read/1"))
	got := f.Forward(t.Context(), request("/read/1"))
	must.NotNil(t, got.Refusal)
	test.Eq(t, errkind.RequestHeld, got.Refusal.Kind)
	test.Eq(t, errkind.RanNo, got.Refusal.Ran)
	test.Between(t, 9*time.Minute, got.RetryAfter, 10*time.Minute)
	test.Eq(t, 1, total(r))
	must.NotNil(t, f.Forward(t.Context(), request("/read/2")).Answer)
}

// TestARequestThatTurnsOutToEndBackendServersStops between two attempts. What its first
// one ended with is told: it ran.
func TestARequestThatTurnsOutToEndBackendServersStops(t *testing.T) {
	var f *Forwarder
	ends := func(*wire.Call) (call.Result, bool) {
		crash(f, 1, request("/read/1"))
		crash(f, 2, request("/read/1"))
		return refuses(errkind.BackendFailed, true)(nil)
	}
	one, two := &fakeRunner{answer: ends}, &fakeRunner{answer: ends}
	f = newForwarder(one, two)
	got := f.Forward(t.Context(), request("/read/1"))
	must.NotNil(t, got.Refusal)
	test.Eq(t, errkind.BackendFailed, got.Refusal.Kind)
	test.Eq(t, 1, total(one, two))
}

// TestAnExecutorThatKnowsMoreEndsTheAttempts: no other one is asked.
func TestAnExecutorThatKnowsMoreEndsTheAttempts(t *testing.T) {
	one, two := &fakeRunner{answer: refuses(errkind.RequestHeld, false)}, &fakeRunner{answer: refuses(errkind.RequestHeld, false)}
	got := newForwarder(one, two).Forward(t.Context(), request("/post/1"))
	must.NotNil(t, got.Refusal)
	test.Eq(t, errkind.RequestHeld, got.Refusal.Kind)
	test.Eq(t, 1, total(one, two))
}
