package tables

import "github.com/rushramp/rushramp/pkg/link"

// Peers is the table of links with other daemons, in either direction, with one row per
// link.
type Peers struct {
	rows map[*link.Peer]*PeerRow
	// addedCount counts the links that ever came up.
	addedCount uint64
}

// PeerRow is what a peer has reported and what it was sent over one link.
type PeerRow struct {
	// PlacementVersion is the highest placement version that the peer had in force.
	PlacementVersion uint64
	// Leaving is true once the peer has reported that it takes no new calls.
	Leaving bool
	// MembersDigest is the digest of the peer's table of members by its last state
	// frame. MembersDifferSince is since when that digest and this daemon's differ, with
	// neither changing, in nanoseconds; 0: they are equal.
	MembersDigest      uint64
	MembersDifferSince int64
	// HeartbeatsSent counts the heartbeats sent over the link.
	HeartbeatsSent int
	// DeparturesSent is true once the peer was sent all known departures of backend
	// servers.
	DeparturesSent bool
	// InformedSent is true once the peer was also told that these are all.
	InformedSent bool
	// QuarantinesSent is true once the peer was sent all known requests that crash
	// backend servers.
	QuarantinesSent bool
	// RolloutsSentDigest is the digest of the roll-outs that the peer was sent last, and
	// RolloutsSentAt is when that was, in nanoseconds.
	RolloutsSentDigest uint64
	RolloutsSentAt     int64
	// PlacementPulledAt is when this daemon last asked the peer for its placement, in
	// nanoseconds.
	PlacementPulledAt int64
}

// NewPeers returns an empty table.
func NewPeers() *Peers { return &Peers{rows: map[*link.Peer]*PeerRow{}} }

// GetOrAdd returns the row of a link, and adds one for a new link.
func (p *Peers) GetOrAdd(peer *link.Peer) *PeerRow {
	row := p.rows[peer]
	if row == nil {
		row = &PeerRow{}
		p.rows[peer] = row
		p.addedCount++
	}
	return row
}

// Remove removes the row of a link.
func (p *Peers) Remove(peer *link.Peer) { delete(p.rows, peer) }

// EachRow calls do for each link, in no particular order.
func (p *Peers) EachRow(do func(peer *link.Peer, row *PeerRow)) {
	for peer, row := range p.rows {
		do(peer, row)
	}
}

// AddedCount returns the number of links ever added. Systems compare it with an earlier
// value to see cheaply whether there is a new link.
func (p *Peers) AddedCount() uint64 { return p.addedCount }

// Len returns the number of links.
func (p *Peers) Len() int { return len(p.rows) }
