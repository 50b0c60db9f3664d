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
	// newVersionHold is how long a backend server of a version that its service did not
	// have runs nothing: operators order a roll-out once it stands, and the order comes
	// over the feed and links within a second.
	newVersionHold = 2 * time.Second
	// reportInterval is the time between two reports of an executor under an order. Its
	// requests are few while a version is tried, so that a report more tells little.
	reportInterval = 250 * time.Millisecond
	// unwatchedGrace is how long a backend server on trial goes on without a link to those
	// who judge it.
	unwatchedGrace = time.Second
)

// rolloutGuard holds the backend server beside this daemon to its service's roll-out,
// whatever entries believe, and reports what it sees there.
type rolloutGuard struct {
	*Env
	tracker *rolloutTracker
	watcher *rolloutWatcher
	// admitted is the version that was found to be no newcomer, and passed the one that
	// runs requests, though others may still show that it is one.
	admitted backendInstance
	passed   backendInstance
	// firstSeen is when each version of the service was first firstSeen, and at the state of the
	// members seenAt.
	firstSeen   map[string]int64
	seenChanges uint64
	// current is what newcomer looked at last, since since.
	current      backendInstance
	currentSince int64
	// watchedAt is when there last was a link to a watcher.
	watchedAt    int64
	inForce      rollout.Guard
	loggedReason string
	reportDue    intervalTimer
}

// backendInstance is an incarnation of the backend server with its version.
type backendInstance struct{ name, version string }

func newRolloutGuard(env *Env, known *rolloutTracker, watch *rolloutWatcher) *rolloutGuard {
	g := &rolloutGuard{Env: env, tracker: known, watcher: watch, firstSeen: map[string]int64{}}
	if env.Trial != nil && env.RolloutLimits.StopWithin > 0 {
		g.inForce.BlockReason, g.loggedReason = noBackendSeen, noBackendSeen
		env.Trial.SetGuard(&rollout.Guard{BlockReason: noBackendSeen})
	}
	return g
}

// noBackendSeen is why a backend server runs nothing before it has shown itself.
const noBackendSeen = "no backend server was seen yet"

// Tick implements System.
func (g *rolloutGuard) Tick(now int64, _ *tables.Mail) {
	if g.Trial == nil || g.Backend == nil {
		return
	}
	service := g.Settings.BackendServer.Service
	plan, _ := g.World.Rollouts.Plan(service)
	newcomer := g.newVersionReason(now, service)
	g.backendHeldBack = newcomer != ""
	why := newcomer
	if why == "" {
		why = g.unwatchedReason(now, service)
	}
	g.enforce(rollout.Guard{Traffic: g.World.Rollouts.Traffic(service), Revision: plan.Revision, BlockReason: why, Instance: g.passed.name})
	if g.reportDue.fires(now, reportInterval) {
		g.sendReport(now, service)
	}
}

// enforce puts a guard in force where it is another one, and logs what it changes.
func (g *rolloutGuard) enforce(guard rollout.Guard) {
	if guard != g.inForce {
		g.inForce = guard
		g.Trial.SetGuard(&guard)
	}
	barred := g.Trial.RefusalReason()
	if barred == g.loggedReason {
		return
	}
	g.loggedReason = barred
	g.Log.Event(events.RolloutGuard, events.F("refuses", barred != ""), events.F("why", barred),
		events.F("version", g.Backend.Version()), events.F("revision", guard.Revision), events.F("in_flight", g.requestsInFlight()))
}

// newVersionReason says why the backend server must wait, as its version is new to the service
// and its order may be on its way. It is no newVersionReason where the service has no backend
// server of another version, nor where a roll-out names it: its traffic decides.
func (g *rolloutGuard) newVersionReason(now int64, service string) string {
	current, _ := g.Backend.Current()
	own := backendInstance{name: current.String(), version: g.Backend.Version()}
	switch {
	case g.RolloutLimits.StopWithin <= 0 || own.name != "" && own == g.admitted:
		g.passed = g.admitted
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
			return "its version is new to the service, and its order may be on its way"
		}
		if !g.tracker.synced && !g.Settings.Platform.FirstStart {
			return "no other daemon has told yet which roll-outs there are"
		}
	}
	g.passed = own
	if !early || !g.areOtherVersionsUnknown(service) {
		g.admitted = own
	}
	return ""
}

// areOtherVersionsUnknown is true while this daemon does not know the versions of the service's
// other members: it has heard of none, or one of them has not said its version.
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

// recordVersions notes which versions the service has.
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

// maxVersionsSeen bounds the versions that are remembered; a service has a few.
const maxVersionsSeen = 1000

// isPartOfRollout is true for a version that a roll-out of the service moves to or from.
func (g *rolloutGuard) isPartOfRollout(service, version string) bool {
	order, _ := g.World.Rollouts.Order(service)
	plan, _ := g.World.Rollouts.Plan(service)
	return version != "" && (order.Version == version || plan.Target == version || slices.Contains(plan.Old, version))
}

// isOtherVersionLive is true where the service has a live backend server of another version.
func (g *rolloutGuard) isOtherVersionLive(service, version string) (found bool) {
	g.World.Members.EachRowOfService(service, func(row int) {
		m := &g.World.Members.Record[row]
		if m.VM != g.World.VM && m.State == wire.MemberLive && m.Backend == wire.BackendLive && m.Version != "" && m.Version != version {
			found = true
		}
	})
	return found
}

// unwatchedReason says why a backend server on trial must wait: what nobody who judges it
// hears must not run. While all requests are being moved the old backend servers refuse
// them, so that refusing here too would leave the service with none.
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
	return "this version is on trial, and there is no link to any daemon that judges it"
}

// isWatched is true where a daemon that judges the roll-out hears this one. One that
// judges itself must be able to tell others.
func (g *rolloutGuard) isWatched() bool {
	if g.watcher.rank >= 0 {
		return g.World.Peers.Len() > 0 || len(g.World.RolloutWatchers) == 0
	}
	return len(g.watcherLinks()) > 0
}

// watcherLinks returns one link to each daemon that judges the roll-out, but this one.
func (g *rolloutGuard) watcherLinks() map[string]*link.Peer {
	out := map[string]*link.Peer{}
	for _, route := range g.World.RolloutWatchers {
		out[route.VM] = nil
	}
	g.World.Peers.EachRow(func(peer *link.Peer, _ *tables.PeerRow) {
		if _, is := out[peer.Hello.VM]; is {
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

// barsAll is true where the guard in force lets the backend server run nothing.
func (g *rolloutGuard) barsAll(version string) bool {
	current, _ := g.Backend.Current()
	return g.inForce.RefusalReasonFor(current.String(), version, g.World.VM) != ""
}

// sendReport tells those who judge the roll-out what was seen here. The guard in force
// stands before requests in flight are counted, so that none is missed.
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
	obeyed := uint64(0)
	if plan.Order == order.Revision && (version == plan.Target || g.barsAll(version)) {
		// One that runs requests again, as after a stop while switching, obeys no plan
		// to run none: it is not empty, whatever is in flight now.
		obeyed = plan.Revision
	}
	g.Recorder.Begin(order.Revision, version)
	report, ok := g.Recorder.Report(obeyed, g.requestsInFlight())
	if !ok {
		return
	}
	if g.watcher.rank >= 0 {
		g.watcher.note(now, report)
	}
	for _, peer := range g.watcherLinks() {
		_ = peer.Send(&wire.RolloutReport{Report: report})
	}
}
