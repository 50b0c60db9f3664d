package link

import (
	"github.com/pkg/errors"

	"github.com/rushramp/rushramp/pkg/wire"
)

// Handler handles the frames of links that do not belong to calls, and provides those that
// this daemon sends. A method named after a type of frame handles such a frame of a peer,
// except Hello and State. The methods must not block.
type Handler interface {
	// Hello returns the hello frame of this daemon, the first that it sends on a link.
	Hello() *wire.Hello
	// State returns the current state frame of this daemon.
	State() *wire.State
	// Up is called when a link is open and the peer's hello frame has arrived, Down when the
	// link has ended.
	Up(peer *Peer)
	Down(peer *Peer, cause error)
	// PeerState handles a peer's state frame, also that in its hello frame.
	PeerState(peer *Peer, state *wire.State)
	// Pull answers a peer that asks for newer versions of the placement.
	Pull(peer *Peer, pull *wire.Pull)
	// Update handles a placement that a peer sends in answer to a Pull frame.
	Update(peer *Peer, update *wire.Update)
	// Members merges rows of the table of members that a peer sends.
	Members(peer *Peer, members *wire.Members)
	// MembersAsk answers a peer whose table of members differs, with the differing rows.
	MembersAsk(peer *Peer, ask *wire.MembersAsk)
	// Departures handles the ids of backend server processes that are leaving.
	Departures(peer *Peer, frame *wire.Departures)
	// RolloutNews handles a peer's orders, plans and stops of roll-outs, RolloutReport what
	// its executor has counted during one.
	RolloutNews(peer *Peer, frame *wire.RolloutNews)
	RolloutReport(peer *Peer, report *wire.RolloutReport)
	// Quarantine handles crashes and completions that a peer reports.
	Quarantine(peer *Peer, frame *wire.Quarantine)
	// QuotaAsk answers a peer's quota.Ask with a QuotaGrant frame, and QuotaGrant handles such
	// an answer.
	QuotaAsk(peer *Peer, ask *wire.QuotaAsk)
	QuotaGrant(peer *Peer, grant *wire.QuotaGrant)
	// RetryAsk answers a peer that asks for a retry with a RetryGrant frame, and RetryGrant
	// handles such an answer.
	RetryAsk(peer *Peer, ask *wire.RetryAsk)
	RetryGrant(peer *Peer, grant *wire.RetryGrant)
}

// Peer is the daemon at the other end of a link.
type Peer struct {
	*Conn
	// Hello is the peer's hello frame.
	Hello wire.Hello
	// Outgoing is true if this daemon opened the link.
	Outgoing bool
	// OpenedAfter is a time of this daemon's clock (Common.Now) before the peer sent its
	// hello frame.
	OpenedAfter int64
}

// serve reads frames until the link ends, and returns the cause. The first frame must be a
// hello frame: serve stores it in Hello and calls onHello. It calls receive with each later
// frame.
func (p *Peer) serve(onHello func(), receive func(wire.Frame) error) (helloReceived bool, cause error) {
	cause = p.readLoop(func(frame wire.Frame) error {
		if helloReceived {
			return receive(frame)
		}
		hello, ok := frame.(*wire.Hello)
		if !ok {
			return &BadFrameError{Cause: errors.New("the first frame is not a hello frame")}
		}
		helloReceived = true
		p.Hello = *hello
		onHello()
		return nil
	})
	return helloReceived, cause
}

// handleFrame calls the method of handler for a frame that either side of a link may send.
// handled is false for other frames.
func (p *Peer) handleFrame(handler Handler, frame wire.Frame) (handled bool) {
	switch f := frame.(type) {
	case *wire.State:
		handler.PeerState(p, f)
	case *wire.Pull:
		handler.Pull(p, f)
	case *wire.Update:
		handler.Update(p, f)
	case *wire.Members:
		handler.Members(p, f)
	case *wire.MembersAsk:
		handler.MembersAsk(p, f)
	case *wire.Departures:
		handler.Departures(p, f)
	case *wire.RolloutNews:
		handler.RolloutNews(p, f)
	case *wire.RolloutReport:
		handler.RolloutReport(p, f)
	case *wire.Quarantine:
		handler.Quarantine(p, f)
	case *wire.QuotaAsk:
		handler.QuotaAsk(p, f)
	case *wire.QuotaGrant:
		handler.QuotaGrant(p, f)
	case *wire.RetryAsk:
		handler.RetryAsk(p, f)
	case *wire.RetryGrant:
		handler.RetryGrant(p, f)
	default:
		return false
	}
	return true
}
