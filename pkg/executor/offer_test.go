package executor

import (
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/errkind"
)

func TestOfferedCallRunsWhenItsBodyHasArrived(t *testing.T) {
	e, b := start(t, nil)
	c := subsetCall()
	done := make(chan call.Result, 2)
	offered := e.Offer(&c, 0, func(r call.Result) { done <- r })
	must.NotNil(t, offered)
	test.Eq(t, 1, e.Stamp().Queued)
	test.MapLen(t, 0, b.Ledger().Runs())
	offered.Start([]byte("body"))
	must.NotNil(t, (<-done).Answer)
	offered.Withdraw(errkind.New(errkind.CallerGone, ""))
	test.Zero(t, len(done))
	test.MapLen(t, 1, b.Ledger().Runs())
}

// TestOfferedCallEndsOnceAsNotRun checks that a call whose body does not arrive ends as not
// run, and does not start if its body arrives later.
func TestOfferedCallEndsOnceAsNotRun(t *testing.T) {
	for want, end := range map[errkind.Kind]func(*Executor, call.Offered){
		errkind.CallerGone: func(_ *Executor, o call.Offered) { o.Withdraw(errkind.New(errkind.CallerGone, "")) },
		errkind.Leaving:    func(e *Executor, _ call.Offered) { e.Leave() },
	} {
		t.Run(want.String(), func(t *testing.T) {
			e, b := start(t, nil)
			c := subsetCall()
			done := make(chan call.Result, 2)
			offered := e.Offer(&c, 0, func(r call.Result) { done <- r })
			must.NotNil(t, offered)
			end(e, offered)
			offered.Start(nil)()
			result := <-done
			must.NotNil(t, result.Refusal)
			test.Eq(t, want, result.Refusal.Kind)
			test.Eq(t, errkind.RanNo, result.Refusal.Ran)
			test.Zero(t, len(done))
			test.Zero(t, e.InFlight())
			test.MapLen(t, 0, b.Ledger().Runs())
		})
	}
}

func TestOfferIsCheckedAgainstThePlacement(t *testing.T) {
	e, _ := start(t, nil)
	c := subsetCall()
	c.Service = "lizenz"
	var got call.Result
	test.Nil(t, e.Offer(&c, 0, func(r call.Result) { got = r }))
	must.NotNil(t, got.Refusal)
	test.Eq(t, errkind.WrongPlace, got.Refusal.Kind)
	test.Zero(t, e.InFlight())
}
