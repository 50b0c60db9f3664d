package systems

import (
	"github.com/rushramp/rushramp/pkg/link"
	"github.com/rushramp/rushramp/pkg/proximity"
	"github.com/rushramp/rushramp/pkg/tables"
)

// proximityOf returns how far a peer is, by the location in its hello frame.
func (e *Env) proximityOf(peer *link.Peer) proximity.Level {
	return e.World.Here().LevelTo(peer.Hello.DataCentre, peer.Hello.Region)
}

// peerGroup is a set of peers that one message is enough for, since its receivers pass
// the message on within the group: a data centre of the own region, or a whole other
// region, because traffic between regions costs more.
type peerGroup struct {
	level proximity.Level
	name  string
}

// peerGroupOf returns the group of a VM. Outside the own region, a VM whose region is not
// known belongs to the group of its data centre.
func (e *Env) peerGroupOf(dataCentre, region string) peerGroup {
	level := e.World.Here().LevelTo(dataCentre, region)
	if level == proximity.OtherRegion && region != "" {
		return peerGroup{level, region}
	}
	return peerGroup{level, dataCentre}
}

// peersByGroup returns one link to each daemon that is not leaving: localPeers are those
// in the same data centre, groups are the others.
func (e *Env) peersByGroup() (localPeers []*link.Peer, groups map[peerGroup][]*link.Peer) {
	seen := map[string]struct{}{}
	groups = map[peerGroup][]*link.Peer{}
	e.World.Peers.EachRow(func(peer *link.Peer, row *tables.PeerRow) {
		if _, known := seen[peer.Hello.VM]; known || row.Leaving {
			return
		}
		seen[peer.Hello.VM] = struct{}{}
		if peer.Hello.DataCentre == e.World.DataCentre {
			localPeers = append(localPeers, peer)
			return
		}
		group := e.peerGroupOf(peer.Hello.DataCentre, peer.Hello.Region)
		groups[group] = append(groups[group], peer)
	})
	return localPeers, groups
}
