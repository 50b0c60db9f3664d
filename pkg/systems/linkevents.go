package systems

import (
	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/link"
	"github.com/rushramp/rushramp/pkg/place"
	"github.com/rushramp/rushramp/pkg/tables"
	"github.com/rushramp/rushramp/pkg/wire"
)

// take takes over that a link came up or ended.
func (l *links) take(now int64, e tables.LinkEvent) {
	if e.Up {
		l.World.Peers.Put(e.Peer)
		l.tellFormer(e.Peer)
		l.newProcess(now, e)
		l.greet(now, e.Peer)
	} else {
		l.World.Peers.Remove(e.Peer)
	}
	if e.Route == nil {
		return
	}
	l.dialing.ended(e.Route)
	l.World.Touch(e.Route.Service)
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
		send(peer, []wire.Member{l.World.Members.Row[row]})
	}
	l.tellEvacuation(peer)
	row, ok := l.World.Members.Find(peer.Hello.VM)
	if !ok {
		return
	}
	said := l.World.Members.Row[row]
	if said.Incarnation > peer.Hello.Incarnation {
		// The peer's process is a new one with a lower number: it must count on.
		send(peer, []wire.Member{said})
	}
	route := l.World.Members.Route[row]
	l.restUntil[route] = now
	delete(l.failures, route)
	l.unreached.forget(route)
}

func (l *links) up(e tables.LinkEvent) {
	row, ok := l.World.Members.Find(e.Route.VM)
	if !ok || l.World.Members.Route[row] != e.Route {
		e.Client.Close()
		return
	}
	if e.Peer.Hello.VM != e.Route.VM {
		// Another VM has the address: the one that was meant is gone.
		gone := l.World.Members.Row[row]
		gone.State = wire.MemberGone
		l.World.Members.Merge(l.Now(), nil, gone)
		l.World.Touch(e.Route.Service)
		l.Log.Event(events.MemberGone, events.F("vm", e.Route.VM), events.F("replaced_by", e.Peer.Hello.VM))
		e.Client.Close()
		return
	}
	delete(l.failures, e.Route)
	l.unreached.forget(e.Route)
	// The members may have told of the new process before this link came up.
	e.Route.Load.Begin(e.Peer.Hello.Incarnation, int(l.World.Members.Row[row].Slots))
	l.open[e.Route] = e.Client
	e.Route.SetRunner(e.Client)
	l.Log.Event(events.LinkUp, events.F("peer", e.Route.VM))
}

// tellFormer tells a daemon that was started again the row of its former process: its
// entry stands in the list of VMs if that has written it. Bytes to other data centres have
// a price, so those of its own tell it.
func (l *links) tellFormer(peer *link.Peer) {
	row, ok := l.World.Members.Find(peer.Hello.VM)
	if !ok || peer.Outgoing || l.placeOf(peer) != place.Near {
		return
	}
	if former := l.World.Members.Row[row]; former.Incarnation > 0 && former.Incarnation < peer.Hello.Incarnation {
		send(peer, []wire.Member{former})
	}
}

// newProcess takes over that another process answers for a known VM: what was
// known of the old one's load is void, and that it left does not bind this one.
func (l *links) newProcess(now int64, e tables.LinkEvent) {
	hello := &e.Peer.Hello
	row, ok := l.World.Members.Find(hello.VM)
	if !ok || hello.Incarnation <= l.World.Members.Row[row].Incarnation {
		return
	}
	said := l.World.Members.Row[row]
	said.Incarnation = hello.Incarnation
	said.Revision = 0
	said.State = wire.MemberLive
	if hello.State.Leaving {
		said.State = wire.MemberLeaving
	}
	l.World.Members.Merge(now, e.Peer, said)
	l.World.Members.Route[row].Load.Reset(int(said.Slots))
	l.World.Touch(said.Service)
}

func (l *links) down(now int64, e tables.LinkEvent) {
	if l.surplus.takeClosed(e.Route) && l.open[e.Route] == e.Client {
		delete(l.open, e.Route)
		e.Route.SetRunner(nil)
		return
	}
	l.failures[e.Route]++
	rest := redialAfter << min(l.failures[e.Route]-1, redialDoublings)
	l.restUntil[e.Route] = now + int64(rest)
	if l.failures[e.Route] >= unreachedAfter {
		l.unreached.note(e.Route, l.restUntil[e.Route])
	}
	if l.open[e.Route] == e.Client && e.Client != nil {
		delete(l.open, e.Route)
		e.Route.SetRunner(nil)
		l.Log.Event(events.LinkDown, events.F("peer", e.Route.VM), events.F("cause", e.Cause))
		return
	}
	if e.Client == nil {
		l.Log.Event(events.LinkRefused, events.F("peer", e.Route.VM), events.F("cause", e.Cause))
	}
}
