package link

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/rushramp/rushramp/pkg/common"
	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/grants"
	"github.com/rushramp/rushramp/pkg/wire"
)

// granter sends the grants that a scheduler decides on, for all accepted links of a daemon.
// It is safe for concurrent use.
type granter struct {
	common       *common.Common
	refusedHeads *metrics.Counter
	granted      *metrics.Counter
	stalled      *metrics.Counter

	mu         sync.Mutex
	scheduler  *grants.Scheduler
	lastSender grants.Sender
	transfers  map[grants.ID]*incomingTransfer
	// timer fires at the time that scheduler.NextDue returns.
	timer  *time.Timer
	closed bool
}

// incomingTransfer is a body that a peer sends as it is granted.
type incomingTransfer struct {
	peer *Peer
	call *wire.Call
	// granted is how many bytes were granted.
	granted int64
}

func newGranter(c *common.Common) *granter {
	g := &granter{
		common:       c,
		refusedHeads: c.Metrics.GetOrCreateCounter("rushramp_bodies_refused_heads_total"),
		granted:      c.Metrics.GetOrCreateCounter("rushramp_bodies_granted_bytes_total"),
		stalled:      c.Metrics.GetOrCreateCounter("rushramp_bodies_stalled_grants_total"),
		scheduler:    grants.NewScheduler(),
		transfers:    map[grants.ID]*incomingTransfer{},
	}
	c.Metrics.GetOrCreateGauge("rushramp_bodies_waiting_bytes", func() float64 { return float64(g.load().Waiting) })
	c.Metrics.GetOrCreateGauge("rushramp_bodies_outstanding_bytes", func() float64 { return float64(g.load().Outstanding) })
	c.Metrics.GetOrCreateGauge("rushramp_bodies_rate_bytes", func() float64 { return g.load().Rate })
	return g
}

func (g *granter) load() grants.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.scheduler.Load()
}

// forecast returns what a body that is offered now can expect.
func (g *granter) forecast() grants.Forecast {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.scheduler.Forecast(g.common.Now())
}

// maxRTTPings limits the pings on an accepted link, of which each offered body causes one at
// most. Several are sent because a ping may wait behind bodies; the shortest time counts.
const maxRTTPings = 16

// updateRoundTrip tells the scheduler the round-trip time of a link and measures it again.
func (g *granter) updateRoundTrip(id grants.Sender, peer *Peer) {
	if peer.pingsSent.Load() < maxRTTPings {
		go peer.ping()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.scheduler.SetRoundTrip(id, peer.MinRTT())
}

// newSender returns the id of a newly accepted link.
func (g *granter) newSender() grants.Sender {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastSender++
	return g.lastSender
}

// removeSender ends the transfers of a link that has ended.
func (g *granter) removeSender(id grants.Sender) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.scheduler.RemoveSender(id)
	g.step()
}

// expectedTime returns the expected time of a transfer; 0: unknown.
func (g *granter) expectedTime(t grants.Transfer) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.scheduler.ExpectedTime(g.common.Now(), t)
}

// add adds the transfer of a call's body.
func (g *granter) add(peer *Peer, c *wire.Call, t grants.Transfer) grants.ID {
	g.mu.Lock()
	defer g.mu.Unlock()
	id := g.scheduler.Add(t)
	g.transfers[id] = &incomingTransfer{peer: peer, call: c}
	g.step()
	return id
}

// arrived records that the next n bytes of a body have arrived.
func (g *granter) arrived(id grants.ID, n int) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	whole, err := g.scheduler.Arrived(g.common.Now(), id, int64(n))
	if err != nil {
		return err
	}
	if whole {
		delete(g.transfers, id)
	}
	g.step()
	return nil
}

// remove ends a transfer and returns its credit. It returns how many of the body's bytes
// were granted and have arrived.
func (g *granter) remove(id grants.ID) (granted, arrived int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	granted, arrived = g.scheduler.Remove(id)
	delete(g.transfers, id)
	g.step()
	return granted, arrived
}

// step sends the grants that are due and sets the timer. The caller holds mu, so that the
// offsets of a transfer are sent in their order.
func (g *granter) step() {
	due, stalled := g.scheduler.Tick(g.common.Now())
	for _, id := range stalled {
		g.reportStall(id)
	}
	for _, grant := range due {
		t := g.transfers[grant.ID]
		g.granted.Add(int(grant.Offset - t.granted))
		t.granted = grant.Offset
		// If the link is closed, its session ends the transfer.
		_ = t.peer.Send(&wire.Grant{ID: t.call.ID, Offset: uint64(grant.Offset)})
	}
	g.setTimer()
}

func (g *granter) reportStall(id grants.ID) {
	g.stalled.Inc()
	t := g.transfers[id]
	g.common.Log.Event(events.GrantStalled, events.F("request", t.call.Routed.ID), events.F("route", t.call.Kind), events.F("peer", t.peer.Hello.VM),
		events.F("size", t.call.Body.Size), events.F("granted", t.granted))
}

// setTimer sets the timer to the time of the next step. The caller holds mu.
func (g *granter) setTimer() {
	at, ok := g.scheduler.NextDue()
	if !ok || g.closed {
		if g.timer != nil {
			g.timer.Stop()
		}
		return
	}
	wait := time.Duration(max(at-g.common.Now(), 0))
	if g.timer == nil {
		g.timer = time.AfterFunc(wait, g.onTimer)
		return
	}
	g.timer.Reset(wait)
}

func (g *granter) onTimer() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.closed {
		g.step()
	}
}

// close stops the timer. Afterwards no step is made because of time alone.
func (g *granter) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	g.setTimer()
}
