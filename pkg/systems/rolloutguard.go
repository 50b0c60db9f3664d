package systems

import (
	"slices"
	"time"

	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/link"
	"github.com/rushramp/rushramp/pkg/rollout"
	"github.com/rushramp/rushramp/pkg/tables"
	"github.com/rushramp/rushramp/pkg/wire"
)

const (
	// newVersionHold is how long a backend server of a version that is new to its service
	// gets no requests. Operators order a roll-out once such a backend server is up, and
	// the order arrives over the feed and links within a second.
	newVersionHold = 2 * time.Second
	// reportInterval is the time between two reports to the watchers of a roll-out. A
	// version on trial gets few requests, so more reports would say little more.
	reportInterval = 250 * time.Millisecond
	// unwatchedGrace is how long a backend server on trial runs on without a link to a
	// watcher.
	unwatchedGrace = time.Second
)

// rolloutGuard decides, by the roll-out of the service, which requests the executor of
// this VM's backend server may run, whatever entries send. It also reports the outcomes
// of runs to the watchers of the roll-out (rolloutWatcher).
type rolloutGuard struct {
	*Env
	tracker *rolloutTracker
	watcher *rolloutWatcher
	// admitted is the backend server that was admitted for good: its version is not new
	// to the service. permitted is the one that may run requests now. It is not admitted
	// yet if its version may prove new once all members have reported theirs.
	admitted  backendInstance
	permitted backendInstance
	// firstSeen is when each version of the service was first seen, in nanoseconds.
	// seenChanges is the ServiceChangeCount of the table of members when firstSeen was
	// last updated.
	firstSeen   map[string]int64
	seenChanges uint64
	// current is the backend server that newVersionReason last checked, currentSince is
	// when it first checked that one, in nanoseconds.
	current      backendInstance
	currentSince int64
	// watchedAt is when a watcher last had a link to this daemon, or none was needed.
	watchedAt int64
	// inForce is the guard that was last given to the Enforcer, loggedReason the last
	// logged reason why the executor refuses requests.
	inForce      rollout.Guard
	loggedReason string
	reportTimer  intervalTimer
}

// backendInstance is an incarnation of the backend server, with its version.
type backendInstance struct{ name, version string }

func newRolloutGuard(env *Env, tracker *rolloutTracker, watcher *rolloutWatcher) *rolloutGuard {
	g := &rolloutGuard{Env: env, tracker: tracker, watcher: watcher, firstSeen: map[string]int64{}}
	if env.Enforcer != nil && env.RolloutLimits.StopWithin > 0 {
		g.inForce.BlockReason, g.loggedReason = noBackendSeen, noBackendSeen
		env.Enforcer.SetGuard(&rollout.Guard{BlockReason: noBackendSeen})
	}
	return g
}

// noBackendSeen is the reason why requests are refused as long as this daemon knows no
// process of its VM's backend server.
const noBackendSeen = "no backend server has been seen yet"

// Tick implements System.
func (g *rolloutGuard) Tick(now int64, _ *tables.Mail) {
	if g.Enforcer == nil || g.Backend == nil {
		return
	}
	service := g.Settings.BackendServer.Service
	plan, _ := g.World.Rollouts.Plan(service)
	newVersion := g.newVersionReason(now, service)
	g.backendHeldBack = newVersion != ""
	reason := newVersion
	if reason == "" {
		reason = g.unwatchedReason(now, service)
	}
	g.enforce(rollout.Guard{Traffic: g.World.Rollouts.Traffic(service), Revision: plan.Revision, BlockReason: reason, Instance: g.permitted.name})
	if g.reportTimer.fires(now, reportInterval) {
		g.sendReport(now, service)
	}
}

// enforce gives a changed guard to the Enforcer, and logs a changed reason for refusing
// requests.
func (g *rolloutGuard) enforce(guard rollout.Guard) {
	if guard != g.inForce {
		g.inForce = guard
		g.Enforcer.SetGuard(&guard)
	}
	reason := g.Enforcer.RefusalReason()
	if reason == g.loggedReason {
		return
	}
	g.loggedReason = reason
	g.Log.Event(events.RolloutGuard, events.F("refuses", reason != ""), events.F("why", reason),
		events.F("version", g.Backend.Version()), events.F("revision", guard.Revision), events.F("in_flight", g.requestsInFlight()))
}

// newVersionReason returns why the backend server must not run requests yet: its version
// may be new to the service, and the order for its roll-out may not have been received.
// It returns an empty string if the backend server need not wait, which is also so if the
// service has no backend server of another version, or if a known roll-out concerns its
// version and so decides.
func (g *rolloutGuard) newVersionReason(now int64, service string) string {
	current, _ := g.Backend.Current()
	own := backendInstance{name: current.String(), version: g.Backend.Version()}
	switch {
	case g.RolloutLimits.StopWithin <= 0 || own.name != "" && own == g.admitted:
		g.permitted = g.admitted
		return ""
	case own.name == "":
		return noBackendSeen
	}
	if own != g.current {
		g.current, g.currentSince = own, now
	}
	g.recordVersions(now, service)
	since := g.currentSince
	if first, known := g.firstSeen[own.version]; known && own.version != "" {
		since = min(since, first)
	}
	early := now-since < int64(newVersionHold) && !g.isPartOfRollout(service, own.version)
	if early {
		if g.isOtherVersionLive(service, own.version) {
			return "its version is new to the service, and the order for its roll-out may not have arrived yet"
		}
		if !g.tracker.synced && !g.Settings.Platform.FirstStart {
			return "no other daemon has reported yet which roll-outs there are"
		}
	}
	g.permitted = own
	if !early || !g.areOtherVersionsUnknown(service) {
		g.admitted = own
	}
	return ""
}

