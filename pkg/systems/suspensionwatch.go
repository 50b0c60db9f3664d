package systems

import (
	"time"

	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/link"
	"github.com/rushramp/rushramp/pkg/tables"
)

// suspensionWatch closes the links of a VM that was suspended for longer than a link may be
// silent: its peers have given them up, and their watches here count the steady time
// only, so that a request could wait on one for as long again. Source:
// docs/design/clocks.md.
type suspensionWatch struct {
	*Env
	// seen is what was suspended in all when that was last looked at.
	seen time.Duration
}

// Tick implements System.
func (s *suspensionWatch) Tick(int64, *tables.Mail) {
	total := s.Suspended()
	grown := total - s.seen
	if grown <= 0 {
		return
	}
	s.seen = total
	s.Log.Event(events.VMSuspended, events.F("took", events.Milliseconds(grown)), events.F("total", events.Milliseconds(total)))
	if s.outlastsLinks(grown) {
		s.World.Peers.EachRow(func(peer *link.Peer, _ *tables.PeerRow) { peer.Close() })
	}
}

// outlastsLinks is true for a suspension after which peers have given their links up.
func (s *suspensionWatch) outlastsLinks(took time.Duration) bool {
	return took > s.DialOptions.Pace.Silence()
}
