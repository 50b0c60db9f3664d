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
	// newcomerFor is how long a backend server of a version that its service did not
	// have runs nothing: operators order a roll-out once it stands, and the order comes
	// over the feed and links within a second.
	newcomerFor = 2 * time.Second
	// reportEvery is the time between two reports of an executor under an order. Its
	// requests are few while a version is tried, so that a report more tells little.
	reportEvery = 250 * time.Millisecond
	// unheardFor is how long a backend server on trial goes on without a link to those
	// who judge it.
	unheardFor = time.Second
)

// rolloutGuard holds the backend server beside this daemon to its service's roll-out,
// whatever entries believe, and reports what it sees there.
type rolloutGuard struct {
	*Env
	known *rollouts
	watch *rolloutWatch
	// admitted is the version that was found to be no newcomer, and passed the one that
	// runs requests, though others may still show that it is one.
	admitted instance
	passed   instance
	// seen is when each version of the service was first seen, and at the state of the
	// members seenAt.
	seen   map[string]int64
	seenAt uint64
	// current is what newcomer looked at last, since since.
	current instance
	since   int64
	// heardAt is when there last was a link to a watcher.
	heardAt   int64
	inForce   rollout.Guard
	barred    string
	reportDue intervalTimer
}

// instance is an incarnation of the backend server with its version.
type instance struct{ name, version string }

func newRolloutGuard(env *Env, known *rollouts, watch *rolloutWatch) *rolloutGuard {
	g := &rolloutGuard{Env: env, known: known, watch: watch, seen: map[string]int64{}}
	if env.Trial != nil && env.RolloutLimits.StopWithin > 0 {
		g.inForce.BlockReason, g.barred = notLookedAt, notLookedAt
		env.Trial.SetGuard(&rollout.Guard{BlockReason: notLookedAt})
	}
	return g
}

// notLookedAt is why a backend server runs nothing before it has shown itself.
const notLookedAt = "no backend server was seen yet"

// Tick implements System.
func (g *rolloutGuard) Tick(now int64, _ *tables.Mail) {
	if g.Trial == nil || g.Backend == nil {
		return
	}
	service := g.Settings.BackendServer.Service
	plan, _ := g.World.Rollouts.Plan(service)
	newcomer := g.newcomer(now, service)
	g.backendHeldBack = newcomer != ""
	why := newcomer
	if why == "" {
		why = g.unheard(now, service)
	}
	g.enforce(rollout.Guard{Traffic: g.World.Rollouts.Traffic(service), Revision: plan.Revision, BlockReason: why, Instance: g.passed.name})
	if g.reportDue.fires(now, reportEvery) {
		g.report(now, service)
	}
}

// enforce puts a guard in force where it is another one, and logs what it changes.
func (g *rolloutGuard) enforce(guard rollout.Guard) {
	if guard != g.inForce {
		g.inForce = guard
		g.Trial.SetGuard(&guard)
	}
	barred := g.Trial.RefusalReason()
	if barred == g.barred {
		return
	}
	g.barred = barred
	g.Log.Event(events.RolloutGuard, events.F("refuses", barred != ""), events.F("why", barred),
		events.F("version", g.Backend.Version()), events.F("revision", guard.Revision), events.F("in_flight", g.requestsInFlight()))
}

// newcomer says why the backend server must wait, as its version is new to the service
// and its order may be on its way. It is no newcomer where the service has no backend
// server of another version, nor where a roll-out names it: its traffic decides.
func (g *rolloutGuard) newcomer(now int64, service string) string {
	current, _ := g.Backend.Current()
	own := instance{name: current.String(), version: g.Backend.Version()}
	switch {
	case g.RolloutLimits.StopWithin <= 0 || own.name != "" && own == g.admitted:
		g.passed = g.admitted
		return ""
	case own.name == "":
		return notLookedAt
	}
	if own != g.current {
		g.current, g.since = own, now
	}
	g.noteSeen(now, service)
	since := g.since
	if first, known := g.seen[own.version]; known && own.version != "" {
		since = min(since, first)
	}
	early := now-since < int64(newcomerFor) && !g.isNamed(service, own.version)
	if early {
		if g.othersLive(service, own.version) {
			return "its version is new to the service, and its order may be on its way"
		}
		if !g.known.synced && !g.Settings.Platform.FirstStart {
			return "no other daemon has told yet which roll-outs there are"
		}
	}
	g.passed = own
	if !early || !g.areOthersUnknown(service) {
		g.admitted = own
	}
	return ""
}

