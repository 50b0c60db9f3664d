package systems

import (
	"time"

	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/link"
	"github.com/rushramp/rushramp/pkg/tables"
	"github.com/rushramp/rushramp/pkg/wire"
)

// news takes over what peers say of themselves: first-hand knowledge, which
// goes before the platform's list.
type news struct{ *Env }

// Tick implements System.
func (ne *news) Tick(now int64, mail *tables.Mail) {
	if mail.StoreReadAt > ne.World.StoreSeen {
		ne.World.StoreSeen = mail.StoreReadAt
	}
	for _, n := range mail.News {
		ne.take(n)
	}
}

func (ne *news) take(n tables.PeerNews) {
	row := ne.World.Peers.Put(n.Peer)
	row.Placement = max(row.Placement, n.State.Placement)
	ne.hear(n)
	if n.State.Leaving && !row.Leaving {
		row.Leaving = true
		ne.markLeaving(n.At, n.Peer)
	}
}

// hear takes over how fresh the peer's knowledge of the store and of the data
// centres is. Ages, not times, travel: clocks of VMs differ.
func (ne *news) hear(n tables.PeerNews) {
	ne.World.Heard[n.Peer.Hello.DataCentre] = n.At
	for _, h := range n.State.Heard {
		at := n.At - int64(time.Duration(h.AgeMS)*time.Millisecond)
		ne.World.Heard[h.DataCentre] = max(ne.World.Heard[h.DataCentre], at)
	}
	if n.State.StoreAgeMS < wire.StoreNever {
		at := n.At - int64(time.Duration(n.State.StoreAgeMS)*time.Millisecond)
		ne.World.StoreSeen = max(ne.World.StoreSeen, at)
	}
}

// markLeaving takes a peer's own word that it is leaving. The platform may say
// so seconds later; members passes it on.
func (ne *news) markLeaving(now int64, peer *link.Peer) {
	row, ok := ne.World.Members.Find(peer.Hello.VM)
	if !ok || ne.World.Members.Row[row].Incarnation > peer.Hello.Incarnation {
		return
	}
	said := ne.World.Members.Row[row]
	said.Incarnation = peer.Hello.Incarnation
	said.State = wire.MemberLeaving
	if _, changed := ne.World.Members.Merge(now, peer, said); changed {
		ne.World.Touch(said.Service)
		ne.Log.Event(events.MemberLeaving, events.F("vm", said.VM), events.F("from", "link"))
	}
}
