package systems

import (
	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/link"
	"github.com/rushramp/rushramp/pkg/proximity"
	"github.com/rushramp/rushramp/pkg/tables"
	"github.com/rushramp/rushramp/pkg/wire"
)

// handleLinkEvent updates the tables and endpoints after a link came up, ended or failed
// to open.
func (l *links) handleLinkEvent(now int64, e tables.LinkEvent) {
	if e.Up {
		l.World.Peers.GetOrAdd(e.Peer)
		l.sendFormerRecord(e.Peer)
		l.handleNewProcess(now, e)
		l.handlePeerUp(now, e.Peer)
	} else {
		l.World.Peers.Remove(e.Peer)
	}
	if e.Endpoint == nil {
		return
	}
	l.dials.end(e.Endpoint)
	l.World.MarkDirty(e.Endpoint.Service)
	if e.Up {
		l.handleEndpointUp(e)
		return
	}
	l.handleEndpointDown(now, e)
}

// handlePeerUp sends a new peer this daemon's own record and the evacuated data centres,
// and lets its endpoint be dialled again without delay.
func (l *links) handlePeerUp(now int64, peer *link.Peer) {
	if row, ok := l.World.Members.Find(l.World.VM); ok {
		sendMembers(peer, []wire.Member{l.World.Members.Record[row]})
	}
	l.sendEvacuation(peer)
	row, ok := l.World.Members.Find(peer.Hello.VM)
	if !ok {
		return
	}
	record := l.World.Members.Record[row]
	if record.Incarnation > peer.Hello.Incarnation {
		// The peer was restarted with a lower incarnation, for instance after a step of
		// its clock. With this record it takes a higher one.
		sendMembers(peer, []wire.Member{record})
	}
	endpoint := l.World.Members.Endpoint[row]
	l.redialAt[endpoint] = now
	delete(l.failures, endpoint)
	l.unreached.remove(endpoint)
}

func (l *links) handleEndpointUp(e tables.LinkEvent) {
	row, ok := l.World.Members.Find(e.Endpoint.VM)
	if !ok || l.World.Members.Endpoint[row] != e.Endpoint {
		e.Client.Close()
		return
	}
	if e.Peer.Hello.VM != e.Endpoint.VM {
		// Another VM has taken over the address, so the expected one no longer exists.
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
	// The table of members may contain the new process already, from another peer.
	e.Endpoint.Load.BeginIncarnation(e.Peer.Hello.Incarnation, int(l.World.Members.Record[row].Slots))
	l.clients[e.Endpoint] = e.Client
	e.Endpoint.SetRunner(e.Client)
	l.Log.Event(events.LinkUp, events.F("peer", e.Endpoint.VM))
}

// sendFormerRecord sends a restarted daemon the record of its former process, from which
// it learns that its entry in the list of VMs is written. Only daemons in the same data
// centre send it, since traffic between data centres costs more.
func (l *links) sendFormerRecord(peer *link.Peer) {
	row, ok := l.World.Members.Find(peer.Hello.VM)
	if !ok || peer.Outgoing || l.proximityOf(peer) != proximity.SameDataCentre {
		return
	}
	if former := l.World.Members.Record[row]; former.Incarnation > 0 && former.Incarnation < peer.Hello.Incarnation {
		sendMembers(peer, []wire.Member{former})
	}
}

// handleNewProcess updates the record of a VM whose daemon is a newer process than the
// known one. The load of the old process and its leaving state are discarded.
func (l *links) handleNewProcess(now int64, e tables.LinkEvent) {
	hello := &e.Peer.Hello
	row, ok := l.World.Members.Find(hello.VM)
	if !ok || hello.Incarnation <= l.World.Members.Record[row].Incarnation {
		return
	}
	record := l.World.Members.Record[row]
	record.Incarnation = hello.Incarnation
	record.Revision = 0
	record.State = wire.MemberLive
	if hello.State.Leaving {
		record.State = wire.MemberLeaving
	}
	l.World.Members.Merge(now, e.Peer, record)
	l.World.Members.Endpoint[row].Load.Reset(int(record.Slots))
	l.World.MarkDirty(record.Service)
}

func (l *links) handleEndpointDown(now int64, e tables.LinkEvent) {
	if l.surplus.forgetClosed(e.Endpoint) && l.clients[e.Endpoint] == e.Client {
		delete(l.clients, e.Endpoint)
		e.Endpoint.SetRunner(nil)
		return
	}
	l.failures[e.Endpoint]++
	delay := minRedialDelay << min(l.failures[e.Endpoint]-1, maxRedialDoublings)
	l.redialAt[e.Endpoint] = now + int64(delay)
	if l.failures[e.Endpoint] >= unreachedFailures {
		l.unreached.add(e.Endpoint, l.redialAt[e.Endpoint])
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
