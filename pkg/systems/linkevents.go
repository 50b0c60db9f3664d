package systems

import (
	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/link"
	"github.com/rushramp/rushramp/pkg/proximity"
	"github.com/rushramp/rushramp/pkg/tables"
	"github.com/rushramp/rushramp/pkg/wire"
)

// take takes over that a link came up or ended.
func (l *links) take(now int64, e tables.LinkEvent) {
	if e.Up {
		l.World.Peers.GetOrAdd(e.Peer)
		l.tellFormer(e.Peer)
		l.newProcess(now, e)
		l.greet(now, e.Peer)
	} else {
		l.World.Peers.Remove(e.Peer)
	}
	if e.Endpoint == nil {
		return
	}
	l.dialing.ended(e.Endpoint)
	l.World.MarkDirty(e.Endpoint.Service)
	if e.Up {
		l.up(e)
		return
	}
	l.down(now, e)
}

// greet tells a peer at once what only this daemon knows first-hand, and lets a
// peer that was restarted be dialled again without a rest.
func (l *links) greet(now int64, peer *link.Peer) {
	if row, ok := l.World.Members.Find(l.World.VM); ok {
		sendMembers(peer, []wire.Member{l.World.Members.Record[row]})
	}
	l.sendEvacuation(peer)
	row, ok := l.World.Members.Find(peer.Hello.VM)
	if !ok {
		return
	}
	said := l.World.Members.Record[row]
	if said.Incarnation > peer.Hello.Incarnation {
		// The peer's process is a new one with a lower number: it must count on.
		sendMembers(peer, []wire.Member{said})
	}
	route := l.World.Members.Endpoint[row]
	l.restUntil[route] = now
	delete(l.failures, route)
	l.unreached.remove(route)
}

func (l *links) up(e tables.LinkEvent) {
	row, ok := l.World.Members.Find(e.Endpoint.VM)
	if !ok || l.World.Members.Endpoint[row] != e.Endpoint {
		e.Client.Close()
		return
	}
	if e.Peer.Hello.VM != e.Endpoint.VM {
		// Another VM has the address: the one that was meant is gone.
		gone := l.World.Members.Record[row]
		gone.State = wire.MemberGone
		l.World.Members.Merge(l.Now(), nil, gone)
		l.World.MarkDirty(e.Endpoint.Service)
		l.Log.Event(events.MemberGone, events.F("vm", e.Endpoint.VM), events.F("replaced_by", e.Peer.Hello.VM))
		e.Client.Close()
		return
	}
	delete(l.failures, e.Endpoint)
	l.unreached.remove(e.Endpoint)
	// The members may have told of the new process before this link came up.
	e.Endpoint.Load.BeginIncarnation(e.Peer.Hello.Incarnation, int(l.World.Members.Record[row].Slots))
	l.clients[e.Endpoint] = e.Client
	e.Endpoint.SetRunner(e.Client)
	l.Log.Event(events.LinkUp, events.F("peer", e.Endpoint.VM))
}

// tellFormer tells a daemon that was started again the row of its former process: its
// entry stands in the list of VMs if that has written it. Bytes to other data centres have
// a price, so those of its own tell it.
func (l *links) tellFormer(peer *link.Peer) {
	row, ok := l.World.Members.Find(peer.Hello.VM)
	if !ok || peer.Outgoing || l.proximityOf(peer) != proximity.SameDataCentre {
		return
	}
	if former := l.World.Members.Record[row]; former.Incarnation > 0 && former.Incarnation < peer.Hello.Incarnation {
		sendMembers(peer, []wire.Member{former})
	}
}

// newProcess takes over that another process answers for a known VM: what was
// known of the old one's load is void, and that it left does not bind this one.
func (l *links) newProcess(now int64, e tables.LinkEvent) {
	hello := &e.Peer.Hello
	row, ok := l.World.Members.Find(hello.VM)
	if !ok || hello.Incarnation <= l.World.Members.Record[row].Incarnation {
		return
	}
	said := l.World.Members.Record[row]
	said.Incarnation = hello.Incarnation
	said.Revision = 0
	said.State = wire.MemberLive
	if hello.State.Leaving {
		said.State = wire.MemberLeaving
	}
	l.World.Members.Merge(now, e.Peer, said)
	l.World.Members.Endpoint[row].Load.Reset(int(said.Slots))
	l.World.MarkDirty(said.Service)
}

func (l *links) down(now int64, e tables.LinkEvent) {
	if l.surplus.forgetClosed(e.Endpoint) && l.clients[e.Endpoint] == e.Client {
		delete(l.clients, e.Endpoint)
		e.Endpoint.SetRunner(nil)
		return
	}
	l.failures[e.Endpoint]++
	rest := redialAfter << min(l.failures[e.Endpoint]-1, redialDoublings)
	l.restUntil[e.Endpoint] = now + int64(rest)
	if l.failures[e.Endpoint] >= unreachedAfter {
		l.unreached.add(e.Endpoint, l.restUntil[e.Endpoint])
	}
	if l.clients[e.Endpoint] == e.Client && e.Client != nil {
		delete(l.clients, e.Endpoint)
		e.Endpoint.SetRunner(nil)
		l.Log.Event(events.LinkDown, events.F("peer", e.Endpoint.VM), events.F("cause", e.Cause))
		return
	}
	if e.Client == nil {
		l.Log.Event(events.LinkRefused, events.F("peer", e.Endpoint.VM), events.F("cause", e.Cause))
	}
}
