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

// updateResendAfter is the least time before all that is known of roll-outs is sent again
// to a peer whose digest remains different, for instance because it runs a release that
// does not support roll-outs.
const updateResendAfter = 2 * time.Second

// rolloutTracker keeps what is known of roll-outs (World.Rollouts) up to date from the
// store and from peers, publishes it, and sends each change over all links. Source:
// docs/design/rollout.md.
type rolloutTracker struct {
	*Env
	// loggedPhases are the last logged phases, by service. loggedStops are the orders
	// whose stops were logged, by service.
	loggedPhases map[string]loggedPhase
	loggedStops  map[string]uint64
	// now is the time of the current tick, in nanoseconds.
	now int64
	// synced is true once a peer had the same digest as this daemon.
	synced bool
	// soleVersions caches which version is the only one of a service, by service.
	soleVersions map[string]soleVersion
	// startedAt is the time of the first tick, in nanoseconds.
	startedAt int64
}

// soleVersion is the only version of a service's members; version is empty if there are
// several or one is not known. since is when that was first seen, in nanoseconds. changes
// is the service's change count in the table of members when version was computed.
type soleVersion struct {
	changes uint64
	version string
	since   int64
}

// soleVersionDelay is how long a version must have been the only one of its service
// before a roll-out no longer excludes it. A daemon that has just started learns of the
// other versions within that time.
const soleVersionDelay = newVersionHold

// loggedPhase is a phase of the roll-out that an order started.
type loggedPhase struct {
	order uint64
	phase rollout.Phase
}

func newRolloutTracker(env *Env) *rolloutTracker {
	return &rolloutTracker{Env: env, loggedPhases: map[string]loggedPhase{}, loggedStops: map[string]uint64{}, soleVersions: map[string]soleVersion{}}
}

// Tick implements System.
func (ro *rolloutTracker) Tick(now int64, mail *tables.Mail) {
	ro.now = now
	if ro.startedAt == 0 {
		ro.startedAt = now
	}
	if mail.RolloutOrders != nil {
		ro.applyOrders(*mail.RolloutOrders)
	}
	for _, received := range mail.RolloutUpdates {
		ro.apply(received.Update, received.Peer)
	}
	for _, result := range mail.RolloutPlanResults {
		if result.Err == nil && result.Stored.Plan.Revision > 0 {
			ro.apply(rollout.Update{Plans: []rollout.Plan{result.Stored.Plan}}, nil)
		}
	}
	for _, e := range mail.LinkEvents {
		if e.Up {
			ro.syncWithPeer(e.Peer, e.Peer.Hello.State.RolloutsDigest)
		}
	}
	for _, received := range mail.PeerStates {
		ro.syncWithPeer(received.Peer, received.State.RolloutsDigest)
	}
	ro.updateSoleVersions(now)
}

// updateSoleVersions updates in World.Rollouts which versions are the only ones of their
// services.
func (ro *rolloutTracker) updateSoleVersions(now int64) {
	changed := false
	for service := range ro.knownServices() {
		changed = ro.World.Rollouts.SetSoleVersion(service, ro.soleVersionOf(now, service)) || changed
	}
	if changed {
		ro.publish()
	}
}

// knownServices returns the services that have an order or a plan, and this VM's own.
func (ro *rolloutTracker) knownServices() map[string]struct{} {
	out := map[string]struct{}{ro.Settings.BackendServer.Service: {}}
	snapshot := ro.World.Rollouts.Snapshot()
	for i := range snapshot.Orders.List {
		out[snapshot.Orders.List[i].Service] = struct{}{}
	}
	for i := range snapshot.Plans {
		out[snapshot.Plans[i].Service] = struct{}{}
	}
	return out
}

// soleVersionOf returns the version that has been the only one of a service for
// soleVersionDelay, or empty. Unreachable members count as long as the platform lists
// them: a daemon that is cut off from them must not take its own version for the only
// one.
func (ro *rolloutTracker) soleVersionOf(now int64, service string) string {
	sole, known := ro.soleVersions[service]
	changes := ro.World.Members.ServiceChangeCount(service)
	if !known || sole.changes != changes {
		version := ro.commonVersion(service)
		if !known || version != sole.version {
			sole.version, sole.since = version, now
		}
		sole.changes = changes
		ro.soleVersions[service] = sole
	}
	since := sole.since
	if service != ro.Settings.BackendServer.Service {
		// This daemon is only an entry for another service, and tracks the versions of
		// that service only once there is an order for it. It must not refuse requests
		// during the delay, so the delay counts from this daemon's start. The executors
		// of the service enforce the whole delay.
		since = ro.startedAt
	}
	if now-since < int64(soleVersionDelay) {
		return ""
	}
	return sole.version
}

// commonVersion returns the version of all members of a service, or empty if they have
// several versions or one is not known.
func (ro *rolloutTracker) commonVersion(service string) (version string) {
	first, same := true, true
	ro.World.Members.EachRowOfService(service, func(row int) {
		next := ro.World.Members.Record[row].Version
		same = same && (first || next == version)
		version, first = next, false
	})
	if !same {
		return ""
	}
	return version
}

// applyOrders applies a set of orders that was read from the store, and logs if it is
// refused.
func (ro *rolloutTracker) applyOrders(orders rollout.Orders) {
	ro.apply(rollout.Update{Orders: orders}, nil)
	if ro.World.Rollouts.Snapshot().Orders.Revision < orders.Revision {
		ro.Log.Event(events.RolloutRefused, events.F("orders", len(orders.List)), events.F("revision", orders.Revision),
			events.F("cause", "more orders than a daemon keeps, or one with a value out of bounds"))
	}
}

