package rollout

import (
	"fmt"
	"slices"
	"time"
)

// Limits bounds the harm that a bad version may do during a roll-out.
type Limits struct {
	// MaxBadShare is the largest share of the service's requests that a bad version may
	// get between the order and its deadline, from 0 to 1. Platforms may allow a number of
	// requests in addition, which the plan does not use.
	MaxBadShare float64
	// StopWithin is the longest time from when a version shows itself bad until it gets no
	// more requests.
	StopWithin time.Duration
}

// Server is the state of one backend server of the service, as known to the daemon that
// decides.
type Server struct {
	VM string
	// Version is empty until the backend server has reported it. It runs no requests
	// before.
	Version string
	// Slots is the number of requests that it can run at once.
	Slots int
	// Ready is true for a backend server that takes requests: it is live, has a link, and
	// is not in an evacuated data centre.
	Ready bool
	// Drained is true where the executor follows the current plan and has no requests in
	// flight. Unreachable is true where the daemon that decides has had no link to it for
	// some time.
	Drained, Unreachable bool
	// PeakBusySlots is the largest number of slots that were recently in use at once; 0
	// where it is not known.
	PeakBusySlots int
}

// Decide returns the plan that follows, and whether it differs from the current one. The
// result depends on the arguments alone, so that daemons that decide at the same time
// with the same knowledge write the same row, and only one write succeeds.
//
// now is the time on the store's monotonic clock. plan is the newest plan known, the zero
// value where there is none; the next plan keeps its revision, on which the write of the
// row is conditional. order is the zero value where the order was taken away. verdict is
// the one of the order's Evaluator, or that of a stop of the order (Stop.Verdict). The
// caller must have read the orders first: otherwise an order that it does not know would
// look like one that was taken away.
func Decide(now time.Duration, order Order, plan Plan, verdict Verdict, servers []Server, limits Limits) (next Plan, changed bool) {
	d := decision{now: now, order: order, plan: plan, verdict: verdict, servers: servers, limits: limits}
	switch {
	case order.Revision == 0:
		return d.orderRemoved()
	case order.Revision < plan.Order:
		return plan, false
	case order.Revision > plan.Order:
		return d.firstPlan()
	case plan.Phase.Ended():
		return plan, false
	case verdict.Bad:
		return d.inPhase(RolledBack, verdict.Cause), true
	}
	changed = d.addOldVersions()
	switch plan.Phase {
	case Waiting:
		next, moved := d.fromWaiting()
		return next, moved || changed
	case Canary:
		next, moved := d.fromCanary()
		return next, moved || changed
	default:
		next, moved := d.fromSwitching()
		return next, moved || changed
	}
}

// decision holds the arguments of one call of Decide. Its plan is a copy that the methods
// change.
type decision struct {
	now     time.Duration
	order   Order
	plan    Plan
	verdict Verdict
	servers []Server
	limits  Limits
}

// inPhase returns the plan in a phase that begins now.
func (d *decision) inPhase(phase Phase, cause string) Plan {
	next := d.plan
	next.Phase, next.Since, next.Cause = phase, d.now, truncateCause(cause)
	return next
}

// orderRemoved rolls back a plan whose order was taken away.
func (d *decision) orderRemoved() (Plan, bool) {
	if d.plan.Order == 0 || d.plan.Phase.Ended() {
		return d.plan, false
	}
	return d.inPhase(RolledBack, "the order was taken away"), true
}

// firstPlan returns the first plan of an order. An order back to the version that runs
// the requests already switches all requests to it at once.
func (d *decision) firstPlan() (Plan, bool) {
	before := d.plan
	d.plan = Plan{
		Service: d.order.Service, Target: d.order.Version, Order: d.order.Revision, Revision: before.Revision,
		Began: d.now, Since: d.now, Deadline: d.now + d.order.Duration, Cause: "ordered",
	}
	if before.Order > 0 {
		d.inheritVersions(&before)
	}
	d.addOldVersions()
	if d.onlyTargetKnown() {
		return d.inPhase(Completed, "no backend server of another version is known"), true
	}
	if before.Order > 0 && before.serves(d.order.Version) && d.readySlots(d.isTarget) > 0 {
		return d.startSwitching("the version already runs the requests"), true
	}
	next, _ := d.fromWaiting()
	return next, true
}

// onlyTargetKnown is true where all known backend servers have reported the target
// version and one of them is ready.
func (d *decision) onlyTargetKnown() bool {
	for i := range d.servers {
		if !d.isTarget(&d.servers[i]) {
			return false
		}
	}
	return len(d.plan.Old) == 0 && d.readySlots(d.isTarget) > 0
}

