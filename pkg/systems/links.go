package systems

import (
	"context"
	"sort"
	"time"

	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/link"
	"github.com/rushramp/rushramp/pkg/placement"
	"github.com/rushramp/rushramp/pkg/tables"
	"github.com/rushramp/rushramp/pkg/utils"
	"github.com/rushramp/rushramp/pkg/wire"
)

const (
	dialTime = 2 * time.Second
	// redialAfter is how long a route rests after a link failed or ended.
	redialAfter = 200 * time.Millisecond
	// sampleEvery is how often the sample is worked out again.
	sampleEvery = time.Second
)

// links opens links: to the subset of each service that this entry was asked
// for, and to a small sample of other daemons. Source: docs/design/members.md.
type links struct {
	*Env
	open      map[*tables.Route]*link.Client
	dialing   map[*tables.Route]struct{}
	restUntil map[*tables.Route]int64
	sampleDue due
	sample    []*tables.Route
	// drawnAt is the state of the members that the sample was drawn from.
	drawnAt  uint64
	retryDue due
}

// Tick implements System.
func (self *links) Tick(now int64, mail *tables.Mail) {
	if self.open == nil {
		self.open = map[*tables.Route]*link.Client{}
		self.dialing = map[*tables.Route]struct{}{}
		self.restUntil = map[*tables.Route]int64{}
	}
	for _, e := range mail.Links {
		self.take(now, e)
	}
	for _, service := range mail.Wanted {
		self.World.Wanted[service] = struct{}{}
		self.World.Touch(service)
	}
	retry := self.retryDue.at(now, redialAfter)
	if retry {
		self.noteDistances()
	}
	for service := range self.World.Wanted {
		if _, dirty := self.World.Dirty[service]; dirty || retry {
			self.openService(now, service)
		}
	}
	if self.sampleDue.at(now, sampleEvery) {
		if changes := self.World.Members.Changes(); changes != self.drawnAt {
			self.drawnAt = changes
			self.drawSample()
			self.closeGone()
		}
		self.openAll(now, self.sample)
	}
}

func (self *links) take(now int64, e tables.LinkEvent) {
	if e.Up {
		self.World.Peers.Put(e.Peer)
		self.newProcess(now, e)
	} else {
		self.World.Peers.Remove(e.Peer)
	}
	if e.Route == nil {
		return
	}
	delete(self.dialing, e.Route)
	self.World.Touch(e.Route.Service)
	if e.Up {
		self.up(e)
		return
	}
	self.down(now, e)
}

func (self *links) noteDistances() {
	for route, client := range self.open {
		route.Load.SetDistance(client.RoundTrip())
	}
}

func (self *links) up(e tables.LinkEvent) {
	self.open[e.Route] = e.Client
	e.Route.SetRunner(e.Client)
	row, ok := self.World.Members.Find(e.Route.VM)
	if !ok || self.World.Members.Route[row] != e.Route {
		e.Client.Close()
		return
	}
	self.Log.Event(events.LinkUp, events.F("peer", e.Route.VM))
}

// newProcess takes over that another process answers for a known VM: what was
// known of the old one's load is void, and that it left does not bind this one.
func (self *links) newProcess(now int64, e tables.LinkEvent) {
	hello := &e.Peer.Hello
	row, ok := self.World.Members.Find(hello.VM)
	if !ok || hello.Incarnation <= self.World.Members.Row[row].Incarnation {
		return
	}
	said := self.World.Members.Row[row]
	said.Incarnation = hello.Incarnation
	said.State = wire.MemberLive
	if hello.State.Leaving {
		said.State = wire.MemberLeaving
	}
	self.World.Members.Merge(now, e.Peer, said)
	self.World.Members.Route[row].Load.Reset(int(said.Slots))
	self.World.Touch(said.Service)
}

func (self *links) down(now int64, e tables.LinkEvent) {
	self.restUntil[e.Route] = now + int64(redialAfter)
	if self.open[e.Route] == e.Client && e.Client != nil {
		delete(self.open, e.Route)
		e.Route.SetRunner(nil)
		self.Log.Event(events.LinkDown, events.F("peer", e.Route.VM), events.F("cause", e.Cause))
		return
	}
	if e.Client == nil {
		self.Log.Event(events.LinkRefused, events.F("peer", e.Route.VM), events.F("cause", e.Cause))
	}
}

// openService opens the links that calls of a service need.
func (self *links) openService(now int64, service string) {
	view := self.World.View.Placement()
	if view == nil {
		return
	}
	compiled := view.Service(service)
	if compiled == nil {
		return
	}
	for _, kind := range compiled.Kinds {
		self.openAll(now, Subset(self.World, self.Settings.Choosing.Subset, kind))
	}
}

func (self *links) openAll(now int64, routes []*tables.Route) {
	for _, route := range routes {
		self.openOne(now, route)
	}
}

func (self *links) openOne(now int64, route *tables.Route) {
	_, open := self.open[route]
	_, dialing := self.dialing[route]
	if open || dialing || route.VM == self.World.VM || now < self.restUntil[route] {
		return
	}
	self.dialing[route] = struct{}{}
	go self.dial(route)
}

func (self *links) dial(route *tables.Route) {
	ctx, cancel := context.WithTimeout(self.Background, dialTime)
	defer cancel()
	client, err := link.DialClient(ctx, self.Common, &routeControl{Control: self.Control, world: self.World, route: route}, route.Links, self.Dial)
	if err != nil {
		self.World.Inbox.Post(false, func(m *tables.Mail) {
			m.Links = append(m.Links, tables.LinkEvent{Route: route, Cause: err})
		})
		return
	}
	client.Run()
}

// drawSample picks the daemons that this one keeps a link with besides those
// that calls need: the highest by rendezvous hash in each data centre. They
// carry placement versions and news even where no calls go.
func (self *links) drawSample() {
	best := map[string]*tables.Route{}
	self.World.Members.Rows(func(row int) {
		route := self.World.Members.Route[row]
		if route.VM == self.World.VM || self.World.Members.Leaving(row) {
			return
		}
		old := best[route.DataCentre]
		if old == nil || utils.Rendezvous(self.World.VM, route.VM) > utils.Rendezvous(self.World.VM, old.VM) {
			best[route.DataCentre] = route
		}
	})
	self.sample = self.sample[:0]
	for _, route := range best {
		self.sample = append(self.sample, route)
	}
}

// closeGone closes links to VMs that are gone or that another VM replaced.
func (self *links) closeGone() {
	for route, client := range self.open {
		row, ok := self.World.Members.Find(route.VM)
		if !ok || self.World.Members.Route[row] != route {
			client.Close()
		}
	}
}

// Subset returns the routes that this entry works with for a kind: all of
// them in a small service, else the first ones by rendezvous hash on this
// daemon's name, so that each entry has its own stable choice.
func Subset(w *tables.World, size int, kind *placement.CompiledKind) []*tables.Route {
	var all []*tables.Route
	w.Members.Service(kind.Service, func(row int) {
		if !w.Members.Leaving(row) && kind.Allows(w.Members.Row[row].DataCentre) {
			all = append(all, w.Members.Route[row])
		}
	})
	sort.Slice(all, func(i, j int) bool { return all[i].VM < all[j].VM })
	if len(all) <= size {
		return all
	}
	sort.SliceStable(all, func(i, j int) bool {
		return utils.Rendezvous(w.VM, all[i].VM) > utils.Rendezvous(w.VM, all[j].VM)
	})
	return all[:size]
}
