package systems

import (
	"github.com/rushramp/rushramp/pkg/link"
	"github.com/rushramp/rushramp/pkg/tables"
	"github.com/rushramp/rushramp/pkg/wire"
)

// spreadMost is how many changed rows are passed on at once. More, as when a
// whole list is new, are left to the comparing of tables, which sends each
// peer only what it lacks.
const spreadMost = 200

// spread passes on rows of members that changed, over all links but the one
// that they came over. A row that a daemon knows already changes nothing there
// and goes no further, so news reaches each daemon once over some of its links.
type spread struct{ *Env }

// Tick implements System.
func (s *spread) Tick(_ int64, _ *tables.Mail) {
	fresh := s.World.Members.TakeFresh()
	if len(fresh) == 0 || len(fresh) > spreadMost {
		return
	}
	s.World.Peers.Rows(func(peer *link.Peer, _ *tables.PeerRow) {
		var rows []wire.Member
		for _, f := range fresh {
			if f.From != peer {
				rows = append(rows, f.Row)
			}
		}
		send(peer, rows)
	})
}
