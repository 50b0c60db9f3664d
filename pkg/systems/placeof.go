package systems

import (
	"github.com/rushramp/rushramp/pkg/link"
	"github.com/rushramp/rushramp/pkg/place"
)

// placeOf is how far a peer is, as it said itself.
func (e *Env) placeOf(peer *link.Peer) place.Place {
	return e.World.Here().Of(peer.Hello.DataCentre, peer.Hello.Region)
}
