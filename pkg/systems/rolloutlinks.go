package systems

import (
	"time"

	"github.com/rushramp/rushramp/pkg/link"
	"github.com/rushramp/rushramp/pkg/rollout"
	"github.com/rushramp/rushramp/pkg/tables"
)

// linkSettleTime is how long a watcher must have had links with others of the service
// before it decides: greetings with versions come over all of them within a tenth of
// that, and links that were reset stand again.
const linkSettleTime = time.Second

// recordLinks notes which daemons have a link with this one.
func (w *rolloutWatcher) recordLinks(now int64) {
	w.World.Peers.EachRow(func(peer *link.Peer, _ *tables.PeerRow) {
		w.linkedAt[peer.Hello.VM], w.wasLinked[peer.Hello.VM] = now, true
	})
	others, linked := false, false
	w.World.Members.EachRowOfService(w.Settings.BackendServer.Service, func(row int) {
		vm := w.World.Members.Record[row].VM
		others = others || vm != w.World.VM
		linked = linked || vm != w.World.VM && w.wasLinked[vm] && w.linkedAt[vm] == now
		if _, known := w.linkedAt[vm]; !known {
			// It has the same time to open a link as one that had one.
			w.linkedAt[vm] = now - 1
		}
	})
	if others && !linked {
		w.blindAt = now
	}
}

// mustWaitForLinks is true for a decision that only tells that this watcher's own links do not
// stand, as after a restart or a cut: another watcher sees more, and decides. A finding
// and an order taken away need no links, nor does the deadline, at which a roll-out must
// end whoever is left; the first plan of an order and the first canaries do no harm, but
// where versions are still to come.
func (w *rolloutWatcher) mustWaitForLinks(now int64, order rollout.Order, plan, next *rollout.Plan, verdict rollout.Verdict) bool {
	switch {
	case order.Revision == 0 || verdict.Bad:
		return false
	case plan.Phase == rollout.Waiting && next.Phase == rollout.Canary:
		return false
	case plan.Order == order.Revision && plan.Phase < rollout.Switching && next.Phase == rollout.RolledBack:
		// Its time is over, whatever stands where.
		return false
	case order.Revision > plan.Order:
		return len(next.Old) == 0 && w.hasUnknownVersion() && now-w.begunAt < int64(linkSettleTime)
	}
	return now-w.blindAt < int64(linkSettleTime) && w.rows.storeNow(now) < plan.Deadline
}

// hasUnknownVersion is true where a member of the service has not said its version.
func (w *rolloutWatcher) hasUnknownVersion() (unknown bool) {
	w.World.Members.EachRowOfService(w.Settings.BackendServer.Service, func(row int) {
		unknown = unknown || w.World.Members.Record[row].Version == ""
	})
	return unknown
}
