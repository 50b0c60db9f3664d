package systems

import (
	"cmp"
	"slices"
	"time"

	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/rollout"
	"github.com/rushramp/rushramp/pkg/tables"
	"github.com/rushramp/rushramp/pkg/utils"
	"github.com/rushramp/rushramp/pkg/wire"
)

const (
	// maxWatchers is the number of watchers of a roll-out. Two of them may be down at
	// once.
	maxWatchers = 3
	// writeDelayPerRank is the delay with which a watcher writes a plan that is due,
	// multiplied by its rank, so that watchers of lower rank can write it first. A write
	// to a healthy store takes some 10 ms.
	writeDelayPerRank = 400 * time.Millisecond
	// evaluationInterval is the time between two evaluations of the evidence. Each
	// executor sends four reports a second.
	evaluationInterval = 50 * time.Millisecond
	// unreachableAfter is how long a member must have had no link to this daemon to count
	// as unreachable. Opening links again after a restart takes less.
	unreachableAfter = 1500 * time.Millisecond
)

// rolloutWatcher evaluates the roll-out of this VM's service and writes its plan, if this
// daemon is one of the watchers of the service. Source: docs/design/rollout.md, "Who
// decides".
type rolloutWatcher struct {
	*Env
	tracker *rolloutTracker
	plans   *planRows
	// rank is this daemon's place among the watchers, from 0; -1: it is no watcher.
	rank int
	// evaluatedOrder is the revision of the order that evaluator and reports belong to.
	// reports are the newest ones, by VM.
	evaluatedOrder uint64
	evaluator      *rollout.Evaluator
	reports        map[string]rollout.Report
	// lastLinkedAt is when a VM last had a link with this daemon, in nanoseconds. For a
	// member that never had one, it is just before the member was first seen.
	lastLinkedAt map[string]int64
	// everLinked are the VMs that ever had a link with this daemon.
	everLinked map[string]bool
	// unlinkedAt is when this daemon last had no link to any other member of the service
	// although the service had one.
	unlinkedAt int64
	// orderBegunAt is when this daemon began to evaluate evaluatedOrder, in nanoseconds.
	orderBegunAt int64
	// inFlightPeaks are the recent peaks of requests in flight, by VM.
	inFlightPeaks   map[string]inFlightPeak
	evaluationTimer intervalTimer
	// nextPlanDueSince is since when a plan has been due after the one with revision
	// nextPlanDueAfter; 0: none is due.
	nextPlanDueSince int64
	nextPlanDueAfter uint64
}

func newRolloutWatcher(env *Env, tracker *rolloutTracker) *rolloutWatcher {
	return &rolloutWatcher{
		Env: env, tracker: tracker, plans: newPlanRows(env), rank: -1,
		reports: map[string]rollout.Report{}, lastLinkedAt: map[string]int64{}, everLinked: map[string]bool{}, inFlightPeaks: map[string]inFlightPeak{},
	}
}

// Tick implements System.
func (w *rolloutWatcher) Tick(now int64, mail *tables.Mail) {
	w.plans.applyResults(now, mail.RolloutPlanResults)
	w.plans.readMissingPlans(now)
	if w.PlanStore == nil || w.Backend == nil {
		return
	}
	service := w.Settings.BackendServer.Service
	order, _ := w.World.Rollouts.Order(service)
	plan, _ := w.World.Rollouts.Plan(service)
	if !w.isUnderWay(order, plan) {
		w.World.RolloutWatchers = nil
		w.setRank(-1, order)
		return
	}
	for _, r := range mail.RolloutReports {
		w.recordReport(now, r)
	}
	if !w.evaluationTimer.fires(now, evaluationInterval) {
		return
	}
	w.chooseWatchers(service, order)
	if w.rank < 0 {
		return
	}
	w.beginOrder(now, order, plan)
	w.recordLinks(now)
	w.decide(now, service, order, plan, w.verdict(now, service, order))
}

