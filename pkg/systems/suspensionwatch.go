package systems

import (
	"time"

	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/link"
	"github.com/rushramp/rushramp/pkg/tables"
)

// suspensionWatch logs suspensions of the VM, and closes all links after one that was
// longer than a link may be silent. The peers have given up these links, but the liveness
// checks here do not count suspended time, so a request could wait on such a link for as
// long again as a link may be silent. Source: docs/design/clocks.md.
type suspensionWatch struct {
	*Env
	// lastTotal is the total suspended time at the last tick.
	lastTotal time.Duration
}

// Tick implements System.
func (s *suspensionWatch) Tick(int64, *tables.Mail) {
	total := s.Suspended()
	added := total - s.lastTotal
	if added <= 0 {
		return
	}
	s.lastTotal = total
	s.Log.Event(events.VMSuspended, events.F("took", events.Milliseconds(added)), events.F("total", events.Milliseconds(total)))
	if s.outlastsLinks(added) {
		s.World.Peers.EachRow(func(peer *link.Peer, _ *tables.PeerRow) { peer.Close() })
	}
}

// outlastsLinks reports whether peers have given up their links after a suspension of
// this duration.
func (s *suspensionWatch) outlastsLinks(duration time.Duration) bool {
	return duration > s.DialOptions.HeartbeatTiming.SilenceTimeout()
}
