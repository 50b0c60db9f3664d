package systems

import (
	"slices"

	"github.com/rushramp/rushramp/pkg/link"
	"github.com/rushramp/rushramp/pkg/proximity"
	"github.com/rushramp/rushramp/pkg/utils"
	"github.com/rushramp/rushramp/pkg/wire"
)

const (
	// floodRelays is how many daemons of a data centre pass news on to other data
	// centres, beside the one that it was said to. With each daemon doing so, 82 of them
	// sent 54,829 frames there for some forty departures.
	floodRelays = 3
	// floodCrossings is how many daemons of another region each of them tells.
	floodCrossings = 2
)

// broadcast passes news on that is new here and must reach all daemons soon: own news to
// all daemons of the region that this one has links with and to a few of others, what
// it heard within the data centre, and a few of it to others. Who knows it already
// passes nothing on, so news ends by itself. key tells one piece from others, frame
// makes the frame that carries some.
func broadcast[T any](e *Env, own, heard []T, key func(T) string, frame func([]T) wire.Frame) {
	if len(own)+len(heard) == 0 {
		return
	}
	near, far := e.peersByGroup()
	everywhere := slices.Concat(own, selectForRelay(e, near, heard, key))
	// A link that has closed leaves the table with its next event.
	all := frame(slices.Concat(own, heard))
	for _, peer := range near {
		_ = peer.Send(all)
	}
	if len(everywhere) == 0 {
		return
	}
	abroad := frame(everywhere)
	for to, peers := range far {
		if to.at == proximity.OtherRegion {
			peers = pickRandom(peers, floodCrossings)
		}
		for _, peer := range peers {
			_ = peer.Send(abroad)
		}
	}
}

// selectForRelay is the news that this daemon passes on to other data centres: that for which
// it is among the first of its own by rendezvous hash. Only daemons with a link count,
// so that where links are few there are more relays, never fewer.
func selectForRelay[T any](e *Env, near []*link.Peer, heard []T, key func(T) string) []T {
	var out []T
	for _, piece := range heard {
		id := key(piece)
		mine, ahead := utils.Rendezvous(id, e.World.VM), 0
		for _, peer := range near {
			if utils.Rendezvous(id, peer.Hello.VM) > mine {
				ahead++
			}
		}
		if ahead < floodRelays {
			out = append(out, piece)
		}
	}
	return out
}
