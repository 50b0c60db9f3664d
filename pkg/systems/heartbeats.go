package systems

import (
	"sync/atomic"
	"time"

	"github.com/rushramp/rushramp/pkg/link"
	"github.com/rushramp/rushramp/pkg/tables"
	"github.com/rushramp/rushramp/pkg/wire"
)

// Heartbeat is the time without traffic after which a link carries a
// heartbeat. Three missed ones end the link.
const Heartbeat = 300 * time.Millisecond

// heartbeats keeps the state that this daemon tells its peers, and sends it on
// links without traffic. Links in use watch each other through their calls.
type heartbeats struct {
	*Env
	due     due
	leaving bool
}

// Tick implements System.
func (self *heartbeats) Tick(now int64, _ *tables.Mail) {
	leftNow := self.World.View.Leaving() && !self.leaving
	if !leftNow && !self.due.at(now, Heartbeat/4) {
		return
	}
	self.leaving = self.World.View.Leaving()
	self.refresh(now)
	at := time.Now()
	state := self.Control.State()
	self.World.Peers.Rows(func(peer *link.Peer, _ *tables.PeerRow) {
		if leftNow || peer.HeartbeatDue(at) {
			_ = peer.Send(state)
		}
	})
}

func (self *heartbeats) refresh(now int64) {
	state := wire.State{StoreAgeMS: wire.StoreNever}
	if age, ok := self.World.StoreAge(now); ok {
		state.StoreAgeMS = uint64(age.Milliseconds())
	}
	for dc, at := range self.World.Heard {
		if dc != self.World.DataCentre {
			state.Heard = append(state.Heard, wire.Heard{DataCentre: dc, AgeMS: uint64((now - at) / int64(time.Millisecond))})
		}
	}
	self.Control.state.set(state)
}

// latest is the state for peers. The parts that may not lag, the version in
// force and leaving, are read from the view each time.
type latest struct{ value atomic.Pointer[wire.State] }

func (self *latest) set(s wire.State) { self.value.Store(&s) }

func (self *latest) get(view *tables.View) *wire.State {
	out := wire.State{StoreAgeMS: wire.StoreNever}
	if s := self.value.Load(); s != nil {
		out = *s
	}
	if p := view.Placement(); p != nil {
		out.Placement = p.Version
	}
	out.Leaving = view.Leaving()
	return &out
}
