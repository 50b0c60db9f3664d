package operators

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/rushramp/rushramp/pkg/common"
	"github.com/rushramp/rushramp/pkg/events"
	api "github.com/rushramp/rushramp/pkg/operatorsapi"
	"github.com/rushramp/rushramp/pkg/rollout"
	"github.com/rushramp/rushramp/pkg/settings"
	"github.com/rushramp/rushramp/pkg/standin/fakestore"
	"github.com/rushramp/rushramp/pkg/tables"
	"github.com/rushramp/rushramp/pkg/wire"
)

// newServer returns the server of a daemon that knows one backend server of service "s" for
// each of the versions, and its store. A goroutine in place of the systems applies orders
// and runs queries.
func newServer(t *testing.T, versions ...string) (*Server, *fakestore.Store) {
	s := settings.Default()
	w := tables.NewWorld("vm", "here")
	for i, version := range versions {
		w.Members.Merge(1, nil, wire.Member{VM: "vm-" + string(rune('a'+i)), Service: "s", Version: version, Incarnation: 1})
	}
	platform := fakestore.New()
	done := make(chan struct{})
	t.Cleanup(func() { close(done) })
	go func() {
		for {
			select {
			case <-done:
				return
			case <-w.Inbox.Wake():
			}
			mail := w.Inbox.Take()
			if mail.RolloutOrders != nil {
				w.Rollouts.Merge(rollout.Update{Orders: *mail.RolloutOrders})
			}
			for _, query := range mail.Queries {
				query(w)
			}
		}
	}()
	return &Server{
		Common: common.NewCommon(events.Discard(), &s), World: w, Orders: rollout.NewOrderStore(platform),
		StoreClock: func() time.Duration { return time.Minute },
	}, platform
}

func startRequest(id string) *api.StartRolloutRequest {
	return &api.StartRolloutRequest{Service: "s", Version: "v2", DurationMs: 60_000, ChangeId: id, Author: "anna"}
}

// TestOrderIsInForceWhenAnswered checks that an order is in force when the response arrives,
// also if the order is sent again, until it is cancelled.
func TestOrderIsInForceWhenAnswered(t *testing.T) {
	se, _ := newServer(t, "v1", "v2", "v1")
	for range 2 {
		answer, err := se.StartRollout(t.Context(), startRequest("1"))
		must.NoError(t, err)
		must.Len(t, 1, answer.GetRollouts())
		got := answer.GetRollouts()[0]
		test.Eq(t, "s v2 ordered", strings.Join([]string{got.GetService(), got.GetTarget(), got.GetPhase()}, " "))
		test.Eq(t, 1, got.GetOrder())
		test.Eq(t, 60_000, got.GetDurationMs())
		test.Eq(t, 1, got.GetTargetServers())
		test.Eq(t, 2, got.GetOtherServers())
	}
	answer, err := se.CancelRollout(t.Context(), &api.CancelRolloutRequest{Service: "s", ChangeId: "2", Author: "bert"})
	must.NoError(t, err)
	test.SliceEmpty(t, answer.GetRollouts())
	test.Eq(t, 2, answer.GetRevision())
}

// TestRefusedOrders checks that the error says what to do, and that nothing is written.
func TestRefusedOrders(t *testing.T) {
	for name, c := range map[string]struct {
		modify    func(*Server, *fakestore.Store, *api.StartRolloutRequest)
		code      codes.Code
		wantError string
	}{
		"unknown service": {func(_ *Server, _ *fakestore.Store, in *api.StartRolloutRequest) { in.Service = "t" }, codes.NotFound, "no VM runs service \"t\"; those that this daemon knows run: s."},
		"no version":      {func(_ *Server, _ *fakestore.Store, in *api.StartRolloutRequest) { in.Version = "" }, codes.InvalidArgument, "name one"},
		"too short":       {func(_ *Server, _ *fakestore.Store, in *api.StartRolloutRequest) { in.DurationMs = 1000 }, codes.InvalidArgument, "12s at least"},
		"no author":       {func(_ *Server, _ *fakestore.Store, in *api.StartRolloutRequest) { in.Author = "" }, codes.InvalidArgument, "--author"},
		"no right": {func(se *Server, _ *fakestore.Store, _ *api.StartRolloutRequest) {
			se.Settings.Operators = []settings.Operator{{Name: "anna", Services: []string{"t"}}}
		}, codes.PermissionDenied, "may not roll out"},
		"orders in the store of the platform": {func(se *Server, _ *fakestore.Store, _ *api.StartRolloutRequest) { se.Orders = nil }, codes.Unimplemented, "in its store"},
		"the store is down": {func(_ *Server, platform *fakestore.Store, _ *api.StartRolloutRequest) {
			platform.SetFaults(fakestore.Faults{Down: true})
		}, codes.Unavailable, "nothing was ordered"},
	} {
		se, platform := newServer(t, "v1")
		in := startRequest("1")
		c.modify(se, platform, in)
		_, err := se.StartRollout(t.Context(), in)
		test.Eq(t, c.code, status.Code(err), test.Sprint(name))
		test.ErrorContains(t, err, c.wantError, test.Sprint(name))
		test.SliceEmpty(t, se.World.Rollouts.Snapshot().Orders.List, test.Sprint(name))
	}
	unversioned, _ := newServer(t, "")
	_, err := unversioned.StartRollout(t.Context(), startRequest("1"))
	test.ErrorContains(t, err, "backend_server.version")
	_, err = unversioned.CancelRollout(t.Context(), &api.CancelRolloutRequest{Service: "s", ChangeId: "2", Author: "bert"})
	test.ErrorContains(t, err, "nothing to cancel")
}

