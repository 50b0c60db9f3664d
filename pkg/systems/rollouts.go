package systems

import (
	"slices"
	"strings"
	"time"

	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/link"
	"github.com/rushramp/rushramp/pkg/rollout"
	"github.com/rushramp/rushramp/pkg/tables"
	"github.com/rushramp/rushramp/pkg/utils"
	"github.com/rushramp/rushramp/pkg/wire"
)

// newsResendAfter is how long a peer whose digest stays another one is not sent the same
// news again: it may be of a release that knows no roll-outs.
const newsResendAfter = 2 * time.Second

// rolloutTracker keeps what is known of roll-outs, from the store and from peers, publishes
// it, and passes each change on over all links. Source: docs/design/rollout.md.
type rolloutTracker struct {
	*Env
	// loggedPhases are the phases that stand in the log already, by service, and stopped the
	// orders whose stops do.
	loggedPhases map[string]loggedPhase
	loggedStops  map[string]uint64
	// now is the time of the tick.
	now int64
	// synced is true once a peer knew the same as this daemon.
	synced bool
	// loneVersions is which version is the only one of a service, by service.
	loneVersions map[string]loneVersion
	// startedAt is the time of the first tick.
	startedAt int64
}

// loneVersion is the only version of a service's members, since when.
type loneVersion struct {
	changes uint64
	version string
	since   int64
}

// loneVersionDelay is how long a version must have been the only one before a roll-out bars it
// no more: a daemon that was started anew learns the other ones within that time.
const loneVersionDelay = newVersionHold

type loggedPhase struct {
	order uint64
	phase rollout.Phase
}

func newRolloutTracker(env *Env) *rolloutTracker {
	return &rolloutTracker{Env: env, loggedPhases: map[string]loggedPhase{}, loggedStops: map[string]uint64{}, loneVersions: map[string]loneVersion{}}
}

// Tick implements System.
func (ro *rolloutTracker) Tick(now int64, mail *tables.Mail) {
	ro.now = now
	if ro.startedAt == 0 {
		ro.startedAt = now
	}
	if mail.RolloutOrders != nil {
		ro.takeOrders(*mail.RolloutOrders)
	}
	for _, n := range mail.RolloutNews {
		ro.take(n.News, n.Peer)
	}
	for _, row := range mail.RolloutPlanResults {
		if row.Err == nil && row.Stored.Plan.Revision > 0 {
			ro.take(rollout.Update{Plans: []rollout.Plan{row.Stored.Plan}}, nil)
		}
	}
	for _, e := range mail.LinkEvents {
		if e.Up {
			ro.compare(e.Peer, e.Peer.Hello.State.RolloutsDigest)
		}
	}
	for _, n := range mail.PeerStates {
		ro.compare(n.Peer, n.State.RolloutsDigest)
	}
	ro.updateLoneVersions(now)
}

// updateLoneVersions tells the book which versions are the only ones of their services.
func (ro *rolloutTracker) updateLoneVersions(now int64) {
	changed := false
	for service := range ro.knownServices() {
		changed = ro.World.Rollouts.SetSoleVersion(service, ro.loneVersionOf(now, service)) || changed
	}
	if changed {
		ro.publish()
	}
}

// knownServices are those that an order or a plan is known of, and this daemon's own.
func (ro *rolloutTracker) knownServices() map[string]struct{} {
	out := map[string]struct{}{ro.Settings.BackendServer.Service: {}}
	news := ro.World.Rollouts.Snapshot()
	for i := range news.Orders.List {
		out[news.Orders.List[i].Service] = struct{}{}
	}
	for i := range news.Plans {
		out[news.Plans[i].Service] = struct{}{}
	}
	return out
}

// loneVersionOf is the only version of a service, where it has been for loneFor. Members that
// do not answer count as long as the platform lists them: who is cut off from them must
// not take its own version for the only one.
func (ro *rolloutTracker) loneVersionOf(now int64, service string) string {
	had, known := ro.loneVersions[service]
	changes := ro.World.Members.ServiceChangeCount(service)
	if !known || had.changes != changes {
		version := ro.commonVersion(service)
		if !known || version != had.version {
			had.version, had.since = version, now
		}
		had.changes = changes
		ro.loneVersions[service] = had
	}
	since := had.since
	if service != ro.Settings.BackendServer.Service {
		// Executors hold their own to it; an entry that looks only since the order was
		// written must not refuse requests meanwhile.
		since = ro.startedAt
	}
	if now-since < int64(loneVersionDelay) {
		return ""
	}
	return had.version
}

// commonVersion is the version of all members of a service; empty where they have more
// than one, or one of them has not said it.
func (ro *rolloutTracker) commonVersion(service string) (version string) {
	first, same := true, true
	ro.World.Members.EachRowOfService(service, func(row int) {
		said := ro.World.Members.Record[row].Version
		same = same && (first || said == version)
		version, first = said, false
	})
	if !same {
		return ""
	}
	return version
}

// takeOrders takes over what this daemon read in the store.
func (ro *rolloutTracker) takeOrders(orders rollout.Orders) {
	ro.take(rollout.Update{Orders: orders}, nil)
	if ro.World.Rollouts.Snapshot().Orders.Revision < orders.Revision {
		ro.Log.Event(events.RolloutRefused, events.F("orders", len(orders.List)), events.F("revision", orders.Revision),
			events.F("cause", "more orders than a daemon keeps, or one with a value out of bounds"))
	}
}