// isUnderWay reports whether something is left to decide: an order whose roll-out has
// not ended, or the end of a plan whose order was cancelled.
func (w *rolloutWatcher) isUnderWay(order rollout.Order, plan rollout.Plan) bool {
	if order.Revision == 0 {
		return plan.Order > 0 && !plan.Phase.Ended() && w.World.Rollouts.Snapshot().Orders.Revision >= plan.Order
	}
	return order.Revision > plan.Order || order.Revision == plan.Order && !plan.Phase.Ended()
}

// chooseWatchers sets World.RolloutWatchers and the rank of this daemon: the watchers
// are the first reachable members of the service by rendezvous hash.
func (w *rolloutWatcher) chooseWatchers(service string, order rollout.Order) {
	var watchers []*tables.Endpoint
	w.World.Members.EachRowOfService(service, func(row int) {
		endpoint := w.World.Members.Endpoint[row]
		_, unreached := w.World.Unreached[endpoint]
		if !w.World.Members.Leaving(row) && !unreached {
			watchers = append(watchers, endpoint)
		}
	})
	slices.SortFunc(watchers, func(a, b *tables.Endpoint) int {
		return cmp.Compare(utils.RendezvousWeight(service, b.VM), utils.RendezvousWeight(service, a.VM))
	})
	watchers = watchers[:min(len(watchers), maxWatchers)]
	own := slices.IndexFunc(watchers, func(e *tables.Endpoint) bool { return e.VM == w.World.VM })
	w.setRank(own, order)
	if own >= 0 {
		watchers = slices.Delete(watchers, own, own+1)
	}
	w.World.RolloutWatchers = watchers
}

func (w *rolloutWatcher) setRank(rank int, order rollout.Order) {
	if rank == w.rank {
		return
	}
	w.rank = rank
	w.Log.Event(events.RolloutRankChanged, events.F("service", w.Settings.BackendServer.Service), events.F("rank", rank), events.F("order", order.Revision))
}

// beginOrder creates a new evaluator if the order has changed. Earlier reports that were
// sent only to other watchers are not needed: each report holds the totals since the
// order.
func (w *rolloutWatcher) beginOrder(now int64, order rollout.Order, plan rollout.Plan) {
	if w.evaluator != nil && w.evaluatedOrder == order.Revision {
		return
	}
	w.evaluatedOrder, w.evaluator = order.Revision, rollout.NewEvaluator(order)
	w.nextPlanDueSince, w.orderBegunAt = 0, now
	if plan.Order == order.Revision {
		// The roll-out is under way. Its canaries may have links to the other watchers
		// that this daemon does not have yet (mustWaitForLinks).
		w.unlinkedAt = now
	}
	clear(w.reports)
	clear(w.inFlightPeaks)
	w.plans.requireRead()
}

// recordReport passes the report of an executor to the evaluator, unless it is outdated.
func (w *rolloutWatcher) recordReport(now int64, r rollout.Report) {
	if w.evaluator == nil || r.Order != w.evaluatedOrder || r.Service != w.Settings.BackendServer.Service {
		return
	}
	// Process numbers come from clocks, which may be set back. So any other process is
	// taken for the newer one.
	if last := w.reports[r.VM]; r.Process == last.Process && r.Seq <= last.Seq {
		return
	}
	if _, known := w.World.Members.Find(r.VM); !known {
		return
	}
	w.reports[r.VM] = r
	w.inFlightPeaks[r.VM] = w.inFlightPeaks[r.VM].add(now, int(r.InFlight))
	w.evaluator.AddReport(now, r)
}

// verdict returns the verdict of a known stop of the order, else the evaluator's. If the
// evaluator finds the version bad, this daemon sends a stop to all daemons at once, over
// links and not by way of the store.
func (w *rolloutWatcher) verdict(now int64, service string, order rollout.Order) rollout.Verdict {
	if stop, stopped := w.World.Rollouts.Stopped(service); stopped {
		return stop.Verdict()
	}
	verdict := w.evaluator.Verdict(now)
	if stop, bad := verdict.Stop(order); bad && order.Revision > 0 {
		w.tracker.apply(rollout.Update{Stops: []rollout.Stop{stop}}, nil)
	}
	return verdict
}

