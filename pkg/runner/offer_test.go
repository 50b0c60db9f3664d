package runner

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/rushramp/rushramp/pkg/backend"
	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/errkind"
	"github.com/rushramp/rushramp/pkg/quarantine"
	"github.com/rushramp/rushramp/pkg/wire"
)

// offer offers a call whose body arrives at once.
func offer(r *Runner, c *wire.Call) (call.Offered, chan call.Result) {
	results := make(chan call.Result, 2)
	return r.Offer(c, 0, func(result call.Result) { results <- result }), results
}

func TestOfferedRequestRunsWhenItsBodyHasArrived(t *testing.T) {
	h := newHoldingServer()
	r, _ := newTestRunner(t, h, 2)
	c := routedCall("a")
	c.Routed.Priority, c.Routed.TeamPriority = 3, 2
	offered, results := offer(r, c)
	must.NotNil(t, offered)
	test.Eq(t, 0x203, offered.Rank())
	test.Between(t, r.Now(), offered.StartBy(), r.Now()+int64(time.Minute))
	test.Eq(t, 1, r.InFlight())
	test.Eq(t, 1, r.Stamp().Queued)
	h.proceed <- struct{}{}
	offered.Start([]byte("body"))
	must.NotNil(t, (<-results).Answer)
	test.Eq(t, "a", <-h.arrived)
	offered.Withdraw(errkind.New(errkind.CallerGone, ""))
	test.Zero(t, len(results))
	// A request is counted as ended only after its result was reported.
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return r.InFlight() == 0 }),
		wait.Timeout(10*time.Second), wait.Gap(time.Millisecond)))
}

// TestOfferedRequestEndsOnceAsNotRun checks each way in which an offered request ends before
// its body has arrived. A late Start has no effect.
func TestOfferedRequestEndsOnceAsNotRun(t *testing.T) {
	scenarios := []struct {
		name string
		end  func(r *Runner, lifecycle *backend.Lifecycle, offered call.Offered)
		want errkind.Kind
	}{
		{"cancelled", func(_ *Runner, _ *backend.Lifecycle, o call.Offered) {
			o.Withdraw(errkind.New(errkind.CallerGone, "cancelled"))
		}, errkind.CallerGone},
		{"the executor stops", func(r *Runner, _ *backend.Lifecycle, _ call.Offered) { r.StopAccepting() }, errkind.Leaving},
		{"the backend server leaves", func(r *Runner, lifecycle *backend.Lifecycle, _ call.Offered) {
			lifecycle.RecordDeparture(2, backend.Departure{Incarnation: backend.Incarnation{ID: "i-1"}})
			r.Tick()
		}, errkind.BackendAbsent},
		{"the data centre is evacuated", func(r *Runner, _ *backend.Lifecycle, _ call.Offered) {
			r.SetEvacuated(true)
			r.Tick()
		}, errkind.DataCentreEvacuated},
		{"its content is quarantined", func(r *Runner, _ *backend.Lifecycle, o call.Offered) {
			quarantineContent(r, routedCall("a").Fingerprint([]byte("body")))
			o.Start([]byte("body"))
		}, errkind.RequestHeld},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			h := newHoldingServer()
			r, lifecycle := newTestRunner(t, h, 2)
			offered, results := offer(r, routedCall("a"))
			must.NotNil(t, offered)
			s.end(r, lifecycle, offered)
			offered.Start([]byte("body"))()
			offered.Withdraw(errkind.New(errkind.CallerGone, ""))
			got := <-results
			must.NotNil(t, got.Refusal)
			test.Eq(t, s.want, got.Refusal.Kind)
			test.Eq(t, errkind.RanNo, got.Refusal.Ran)
			test.False(t, got.Offered)
			test.Zero(t, len(results))
			test.Zero(t, len(h.arrived))
			test.Zero(t, r.InFlight())
			test.Zero(t, r.Gate().InFlight())
		})
	}
}

// TestOfferIsRefusedByTheHead checks the refusals that need no body.
func TestOfferIsRefusedByTheHead(t *testing.T) {
	h := newHoldingServer()
	r, lifecycle := newTestRunner(t, h, 1)
	refused := func(c *wire.Call, transfer time.Duration, want errkind.Kind) {
		t.Helper()
		var got call.Result
		test.Nil(t, r.Offer(c, transfer, func(result call.Result) { got = result }))
		must.NotNil(t, got.Refusal)
		test.Eq(t, want, got.Refusal.Kind)
		test.Eq(t, errkind.RanNo, got.Refusal.Ran)
	}
	refused(routedCall("late"), 2*time.Minute, errkind.Overloaded)
	held, _ := offer(r, routedCall("held"))
	must.NotNil(t, held)
	soft := routedCall("soft")
	soft.Routed.Soft = true
	refused(soft, 0, errkind.GateBusier)
	held.Withdraw(errkind.New(errkind.CallerGone, ""))
	lifecycle.RecordDeparture(2, backend.Departure{Incarnation: backend.Incarnation{ID: "i-1"}})
	refused(routedCall("b"), 0, errkind.BackendAbsent)
	r.StopAccepting()
	refused(routedCall("c"), 0, errkind.Leaving)
	test.Zero(t, r.InFlight())
}

// quarantineContent makes the runner's daemon refuse requests with a content.
func quarantineContent(r *Runner, content quarantine.Fingerprint) {
	for id := uint64(1); id <= 2; id++ {
		r.Quarantine.RecordCrash(r.Now(), id, []quarantine.Fingerprint{content})
	}
}
