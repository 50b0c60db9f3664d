package executor

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/common"
	"github.com/rushramp/rushramp/pkg/errkind"
	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/loopback"
	"github.com/rushramp/rushramp/pkg/placement"
	"github.com/rushramp/rushramp/pkg/settings"
	standin "github.com/rushramp/rushramp/pkg/standin/backend"
	"github.com/rushramp/rushramp/pkg/wire"
)

var addresses loopback.Allocator

// slowClaims grants each claim after a delay, and records the arguments of Finish.
type slowClaims struct {
	delay    time.Duration
	finished []errkind.Ran
}

func (s *slowClaims) Claim(*wire.Call, []byte, time.Time) (Permit, call.Result) {
	time.Sleep(s.delay)
	return s, call.Result{}
}

func (s *slowClaims) Finish(_ *call.Answer, ran errkind.Ran) {
	s.finished = append(s.finished, ran)
}

// start returns an executor in data centre "here" and its backend server, a stand-in that
// listens at a loopback address.
func start(t *testing.T, claims Claims) (*Executor, *standin.Backend) {
	address := addresses.Next().Address(loopback.PortBackend)
	b := standin.New(standin.Options{Slots: 2})
	stop, err := standin.Serve(b, address)
	must.NoError(t, err)
	s := settings.Default()
	s.VM = settings.VM{ID: "vm", DataCentre: "here"}
	s.BackendServer.Service, s.BackendServer.Address, s.BackendServer.Slots = "glyphserve", address, 2
	compiled := placement.Compile(&placement.Document{Version: 3, Services: []placement.Service{{
		Name: "glyphserve", Kinds: []placement.Kind{
			{Name: "subset", Path: "/subset/*", DataCentres: []string{"here"}},
			{Name: "licence", Path: "/licence/*", DataCentres: []string{"here"}, NeverRepeat: true},
			{Name: "elsewhere", Path: "/elsewhere/*", DataCentres: []string{"there"}},
		},
	}}})
	e, err := NewExecutor(common.NewCommon(events.Discard(), &s), claims, func() *placement.Compiled { return compiled })
	must.NoError(t, err)
	t.Cleanup(func() {
		e.Close()
		stop()
	})
	return e, b
}

func execute(e *Executor, c *wire.Call) call.Result {
	done := make(chan call.Result, 1)
	e.Execute(c, nil, func(r call.Result) { done <- r })
	return <-done
}

func subsetCall() wire.Call {
	return wire.Call{
		Service: "glyphserve", Kind: "subset", Method: "GET", URI: "/subset/a", Placement: 3, Remaining: time.Second,
		Headers: []wire.Header{{Name: standin.HeaderCallID, Value: "id"}},
	}
}

func TestTheExecutorChecksTheCallAgainstItsOwnPlacement(t *testing.T) {
	cases := []struct {
		name   string
		change func(e *Executor, c *wire.Call)
		want   errkind.Kind
	}{
		{"a call that this executor may run", func(*Executor, *wire.Call) {}, errkind.None},
		{"a kind of another data centre", func(_ *Executor, c *wire.Call) { c.Kind, c.URI = "elsewhere", "/elsewhere/a" }, errkind.WrongPlace},
		{"a kind of another data centre, the entry has another version", func(_ *Executor, c *wire.Call) { c.Kind, c.URI, c.Placement = "elsewhere", "/elsewhere/a", 2 }, errkind.PlacementStale},
		{"the path belongs to another kind, the entry has another version", func(_ *Executor, c *wire.Call) { c.Kind, c.Placement = "licence", 2 }, errkind.PlacementStale},
		{"another service", func(_ *Executor, c *wire.Call) { c.Service = "lizenz" }, errkind.WrongPlace},
		{"the executor is leaving", func(e *Executor, _ *wire.Call) { e.Leave() }, errkind.Leaving},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			e, b := start(t, nil)
			c := subsetCall()
			tc.change(e, &c)
			result := execute(e, &c)
			if tc.want == errkind.None {
				must.NotNil(t, result.Answer)
				test.MapLen(t, 1, b.Ledger().Runs())
				return
			}
			must.NotNil(t, result.Refusal)
			test.Eq(t, tc.want, result.Refusal.Kind)
			test.Eq(t, errkind.RanNo, result.Refusal.Ran)
			test.MapEmpty(t, b.Ledger().Runs())
		})
	}
}

// TestNoCallIsSentAfterItsDeadline: the deadline passes between the start of the job
// and the sending of the call, or during the claim, as it does if the process is paused.
func TestNoCallIsSentAfterItsDeadline(t *testing.T) {
	t.Run("before the call is sent", func(t *testing.T) {
		e, b := start(t, nil)
		c := subsetCall()
		kind, refusal := e.checkCall(&c)
		must.Nil(t, refusal)
		r := &run{executor: e, call: &c, kind: kind, deadline: e.Now() - 1}
		result, representative := r.checkAndRun()
		test.False(t, representative)
		must.NotNil(t, result.Refusal)
		test.Eq(t, errkind.DeadlineBeforeRun, result.Refusal.Kind)
		test.MapEmpty(t, b.Ledger().Runs())
	})
	t.Run("during the claim", func(t *testing.T) {
		claims := &slowClaims{delay: 30 * time.Millisecond}
		e, b := start(t, claims)
		c := subsetCall()
		c.Kind, c.URI, c.Key, c.Remaining = "licence", "/licence/a", "k", 10*time.Millisecond
		result := execute(e, &c)
		must.NotNil(t, result.Refusal)
		test.Eq(t, errkind.RanNo, result.Refusal.Ran)
		test.Eq(t, []errkind.Ran{errkind.RanNo}, claims.finished)
		test.MapEmpty(t, b.Ledger().Runs())
	})
}

func TestACancelledCallLeavesTheQueue(t *testing.T) {
	e, b := start(t, nil)
	results := make(chan call.Result, 3)
	var cancels []func()
	for range 3 {
		c := subsetCall()
		c.Headers = append(c.Headers, wire.Header{Name: standin.HeaderWork, Value: "100000"})
		cancels = append(cancels, e.Execute(&c, nil, func(r call.Result) { results <- r }))
	}
	cancels[2]()
	queued := <-results
	must.NotNil(t, queued.Refusal)
	test.Eq(t, errkind.CallerGone, queued.Refusal.Kind)
	test.Eq(t, errkind.RanNo, queued.Refusal.Ran)
	for range 2 {
		test.Nil(t, (<-results).Refusal)
	}
	test.Eq(t, 2, b.Ledger().Runs()["id"].Times)
	test.Eq(t, 0, e.Gate().InFlight())
}

// TestWaitingCallsAreRefusedAtTheEndOfADrain: they ended with LinkLost, as if they might have run,
// when the links of their executor closed.
func TestWaitingCallsAreRefusedAtTheEndOfADrain(t *testing.T) {
	e, b := start(t, nil)
	results := make(chan call.Result, 3)
	for range 3 {
		c := subsetCall()
		c.Headers = append(c.Headers, wire.Header{Name: standin.HeaderWork, Value: "100000"})
		e.Execute(&c, nil, func(r call.Result) { results <- r })
	}
	e.Leave()
	e.RefuseWaiting()
	waiting := <-results
	must.NotNil(t, waiting.Refusal)
	test.Eq(t, errkind.Leaving, waiting.Refusal.Kind)
	test.Eq(t, errkind.RanNo, waiting.Refusal.Ran)
	for range 2 {
		test.NotNil(t, (<-results).Answer)
	}
	test.Eq(t, 2, b.Ledger().Runs()["id"].Times)
}