// decide decides on the next plan, and writes it if one is due. A watcher waits
// writeDelayPerRank for each one of lower rank, and writes the plan only if none of them
// has done so.
func (w *rolloutWatcher) decide(now int64, service string, order rollout.Order, plan rollout.Plan, verdict rollout.Verdict) {
	if !w.plans.ensureRead(now, service) {
		return
	}
	servers := w.servers(now, service, plan)
	next, changed := rollout.Decide(w.plans.storeNow(now), order, plan, verdict, servers, w.RolloutLimits)
	if !changed || w.mustWaitForLinks(now, order, &plan, &next, verdict) {
		w.nextPlanDueSince = 0
		return
	}
	if w.nextPlanDueSince == 0 || w.nextPlanDueAfter != plan.Revision {
		w.nextPlanDueSince, w.nextPlanDueAfter = now, plan.Revision
	}
	if now-w.nextPlanDueSince < int64(w.rank)*int64(writeDelayPerRank) {
		return
	}
	next.Revision = w.plans.baseRevision(plan)
	w.logDecision(next, verdict, servers)
	w.plans.write(next)
}

// servers returns what this daemon knows of the service's backend servers, sorted by VM.
func (w *rolloutWatcher) servers(now int64, service string, plan rollout.Plan) []rollout.Server {
	evacuated := w.World.View.Evacuation()
	var out []rollout.Server
	w.World.Members.EachRowOfService(service, func(row int) {
		m := &w.World.Members.Record[row]
		if m.Version == "" && m.Backend != wire.BackendLive {
			return
		}
		linkedAt, known := w.lastLinkedAt[m.VM]
		isLinked := known && linkedAt == now || m.VM == w.World.VM
		// A link that was reset counts as open for the time that it takes to open again.
		isReached := isLinked || w.everLinked[m.VM] && now-linkedAt <= int64(unreachableAfter)
		report, reported := w.reports[m.VM]
		out = append(out, rollout.Server{
			VM: m.VM, Version: m.Version, Slots: int(m.Slots),
			Ready:         m.State == wire.MemberLive && m.Backend == wire.BackendLive && isReached && !evacuated.Has(m.DataCentre),
			Drained:       reported && isLinked && plan.Revision > 0 && report.Plan == plan.Revision && report.InFlight == 0,
			Unreachable:   !isLinked && now-linkedAt > int64(unreachableAfter),
			PeakBusySlots: w.inFlightPeaks[m.VM].peak(now),
		})
	})
	// Rows come in no particular order. They are sorted so that two watchers with the same
	// information compute the same plan.
	slices.SortFunc(out, func(a, b rollout.Server) int { return cmp.Compare(a.VM, b.VM) })
	return out
}

// logDecision logs a plan that is about to be written, with the figures behind it.
func (w *rolloutWatcher) logDecision(next rollout.Plan, verdict rollout.Verdict, servers []rollout.Server) {
	ready, drained, unreachable, targets := 0, 0, 0, 0
	for _, s := range servers {
		ready += boolToInt(s.Ready)
		drained += boolToInt(s.Drained)
		unreachable += boolToInt(s.Unreachable)
		targets += boolToInt(s.Version == next.Target)
	}
	w.Log.Event(events.RolloutDecided, events.F("service", next.Service), events.F("order", next.Order), events.F("after", next.Revision),
		events.F("phase", next.Phase), events.F("rank", w.rank), events.F("servers", len(servers)), events.F("target_servers", targets),
		events.F("ready", ready), events.F("empty", drained), events.F("lost", unreachable),
		events.F("bad", verdict.Bad), events.F("enough", verdict.EnoughRuns), events.F("evidence", verdict.Cause), events.F("cause", next.Cause))
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