// inheritVersions fills the old and the barred versions from the plan of the order
// before: the versions that served under it are the old ones now, and those that did not
// are barred.
func (d *decision) inheritVersions(before *Plan) {
	serving, others := before.Old, []string{before.Target}
	if before.Phase == Completed || len(before.Old) == 0 {
		serving, others = []string{before.Target}, before.Old
	}
	for _, version := range serving {
		if version != d.plan.Target {
			d.plan.Old = append(d.plan.Old, version)
		}
	}
	for _, version := range slices.Concat(others, before.Barred) {
		known := version == d.plan.Target || slices.Contains(d.plan.Barred, version)
		if !known && len(d.plan.Barred) < maxVersions {
			d.plan.Barred = append(d.plan.Barred, version)
		}
	}
}

// addOldVersions adds the versions of reachable backend servers that the plan does not
// name yet to the old versions: backend servers of any version may join at any time.
func (d *decision) addOldVersions() (changed bool) {
	old := slices.Clone(d.plan.Old)
	for _, s := range d.servers {
		known := d.isTarget(&s) || slices.Contains(old, s.Version) || slices.Contains(d.plan.Barred, s.Version)
		if !known && !s.Unreachable && s.Version != "" && len(old) < maxVersions {
			old = append(old, s.Version)
		}
	}
	changed = len(old) > len(d.plan.Old)
	slices.Sort(old)
	d.plan.Old = old
	return changed
}

// fromWaiting returns the plan that follows one in the phase Waiting.
func (d *decision) fromWaiting() (Plan, bool) {
	switch {
	case d.now >= d.plan.Deadline-endMargin:
		return d.inPhase(RolledBack, "no backend server of the version was ready in time"), true
	case d.readySlots(d.isTarget) == 0:
		return d.plan, false
	case len(d.plan.Old) > 0:
		d.plan.Canaries, d.plan.PerMille = d.pickCanaries()
		return d.inPhase(Canary, fmt.Sprintf("%d backend servers of the version are ready", d.readyServers(d.isTarget))), true
	case d.now >= d.plan.Began+discoveryTime:
		return d.startSwitching("no other version runs the requests"), true
	}
	return d.plan, false
}

// fromCanary returns the plan that follows one in the phase Canary.
func (d *decision) fromCanary() (Plan, bool) {
	ready, needed := d.readySlots(d.isTarget), d.neededSlots()
	switch {
	case d.now >= d.plan.Deadline-endMargin && !d.verdict.EnoughRuns:
		return d.inPhase(RolledBack, "too few runs on a route to evaluate the version by the deadline"), true
	case d.now >= d.plan.Deadline-endMargin:
		return d.inPhase(RolledBack, fmt.Sprintf("too few slots by the deadline: %d ready, %d needed", ready, needed)), true
	case d.inSwitchWindow() && d.verdict.EnoughRuns && ready > 0 && ready >= needed:
		return d.startSwitching(fmt.Sprintf("enough runs without an alarm; %d slots ready, %d needed", ready, needed)), true
	}
	return d.updateCanaries()
}

// inSwitchWindow is true in the time before the deadline in which the switch may begin.
func (d *decision) inSwitchWindow() bool {
	return d.now >= d.plan.Deadline-switchTime(d.order.Duration) && d.now < d.plan.Deadline-minTimeAfterSwitch
}

// startSwitching returns the plan in the phase Switching.
func (d *decision) startSwitching(cause string) Plan {
	next := d.inPhase(Switching, cause)
	next.Slots = uint32(d.readySlots(d.isTarget))
	return next
}

// fromSwitching returns the plan that follows one in the phase Switching. The roll-out
// completes once all other backend servers are drained and the target has run all
// requests for minWatchTime. From endMargin before the deadline it waits neither for
// that time nor for unreachable backend servers. It may also complete after the deadline,
// where the store was unavailable until then.
func (d *decision) fromSwitching() (Plan, bool) {
	ready := d.readySlots(d.isTarget)
	running, unreachable := d.undrainedOthers()
	watched := d.now >= d.plan.Since+minWatchTime
	late := d.now >= d.plan.Deadline-endMargin
	enoughSlots := ready > 0 && float64(ready) >= minReadyShare*float64(d.plan.Slots)
	switch {
	case ready == 0:
		return d.inPhase(RolledBack, "no backend server of the version is ready any more"), true
	case enoughSlots && running == 0 && (late || unreachable == 0 && watched):
		return d.inPhase(Completed, fmt.Sprintf("no reachable backend server of another version runs requests; %d are unreachable", unreachable)), true
	case d.now >= d.plan.Deadline && !enoughSlots:
		return d.inPhase(RolledBack, fmt.Sprintf("too few slots at the deadline: %d ready, %d at the switch", ready, d.plan.Slots)), true
	case d.now >= d.plan.Deadline:
		return d.inPhase(RolledBack, fmt.Sprintf("%d backend servers of other versions still ran requests at the deadline", running)), true
	}
	return d.plan, false
}