// take takes news over and passes on what changed; from is the peer that told it, or
// nil.
func (ro *rolloutTracker) take(news rollout.Update, from *link.Peer) {
	book := ro.World.Rollouts
	before, orders := book.Digest(), book.Snapshot().Orders
	changed := book.Merge(news)
	if book.Digest() == before {
		return
	}
	ro.publish()
	if len(changed) == 0 {
		// The same orders as of a later revision: heartbeats tell.
		return
	}
	for _, service := range changed {
		ro.World.MarkDirty(service)
		ro.logOrder(orders, service, from)
		ro.logStop(service, from)
		ro.logPlan(service, from)
	}
	say := &wire.RolloutNews{Update: onlyOf(book.Snapshot(), changed)}
	ro.World.Peers.EachRow(func(peer *link.Peer, row *tables.PeerRow) {
		// Heartbeats that are on their way show the old digest, and need no answer.
		row.RolloutsSentDigest, row.RolloutsSentAt = book.Digest(), ro.now
		if peer != from {
			_ = peer.Send(say)
		}
	})
}

// onlyOf is the part of news that concerns some services. Orders are one set.
func onlyOf(news rollout.Update, services []string) rollout.Update {
	out := rollout.Update{Orders: news.Orders}
	for i := range news.Plans {
		if slices.Contains(services, news.Plans[i].Service) {
			out.Plans = append(out.Plans, news.Plans[i])
		}
	}
	for _, s := range news.Stops {
		if slices.Contains(services, s.Service) {
			out.Stops = append(out.Stops, s)
		}
	}
	return out
}

// publish gives the hot path, and the heartbeats, what is known now.
func (ro *rolloutTracker) publish() {
	book := ro.World.Rollouts
	known := &tables.RolloutView{Traffic: map[string]*rollout.TrafficPolicy{}}
	news := book.Snapshot()
	if len(news.Orders.List)+len(news.Plans)+len(news.Stops) > 0 {
		known.Digest = book.Digest()
	}
	for _, o := range news.Orders.List {
		known.Traffic[o.Service] = book.Traffic(o.Service)
	}
	for i := range news.Plans {
		service := news.Plans[i].Service
		known.Traffic[service] = book.Traffic(service)
	}
	ro.World.View.SetRollouts(known)
}

// compare sends a peer that knows something else all that is known here. One that
// knows more does the same.
func (ro *rolloutTracker) compare(peer *link.Peer, theirs uint64) {
	own := ro.World.View.RolloutDigest()
	if theirs == own {
		ro.synced = true
		return
	}
	if own == 0 {
		return
	}
	row := ro.World.Peers.GetOrAdd(peer)
	if row.RolloutsSentDigest == own && ro.now-row.RolloutsSentAt < int64(newsResendAfter) {
		return
	}
	row.RolloutsSentDigest, row.RolloutsSentAt = own, ro.now
	_ = peer.Send(&wire.RolloutNews{Update: ro.World.Rollouts.Snapshot()})
}

func (ro *rolloutTracker) logOrder(before rollout.Orders, service string, from *link.Peer) {
	old, _ := before.Of(service)
	order, _ := ro.World.Rollouts.Order(service)
	if old == order {
		return
	}
	ro.Log.Event(events.RolloutOrdered, events.F("service", service), events.F("version", order.Version),
		events.F("order", order.Revision), events.F("duration", order.Duration), events.F("from", nameOf(from)))
}

// logStop writes one line a stop.
func (ro *rolloutTracker) logStop(service string, from *link.Peer) {
	stop, ok := ro.World.Rollouts.Stopped(service)
	if !ok || ro.loggedStops[service] == stop.Order {
		return
	}
	ro.loggedStops[service] = stop.Order
	ro.Log.Event(events.RolloutStopped, events.F("service", service), events.F("order", stop.Order), events.F("cause", stop.Cause), events.F("from", nameOf(from)))
}

// logPlan writes one line a phase.
func (ro *rolloutTracker) logPlan(service string, from *link.Peer) {
	plan, ok := ro.World.Rollouts.Plan(service)
	if !ok {
		return
	}
	now := loggedPhase{order: plan.Order, phase: plan.Phase}
	if had, known := ro.loggedPhases[service]; known && had == now {
		return
	}
	ro.loggedPhases[service] = now
	ro.Metrics.GetOrCreateGauge(`rushramp_rollout_phase{service="`+utils.Label(service)+`"}`, nil).Set(float64(plan.Phase))
	ro.Log.Event(events.RolloutPhase, events.F("service", service), events.F("phase", plan.Phase), events.F("version", plan.Target),
		events.F("old", strings.Join(plan.Old, ",")), events.F("order", plan.Order), events.F("revision", plan.Revision),
		events.F("canaries", strings.Join(plan.Canaries, ",")), events.F("per_mille", plan.PerMille),
		events.F("since", plan.Since), events.F("deadline", plan.Deadline), events.F("cause", plan.Cause), events.F("from", nameOf(from)))
}

// nameOf is the VM of a peer in a log line; empty for what this daemon read in the
// store, or has told itself.
func nameOf(peer *link.Peer) string {
	if peer == nil {
		return ""
	}
	return peer.Hello.VM
}
