package systems

import (
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rushramp/rushramp/pkg/common"
	"github.com/rushramp/rushramp/pkg/link"
	"github.com/rushramp/rushramp/pkg/tables"
	"github.com/rushramp/rushramp/pkg/wire"
)

// Control posts the frames and events of links to the inbox. It implements link.Handler
// for accepted links.
type Control struct {
	*common.Common
	World *tables.World
	// incarnation distinguishes the processes that have run under this VM's name. Only
	// the systems change it; links read it for their hello frames.
	incarnation atomic.Uint64
	// state is the state frame that State returns; the heartbeats system updates it.
	state *latestState
}

var _ link.Handler = (*Control)(nil)

// NewControl returns the control of a daemon. incarnation must be higher than that of
// earlier processes on this VM.
func NewControl(c *common.Common, w *tables.World, incarnation uint64) *Control {
	out := &Control{Common: c, World: w, state: &latestState{}}
	out.incarnation.Store(incarnation)
	return out
}

// Incarnation returns the incarnation of this process: higher than that of earlier
// processes on this VM.
func (c *Control) Incarnation() uint64 { return c.incarnation.Load() }

// Hello implements link.Handler.
func (c *Control) Hello() *wire.Hello {
	return &wire.Hello{
		VM:          c.Settings.VM.ID,
		Incarnation: c.Incarnation(),
		DataCentre:  c.Settings.VM.DataCentre,
		State:       *c.State(),
		Region:      c.Settings.VM.Region,
		Features:    wire.FeatureGrants | wire.FeatureAcks | wire.FeatureRetries | wire.FeatureAnyText,
		UptimeMS:    uint64(time.Duration(c.Now())/time.Millisecond) + 1,
	}
}

// State implements link.Handler.
func (c *Control) State() *wire.State { return c.state.get(c.World.View) }

// Up implements link.Handler.
func (c *Control) Up(peer *link.Peer) { c.post(tables.LinkEvent{Peer: peer, Up: true}) }

// Down implements link.Handler.
func (c *Control) Down(peer *link.Peer, cause error) {
	c.post(tables.LinkEvent{Peer: peer, Cause: cause})
}

func (c *Control) post(e tables.LinkEvent) {
	c.World.Inbox.Post(true, func(m *tables.Mail) { m.LinkEvents = append(m.LinkEvents, e) })
}

// PeerState implements link.Handler. The systems run at once if the peer is leaving or
// knows a newer placement or evacuation.
func (c *Control) PeerState(peer *link.Peer, state *wire.State) {
	urgent := state.Leaving || state.Placement > c.placementVersion() || c.hasNewerEvacuation(state)
	s := tables.PeerState{Peer: peer, State: state, At: c.Now()}
	c.World.Inbox.Post(urgent, func(m *tables.Mail) { m.PeerStates = append(m.PeerStates, s) })
}

// hasNewerEvacuation reports whether a peer's state contains a newer set of evacuated
// data centres that differs from the own one.
func (c *Control) hasNewerEvacuation(state *wire.State) bool {
	own := c.World.View.Evacuation()
	return state.Evacuation.Revision > own.Revision && !state.Evacuation.SameDataCentres(own)
}

func (c *Control) placementVersion() uint64 {
	if p := c.World.View.Placement(); p != nil {
		return p.Version
	}
	return 0
}

// Pull implements link.Handler.
func (c *Control) Pull(peer *link.Peer, pull *wire.Pull) {
	p := tables.PeerPlacementPull{Peer: peer, Have: pull.Have}
	c.World.Inbox.Post(true, func(m *tables.Mail) { m.PlacementPulls = append(m.PlacementPulls, p) })
}

// Update implements link.Handler.
func (c *Control) Update(peer *link.Peer, update *wire.Update) {
	u := tables.PeerPlacementUpdate{Peer: peer, Update: update}
	c.World.Inbox.Post(true, func(m *tables.Mail) { m.PlacementUpdates = append(m.PlacementUpdates, u) })
}

// Members implements link.Handler.
func (c *Control) Members(peer *link.Peer, members *wire.Members) {
	rows := tables.PeerMembers{Peer: peer, Rows: members.Rows}
	c.World.Inbox.Post(true, func(m *tables.Mail) { m.Members = append(m.Members, rows) })
}

