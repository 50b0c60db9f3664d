package systems

import (
	"sync/atomic"
	"time"

	"github.com/rushramp/rushramp/pkg/link"
	"github.com/rushramp/rushramp/pkg/proximity"
	"github.com/rushramp/rushramp/pkg/tables"
	"github.com/rushramp/rushramp/pkg/wire"
)

// heartbeatsPerHeardDataCentres is the interval, in heartbeats, at which a heartbeat of a
// link also contains HeardDataCentres.
const heartbeatsPerHeardDataCentres = 4

// heartbeats updates the state frame of this daemon and sends it on links without
// traffic. A dead peer on a link with calls is detected by closeUnresponsive instead.
type heartbeats struct {
	*Env
	timer      intervalTimer
	wasLeaving bool
	timing     heartbeatTiming
	// proofTimer is due when the state must be sent to all peers, so that they learn when
	// the placement in force was last known to be the newest (View.PlacementProvenAt).
	proofTimer intervalTimer
}

// updateTiming sets the heartbeat interval of idle links, which grows with the number of
// members, as the number of links does. Links with calls do not rely on heartbeats
// (closeUnresponsive).
func (h *heartbeats) updateTiming(now int64) {
	if h.DialOptions.HeartbeatTiming == nil {
		return
	}
	interval, silence := h.timing.intervals(now, h.World.Members.Len(), h.Settings.Platform.FirstStart)
	h.DialOptions.HeartbeatTiming.Set(interval*h.Settings.Links.Heartbeat/unitsPerHeartbeat, silence*h.Settings.Links.Heartbeat/unitsPerHeartbeat)
}

// Tick implements System.
func (h *heartbeats) Tick(now int64, _ *tables.Mail) {
	startedLeaving := h.World.View.Leaving() && !h.wasLeaving
	sendProof := h.Settings.Teams.RevokeWithin > 0 && h.proofTimer.fires(now, h.Settings.Teams.RevokeWithin/proofStatesPerPeriod)
	if !startedLeaving && !sendProof && !h.timer.fires(now, h.Settings.Links.Heartbeat/4) {
		return
	}
	h.wasLeaving = h.World.View.Leaving()
	h.updateTiming(now)
	h.updateState(now)
	h.send(time.Now(), startedLeaving || sendProof, h.Control.State(), h.heardDataCentres(now))
}

// send sends the state to the peers whose heartbeat is due, or to all peers. Each frame
// contains how long the link may be idle, which depends on the peer's proximity; every
// one in heartbeatsPerHeardDataCentres also contains when the data centres were last
// heard of.
func (h *heartbeats) send(at time.Time, all bool, state *wire.State, heardDataCentres []wire.HeardDataCentre) {
	var brief, full [proximity.Count]wire.State
	for level := range proximity.Count {
		brief[level] = *state
		brief[level].IdleTenths = h.idleTenths(level)
		full[level] = brief[level]
		full[level].HeardDataCentres = heardDataCentres
	}
	h.World.Peers.EachRow(func(peer *link.Peer, row *tables.PeerRow) {
		if !all && !peer.HeartbeatDue(at) {
			return
		}
		level := h.proximityOf(peer)
		state := &brief[level]
		if row.HeartbeatsSent%heartbeatsPerHeardDataCentres == 0 {
			state = &full[level]
		}
		row.HeartbeatsSent++
		// A closed link is removed from the table by its LinkEvent.
		_ = peer.Send(state)
	})
}

// idleTenths returns for how long this daemon may be silent on an idle link to a
// proximity level, in units of wire.IdleTenth; 0: not stated.
func (h *heartbeats) idleTenths(level proximity.Level) uint32 {
	if h.DialOptions.HeartbeatTiming == nil {
		return 0
	}
	return uint32(h.DialOptions.HeartbeatTiming.Idle(level) / wire.IdleTenth)
}

func (h *heartbeats) updateState(now int64) {
	state := wire.State{StoreReadAgeMS: wire.StoreNeverRead, MembersDigest: h.World.Members.Digest(), IdleTenths: h.idleTenths(proximity.SameDataCentre)}
	if age, ok := h.World.StoreReadAge(now); ok {
		state.StoreReadAgeMS = uint64(age.Milliseconds())
	}
	if proven := h.World.View.PlacementProvenAt(); proven > 0 && h.Settings.Teams.RevokeWithin > 0 {
		// The state may be sent until the next update, so the age includes the time until
		// then.
		age := time.Duration(now-proven) + h.Settings.Links.Heartbeat/4
		state.PlacementProofAgeMS = uint64(age.Milliseconds()) + 1
	}
	h.Control.state.set(state)
}

func (h *heartbeats) heardDataCentres(now int64) []wire.HeardDataCentre {
	var out []wire.HeardDataCentre
	for dc, at := range h.World.DataCentreHeardAt {
		if dc != h.World.DataCentre {
			out = append(out, wire.HeardDataCentre{DataCentre: dc, AgeMS: uint64(max(now-at, 0) / int64(time.Millisecond))})
		}
	}
	return out
}

// latestState holds the state frame for peers. Fields that must not lag behind are read
// from the view at each call.
type latestState struct{ value atomic.Pointer[wire.State] }

func (l *latestState) set(s wire.State) { l.value.Store(&s) }

func (l *latestState) get(view *tables.View) *wire.State {
	out := wire.State{StoreReadAgeMS: wire.StoreNeverRead}
	if s := l.value.Load(); s != nil {
		out = *s
	}
	if p := view.Placement(); p != nil {
		out.Placement = p.Version
	}
	out.Evacuation = view.Evacuation()
	out.RolloutsDigest = view.RolloutDigest()
	out.Leaving = view.Leaving()
	return &out
}
