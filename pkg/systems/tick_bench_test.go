package systems

import (
	"fmt"
	"testing"

	"github.com/rushramp/rushramp/pkg/backend"
	"github.com/rushramp/rushramp/pkg/link"
	"github.com/rushramp/rushramp/pkg/placement"
	"github.com/rushramp/rushramp/pkg/tables"
	"github.com/rushramp/rushramp/pkg/wire"
)

// BenchmarkTick measures one tick of all systems of a daemon with 150 links, for several
// numbers of members, without a change and with one changed row of the table of members.
// The links are closed, so that nothing is sent.
func BenchmarkTick(b *testing.B) {
	for _, members := range []int{300, 3_000, 21_000} {
		for name, change := range map[string]bool{"nothing": false, "row": true} {
			b.Run(fmt.Sprint(name, "/", members), func(b *testing.B) { benchTick(b, members, change) })
		}
	}
}

func benchTick(b *testing.B, members int, change bool) {
	const links, services = 150, 30
	env := testEnv()
	list := &countingVMList{}
	env.DaemonContext, env.Platform, env.Registrar, env.Feed = b.Context(), list, list, &scriptedFeed{}
	env.Backend = backend.NewLifecycle(true, nil)
	env.DialOptions = link.DialOptions{HeartbeatTiming: link.NewHeartbeatTiming(env.Settings.Links.Heartbeat)}
	doc := &placement.Document{Version: 1}
	for s := range services {
		name := fmt.Sprint("s", s)
		doc.Services = append(doc.Services, placement.Service{Name: name, Kinds: []placement.Kind{{Name: "k", Path: "/*", DataCentres: []string{"here"}}}})
		env.World.RequestedServices[name] = struct{}{}
	}
	env.World.Placement = doc
	env.World.View.SetPlacement(placement.Compile(doc))
	for n := range members {
		row := wire.Member{VM: fmt.Sprint("m", n), DataCentre: fmt.Sprint("dc", n%18), Service: fmt.Sprint("s", n%services)}
		env.World.Members.Merge(1, nil, row)
		if n < links {
			env.World.Peers.GetOrAdd(&link.Peer{Conn: link.NewClosedConn(), Hello: wire.Hello{VM: row.VM, DataCentre: row.DataCentre}})
		}
	}
	env.World.Members.TakeChanges()
	sc := NewScheduler(env)
	row := wire.Member{VM: "m7", DataCentre: "dc7", Service: "s7"}
	from := &link.Peer{Hello: wire.Hello{VM: "m1"}}
	for b.Loop() {
		if change {
			row.Revision++
			env.World.Inbox.Post(false, func(m *tables.Mail) {
				m.Members = append(m.Members, tables.PeerMembers{Peer: from, Rows: []wire.Member{row}})
			})
		}
		sc.Tick()
	}
}
