package systems

import (
	"time"

	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/link"
	"github.com/rushramp/rushramp/pkg/tables"
	"github.com/rushramp/rushramp/pkg/wire"
)

// peerStates takes over what peers say of themselves: first-hand knowledge, which
// goes before the platform's list.
type peerStates struct{ *Env }

// Tick implements System.
func (ne *peerStates) Tick(now int64, mail *tables.Mail) {
	if mail.StoreReadAt > ne.World.NewestStoreReadAt {
		ne.World.NewestStoreReadAt = mail.StoreReadAt
	}
	for _, n := range mail.PeerStates {
		ne.take(n)
	}
}

func (ne *peerStates) take(n tables.PeerState) {
	row := ne.World.Peers.GetOrAdd(n.Peer)
	row.PlacementVersion = max(row.PlacementVersion, n.State.Placement)
	ne.hear(n)
	if n.State.Leaving && !row.Leaving {
		row.Leaving = true
		ne.markLeaving(n.At, n.Peer)
	}
}

// hear takes over how fresh the peer's knowledge of the store and of the data
// centres is. Ages, not times, travel: clocks of VMs differ.
func (ne *peerStates) hear(n tables.PeerState) {
	ne.World.DataCentreHeardAt[n.Peer.Hello.DataCentre] = n.At
	for _, h := range n.State.Heard {
		at := n.At - int64(time.Duration(h.AgeMS)*time.Millisecond)
		ne.World.DataCentreHeardAt[h.DataCentre] = max(ne.World.DataCentreHeardAt[h.DataCentre], at)
	}
	if n.State.StoreAgeMS < wire.StoreNever {
		at := n.At - int64(time.Duration(n.State.StoreAgeMS)*time.Millisecond)
		ne.World.NewestStoreReadAt = max(ne.World.NewestStoreReadAt, at)
	}
}

// markLeaving takes a peer's own word that it is leaving. The platform may say
// so seconds later; members passes it on.
func (ne *peerStates) markLeaving(now int64, peer *link.Peer) {
	row, ok := ne.World.Members.Find(peer.Hello.VM)
	if !ok || ne.World.Members.Record[row].Incarnation > peer.Hello.Incarnation {
		return
	}
	said := ne.World.Members.Record[row]
	said.Incarnation = peer.Hello.Incarnation
	said.State = wire.MemberLeaving
	if _, changed := ne.World.Members.Merge(now, peer, said); changed {
		ne.World.MarkDirty(said.Service)
		ne.Log.Event(events.MemberLeaving, events.F("vm", said.VM), events.F("from", "link"))
	}
}
