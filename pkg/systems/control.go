package systems

import (
	"sync/atomic"

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
	// incarnation tells the processes that one VM's name stood for apart. Only
	// the systems change it; links read it for their greetings.
	incarnation atomic.Uint64
	// state is what State returns; the heartbeat system keeps it up to date.
	state *latestState
}

var _ link.Control = (*Control)(nil)

// NewControl makes the control of one daemon.
func NewControl(c *common.Common, w *tables.World, incarnation uint64) *Control {
	out := &Control{Common: c, World: w, state: &latestState{}}
	out.incarnation.Store(incarnation)
	return out
}

// Incarnation returns the number of this process among those of its VM.
func (c *Control) Incarnation() uint64 { return c.incarnation.Load() }

// Hello implements link.Control.
func (c *Control) Hello() *wire.Hello {
	return &wire.Hello{
		VM:          c.Settings.VM.ID,
		Incarnation: c.Incarnation(),
		DataCentre:  c.Settings.VM.DataCentre,
		State:       *c.State(),
		Region:      c.Settings.VM.Region,
	}
}

// State implements link.Control.
func (c *Control) State() *wire.State { return c.state.get(c.World.View) }

// Up implements link.Control.
func (c *Control) Up(peer *link.Peer) { c.post(tables.LinkEvent{Peer: peer, Up: true}) }

// Down implements link.Control.
func (c *Control) Down(peer *link.Peer, cause error) {
	c.post(tables.LinkEvent{Peer: peer, Cause: cause})
}

func (c *Control) post(e tables.LinkEvent) {
	c.World.Inbox.Post(true, func(m *tables.Mail) { m.LinkEvents = append(m.LinkEvents, e) })
}

// News implements link.Control. Only what cannot wait wakes the systems.
func (c *Control) News(peer *link.Peer, state *wire.State) {
	urgent := state.Leaving || state.Placement > c.version() || c.isEvacuationNews(state)
	n := tables.PeerState{Peer: peer, State: state, At: c.Now()}
	c.World.Inbox.Post(urgent, func(m *tables.Mail) { m.PeerStates = append(m.PeerStates, n) })
}

// isEvacuationNews is true where a peer knows of a change of the evacuated data
// centres that this daemon has not taken over.
func (c *Control) isEvacuationNews(state *wire.State) bool {
	known := c.World.View.Evacuation()
	return state.Evacuation.Revision > known.Revision && !state.Evacuation.SameDataCentres(known)
}

func (c *Control) version() uint64 {
	if p := c.World.View.Placement(); p != nil {
		return p.Version
	}
	return 0
}

// Pull implements link.Control.
func (c *Control) Pull(peer *link.Peer, pull *wire.Pull) {
	p := tables.PeerPull{Peer: peer, Have: pull.Have}
	c.World.Inbox.Post(true, func(m *tables.Mail) { m.Pulls = append(m.Pulls, p) })
}

// Update implements link.Control.
func (c *Control) Update(peer *link.Peer, update *wire.Update) {
	u := tables.PeerUpdate{Peer: peer, Update: update}
	c.World.Inbox.Post(true, func(m *tables.Mail) { m.Updates = append(m.Updates, u) })
}

// Members implements link.Control.
func (c *Control) Members(peer *link.Peer, members *wire.Members) {
	rows := tables.PeerMembers{Peer: peer, Rows: members.Rows}
	c.World.Inbox.Post(true, func(m *tables.Mail) { m.Members = append(m.Members, rows) })
}

// MembersAsk implements link.Control.
func (c *Control) MembersAsk(peer *link.Peer, ask *wire.MembersAsk) {
	a := tables.PeerMembersAsk{Peer: peer, Buckets: ask.Buckets}
	c.World.Inbox.Post(false, func(m *tables.Mail) { m.MembersAsks = append(m.MembersAsks, a) })
}

// Departures implements link.Control.
func (c *Control) Departures(peer *link.Peer, said *wire.Departures) {
	d := tables.PeerDepartures{Peer: peer, Frame: said}
	c.World.Inbox.Post(true, func(m *tables.Mail) { m.PeerDepartures = append(m.PeerDepartures, d) })
}

// RolloutNews implements link.Control. It wakes the systems: a stop may be in it.
func (c *Control) RolloutNews(peer *link.Peer, news *wire.RolloutNews) {
	n := tables.PeerRollouts{Peer: peer, News: news.News}
	c.World.Inbox.Post(true, func(m *tables.Mail) { m.RolloutNews = append(m.RolloutNews, n) })
}

// RolloutReport implements link.Control.
func (c *Control) RolloutReport(_ *link.Peer, report *wire.RolloutReport) {
	c.World.Inbox.Post(false, func(m *tables.Mail) { m.RolloutReports = append(m.RolloutReports, report.Report) })
}

// Quarantine implements link.Control. It wakes the systems: each run of a content that is
// to be held back may cost a backend server.
func (c *Control) Quarantine(peer *link.Peer, said *wire.Quarantine) {
	q := tables.PeerQuarantine{Peer: peer, Frame: said}
	c.World.Inbox.Post(true, func(m *tables.Mail) { m.PeerQuarantines = append(m.PeerQuarantines, q) })
}

// QuotaAsk implements link.Control. It is answered at once: requests wait for it.
func (c *Control) QuotaAsk(peer *link.Peer, ask *wire.QuotaAsk) {
	if c.Quota == nil {
		return
	}
	grant := c.Quota.HandleAsk(c.Now(), peer.Hello.VM, &ask.Ask)
	// A link that has closed leaves the table with its next event.
	_ = peer.Send(&wire.QuotaGrant{Grant: grant})
}

// QuotaGrant implements link.Control.
func (c *Control) QuotaGrant(peer *link.Peer, grant *wire.QuotaGrant) {
	if c.Quota != nil {
		c.Quota.HandleGrant(c.Now(), processID(peer), &grant.Grant)
	}
}

// endpointControl is the control of a link that this daemon opened for a route.
type endpointControl struct {
	link.Control
	world  *tables.World
	route  *tables.Endpoint
	client *link.Client
}

// Opened implements link.Opener: the client is known before the first frame.
func (r *endpointControl) Opened(client *link.Client) { r.client = client }

// Up implements link.Control.
func (r *endpointControl) Up(peer *link.Peer) {
	r.post(tables.LinkEvent{Peer: peer, Client: r.client, Endpoint: r.route, Up: true})
}

// Down implements link.Control.
func (r *endpointControl) Down(peer *link.Peer, cause error) {
	r.post(tables.LinkEvent{Peer: peer, Client: r.client, Endpoint: r.route, Cause: cause})
}

func (r *endpointControl) post(e tables.LinkEvent) {
	r.world.Inbox.Post(true, func(m *tables.Mail) { m.LinkEvents = append(m.LinkEvents, e) })
}