// MembersAsk implements link.Handler.
func (c *Control) MembersAsk(peer *link.Peer, ask *wire.MembersAsk) {
	a := tables.PeerMembersAsk{Peer: peer, Buckets: ask.Buckets}
	c.World.Inbox.Post(false, func(m *tables.Mail) { m.MembersAsks = append(m.MembersAsks, a) })
}

// Departures implements link.Handler.
func (c *Control) Departures(peer *link.Peer, frame *wire.Departures) {
	d := tables.PeerDepartures{Peer: peer, Frame: frame}
	c.World.Inbox.Post(true, func(m *tables.Mail) { m.PeerDepartures = append(m.PeerDepartures, d) })
}

// RolloutNews implements link.Handler. The systems run at once because the frame
// may contain the stop of a roll-out.
func (c *Control) RolloutNews(peer *link.Peer, frame *wire.RolloutNews) {
	u := tables.PeerRolloutUpdate{Peer: peer, Update: frame.Update}
	c.World.Inbox.Post(true, func(m *tables.Mail) { m.RolloutUpdates = append(m.RolloutUpdates, u) })
}

// RolloutReport implements link.Handler.
func (c *Control) RolloutReport(_ *link.Peer, report *wire.RolloutReport) {
	c.World.Inbox.Post(false, func(m *tables.Mail) { m.RolloutReports = append(m.RolloutReports, report.Report) })
}

// Quarantine implements link.Handler. The systems run at once because each further run of
// a quarantined request may crash a backend server.
func (c *Control) Quarantine(peer *link.Peer, frame *wire.Quarantine) {
	q := tables.PeerQuarantine{Peer: peer, Frame: frame}
	c.World.Inbox.Post(true, func(m *tables.Mail) { m.PeerQuarantines = append(m.PeerQuarantines, q) })
}

// QuotaAsk implements link.Handler. It answers at once, without waiting for a tick,
// because requests wait for the grant.
func (c *Control) QuotaAsk(peer *link.Peer, ask *wire.QuotaAsk) {
	if c.Quota == nil {
		return
	}
	grant := c.Quota.HandleAsk(c.Now(), peer.Hello.VM, &ask.Ask)
	// A closed link is removed from the table by its LinkEvent.
	_ = peer.Send(&wire.QuotaGrant{Grant: grant})
}

// RetryAsk implements link.Handler. It answers at once, because a request waits for the
// retry.
func (c *Control) RetryAsk(peer *link.Peer, ask *wire.RetryAsk) {
	// A closed link is removed from the table by its LinkEvent.
	grant := c.Retries.HandleAsk(c.Now(), &ask.Ask)
	c.Metrics.GetOrCreateCounter(`rushramp_retry_asks_total{granted="` + strconv.FormatBool(grant.Granted) + `"}`).Inc()
	_ = peer.Send(&wire.RetryGrant{Grant: grant})
}

// RetryGrant implements link.Handler.
func (c *Control) RetryGrant(_ *link.Peer, grant *wire.RetryGrant) {
	c.Retries.HandleGrant(&grant.Grant)
}

// QuotaGrant implements link.Handler.
func (c *Control) QuotaGrant(peer *link.Peer, grant *wire.QuotaGrant) {
	if c.Quota != nil {
		c.Quota.HandleGrant(c.Now(), processID(peer), &grant.Grant)
	}
}

// endpointControl is the control of a link that this daemon opened to an endpoint.
type endpointControl struct {
	link.Handler
	world    *tables.World
	endpoint *tables.Endpoint
	client   *link.Client
}

// Opened implements link.Opener. It is called before the first frame is received.
func (c *endpointControl) Opened(client *link.Client) { c.client = client }

// Up implements link.Handler.
func (c *endpointControl) Up(peer *link.Peer) {
	c.post(tables.LinkEvent{Peer: peer, Client: c.client, Endpoint: c.endpoint, Up: true})
}

// Down implements link.Handler.
func (c *endpointControl) Down(peer *link.Peer, cause error) {
	c.post(tables.LinkEvent{Peer: peer, Client: c.client, Endpoint: c.endpoint, Cause: cause})
}

func (c *endpointControl) post(e tables.LinkEvent) {
	c.world.Inbox.Post(true, func(m *tables.Mail) { m.LinkEvents = append(m.LinkEvents, e) })
}
