package systems

import (
	"github.com/rushramp/rushramp/pkg/common"
	"github.com/rushramp/rushramp/pkg/link"
	"github.com/rushramp/rushramp/pkg/tables"
	"github.com/rushramp/rushramp/pkg/wire"
)

// Control puts what links carry into the inbox. It implements link.Control for
// accepted links.
type Control struct {
	*common.Common
	World *tables.World
	// Incarnation tells the processes that one VM's name stood for apart. Only
	// the systems change it.
	Incarnation uint64
	// state is what State returns; the heartbeat system keeps it up to date.
	state *latest
}

var _ link.Control = (*Control)(nil)

// NewControl makes the control of one daemon.
func NewControl(c *common.Common, w *tables.World, incarnation uint64) *Control {
	return &Control{Common: c, World: w, Incarnation: incarnation, state: &latest{}}
}

// Hello implements link.Control.
func (self *Control) Hello() *wire.Hello {
	return &wire.Hello{
		VM:          self.Settings.VM.ID,
		Incarnation: self.Incarnation,
		DataCentre:  self.Settings.VM.DataCentre,
		State:       *self.State(),
	}
}

// State implements link.Control.
func (self *Control) State() *wire.State { return self.state.get(self.World.View) }

// Up implements link.Control.
func (self *Control) Up(peer *link.Peer) { self.post(tables.LinkEvent{Peer: peer, Up: true}) }

// Down implements link.Control.
func (self *Control) Down(peer *link.Peer, cause error) {
	self.post(tables.LinkEvent{Peer: peer, Cause: cause})
}

func (self *Control) post(e tables.LinkEvent) {
	self.World.Inbox.Post(true, func(m *tables.Mail) { m.Links = append(m.Links, e) })
}

// News implements link.Control. Only what cannot wait wakes the systems.
func (self *Control) News(peer *link.Peer, state *wire.State) {
	urgent := state.Leaving || state.Placement > self.version()
	n := tables.PeerNews{Peer: peer, State: state, At: self.Now()}
	self.World.Inbox.Post(urgent, func(m *tables.Mail) { m.News = append(m.News, n) })
}

func (self *Control) version() uint64 {
	if p := self.World.View.Placement(); p != nil {
		return p.Version
	}
	return 0
}

// Pull implements link.Control.
func (self *Control) Pull(peer *link.Peer, pull *wire.Pull) {
	p := tables.PeerPull{Peer: peer, Have: pull.Have}
	self.World.Inbox.Post(true, func(m *tables.Mail) { m.Pulls = append(m.Pulls, p) })
}

// Update implements link.Control.
func (self *Control) Update(peer *link.Peer, update *wire.Update) {
	u := tables.PeerUpdate{Peer: peer, Update: update}
	self.World.Inbox.Post(true, func(m *tables.Mail) { m.Updates = append(m.Updates, u) })
}

// Members implements link.Control.
func (self *Control) Members(peer *link.Peer, members *wire.Members) {
	rows := tables.PeerMembers{Peer: peer, Rows: members.Rows}
	self.World.Inbox.Post(true, func(m *tables.Mail) { m.Members = append(m.Members, rows) })
}

// MembersAsk implements link.Control.
func (self *Control) MembersAsk(peer *link.Peer, ask *wire.MembersAsk) {
	a := tables.PeerAsk{Peer: peer, Buckets: ask.Buckets}
	self.World.Inbox.Post(false, func(m *tables.Mail) { m.Asks = append(m.Asks, a) })
}

// routeControl is the control of a link that this daemon opened for a route.
type routeControl struct {
	link.Control
	world  *tables.World
	route  *tables.Route
	client *link.Client
}

// Opened implements link.Opener: the client is known before the first frame.
func (self *routeControl) Opened(client *link.Client) { self.client = client }

// Up implements link.Control.
func (self *routeControl) Up(peer *link.Peer) {
	self.post(tables.LinkEvent{Peer: peer, Client: self.client, Route: self.route, Up: true})
}

// Down implements link.Control.
func (self *routeControl) Down(peer *link.Peer, cause error) {
	self.post(tables.LinkEvent{Peer: peer, Client: self.client, Route: self.route, Cause: cause})
}

func (self *routeControl) post(e tables.LinkEvent) {
	self.world.Inbox.Post(true, func(m *tables.Mail) { m.Links = append(m.Links, e) })
}
