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
func (self *news) Tick(now int64, mail *tables.Mail) {
	if mail.StoreReadAt > self.World.StoreSeen {
		self.World.StoreSeen = mail.StoreReadAt
	}
	for _, n := range mail.News {
		self.take(n)
	}
}

func (self *news) take(n tables.PeerNews) {
	row := self.World.Peers.Put(n.Peer)
	row.Placement = max(row.Placement, n.State.Placement)
	self.hear(n)
	if n.State.Leaving && !row.Leaving {
		row.Leaving = true
		self.markLeaving(n.At, n.Peer)
	}
}

// hear takes over how fresh the peer's knowledge of the store and of the data
// centres is. Ages, not times, travel: clocks of VMs differ.
func (self *news) hear(n tables.PeerNews) {
	self.World.Heard[n.Peer.Hello.DataCentre] = n.At
	for _, h := range n.State.Heard {
		at := n.At - int64(time.Duration(h.AgeMS)*time.Millisecond)
		self.World.Heard[h.DataCentre] = max(self.World.Heard[h.DataCentre], at)
	}
	if n.State.StoreAgeMS < wire.StoreNever {
		at := n.At - int64(time.Duration(n.State.StoreAgeMS)*time.Millisecond)
		self.World.StoreSeen = max(self.World.StoreSeen, at)
	}
}

// markLeaving takes a peer's own word that it is leaving. The platform may say
// so seconds later; members passes it on.
func (self *news) markLeaving(now int64, peer *link.Peer) {
	row, ok := self.World.Members.Find(peer.Hello.VM)
	if !ok || self.World.Members.Row[row].Incarnation > peer.Hello.Incarnation {
		return
	}
	said := self.World.Members.Row[row]
	said.Incarnation = peer.Hello.Incarnation
	said.State = wire.MemberLeaving
	if _, changed := self.World.Members.Merge(now, peer, said); changed {
		self.World.Touch(said.Service)
		self.Log.Event(events.MemberLeaving, events.F("vm", said.VM), events.F("from", "link"))
	}
}
