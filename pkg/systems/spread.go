package systems

import (
	"math/rand/v2"

	"github.com/rushramp/rushramp/pkg/link"
	"github.com/rushramp/rushramp/pkg/tables"
	"github.com/rushramp/rushramp/pkg/wire"
)

// spreadMost is how many changed rows are passed on at once. More, as when a
// whole list is new, are left to the comparing of tables, which sends each
// peer only what it lacks.
const spreadMost = 200

// spreadFanout is how many daemons a row is passed on to by one that heard of it
// from another. Each daemon doing so reaches nearly all in a few steps (some
// e^-4 are missed, and found by the comparing of tables), where passing on over
// all links costs the square of the fleet for each change.
const spreadFanout = 4

// spread passes on rows of members that changed: what is first-hand goes over
// all links, what was heard from another daemon to a few of them. A row that a
// daemon knows already changes nothing there and goes no further.
type spread struct{ *Env }

// Tick implements System.
func (s *spread) Tick(_ int64, _ *tables.Mail) {
	fresh := s.World.Members.TakeFresh()
	if len(fresh) == 0 || len(fresh) > spreadMost {
		return
	}
	var all, some []tables.Fresh
	for _, f := range fresh {
		switch {
		case f.Row.VM == s.World.VM:
			all = append(all, f)
		case f.From != nil:
			some = append(some, f)
		case s.Registrar == nil:
			// A reader's news of the platform's list. Where daemons write the
			// list themselves, each reads it at its start.
			all = append(all, f)
		}
	}
	reach := s.someDaemons()
	s.World.Peers.Rows(func(peer *link.Peer, _ *tables.PeerRow) {
		rows := except(peer, all)
		if reach[peer] {
			rows = append(rows, except(peer, some)...)
		}
		send(peer, rows)
	})
}

// someDaemons draws links to a few daemons, one link each.
func (s *spread) someDaemons() map[*link.Peer]bool {
	byVM := map[string]*link.Peer{}
	var names []string
	s.World.Peers.Rows(func(peer *link.Peer, _ *tables.PeerRow) {
		if _, known := byVM[peer.Hello.VM]; !known {
			names = append(names, peer.Hello.VM)
		}
		byVM[peer.Hello.VM] = peer
	})
	rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	out := map[*link.Peer]bool{}
	for _, name := range names[:min(spreadFanout, len(names))] {
		out[byVM[name]] = true
	}
	return out
}

// except are the rows that did not come from a peer.
func except(peer *link.Peer, fresh []tables.Fresh) []wire.Member {
	var rows []wire.Member
	for _, f := range fresh {
		if f.From == nil || f.From.Hello.VM != peer.Hello.VM {
			rows = append(rows, f.Row)
		}
	}
	return rows
}
