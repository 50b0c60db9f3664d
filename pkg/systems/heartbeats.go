package systems

import (
	"sync/atomic"
	"time"

	"github.com/rushramp/rushramp/pkg/link"
	"github.com/rushramp/rushramp/pkg/proximity"
	"github.com/rushramp/rushramp/pkg/tables"
	"github.com/rushramp/rushramp/pkg/wire"
)

// heardEvery is how many heartbeats go by between two that carry Heard.
const heardEvery = 4

// heartbeats keeps the state that this daemon tells its peers, and sends it on
// links without traffic. Links in use watch each other through their calls.
type heartbeats struct {
	*Env
	due     intervalTimer
	leaving bool
	pace    heartbeatPace
	// proofDue is when all peers are told again how old the proof of the version is.
	proofDue intervalTimer
}

// keepPace sets how often idle links carry a heartbeat. The number of links
// grows with that of the members; links in use do not wait for heartbeats, but
// ask for a sign of life (closeSilent).
func (h *heartbeats) keepPace(now int64) {
	if h.DialOptions.Pace == nil {
		return
	}
	every, bound := h.pace.of(now, h.World.Members.Len(), h.Settings.Platform.FirstStart)
	h.DialOptions.Pace.Set(every*h.Settings.Links.Heartbeat/paceUnit, bound*h.Settings.Links.Heartbeat/paceUnit)
}

// Tick implements System.
func (h *heartbeats) Tick(now int64, _ *tables.Mail) {
	leftNow := h.World.View.Leaving() && !h.leaving
	proves := h.Settings.Teams.RevokeWithin > 0 && h.proofDue.fires(now, h.Settings.Teams.RevokeWithin/proofStatesPerPeriod)
	if !leftNow && !proves && !h.due.fires(now, h.Settings.Links.Heartbeat/4) {
		return
	}
	h.leaving = h.World.View.Leaving()
	h.keepPace(now)
	h.refresh(now)
	h.send(time.Now(), leftNow || proves, h.Control.State(), h.heard(now))
}

// send sends the state on links without traffic, and on all when it must not
// wait. Each fourth heartbeat of a link says which data centres were heard, and each
// one how long the link may be idle, which hangs on how far the peer is.
func (h *heartbeats) send(at time.Time, all bool, state *wire.State, heard []wire.Heard) {
	var brief, full [proximity.Count]wire.State
	for to := range proximity.Count {
		brief[to] = *state
		brief[to].IdleTenths = h.idleTenths(to)
		full[to] = brief[to]
		full[to].Heard = heard
	}
	h.World.Peers.EachRow(func(peer *link.Peer, row *tables.PeerRow) {
		if !all && !peer.HeartbeatDue(at) {
			return
		}
		to := h.proximityOf(peer)
		state := &brief[to]
		if row.HeartbeatsSent%heardEvery == 0 {
			state = &full[to]
		}
		row.HeartbeatsSent++
		// A link that has closed leaves the table with its next event.
		_ = peer.Send(state)
	})
}

// idleTenths is for how long this daemon may say nothing on an idle link to a place;
// 0: it does not say.
func (h *heartbeats) idleTenths(to proximity.Level) uint32 {
	if h.DialOptions.Pace == nil {
		return 0
	}
	return uint32(h.DialOptions.Pace.Idle(to) / wire.IdleTenth)
}

func (h *heartbeats) refresh(now int64) {
	state := wire.State{StoreAgeMS: wire.StoreNever, Members: h.World.Members.Digest(), IdleTenths: h.idleTenths(proximity.SameDataCentre)}
	if age, ok := h.World.StoreReadAge(now); ok {
		state.StoreAgeMS = uint64(age.Milliseconds())
	}
	if proven := h.World.View.PlacementProvenAt(); proven > 0 && h.Settings.Teams.RevokeWithin > 0 {
		// The state is told until it is made again.
		age := time.Duration(now-proven) + h.Settings.Links.Heartbeat/4
		state.ProofMS = uint64(age.Milliseconds()) + 1
	}
	h.Control.state.set(state)
}

func (h *heartbeats) heard(now int64) []wire.Heard {
	var out []wire.Heard
	for dc, at := range h.World.DataCentreHeardAt {
		if dc != h.World.DataCentre {
			out = append(out, wire.Heard{DataCentre: dc, AgeMS: uint64((now - at) / int64(time.Millisecond))})
		}
	}
	return out
}

// latestState is the state for peers. The parts that may not lag, the version in
// force, the evacuated data centres and leaving, are read from the view each
// time.
type latestState struct{ value atomic.Pointer[wire.State] }

func (l *latestState) set(s wire.State) { l.value.Store(&s) }

func (l *latestState) get(view *tables.View) *wire.State {
	out := wire.State{StoreAgeMS: wire.StoreNever}
	if s := l.value.Load(); s != nil {
		out = *s
	}
	if p := view.Placement(); p != nil {
		out.Placement = p.Version
	}
	out.Evacuation = view.Evacuation()
	out.Rollouts = view.RolloutDigest()
	out.Leaving = view.Leaving()
	return &out
}
