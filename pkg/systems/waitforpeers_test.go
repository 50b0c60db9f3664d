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

// addPeerWithPlacement adds a link to a daemon that has this version in force.
func addPeerWithPlacement(env *Env, version uint64) {
	peer := &link.Peer{Conn: link.NewClosedConn(), Hello: wire.Hello{VM: "seed", DataCentre: "here", Incarnation: 1}}
	env.World.Peers.GetOrAdd(peer).PlacementVersion = version
}

// TestRestartWithPeersMakesNoStoreCalls checks that a restarted daemon neither reads the
// list of VMs nor writes its entry if peers send both in time.
func TestRestartWithPeersMakesNoStoreCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := &countingVMList{}
		env, run := newStartEnv(t, false, list)
		env.Settings.Links.Seeds = []string{"127.0.0.9:7401"}
		env.Control = NewControl(env.Common, env.World, 7)
		run(50 * time.Millisecond)
		addPeerWithPlacement(env, 3)
		run(100 * time.Millisecond)
		addMembers(env, enoughMembers+1)
		own := (&registration{Env: env}).ownEntry()
		before := wire.Member{
			VM: own.ID, Incarnation: 6, DataCentre: own.DataCentre, Region: own.Region, Service: own.Service,
			LinkAddress: own.Links, CallerAddress: own.Callers, Slots: uint32(own.Slots),
		}
		env.World.Inbox.Post(true, func(m *tables.Mail) {
			m.Members = append(m.Members, tables.PeerMembers{Rows: []wire.Member{before}})
		})
		run(3 * time.Second)
		test.Eq(t, 0, list.reads)
		test.Eq(t, 0, list.writes)
	})
}

// TestRestartOfTheWholeFleetAsksTheStoreSoon: the seeds have no placement, or cannot be
// reached.
func TestRestartOfTheWholeFleetAsksTheStoreSoon(t *testing.T) {
	for _, linked := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			list := &countingVMList{vms: []store.VM{{ID: "other", DataCentre: "here", Service: "s", Links: "127.0.0.8:1", State: store.VMLive}}}
			env, run := newStartEnv(t, false, list)
			env.Settings.Links.Seeds = []string{"127.0.0.9:7401"}
			env.Control = NewControl(env.Common, env.World, 7)
			if linked {
				addPeerWithPlacement(env, 0)
			}
			run(seedAnswerTimeout + 40*time.Millisecond)
			test.Eq(t, 1, list.reads)
		})
	}
}
