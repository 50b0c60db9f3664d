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
	// watchersMost is how many daemons judge a roll-out: two may be gone at once.
	watchersMost = 3
	// rankStep is how much longer than was due a plan must have stood still for the
	// next watcher to write it. A write takes some 10 ms of a store that is well.
	rankStep = 400 * time.Millisecond
	// judgeEvery is the time between two looks at the evidence: a report comes four
	// times a second from each executor.
	judgeEvery = 50 * time.Millisecond
	// lostAfter is how long there must have been no link to a daemon for it to count
	// as lost: longer than a restart takes to open links again.
	lostAfter = 1500 * time.Millisecond
)

// rolloutWatcher judges the roll-out of this VM's service where this daemon is one of
// those that do, and writes its plan. Source: docs/design/rollout.md, "Who decides".
type rolloutWatcher struct {
	*Env
	known *rolloutTracker
	rows  *planRows
	// rank is this daemon's place among the watchers; -1: it is none.
	rank int
	// order is the revision that judge and reports belong to.
	order   uint64
	judge   *rollout.Evaluator
	reports map[string]rollout.Report
	// linkedAt is when there last was a link to a VM of the service.
	linkedAt map[string]int64
	// wasLinked are the VMs that there ever was a link to.
	wasLinked map[string]bool
	// blindAt is when there last was no link to another VM of the service, while there
	// are others.
	blindAt int64
	// begunAt is when order began here.
	begunAt int64
	// busy is how many requests were in flight at each VM of late.
	busy     map[string]busy
	judgeDue intervalTimer
	// dueSince is since when another plan is due after the one of revision dueAfter.
	dueSince int64
	dueAfter uint64
}

func newRolloutWatcher(env *Env, known *rolloutTracker) *rolloutWatcher {
	return &rolloutWatcher{
		Env: env, known: known, rows: newPlanRows(env), rank: -1,
		reports: map[string]rollout.Report{}, linkedAt: map[string]int64{}, wasLinked: map[string]bool{}, busy: map[string]busy{},
	}
}

// Tick implements System.
func (w *rolloutWatcher) Tick(now int64, mail *tables.Mail) {
	w.rows.take(now, mail.RolloutPlanResults)
	w.rows.readUnplanned(now)
	if w.Rollouts == nil || w.Backend == nil {
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
		w.note(now, r)
	}
	if !w.judgeDue.fires(now, judgeEvery) {
		return
	}
	w.choose(service, order)
	if w.rank < 0 {
		return
	}
	w.begin(now, order, plan)
	w.recordLinks(now)
	w.decide(now, service, order, plan, w.verdict(now, service, order))
}

// isUnderWay is true while something is left to decide: an order that has not ended, or
// a plan whose order was taken away.
func (w *rolloutWatcher) isUnderWay(order rollout.Order, plan rollout.Plan) bool {
	if order.Revision == 0 {
		return plan.Order > 0 && !plan.Phase.Ended() && w.World.Rollouts.Snapshot().Orders.Revision >= plan.Order
	}
	return order.Revision > plan.Order || order.Revision == plan.Order && !plan.Phase.Ended()
}

// choose works out who judges, in their order.
func (w *rolloutWatcher) choose(service string, order rollout.Order) {
	var all []*tables.Endpoint
	w.World.Members.EachRowOfService(service, func(row int) {
		route := w.World.Members.Endpoint[row]
		_, unreached := w.World.Unreached[route]
		if !w.World.Members.Leaving(row) && !unreached {
			all = append(all, route)
		}
	})
	slices.SortFunc(all, func(a, b *tables.Endpoint) int {
		return cmp.Compare(utils.Rendezvous(service, b.VM), utils.Rendezvous(service, a.VM))
	})
	all = all[:min(len(all), watchersMost)]
	own := slices.IndexFunc(all, func(r *tables.Endpoint) bool { return r.VM == w.World.VM })
	w.setRank(own, order)
	if own >= 0 {
		all = slices.Delete(all, own, own+1)
	}
	w.World.RolloutWatchers = all
}

func (w *rolloutWatcher) setRank(rank int, order rollout.Order) {
	if rank == w.rank {
		return
	}
	w.rank = rank
	w.Log.Event(events.RolloutWatch, events.F("service", w.Settings.BackendServer.Service), events.F("rank", rank), events.F("order", order.Revision))
}

// begin begins anew for another order. What was reported of it before this daemon was
// a watcher is lost, but counts are sums since the order.
func (w *rolloutWatcher) begin(now int64, order rollout.Order, plan rollout.Plan) {
	if w.judge != nil && w.order == order.Revision {
		return
	}
	w.order, w.judge = order.Revision, rollout.NewEvaluator(order)
	w.dueSince, w.begunAt = 0, now
	if plan.Order == order.Revision {
		// It goes on from where others are: what it does not see yet may stand.
		w.blindAt = now
	}
	clear(w.reports)
	clear(w.busy)
	w.rows.forget()
}