// TestLostAnswerNamesTheChangeID checks that the error after a lost answer names the change
// id, with which the change can be sent again.
func TestLostAnswerNamesTheChangeID(t *testing.T) {
	se, platform := newServer(t, "v1")
	platform.SetFaults(fakestore.Faults{LoseAnswers: 1})
	_, err := se.StartRollout(t.Context(), startRequest("1"))
	test.Eq(t, codes.Unknown, status.Code(err))
	test.ErrorContains(t, err, "--change-id 1")
	platform.SetFaults(fakestore.Faults{})
	answer, err := se.StartRollout(t.Context(), startRequest("1"))
	must.NoError(t, err)
	test.Eq(t, 1, answer.GetRevision())
}

// TestReportedRollouts checks the phase that operators see in each state of a roll-out.
func TestReportedRollouts(t *testing.T) {
	plan := rollout.Plan{
		Service: "s", Target: "v2", Old: []string{"v1"}, Order: 3, Revision: 7, Phase: rollout.Canary,
		Canaries: []string{"vm-b"}, PerMille: 90, Deadline: 2 * time.Minute, Cause: "ready",
	}
	orders := func(revision uint64, list ...rollout.Order) rollout.Orders {
		return rollout.Orders{Revision: revision, List: list}
	}
	first := rollout.Order{Service: "s", Version: "v2", Revision: 3, Duration: time.Minute}
	later := rollout.Order{Service: "s", Version: "v3", Revision: 9, Duration: time.Minute}
	ended := plan
	ended.Phase, ended.Cause = rollout.Completed, "empty"
	for name, c := range map[string]struct {
		update   rollout.Update
		phase    string
		target   string
		canaries int
		leftMS   int64
		stopped  bool
	}{
		"canary":          {rollout.Update{Orders: orders(3, first), Plans: []rollout.Plan{plan}}, "canary", "v2", 1, 60_000, false},
		"stopped":         {rollout.Update{Orders: orders(3, first), Plans: []rollout.Plan{plan}, Stops: []rollout.Stop{{Service: "s", Order: 3, Cause: "bad"}}}, "canary", "v2", 0, 60_000, true},
		"order cancelled": {rollout.Update{Orders: orders(8), Plans: []rollout.Plan{plan}}, "cancelled", "v2", 0, 0, false},
		"newer order":     {rollout.Update{Orders: orders(9, later), Plans: []rollout.Plan{plan}}, "ordered", "v3", 0, 0, false},
		"completed":       {rollout.Update{Orders: orders(3, first), Plans: []rollout.Plan{ended}}, "completed", "v2", 0, 0, false},
		"orders unknown":  {rollout.Update{Plans: []rollout.Plan{plan}}, "canary", "v2", 1, 60_000, false},
	} {
		se, _ := newServer(t, "v1", "v2")
		replica := rollout.NewReplica()
		replica.Merge(c.update)
		w := tables.NewWorld("vm", "here")
		w.Rollouts = replica
		got := se.rollout(w, "s")
		must.NotNil(t, got, must.Sprint(name))
		test.Eq(t, c.phase, got.GetPhase(), test.Sprint(name))
		test.Eq(t, c.target, got.GetTarget(), test.Sprint(name))
		test.Len(t, c.canaries, got.GetCanaries(), test.Sprint(name))
		test.Eq(t, c.leftMS, got.GetDeadlineLeftMs(), test.Sprint(name))
		test.Eq(t, c.leftMS != 0, got.GetDeadlineKnown(), test.Sprint(name))
		test.Eq(t, c.stopped, got.GetStopped(), test.Sprint(name))
	}
	se, _ := newServer(t)
	test.Nil(t, se.rollout(tables.NewWorld("vm", "here"), "s"))
}
