package systems

import (
	"time"

	"github.com/rushramp/rushramp/pkg/tables"
)

// placementProof follows how old the newest placementProof is that the version in force is the operators'
// newest: a read of the store, by this daemon or by a peer that holds no newer version.
// A key that was taken away lets nothing in once that is too old. It runs after the
// versions of the same mail are in force. Source: docs/design/teams.md, "Keys".
type placementProof struct{ *Env }

// Tick implements System.
func (p *placementProof) Tick(_ int64, mail *tables.Mail) {
	at := p.World.View.PlacementProvenAt()
	// A head that is newer than the version in force is read before that version is.
	if behind := mail.HeadKnown && mail.Head.Version > p.World.PlacementVersion(); p.World.Placement != nil && !behind {
		at = max(at, mail.StoreReadAt)
	}
	for _, n := range mail.PeerStates {
		if n.State.PlacementProofAgeMS > 0 && n.State.Placement <= p.World.PlacementVersion() {
			at = max(at, n.At-int64(time.Duration(n.State.PlacementProofAgeMS)*time.Millisecond))
		}
	}
	p.World.View.SetPlacementProvenAt(at)
}

const (
	// proofReadsPerPeriod is how many times within teams.revoke_within a follower of the feed reads
	// the store, and proofStates how often each daemon tells all peers how old its proof is:
	// with two such hops a proof is under half of that time old.
	proofReadsPerPeriod  = 6
	proofStatesPerPeriod = 8
)

// proofReadInterval is how long a request to the feed may hang; 0: proofs are not needed.
func (e *Env) proofReadInterval() time.Duration {
	return e.Settings.Teams.RevokeWithin / proofReadsPerPeriod
}