// areOtherVersionsUnknown reports whether this daemon knows of no other member of the
// service, or one of them has not reported its version.
func (g *rolloutGuard) areOtherVersionsUnknown(service string) bool {
	others, unknown := 0, false
	g.World.Members.EachRowOfService(service, func(row int) {
		if m := &g.World.Members.Record[row]; m.VM != g.World.VM {
			others++
			unknown = unknown || m.Version == ""
		}
	})
	return others == 0 || unknown
}

// recordVersions records when each version of the service's members was first seen.
func (g *rolloutGuard) recordVersions(now int64, service string) {
	changes := g.World.Members.ServiceChangeCount(service)
	if changes == g.seenChanges {
		return
	}
	g.seenChanges = changes
	g.World.Members.EachRowOfService(service, func(row int) {
		version := g.World.Members.Record[row].Version
		if _, known := g.firstSeen[version]; !known && len(g.firstSeen) < maxVersionsSeen {
			g.firstSeen[version] = now
		}
	})
}

// maxVersionsSeen bounds the number of versions in rolloutGuard.firstSeen.
const maxVersionsSeen = 1000

// isPartOfRollout reports whether a roll-out of the service moves to or from a version.
func (g *rolloutGuard) isPartOfRollout(service, version string) bool {
	order, _ := g.World.Rollouts.Order(service)
	plan, _ := g.World.Rollouts.Plan(service)
	return version != "" && (order.Version == version || plan.Target == version || slices.Contains(plan.Old, version))
}

// isOtherVersionLive reports whether another VM has a live backend server of another
// version of the service.
func (g *rolloutGuard) isOtherVersionLive(service, version string) (found bool) {
	g.World.Members.EachRowOfService(service, func(row int) {
		m := &g.World.Members.Record[row]
		if m.VM != g.World.VM && m.State == wire.MemberLive && m.Backend == wire.BackendLive && m.Version != "" && m.Version != version {
			found = true
		}
	})
	return found
}

// unwatchedReason returns why a backend server on trial must not run requests, or an
// empty string if it may. Without a link, no watcher sees its failures. While the
// roll-out is switching it may run them in any case: the old backend servers refuse
// requests then, so the service would have none left.
func (g *rolloutGuard) unwatchedReason(now int64, service string) string {
	order, _ := g.World.Rollouts.Order(service)
	plan, _ := g.World.Rollouts.Plan(service)
	onTrial := plan.Phase == rollout.Canary && plan.Order == order.Revision && g.Backend.Version() == plan.Target
	if !onTrial || g.isWatched() {
		g.watchedAt = now
		return ""
	}
	if now-g.watchedAt < int64(unwatchedGrace) {
		return ""
	}
	return "this version is on trial, and there is no link to a watcher of its roll-out"
}

// isWatched reports whether a watcher receives this daemon's reports. If this daemon is
// a watcher itself, it needs a link to send a stop to the others.
func (g *rolloutGuard) isWatched() bool {
	if g.watcher.rank >= 0 {
		return g.World.Peers.Len() > 0 || len(g.World.RolloutWatchers) == 0
	}
	return len(g.watcherLinks()) > 0
}

// watcherLinks returns a link to each other watcher that this daemon has one with, by
// VM.
func (g *rolloutGuard) watcherLinks() map[string]*link.Peer {
	out := map[string]*link.Peer{}
	for _, endpoint := range g.World.RolloutWatchers {
		out[endpoint.VM] = nil
	}
	g.World.Peers.EachRow(func(peer *link.Peer, _ *tables.PeerRow) {
		if _, isWatcher := out[peer.Hello.VM]; isWatcher {
			out[peer.Hello.VM] = peer
		}
	})
	for vm, peer := range out {
		if peer == nil {
			delete(out, vm)
		}
	}
	return out
}

// refusesAll reports whether the guard in force lets the backend server run no request.
func (g *rolloutGuard) refusesAll(version string) bool {
	current, _ := g.Backend.Current()
	return g.inForce.RefusalReasonFor(current.String(), version, g.World.VM) != ""
}

// sendReport sends the outcomes of runs and the number of requests in flight to the
// watchers of the roll-out. It is called after enforce: a request that the executor
// accepted under the former guard is in flight by then, so the count includes it.
func (g *rolloutGuard) sendReport(now int64, service string) {
	order, ok := g.World.Rollouts.Order(service)
	plan, _ := g.World.Rollouts.Plan(service)
	version := g.Backend.Version()
	if g.Recorder == nil || version == "" {
		return
	}
	if !ok || plan.Order > order.Revision || plan.Order == order.Revision && plan.Phase.Ended() {
		g.Recorder.Begin(0, version)
		return
	}
	obeyedRevision := uint64(0)
	if plan.Order == order.Revision && (version == plan.Target || g.refusesAll(version)) {
		// A backend server of an old version that runs requests again, as after a stop
		// while switching, does not obey the plan. It must not count as drained, even if
		// nothing is in flight now.
		obeyedRevision = plan.Revision
	}
	g.Recorder.Begin(order.Revision, version)
	report, ok := g.Recorder.Report(obeyedRevision, g.requestsInFlight())
	if !ok {
		return
	}
	if g.watcher.rank >= 0 {
		g.watcher.recordReport(now, report)
	}
	for _, peer := range g.watcherLinks() {
		_ = peer.Send(&wire.RolloutReport{Report: report})
	}
}
