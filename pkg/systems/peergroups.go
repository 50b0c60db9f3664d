package systems

import (
	"github.com/rushramp/rushramp/pkg/link"
	"github.com/rushramp/rushramp/pkg/proximity"
	"github.com/rushramp/rushramp/pkg/tables"
)

// proximityOf is how far a peer is, as it said itself.
func (e *Env) proximityOf(peer *link.Peer) proximity.Level {
	return e.World.Here().To(peer.Hello.DataCentre, peer.Hello.Region)
}

// peerGroup is a set of peers that news is sent to as one: a data centre of the own
// region, or another region whole, since bytes between regions have the higher price.
// Whoever hears news there passes it on.
type peerGroup struct {
	at   proximity.Level
	name string
}

// peerGroupOf is the group of a VM. One whose region is not known stands for its data
// centre.
func (e *Env) peerGroupOf(dataCentre, region string) peerGroup {
	at := e.World.Here().To(dataCentre, region)
	if at == proximity.OtherRegion && region != "" {
		return peerGroup{at, region}
	}
	return peerGroup{at, dataCentre}
}

// peersByGroup returns one link to each daemon: those of the own data centre, and
// the others by their groups.
func (e *Env) peersByGroup() (near []*link.Peer, far map[peerGroup][]*link.Peer) {
	seen := map[string]struct{}{}
	far = map[peerGroup][]*link.Peer{}
	e.World.Peers.EachRow(func(peer *link.Peer, row *tables.PeerRow) {
		if _, known := seen[peer.Hello.VM]; known || row.Leaving {
			return
		}
		seen[peer.Hello.VM] = struct{}{}
		if peer.Hello.DataCentre == e.World.DataCentre {
			near = append(near, peer)
			return
		}
		to := e.peerGroupOf(peer.Hello.DataCentre, peer.Hello.Region)
		far[to] = append(far[to], peer)
	})
	return near, far
}
