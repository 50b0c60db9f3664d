package systems

import (
	"slices"

	"github.com/rushramp/rushramp/pkg/link"
	"github.com/rushramp/rushramp/pkg/proximity"
	"github.com/rushramp/rushramp/pkg/utils"
	"github.com/rushramp/rushramp/pkg/wire"
)

const (
	// broadcastRelays is how many daemons of a data centre relay an item to other data
	// centres, beside the one that announced it. If each daemon did so, an item would be
	// sent to other data centres once per daemon and link.
	broadcastRelays = 3
	// otherRegionFanout is how many daemons of another region each relay sends the item
	// to.
	otherRegionFanout = 2
)

// broadcast sends items that are new to this daemon and must reach all daemons soon. own
// are items that originate here, received are items that peers sent. Both go to all peers
// in the data centre; the own items and those that selectForRelay selects also go to
// peers in other data centres of the region and to a few in other regions. A daemon that
// already knows an item does not send it again, so the broadcast ends by itself. key
// returns the identity of an item, newFrame builds the frame that carries some.
func broadcast[T any](e *Env, own, received []T, key func(T) string, newFrame func([]T) wire.Frame) {
	if len(own)+len(received) == 0 {
		return
	}
	localPeers, groups := e.peersByGroup()
	crossing := slices.Concat(own, selectForRelay(e, localPeers, received, key))
	// A closed link is removed from the table by its LinkEvent.
	localFrame := newFrame(slices.Concat(own, received))
	for _, peer := range localPeers {
		_ = peer.Send(localFrame)
	}
	if len(crossing) == 0 {
		return
	}
	crossingFrame := newFrame(crossing)
	for group, peers := range groups {
		if group.level == proximity.OtherRegion {
			peers = pickRandom(peers, otherRegionFanout)
		}
		for _, peer := range peers {
			_ = peer.Send(crossingFrame)
		}
	}
}

// selectForRelay returns the items that this daemon relays to other data centres: those
// for which it is among the first broadcastRelays daemons of its data centre by
// rendezvous hash. Only linked daemons count, so with few links there are more relays,
// never fewer.
func selectForRelay[T any](e *Env, localPeers []*link.Peer, received []T, key func(T) string) []T {
	var out []T
	for _, item := range received {
		id := key(item)
		ownWeight, rank := utils.RendezvousWeight(id, e.World.VM), 0
		for _, peer := range localPeers {
			if utils.RendezvousWeight(id, peer.Hello.VM) > ownWeight {
				rank++
			}
		}
		if rank < broadcastRelays {
			out = append(out, item)
		}
	}
	return out
}
