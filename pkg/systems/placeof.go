package systems

import (
	"github.com/rushramp/rushramp/pkg/link"
	"github.com/rushramp/rushramp/pkg/proximity"
	"github.com/rushramp/rushramp/pkg/tables"
)

// placeOf is how far a peer is, as it said itself.
func (e *Env) placeOf(peer *link.Peer) proximity.Level {
	return e.World.Here().To(peer.Hello.DataCentre, peer.Hello.Region)
}

// group is a set of peers that news is sent to as one: a data centre of the own
// region, or another region whole, since bytes between regions have the higher price.
// Whoever hears news there passes it on.
type group struct {
	at   proximity.Level
	name string
}

// groupOf is the group of a VM. One whose region is not known stands for its data
// centre.
func (e *Env) groupOf(dataCentre, region string) group {
	at := e.World.Here().To(dataCentre, region)
	if at == proximity.OtherRegion && region != "" {
		return group{at, region}
	}
	return group{at, dataCentre}
}

// peersByGroup returns one link to each daemon: those of the own data centre, and
// the others by their groups.
func (e *Env) peersByGroup() (near []*link.Peer, far map[group][]*link.Peer) {
	seen := map[string]struct{}{}
	far = map[group][]*link.Peer{}
	e.World.Peers.EachRow(func(peer *link.Peer, row *tables.PeerRow) {
		if _, known := seen[peer.Hello.VM]; known || row.Leaving {
			return
		}
		seen[peer.Hello.VM] = struct{}{}
		if peer.Hello.DataCentre == e.World.DataCentre {
			near = append(near, peer)
			return
		}
		to := e.groupOf(peer.Hello.DataCentre, peer.Hello.Region)
		far[to] = append(far[to], peer)
	})
	return near, far
}
