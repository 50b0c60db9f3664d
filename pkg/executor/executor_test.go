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

// slowClaims grants each claim after a pause, and notes how it was finished.
type slowClaims struct {
	pause    time.Duration
	finished []errkind.Ran
}

func (s *slowClaims) Claim(*wire.Call, []byte, time.Time) (Permit, call.Result) {
	time.Sleep(s.pause)
	return s, call.Result{}
}

func (s *slowClaims) Finish(_ *call.Answer, ran errkind.Ran) {
	s.finished = append(s.finished, ran)
}

// start makes an executor in data centre "here" with a backend server.
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

func subset() wire.Call {
	return wire.Call{
		Service: "glyphserve", Kind: "subset", Method: "GET", URI: "/subset/a", Placement: 3, Remaining: time.Second,
		Headers: []wire.Header{{Name: standin.HeaderCallID, Value: "id"}},
	}
}

func TestTheExecutorChecksWhatTheEntryBelieved(t *testing.T) {
	scenarios := []struct {
		name   string
		change func(e *Executor, c *wire.Call)
		want   errkind.Kind
	}{
		{"fits", func(*Executor, *wire.Call) {}, errkind.None},
		{"a kind that may not be handled here", func(_ *Executor, c *wire.Call) { c.Kind, c.URI = "elsewhere", "/elsewhere/a" }, errkind.WrongPlace},
		{"the same, sent on another version", func(_ *Executor, c *wire.Call) { c.Kind, c.URI, c.Placement = "elsewhere", "/elsewhere/a", 2 }, errkind.PlacementStale},
		{"another kind than this placement matches", func(_ *Executor, c *wire.Call) { c.Kind, c.Placement = "licence", 2 }, errkind.PlacementStale},
		{"another service", func(_ *Executor, c *wire.Call) { c.Service = "lizenz" }, errkind.WrongPlace},
		{"leaving", func(e *Executor, _ *wire.Call) { e.Leave() }, errkind.Leaving},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			e, b := start(t, nil)
			c := subset()
			s.change(e, &c)
			result := execute(e, &c)
			if s.want == errkind.None {
				must.NotNil(t, result.Answer)
				test.MapLen(t, 1, b.Ledger().Runs())
				return
			}
			must.NotNil(t, result.Refusal)
			test.Eq(t, s.want, result.Refusal.Kind)
			test.Eq(t, errkind.RanNo, result.Refusal.Ran)
			test.MapEmpty(t, b.Ledger().Runs())
		})
	}
}

// TestAPausedProcessDoesNotHandOverLate lets the time run out where a pause
// would: between the gate's word and the hand-over, and in the claim.
func TestAPausedProcessDoesNotHandOverLate(t *testing.T) {
	t.Run("before the hand-over", func(t *testing.T) {
		e, b := start(t, nil)
		c := subset()
		kind, refusal := e.check(&c)
		must.Nil(t, refusal)
		r := &run{owner: e, call: &c, kind: kind, deadline: e.Now() - 1}
		result, counts := r.handOver()
		test.False(t, counts)
		must.NotNil(t, result.Refusal)
		test.Eq(t, errkind.DeadlineBeforeRun, result.Refusal.Kind)
		test.MapEmpty(t, b.Ledger().Runs())
	})
	t.Run("in the claim", func(t *testing.T) {
		claims := &slowClaims{pause: 30 * time.Millisecond}
		e, b := start(t, claims)
		c := subset()
		c.Kind, c.URI, c.Key, c.Remaining = "licence", "/licence/a", "k", 10*time.Millisecond
		result := execute(e, &c)
		must.NotNil(t, result.Refusal)
		test.Eq(t, errkind.RanNo, result.Refusal.Ran)
		test.Eq(t, []errkind.Ran{errkind.RanNo}, claims.finished)
		test.MapEmpty(t, b.Ledger().Runs())
	})
}

func TestACancelledCallGivesItsPlaceBack(t *testing.T) {
	e, b := start(t, nil)
	ends := make(chan call.Result, 3)
	var cancels []func()
	for range 3 {
		c := subset()
		c.Headers = append(c.Headers, wire.Header{Name: standin.HeaderWork, Value: "100000"})
		cancels = append(cancels, e.Execute(&c, nil, func(r call.Result) { ends <- r }))
	}
	cancels[2]()
	waited := <-ends
	must.NotNil(t, waited.Refusal)
	test.Eq(t, errkind.CallerGone, waited.Refusal.Kind)
	test.Eq(t, errkind.RanNo, waited.Refusal.Ran)
	for range 2 {
		test.Nil(t, (<-ends).Refusal)
	}
	test.Eq(t, 2, b.Ledger().Runs()["id"].Times)
	test.Eq(t, 0, e.Gate().InFlight())
}
