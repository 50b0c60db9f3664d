package systems

import (
	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/link"
	"github.com/rushramp/rushramp/pkg/tables"
	"github.com/rushramp/rushramp/pkg/wire"
)

// peerStates applies what peers report about themselves in their state frames, which is
// newer than the platform's list of VMs.
type peerStates struct{ *Env }

// Tick implements System.
func (p *peerStates) Tick(now int64, mail *tables.Mail) {
	if mail.StoreReadAt > p.World.NewestStoreReadAt {
		p.World.NewestStoreReadAt = mail.StoreReadAt
	}
	for _, received := range mail.PeerStates {
		p.apply(received)
	}
}

func (p *peerStates) apply(received tables.PeerState) {
	row := p.World.Peers.GetOrAdd(received.Peer)
	row.PlacementVersion = max(row.PlacementVersion, received.State.Placement)
	p.recordAges(received)
	if received.State.Leaving && !row.Leaving {
		row.Leaving = true
		p.markLeaving(received.At, received.Peer)
	}
}

// recordAges records how recently the peer knows the store to have been read and the data
// centres to have been heard of. State frames carry ages instead of times because the
// clocks of VMs differ.
func (p *peerStates) recordAges(received tables.PeerState) {
	p.World.DataCentreHeardAt[received.Peer.Hello.DataCentre] = received.At
	for _, h := range received.State.HeardDataCentres {
		at := received.At - int64(wire.Age(h.AgeMS))
		p.World.DataCentreHeardAt[h.DataCentre] = max(p.World.DataCentreHeardAt[h.DataCentre], at)
	}
	if received.State.StoreReadAgeMS < wire.StoreNeverRead {
		at := received.At - int64(wire.Age(received.State.StoreReadAgeMS))
		p.World.NewestStoreReadAt = max(p.World.NewestStoreReadAt, at)
	}
}

// markLeaving merges a peer's own report that it is leaving. The platform's list may show
// this only seconds later.
func (p *peerStates) markLeaving(now int64, peer *link.Peer) {
	row, ok := p.World.Members.Find(peer.Hello.VM)
	if !ok || p.World.Members.Record[row].Incarnation > peer.Hello.Incarnation {
		return
	}
	record := p.World.Members.Record[row]
	record.Incarnation = peer.Hello.Incarnation
	record.State = wire.MemberLeaving
	if _, changed := p.World.Members.Merge(now, peer, record); changed {
		p.World.MarkDirty(record.Service)
		p.Log.Event(events.MemberLeaving, events.F("vm", record.VM), events.F("from", "link"))
	}
}