// apply merges an update into World.Rollouts, publishes the result, and sends what
// changed to the peers. from is the peer that sent the update, or nil.
func (ro *rolloutTracker) apply(update rollout.Update, from *link.Peer) {
	replica := ro.World.Rollouts
	digest, oldOrders := replica.Digest(), replica.Snapshot().Orders
	changed := replica.Merge(update)
	if replica.Digest() == digest {
		return
	}
	ro.publish()
	if len(changed) == 0 {
		// Only the revision of the set of orders changed. Peers notice by the digest in
		// the next heartbeat.
		return
	}
	for _, service := range changed {
		ro.World.MarkDirty(service)
		ro.logOrder(oldOrders, service, from)
		ro.logStop(service, from)
		ro.logPlan(service, from)
	}
	frame := &wire.RolloutNews{Update: updateFor(replica.Snapshot(), changed)}
	ro.World.Peers.EachRow(func(peer *link.Peer, row *tables.PeerRow) {
		// Heartbeats that are on their way still have the old digest. They must not cause
		// another transfer.
		row.RolloutsSentDigest, row.RolloutsSentAt = replica.Digest(), ro.now
		if peer != from {
			_ = peer.Send(frame)
		}
	})
}

// updateFor returns the part of a snapshot that concerns some services: their plans and
// stops, and the whole set of orders, since orders are exchanged as one set.
func updateFor(snapshot rollout.Update, services []string) rollout.Update {
	out := rollout.Update{Orders: snapshot.Orders}
	for i := range snapshot.Plans {
		if slices.Contains(services, snapshot.Plans[i].Service) {
			out.Plans = append(out.Plans, snapshot.Plans[i])
		}
	}
	for _, s := range snapshot.Stops {
		if slices.Contains(services, s.Service) {
			out.Stops = append(out.Stops, s)
		}
	}
	return out
}

// publish publishes the traffic rules of all roll-outs for the handling of requests, and
// the digest for heartbeats.
func (ro *rolloutTracker) publish() {
	replica := ro.World.Rollouts
	view := &tables.RolloutView{Traffic: map[string]*rollout.TrafficPolicy{}}
	snapshot := replica.Snapshot()
	if len(snapshot.Orders.List)+len(snapshot.Plans)+len(snapshot.Stops) > 0 {
		view.Digest = replica.Digest()
	}
	for _, o := range snapshot.Orders.List {
		view.Traffic[o.Service] = replica.Traffic(o.Service)
	}
	for i := range snapshot.Plans {
		service := snapshot.Plans[i].Service
		view.Traffic[service] = replica.Traffic(service)
	}
	ro.World.View.SetRollouts(view)
}

// syncWithPeer sends a peer all that is known of roll-outs if its digest is different.
// The peer does the same, so that both end up with the newer parts.
func (ro *rolloutTracker) syncWithPeer(peer *link.Peer, theirDigest uint64) {
	own := ro.World.View.RolloutDigest()
	if theirDigest == own {
		ro.synced = true
		return
	}
	if own == 0 {
		return
	}
	row := ro.World.Peers.GetOrAdd(peer)
	if row.RolloutsSentDigest == own && ro.now-row.RolloutsSentAt < int64(updateResendAfter) {
		return
	}
	row.RolloutsSentDigest, row.RolloutsSentAt = own, ro.now
	_ = peer.Send(&wire.RolloutNews{Update: ro.World.Rollouts.Snapshot()})
}

// logOrder logs a service's order if it differs from the one in old.
func (ro *rolloutTracker) logOrder(old rollout.Orders, service string, from *link.Peer) {
	oldOrder, _ := old.Of(service)
	order, _ := ro.World.Rollouts.Order(service)
	if oldOrder == order {
		return
	}
	ro.Log.Event(events.RolloutOrderChanged, events.F("service", service), events.F("version", order.Version),
		events.F("order", order.Revision), events.F("duration", order.Duration), events.F("from", peerVM(from)))
}

// logStop logs each stop once.
func (ro *rolloutTracker) logStop(service string, from *link.Peer) {
	stop, ok := ro.World.Rollouts.Stopped(service)
	if !ok || ro.loggedStops[service] == stop.Order {
		return
	}
	ro.loggedStops[service] = stop.Order
	ro.Log.Event(events.RolloutStopped, events.F("service", service), events.F("order", stop.Order), events.F("cause", stop.Cause), events.F("from", peerVM(from)))
}

// logPlan logs each phase once, and sets the phase in the metrics.
func (ro *rolloutTracker) logPlan(service string, from *link.Peer) {
	plan, ok := ro.World.Rollouts.Plan(service)
	if !ok {
		return
	}
	phase := loggedPhase{order: plan.Order, phase: plan.Phase}
	if last, known := ro.loggedPhases[service]; known && last == phase {
		return
	}
	ro.loggedPhases[service] = phase
	ro.Metrics.GetOrCreateGauge(`rushramp_rollout_phase{service="`+utils.Label(service)+`"}`, nil).Set(float64(plan.Phase))
	ro.Log.Event(events.RolloutPhase, events.F("service", service), events.F("phase", plan.Phase), events.F("version", plan.Target),
		events.F("old", strings.Join(plan.Old, ",")), events.F("order", plan.Order), events.F("revision", plan.Revision),
		events.F("canaries", strings.Join(plan.Canaries, ",")), events.F("per_mille", plan.PerMille),
		events.F("since", plan.Since), events.F("deadline", plan.Deadline), events.F("cause", plan.Cause), events.F("from", peerVM(from)))
}

// peerVM returns the VM of a peer for a log field; empty for nil, which stands for the
// store or this daemon itself.
func peerVM(peer *link.Peer) string {
	if peer == nil {
		return ""
	}
	return peer.Hello.VM
}
