package systems

import (
	"time"

	"github.com/rushramp/rushramp/pkg/tables"
	"github.com/rushramp/rushramp/pkg/wire"
)

// placementProof tracks when the placement in force was last known to be the newest one
// in the store: at a read of the store by this daemon, or by a peer whose placement is
// not newer than this daemon's. If that time is too long ago, teams' keys are refused,
// since this daemon may have missed that one was revoked. It runs after the placements
// of the same tick are in force. Source: docs/design/teams.md, "Keys".
type placementProof struct{ *Env }

// Tick implements System.
func (p *placementProof) Tick(_ int64, mail *tables.Mail) {
	provenAt := p.World.View.PlacementProvenAt()
	// A new head is known before the document of its version has been read.
	if behind := mail.PlacementHeadKnown && mail.PlacementHead.Version > p.World.PlacementVersion(); p.World.Placement != nil && !behind {
		provenAt = max(provenAt, mail.StoreReadAt)
	}
	for _, received := range mail.PeerStates {
		if received.State.PlacementProofAgeMS > 0 && received.State.Placement <= p.World.PlacementVersion() {
			provenAt = max(provenAt, received.At-int64(wire.Age(received.State.PlacementProofAgeMS)))
		}
	}
	p.World.View.SetPlacementProvenAt(provenAt)
}

const (
	// proofReadsPerPeriod is the minimum number of times that a follower of the feed reads
	// the store in the period given by the setting teams.revoke_within.
	proofReadsPerPeriod = 6
	// proofStatesPerPeriod is the number of times in the same period that each daemon sends
	// PlacementProofAgeMS, the time since PlacementProvenAt, to all peers. With these values
	// a proof that passes through two daemons is less than half of the period old.
	proofStatesPerPeriod = 8
)

// proofReadInterval returns the longest time allowed between two reads of the feed, so
// that PlacementProvenAt is recent enough for teams' keys; 0: no limit.
func (e *Env) proofReadInterval() time.Duration {
	return e.Settings.Teams.RevokeWithin / proofReadsPerPeriod
}
