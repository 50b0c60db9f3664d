package systems

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"

	"github.com/rushramp/rushramp/pkg/link"
	"github.com/rushramp/rushramp/pkg/store"
	"github.com/rushramp/rushramp/pkg/tables"
	"github.com/rushramp/rushramp/pkg/wire"
)

// knowingPeer puts a link into the table to a daemon that has a version in force.
func knowingPeer(env *Env, version uint64) {
	peer := &link.Peer{Conn: link.NewClosedConn(), Hello: wire.Hello{VM: "seed", DataCentre: "here", Incarnation: 1}}
	env.World.Peers.GetOrAdd(peer).PlacementVersion = version
}

// TestARestartWithPeersCostsNoCalls: neither the list is read nor the entry written where
// peers tell both within the time that is given to them.
func TestARestartWithPeersCostsNoCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := &countingVMList{}
		env, run := newStartEnv(t, false, list)
		env.Settings.Links.Seeds = []string{"127.0.0.9:7401"}
		env.Control = NewControl(env.Common, env.World, 7)
		run(50 * time.Millisecond)
		knowingPeer(env, 3)
		run(100 * time.Millisecond)
		tellMembers(env, toldEnough+1)
		own := (&registration{Env: env}).entry()
		before := wire.Member{
			VM: own.ID, Incarnation: 6, DataCentre: own.DataCentre, Region: own.Region, Service: own.Service,
			Links: own.Links, Callers: own.Callers, Slots: uint32(own.Slots),
		}
		env.World.Inbox.Post(true, func(m *tables.Mail) {
			m.Members = append(m.Members, tables.PeerMembers{Rows: []wire.Member{before}})
		})
		run(3 * time.Second)
		test.Eq(t, 0, list.reads)
		test.Eq(t, 0, list.writes)
	})
}

// TestARestartOfAllAsksTheStoreSoon: its seeds have nothing to tell, or are away.
func TestARestartOfAllAsksTheStoreSoon(t *testing.T) {
	for _, linked := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			list := &countingVMList{vms: []store.VM{{ID: "other", DataCentre: "here", Service: "s", Links: "127.0.0.8:1", State: store.VMLive}}}
			env, run := newStartEnv(t, false, list)
			env.Settings.Links.Seeds = []string{"127.0.0.9:7401"}
			env.Control = NewControl(env.Common, env.World, 7)
			if linked {
				knowingPeer(env, 0)
			}
			run(peersAnswer + 40*time.Millisecond)
			test.Eq(t, 1, list.reads)
		})
	}
}
