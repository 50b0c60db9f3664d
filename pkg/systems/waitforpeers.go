package systems

import (
	"time"

	"github.com/rushramp/rushramp/pkg/link"
	"github.com/rushramp/rushramp/pkg/tables"
)

const (
	// peersAnswer is how long a daemon that was started again waits for a link to a seed
	// before it asks the store: three round trips between data centres and the dial of
	// a second seed, which is a tenth of a second after the first one's.
	peersAnswer = 150 * time.Millisecond
	// peersTell is how long it waits for what such a peer knows.
	peersTell = 500 * time.Millisecond
)

// shouldWaitForPeers is true while a daemon that was started again had better hear from its peers
// what it would else read in the store: the version, who departed, what is held back, the
// members. In a fleet that replaces thousands of VMs a day each start would else be up to
// seven calls. Where its seeds know nothing either, as after a loss of power of all, the
// store is asked at once, and after peersAnswer where no seed answers.
func (e *Env) shouldWaitForPeers(now int64) bool {
	if e.Settings.Platform.FirstStart || len(e.Settings.Links.Seeds) == 0 || now >= int64(peersTell) {
		return false
	}
	linked, knows := e.World.Peers.Len() > 0, e.hasPeerWithPlacement()
	return knows || !linked && now < int64(peersAnswer)
}

// hasPeerWithPlacement is true while there is a link to a daemon that has a version in force.
func (e *Env) hasPeerWithPlacement() (has bool) {
	e.World.Peers.EachRow(func(_ *link.Peer, row *tables.PeerRow) {
		has = has || row.PlacementVersion > 0 && !row.Leaving
	})
	return has
}
