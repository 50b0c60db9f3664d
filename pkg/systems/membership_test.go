package systems

import (
	"context"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/rushramp/rushramp/pkg/backend"
	"github.com/rushramp/rushramp/pkg/store"
	"github.com/rushramp/rushramp/pkg/tables"
	"github.com/rushramp/rushramp/pkg/wire"
)

// noopRegistrar is a registrar that writes nothing.
type noopRegistrar struct{}

func (noopRegistrar) Register(context.Context, store.VM) error { return nil }

func newMembershipEnv() (env *Env, run func(records ...wire.Member) wire.Member) {
	env = testEnv()
	left := false
	env.Leave = func() { left = true }
	env.Backend = backend.NewLifecycle(true, nil)
	env.Registrar = noopRegistrar{}
	env.Settings.Listen.Links = "127.0.0.1:7401"
	system, reporter := &membership{Env: env}, &backendReporter{Env: env}
	return env, func(records ...wire.Member) wire.Member {
		mail := &tables.Mail{}
		if len(records) > 0 {
			mail.Members = []tables.PeerMembers{{Rows: records}}
		}
		system.Tick(env.Now(), mail)
		reporter.Tick(env.Now(), mail)
		row, ok := env.World.Members.Find(env.World.VM)
		if !ok || left {
			return wire.Member{State: wire.MemberGone}
		}
		return env.World.Members.Record[row]
	}
}

func TestDaemonAddsItsOwnRow(t *testing.T) {
	env, run := newMembershipEnv()
	own := run()
	must.Eq(t, "vm", own.VM)
	test.Eq(t, wire.BackendAbsent, own.Backend)
	env.Backend.RecordGoodHealthCheck(1, "i-1")
	now := run()
	test.Eq(t, wire.BackendLive, now.Backend)
	test.Greater(t, own.Revision, now.Revision)
	env.Backend.RecordDeparture(2, backend.Departure{Incarnation: backend.Incarnation{ID: "i-1"}})
	test.Eq(t, wire.BackendAbsent, run().Backend)
}

// TestRestartAfterTheClockWasSetBackTakesAHigherIncarnation: peers have a record of the
// former process with a higher incarnation, as leaving.
func TestRestartAfterTheClockWasSetBackTakesAHigherIncarnation(t *testing.T) {
	env, run := newMembershipEnv()
	own := run()
	env.Backend.RecordGoodHealthCheck(1, "i-1")
	old := own
	old.Incarnation, old.State, old.Revision = 99, wire.MemberLeaving, 7
	now := run(old)
	test.Eq(t, wire.MemberLive, now.State)
	test.Greater(t, 99, now.Incarnation)
	test.Eq(t, now.Incarnation, env.Control.Incarnation())
	test.Eq(t, now.Incarnation, env.Control.Hello().Incarnation)
	test.Eq(t, wire.BackendLive, now.Backend)
}
