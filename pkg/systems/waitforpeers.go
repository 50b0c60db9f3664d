package systems

import (
	"time"

	"github.com/rushramp/rushramp/pkg/link"
	"github.com/rushramp/rushramp/pkg/tables"
)

const (
	// seedAnswerTimeout is how long after its start a restarted daemon waits for the
	// first link: enough for three round trips between data centres and, seedDialInterval
	// later, a dial of a second seed.
	seedAnswerTimeout = 150 * time.Millisecond
	// peerKnowledgeTimeout is how long after its start a restarted daemon waits for what
	// peers know.
	peerKnowledgeTimeout = 500 * time.Millisecond
)

// shouldWaitForPeers reports whether a restarted daemon should wait for its peers to send
// what it would otherwise read from the store: the placement, the departures, the
// quarantines and the members. In a fleet that replaces thousands of VMs a day, these
// reads would add up. A daemon stops waiting at once if no linked peer has a placement,
// as after a power failure of the whole fleet, and after seedAnswerTimeout if it has no
// link.
func (e *Env) shouldWaitForPeers(now int64) bool {
	if e.Settings.Platform.FirstStart || len(e.Settings.Links.Seeds) == 0 || now >= int64(peerKnowledgeTimeout) {
		return false
	}
	linked, informed := e.World.Peers.Len() > 0, e.hasPeerWithPlacement()
	return informed || !linked && now < int64(seedAnswerTimeout)
}

// hasPeerWithPlacement reports whether a linked daemon that is not leaving has a
// placement.
func (e *Env) hasPeerWithPlacement() (found bool) {
	e.World.Peers.EachRow(func(_ *link.Peer, row *tables.PeerRow) {
		found = found || row.PlacementVersion > 0 && !row.Leaving
	})
	return found
}
