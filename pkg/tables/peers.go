package tables

import "github.com/rushramp/rushramp/pkg/link"

// Peers is the table of daemons that this one has links with, in either
// direction, one row a link.
type Peers struct {
	rows map[*link.Peer]*PeerRow
	// addedCount counts the links that ever came up.
	addedCount uint64
}

// PeerRow is what a peer said last.
type PeerRow struct {
	PlacementVersion uint64
	Leaving          bool
	// MembersDigest is the digest that the peer told last, DiffersSince since when it
	// and the own one differ, both unchanged; 0: they do not.
	MembersDigest      uint64
	MembersDifferSince int64
	// HeartbeatsSent counts those sent over the link.
	HeartbeatsSent int
	// DeparturesSent is true once the peer was told which backend servers have departed.
	DeparturesSent bool
	// QuarantinesSent is true once the peer was told which requests end backend servers.
	QuarantinesSent bool
	// RolloutsSentDigest is the digest of the news of roll-outs that the peer was sent last,
	// RolloutsToldAt when.
	RolloutsSentDigest uint64
	RolloutsSentAt     int64
	// PlacementPulledAt is when this daemon last asked the peer for its placement.
	PlacementPulledAt int64
}

// NewPeers makes an empty table.
func NewPeers() *Peers { return &Peers{rows: map[*link.Peer]*PeerRow{}} }

// GetOrAdd returns the row of a link, a new one for a new link.
func (p *Peers) GetOrAdd(peer *link.Peer) *PeerRow {
	row := p.rows[peer]
	if row == nil {
		row = &PeerRow{}
		p.rows[peer] = row
		p.addedCount++
	}
	return row
}

// Remove takes a link out.
func (p *Peers) Remove(peer *link.Peer) { delete(p.rows, peer) }

// EachRow calls do for each link.
func (p *Peers) EachRow(do func(peer *link.Peer, row *PeerRow)) {
	for peer, row := range p.rows {
		do(peer, row)
	}
}

// AddedCount grows with each new link, so that a system can see cheaply that there
// was none.
func (p *Peers) AddedCount() uint64 { return p.addedCount }

// Len counts the links.
func (p *Peers) Len() int { return len(p.rows) }
