package systems

import (
	"context"
	"time"

	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/link"
	"github.com/rushramp/rushramp/pkg/tables"
	"github.com/rushramp/rushramp/pkg/wire"
)

const (
	dialTime = 2 * time.Second
	// redialAfter is how long a route rests after a link failed or ended.
	redialAfter = 200 * time.Millisecond
	// redialDoublings is how often that time doubles while dialling fails.
	redialDoublings = 4
	// sampleEvery is how often the sample is worked out again.
	sampleEvery = time.Second
)

// links opens links: to the subset of each service that this entry was asked
// for, and to a small sample of other daemons. Source: docs/design/members.md.
type links struct {
	*Env
	open      map[*tables.Route]*link.Client
	dialing   *dialing
	restUntil map[*tables.Route]int64
	// failures counts a route's failed dials and ended links in a row.
	failures  map[*tables.Route]int
	surplus   *surplus
	unreached *unreached
	sampleDue due
	sample    []*tables.Route
	// drawnAt is the state of the members that the sample was drawn from.
	drawnAt  uint64
	retryDue due
}

// Tick implements System.
func (l *links) Tick(now int64, mail *tables.Mail) {
	if l.open == nil {
		l.open = map[*tables.Route]*link.Client{}
		l.dialing = newDialing()
		l.restUntil = map[*tables.Route]int64{}
		l.failures = map[*tables.Route]int{}
		l.surplus = newSurplus()
		l.unreached = newUnreached(l.World)
	}
	for _, e := range mail.Links {
		l.take(now, e)
	}
	for _, service := range mail.Wanted {
		l.World.Wanted[service] = struct{}{}
		l.World.Touch(service)
	}
	retry := l.retryDue.at(now, redialAfter)
	if retry {
		l.noteDistances()
		l.unreached.expire(now)
		l.closeSilent()
	}
	again := l.dialing.leftOver
	l.dialing.leftOver = false
	l.openServices(now, retry || again)
	if again {
		l.openAll(now, l.sample)
	}
	if l.sampleDue.at(now, sampleEvery) {
		if changes := l.World.Members.Changes(); changes != l.drawnAt {
			l.drawnAt = changes
			l.drawSample()
			l.closeGone()
		}
		l.openAll(now, l.sample)
		l.closeSurplus(now)
	}
}

func (l *links) take(now int64, e tables.LinkEvent) {
	if e.Up {
		l.World.Peers.Put(e.Peer)
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

func (l *links) noteDistances() {
	for route, client := range l.open {
		route.Load.SetDistance(client.RoundTrip())
		client.MeasureAgain()
	}
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

// silentFor is how long a peer may owe a sign of life, while calls wait for it,
// before its link is closed; in heartbeats, as for idle links of a small fleet.
const silentFor = 3

// closeSilent closes links on which calls wait and whose peers do not answer: a
// VM without power, or behind a cut, ends no connection.
func (l *links) closeSilent() {
	for route, client := range l.open {
		if route.Load.Outstanding() > 0 && client.Unanswered() > silentFor*l.Settings.Links.Heartbeat {
			client.Close()
		}
	}
}

// openServices opens the links that calls need: those of the services whose
// members changed, or of all. Services take turns, each with its routes in their
// order, so that a daemon that has just started has a few links for each of them
// first.
func (l *links) openServices(now int64, all bool) {
	var subsets [][]*tables.Route
	for service := range l.World.Wanted {
		if _, dirty := l.World.Dirty[service]; dirty || all {
			subsets = append(subsets, l.subsetsOf(service)...)
		}
	}
	for turn := 0; len(subsets) > 0; turn++ {
		rest := subsets[:0]
		for _, routes := range subsets {
			if turn < len(routes) {
				l.openOne(now, routes[turn])
				rest = append(rest, routes)
			}
		}
		subsets = rest
	}
}

// subsetsOf are the subsets of a service, one a kind.
func (l *links) subsetsOf(service string) [][]*tables.Route {
	view := l.World.View.Placement()
	if view == nil {
		return nil
	}
	compiled := view.Service(service)
	if compiled == nil {
		return nil
	}
	var out [][]*tables.Route
	for _, kind := range compiled.Kinds {
		out = append(out, l.subset(kind))
	}
	return out
}

func (l *links) openAll(now int64, routes []*tables.Route) {
	for _, route := range routes {
		l.openOne(now, route)
	}
}

func (l *links) openOne(now int64, route *tables.Route) {
	if _, open := l.open[route]; open || route.VM == l.World.VM || now < l.restUntil[route] {
		return
	}
	if l.dialing.begin(now, route) {
		go l.dial(route)
	}
}

func (l *links) dial(route *tables.Route) {
	ctx, cancel := context.WithTimeout(l.Background, dialTime)
	defer cancel()
	client, err := link.DialClient(ctx, l.Common, &routeControl{Control: l.Control, world: l.World, route: route}, route.Links, l.Dial)
	if err != nil {
		l.World.Inbox.Post(false, func(m *tables.Mail) {
			m.Links = append(m.Links, tables.LinkEvent{Route: route, Cause: err})
		})
		return
	}
	client.Run()
}

// sampleNear is how many daemons of the own data centre the sample holds: links
// drawn at random, three a daemon, connect a data centre of any size.
const sampleNear = 3

// drawSample picks the daemons that this one keeps a link with besides those
// that calls need: the highest by rendezvous hash, some in the own data centre
// and one in each other. They carry placement versions and news even where no
// calls go.
func (l *links) drawSample() {
	byDataCentre := map[string][]*tables.Route{}
	l.World.Members.Rows(func(row int) {
		route := l.World.Members.Route[row]
		if route.VM == l.World.VM || l.World.Members.Leaving(row) {
			return
		}
		byDataCentre[route.DataCentre] = append(byDataCentre[route.DataCentre], route)
	})
	l.sample = l.sample[:0]
	for dataCentre, routes := range byDataCentre {
		most := 1
		if dataCentre == l.World.DataCentre {
			most = sampleNear
		}
		l.sample = append(l.sample, highest(l.World.VM, routes, most)...)
	}
}

// closeGone closes links to VMs that are gone or that another VM replaced.
func (l *links) closeGone() {
	for route, client := range l.open {
		row, ok := l.World.Members.Find(route.VM)
		if !ok || l.World.Members.Route[row] != route {
			client.Close()
		}
	}
}
