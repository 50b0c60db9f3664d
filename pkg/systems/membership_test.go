package systems

import (
	"context"
	"math"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/rushramp/rushramp/pkg/backend"
	"github.com/rushramp/rushramp/pkg/link"
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

// TestEntryOfAnotherWriterChangesNoRunningVM guards against an entry in a list that daemons write
// themselves, under the id of a VM that runs: its daemon left, and others lost its address.
func TestEntryOfAnotherWriterChangesNoRunningVM(t *testing.T) {
	odd := store.VM{DataCentre: "other", Region: "other", Service: "other", State: store.VMLive, Links: "127.0.0.1:1", Slots: 2_000_000_000, Started: math.MaxUint64}
	leaving := odd
	leaving.State = store.VMLeaving
	for _, entry := range []store.VM{odd, leaving} {
		env, run := newMembershipEnv()
		own := run()
		neighbour := wire.Member{VM: "neighbour", Incarnation: 7, DataCentre: "a", Service: "s", LinkAddress: "127.0.0.1:7411", Slots: 4, Revision: 3}
		run(neighbour)
		system := &membership{Env: env, ownRowAdded: true}
		for _, id := range []string{env.World.VM, neighbour.VM, "ghost"} {
			entry.ID = id
			system.Tick(env.Now(), &tables.Mail{VMList: &tables.VMList{VMs: []store.VM{entry}}})
		}
		test.Eq(t, own, run())
		row, ok := env.World.Members.Find(neighbour.VM)
		must.True(t, ok)
		test.Eq(t, neighbour, env.World.Members.Record[row])
		// A VM of which only the list tells is replaced by the record of its own process.
		ghost := neighbour
		ghost.VM = "ghost"
		run(ghost)
		row, ok = env.World.Members.Find(ghost.VM)
		must.True(t, ok)
		test.Eq(t, ghost, env.World.Members.Record[row])
	}
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

// TestOwnRecordReplacesThatOfTheGreeting guards against requests to a backend server of a
// version that may not run them: a peer knows of a new process from the greeting of a link
// alone, without its version, and both records were equally new, so that their digests decided.
func TestOwnRecordReplacesThatOfTheGreeting(t *testing.T) {
	for started := range uint64(40) {
		env := testEnv()
		env.Backend = backend.NewLifecycle(true, nil)
		env.Backend.RecordHeartbeat(1, backend.Heartbeat{InstanceID: "i-1", Sequence: 1, Version: "v2"})
		listed := store.VM{ID: env.World.VM, Started: started, DataCentre: "a", Service: "s", Links: "127.0.0.1:7401", Slots: 4}
		system := &membership{Env: env}
		system.Tick(env.Now(), &tables.Mail{VMList: &tables.VMList{VMs: []store.VM{listed}}})
		row, ok := env.World.Members.Find(env.World.VM)
		must.True(t, ok)
		own := env.World.Members.Record[row]

		peer := &links{Env: testEnv()}
		fromGreeting := own
		fromGreeting.Incarnation, fromGreeting.Version, fromGreeting.Backend = 0, "", wire.BackendAbsent
		peer.World.Members.Merge(1, nil, fromGreeting)
		hello := wire.Hello{VM: own.VM, Incarnation: own.Incarnation}
		peer.handleNewProcess(2, tables.LinkEvent{Peer: &link.Peer{Conn: link.NewClosedConn(), Hello: hello}, Up: true})
		peer.World.Members.Merge(3, nil, own)
		row, ok = peer.World.Members.Find(own.VM)
		must.True(t, ok)
		test.Eq(t, "v2", peer.World.Members.Record[row].Version)
	}
}
