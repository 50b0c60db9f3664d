package systems

import (
	"time"

	"github.com/rushramp/rushramp/pkg/link"
	"github.com/rushramp/rushramp/pkg/rollout"
	"github.com/rushramp/rushramp/pkg/tables"
)

// linkSettleTime is how long a watcher must have had links to other members of the
// service before it may decide. Within a tenth of that time it receives the versions of
// those members over its links, and links that were reset are open again.
const linkSettleTime = time.Second

// recordLinks records which VMs have a link with this daemon now.
func (w *rolloutWatcher) recordLinks(now int64) {
	w.World.Peers.EachRow(func(peer *link.Peer, _ *tables.PeerRow) {
		w.lastLinkedAt[peer.Hello.VM], w.everLinked[peer.Hello.VM] = now, true
	})
	hasOthers, isLinked := false, false
	w.World.Members.EachRowOfService(w.Settings.BackendServer.Service, func(row int) {
		vm := w.World.Members.Record[row].VM
		hasOthers = hasOthers || vm != w.World.VM
		isLinked = isLinked || vm != w.World.VM && w.everLinked[vm] && w.lastLinkedAt[vm] == now
		if _, known := w.lastLinkedAt[vm]; !known {
			// A new member has as much time to open a link as one whose link just ended.
			w.lastLinkedAt[vm] = now - 1
		}
	})
	if hasOthers && !isLinked {
		w.unlinkedAt = now
	}
}

// mustWaitForLinks reports whether this watcher must wait for links before it writes
// the plan next. It may have decided on next only because its own links are not open, as
// after a restart or while it is cut off; a watcher with links then decides instead.
// Some decisions need no links:
//   - A finding against the version, and the cancellation of an order.
//   - The first canaries, which do no harm.
//   - The first plan for an order, unless old versions may be missing in it since
//     members have not reported theirs yet.
//   - All decisions from the deadline on, since a roll-out must end by then.
func (w *rolloutWatcher) mustWaitForLinks(now int64, order rollout.Order, plan, next *rollout.Plan, verdict rollout.Verdict) bool {
	switch {
	case order.Revision == 0 || verdict.Bad:
		return false
	case plan.Phase == rollout.Waiting && next.Phase == rollout.Canary:
		return false
	case plan.Order == order.Revision && plan.Phase < rollout.Switching && next.Phase == rollout.RolledBack:
		// The time for the trial is over, whatever the state of the backend servers.
		return false
	case order.Revision > plan.Order:
		return len(next.Old) == 0 && w.hasUnknownVersion() && now-w.orderBegunAt < int64(linkSettleTime)
	}
	return now-w.unlinkedAt < int64(linkSettleTime) && w.plans.storeNow(now) < plan.Deadline
}

// hasUnknownVersion reports whether a member of the service has not reported its
// version.
func (w *rolloutWatcher) hasUnknownVersion() (unknown bool) {
	w.World.Members.EachRowOfService(w.Settings.BackendServer.Service, func(row int) {
		unknown = unknown || w.World.Members.Record[row].Version == ""
	})
	return unknown
}