// areOthersUnknown is true while this daemon does not know the versions of the service's
// other members: it has heard of none, or one of them has not said its version.
func (g *rolloutGuard) areOthersUnknown(service string) bool {
	others, unknown := 0, false
	g.World.Members.EachRowOfService(service, func(row int) {
		if m := &g.World.Members.Record[row]; m.VM != g.World.VM {
			others++
			unknown = unknown || m.Version == ""
		}
	})
	return others == 0 || unknown
}

// noteSeen notes which versions the service has.
func (g *rolloutGuard) noteSeen(now int64, service string) {
	changes := g.World.Members.ServiceChangeCount(service)
	if changes == g.seenAt {
		return
	}
	g.seenAt = changes
	g.World.Members.EachRowOfService(service, func(row int) {
		version := g.World.Members.Record[row].Version
		if _, known := g.seen[version]; !known && len(g.seen) < mostVersionsSeen {
			g.seen[version] = now
		}
	})
}

// mostVersionsSeen bounds the versions that are remembered; a service has a few.
const mostVersionsSeen = 1000

// isNamed is true for a version that a roll-out of the service moves to or from.
func (g *rolloutGuard) isNamed(service, version string) bool {
	order, _ := g.World.Rollouts.Order(service)
	plan, _ := g.World.Rollouts.Plan(service)
	return version != "" && (order.Version == version || plan.Target == version || slices.Contains(plan.Old, version))
}

// othersLive is true where the service has a live backend server of another version.
func (g *rolloutGuard) othersLive(service, version string) (found bool) {
	g.World.Members.EachRowOfService(service, func(row int) {
		m := &g.World.Members.Record[row]
		if m.VM != g.World.VM && m.State == wire.MemberLive && m.Backend == wire.BackendLive && m.Version != "" && m.Version != version {
			found = true
		}
	})
	return found
}

// unheard says why a backend server on trial must wait: what nobody who judges it
// hears must not run. While all requests are being moved the old backend servers refuse
// them, so that refusing here too would leave the service with none.
func (g *rolloutGuard) unheard(now int64, service string) string {
	order, _ := g.World.Rollouts.Order(service)
	plan, _ := g.World.Rollouts.Plan(service)
	onTrial := plan.Phase == rollout.Canary && plan.Order == order.Revision && g.Backend.Version() == plan.Target
	if !onTrial || g.isHeard() {
		g.heardAt = now
		return ""
	}
	if now-g.heardAt < int64(unheardFor) {
		return ""
	}
	return "this version is on trial, and there is no link to any daemon that judges it"
}

// isHeard is true where a daemon that judges the roll-out hears this one. One that
// judges itself must be able to tell others.
func (g *rolloutGuard) isHeard() bool {
	if g.watch.rank >= 0 {
		return g.World.Peers.Len() > 0 || len(g.World.RolloutWatchers) == 0
	}
	return len(g.watchers()) > 0
}

// watchers returns one link to each daemon that judges the roll-out, but this one.
func (g *rolloutGuard) watchers() map[string]*link.Peer {
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

// bars is true where the guard in force lets the backend server run nothing.
func (g *rolloutGuard) bars(version string) bool {
	current, _ := g.Backend.Current()
	return g.inForce.RefusalReasonFor(current.String(), version, g.World.VM) != ""
}

// report tells those who judge the roll-out what was seen here. The guard in force
// stands before requests in flight are counted, so that none is missed.
func (g *rolloutGuard) report(now int64, service string) {
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
	if plan.Order == order.Revision && (version == plan.Target || g.bars(version)) {
		// One that runs requests again, as after a stop while switching, obeys no plan
		// to run none: it is not empty, whatever is in flight now.
		obeyed = plan.Revision
	}
	g.Recorder.Begin(order.Revision, version)
	report, ok := g.Recorder.Report(obeyed, g.requestsInFlight())
	if !ok {
		return
	}
	if g.watch.rank >= 0 {
		g.watch.note(now, report)
	}
	for _, peer := range g.watchers() {
		_ = peer.Send(&wire.RolloutReport{Report: report})
	}
}
