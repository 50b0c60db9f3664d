package link

import (
	"github.com/pkg/errors"

	"github.com/rushramp/rushramp/pkg/wire"
)

// Handler receives what links carry besides calls. Its methods must not block.
type Handler interface {
	// Hello returns what this daemon says first on a link.
	Hello() *wire.Hello
	// State returns the heartbeat's content.
	State() *wire.State
	// Up tells of a new link, Down of its end.
	Up(peer *Peer)
	Down(peer *Peer, cause error)
	// PeerState takes a peer's state.
	PeerState(peer *Peer, state *wire.State)
	// Pull answers a peer that is behind with its placement.
	Pull(peer *Peer, pull *wire.Pull)
	// Update takes a placement that was pulled.
	Update(peer *Peer, update *wire.Update)
	// Members takes rows of the table of members.
	Members(peer *Peer, members *wire.Members)
	// MembersAsk answers a peer whose table of members differs.
	MembersAsk(peer *Peer, ask *wire.MembersAsk)
	// Departures takes the ids of backend servers' processes that leave.
	Departures(peer *Peer, said *wire.Departures)
	// RolloutNews takes what a peer knows of roll-outs, RolloutReport what its executor
	// has seen under one.
	RolloutNews(peer *Peer, news *wire.RolloutNews)
	RolloutReport(peer *Peer, report *wire.RolloutReport)
	// Quarantine takes what a peer knows of requests that end backend servers.
	Quarantine(peer *Peer, said *wire.Quarantine)
	// QuotaAsk answers a peer that asks for tokens of teams, QuotaGrant takes the answer.
	QuotaAsk(peer *Peer, ask *wire.QuotaAsk)
	QuotaGrant(peer *Peer, grant *wire.QuotaGrant)
}

// Peer is the daemon at the other end of a link.
type Peer struct {
	*Conn
	// Hello is what the peer said of itself.
	Hello wire.Hello
	// Outgoing is true on the side that dialled.
	Outgoing bool
}

// serve reads frames until the link ends, and returns why. The first must be
// the greeting; up is called with it, receive with each later one.
func (p *Peer) serve(up func(), receive func(wire.Frame) error) (greeted bool, cause error) {
	cause = p.readLoop(func(frame wire.Frame) error {
		if greeted {
			return receive(frame)
		}
		hello, ok := frame.(*wire.Hello)
		if !ok {
			return &BadFrameError{Cause: errors.New("the first frame is no greeting")}
		}
		greeted = true
		p.Hello = *hello
		up()
		return nil
	})
	return greeted, cause
}

// control handles the frames that both sides know. handled is false for others.
func (p *Peer) control(c Handler, frame wire.Frame) (handled bool) {
	switch f := frame.(type) {
	case *wire.State:
		c.PeerState(p, f)
	case *wire.Pull:
		c.Pull(p, f)
	case *wire.Update:
		c.Update(p, f)
	case *wire.Members:
		c.Members(p, f)
	case *wire.MembersAsk:
		c.MembersAsk(p, f)
	case *wire.Departures:
		c.Departures(p, f)
	case *wire.RolloutNews:
		c.RolloutNews(p, f)
	case *wire.RolloutReport:
		c.RolloutReport(p, f)
	case *wire.Quarantine:
		c.Quarantine(p, f)
	case *wire.QuotaAsk:
		c.QuotaAsk(p, f)
	case *wire.QuotaGrant:
		c.QuotaGrant(p, f)
	default:
		return false
	}
	return true
}