// note takes a report over.
func (w *rolloutWatcher) note(now int64, r rollout.Report) {
	if w.judge == nil || r.Order != w.order || r.Service != w.Settings.BackendServer.Service {
		return
	}
	// Clocks step: which of two processes is the newer one, their numbers do not tell.
	if old := w.reports[r.VM]; r.Process == old.Process && r.Seq <= old.Seq {
		return
	}
	if _, known := w.World.Members.Find(r.VM); !known {
		return
	}
	w.reports[r.VM] = r
	w.busy[r.VM] = w.busy[r.VM].with(now, int(r.InFlight))
	w.judge.AddReport(now, r)
}

// verdict is what the evidence says, or the stop that another one has told. One of its
// own goes to all daemons at once: it needs no store.
func (w *rolloutWatcher) verdict(now int64, service string, order rollout.Order) rollout.Verdict {
	if stop, stopped := w.World.Rollouts.Stopped(service); stopped {
		return stop.Verdict()
	}
	verdict := w.judge.Verdict(now)
	if stop, bad := verdict.Stop(order); bad && order.Revision > 0 {
		w.known.take(rollout.Update{Stops: []rollout.Stop{stop}}, nil)
	}
	return verdict
}

// decide has the next plan written where one is due and it is this daemon's turn.
func (w *rolloutWatcher) decide(now int64, service string, order rollout.Order, plan rollout.Plan, verdict rollout.Verdict) {
	if !w.rows.ready(now, service) {
		return
	}
	servers := w.servers(now, service, plan)
	next, changed := rollout.Decide(w.rows.storeNow(now), order, plan, verdict, servers, w.RolloutLimits)
	if !changed || w.mustWaitForLinks(now, order, &plan, &next, verdict) {
		w.dueSince = 0
		return
	}
	if w.dueSince == 0 || w.dueAfter != plan.Revision {
		w.dueSince, w.dueAfter = now, plan.Revision
	}
	if now-w.dueSince < int64(w.rank)*int64(rankStep) {
		return
	}
	next.Revision = w.rows.condition(plan)
	w.logDecision(next, verdict, servers)
	w.rows.write(next)
}

// servers is what is known of the service's backend servers.
func (w *rolloutWatcher) servers(now int64, service string, plan rollout.Plan) []rollout.Server {
	evacuated := w.World.View.Evacuation()
	var out []rollout.Server
	w.World.Members.EachRowOfService(service, func(row int) {
		m := &w.World.Members.Record[row]
		if m.Version == "" && m.Backend != wire.BackendLive {
			return
		}
		at, everLinked := w.linkedAt[m.VM]
		linked := everLinked && at == now || m.VM == w.World.VM
		// A link that was reset stands again within the time that one has for it.
		reached := linked || w.wasLinked[m.VM] && now-at <= int64(lostAfter)
		report, reported := w.reports[m.VM]
		out = append(out, rollout.Server{
			VM: m.VM, Version: m.Version, Slots: int(m.Slots),
			Ready:         m.State == wire.MemberLive && m.Backend == wire.BackendLive && reached && !evacuated.Has(m.DataCentre),
			Drained:       reported && linked && plan.Revision > 0 && report.Plan == plan.Revision && report.InFlight == 0,
			Unreachable:   !linked && now-at > int64(lostAfter),
			PeakBusySlots: w.busy[m.VM].most(now),
		})
	})
	// Rows come in no order; two that decide on the same knowledge write the same.
	slices.SortFunc(out, func(a, b rollout.Server) int { return cmp.Compare(a.VM, b.VM) })
	return out
}

func (w *rolloutWatcher) logDecision(next rollout.Plan, verdict rollout.Verdict, servers []rollout.Server) {
	ready, empty, lost, targets := 0, 0, 0, 0
	for _, s := range servers {
		ready += asInt(s.Ready)
		empty += asInt(s.Drained)
		lost += asInt(s.Unreachable)
		targets += asInt(s.Version == next.Target)
	}
	w.Log.Event(events.RolloutDecided, events.F("service", next.Service), events.F("order", next.Order), events.F("after", next.Revision),
		events.F("phase", next.Phase), events.F("rank", w.rank), events.F("servers", len(servers)), events.F("target_servers", targets),
		events.F("ready", ready), events.F("empty", empty), events.F("lost", lost),
		events.F("bad", verdict.Bad), events.F("enough", verdict.EnoughRuns), events.F("evidence", verdict.Cause), events.F("cause", next.Cause))
}

func asInt(is bool) int {
	if is {
		return 1
	}
	return 0
}
