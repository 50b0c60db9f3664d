package rollout

import (
	"fmt"
	"slices"
	"time"
)

// Limits are what the platform holds a roll-out to, and what settings say.
type Limits struct {
	// MaxBadShare bounds what a bad version may get between order and deadline, as a share of
	// the service's requests. Platforms allow a number of requests besides; nothing is
	// planned with it (mostShare).
	MaxBadShare float64
	// StopWithin is how soon a version must get nothing more after it has shown itself
	// bad.
	StopWithin time.Duration
}

// Server is what the decider knows of one backend server of the service.
type Server struct {
	VM string
	// Version is empty where it has not said it yet: it runs nothing until then.
	Version string
	Slots   int
	// Ready is true for one that takes requests: it lives, has a link, and is not in an
	// evacuated data centre.
	Ready bool
	// Drained is true for one whose executor obeys the plan in force and has nothing in
	// flight; Unreachable for one that nobody has a link with.
	Drained, Unreachable bool
	// PeakBusySlots is the most slots that it had in use of late; 0: not known.
	PeakBusySlots int
}

// Decide returns the plan that should follow: the same one where nothing is due. now
// is on the store's steady clock. It is a function of what it gets, so that two that
// decide at once on the same knowledge write the same row, and only one of them wins.
//
// The plan is the newest one known, the zero one where there is none. The next plan
// keeps its revision: that is the condition of the write. An order that was taken away
// is the zero one. The verdict is that of the order's judge, or the one that a stop of
// the order means (Stop.Verdict). Who has not read the orders yet must not decide: it
// could not tell an order taken away from one that it does not know.
func Decide(now time.Duration, order Order, plan Plan, verdict Verdict, servers []Server, limits Limits) (next Plan, changed bool) {
	d := decision{now: now, order: order, plan: plan, verdict: verdict, servers: servers, limits: limits}
	switch {
	case order.Revision == 0:
		return d.takenAway()
	case order.Revision < plan.Order:
		return plan, false
	case order.Revision > plan.Order:
		return d.begin()
	case plan.Phase.Ended():
		return plan, false
	case verdict.Bad:
		return d.to(RolledBack, verdict.Cause), true
	}
	changed = d.learnOld()
	switch plan.Phase {
	case Waiting:
		next, moved := d.waiting()
		return next, moved || changed
	case Canary:
		next, moved := d.canary()
		return next, moved || changed
	default:
		next, moved := d.switching()
		return next, moved || changed
	}
}

// decision is what one call of Decide works on; its plan is a copy.
type decision struct {
	now     time.Duration
	order   Order
	plan    Plan
	verdict Verdict
	servers []Server
	limits  Limits
}

// to is the plan in another phase.
func (d *decision) to(phase Phase, cause string) Plan {
	next := d.plan
	next.Phase, next.Since, next.Cause = phase, d.now, shortened(cause)
	return next
}

func (d *decision) takenAway() (Plan, bool) {
	if d.plan.Order == 0 || d.plan.Phase.Ended() {
		return d.plan, false
	}
	return d.to(RolledBack, "the order was taken away"), true
}

// begin makes the first plan of an order. Where its version is what serves already
// (an order back to it), all requests go to it at once.
func (d *decision) begin() (Plan, bool) {
	before := d.plan
	d.plan = Plan{
		Service: d.order.Service, Target: d.order.Version, Order: d.order.Revision, Revision: before.Revision,
		Began: d.now, Since: d.now, Deadline: d.now + d.order.Duration, Cause: "ordered",
	}
	if before.Order > 0 {
		d.inherit(&before)
	}
	d.learnOld()
	if d.alone() {
		return d.to(Completed, "the version is the only one that runs"), true
	}
	if before.Order > 0 && before.serves(d.order.Version) && d.slots(d.isTarget) > 0 {
		return d.toSwitching("the version runs the requests already"), true
	}
	next, _ := d.waiting()
	return next, true
}

// alone is true where no backend server of another version is known, also none that
// has not said its version yet.
func (d *decision) alone() bool {
	for i := range d.servers {
		if !d.isTarget(&d.servers[i]) {
			return false
		}
	}
	return len(d.plan.Old) == 0 && d.slots(d.isTarget) > 0
}

// inherit takes over from the plan before which versions served and which may not.
func (d *decision) inherit(before *Plan) {
	served, left := before.Old, []string{before.Target}
	if before.Phase == Completed || len(before.Old) == 0 {
		served, left = []string{before.Target}, before.Old
	}
	for _, version := range served {
		if version != d.plan.Target {
			d.plan.Old = append(d.plan.Old, version)
		}
	}
	for _, version := range slices.Concat(left, before.Barred) {
		known := version == d.plan.Target || slices.Contains(d.plan.Barred, version)
		if !known && len(d.plan.Barred) < mostVersions {
			d.plan.Barred = append(d.plan.Barred, version)
		}
	}
}

// learnOld adds versions that run requests beside the target to the old ones: a
// service may get backend servers of any version at any time.
func (d *decision) learnOld() (changed bool) {
	old := slices.Clone(d.plan.Old)
	for _, s := range d.servers {
		known := d.isTarget(&s) || slices.Contains(old, s.Version) || slices.Contains(d.plan.Barred, s.Version)
		if !known && !s.Unreachable && s.Version != "" && len(old) < mostVersions {
			old = append(old, s.Version)
		}
	}
	changed = len(old) > len(d.plan.Old)
	slices.Sort(old)
	d.plan.Old = old
	return changed
}

func (d *decision) waiting() (Plan, bool) {
	switch {
	case d.now >= d.plan.Deadline-endBefore:
		return d.to(RolledBack, "no backend server of the version was ready in time"), true
	case d.slots(d.isTarget) == 0:
		return d.plan, false
	case len(d.plan.Old) > 0:
		d.plan.Canaries, d.plan.PerMille = d.pick()
		return d.to(Canary, fmt.Sprintf("%d backend servers of the version are ready", d.count(d.isTarget))), true
	case d.now >= d.plan.Began+knowWithin:
		return d.toSwitching("no other version runs the requests"), true
	}
	return d.plan, false
}

func (d *decision) canary() (Plan, bool) {
	ready, needed := d.slots(d.isTarget), d.needed()
	switch {
	case d.now >= d.plan.Deadline-endBefore && !d.verdict.EnoughRuns:
		return d.to(RolledBack, "too few runs on a route to tell by the deadline"), true
	case d.now >= d.plan.Deadline-endBefore:
		return d.to(RolledBack, fmt.Sprintf("too few slots by the deadline: %d ready, %d needed", ready, needed)), true
	case d.maySwitch() && d.verdict.EnoughRuns && ready > 0 && ready >= needed:
		return d.toSwitching(fmt.Sprintf("enough runs without a finding; %d slots ready, %d needed", ready, needed)), true
	}
	return d.refresh()
}

// maySwitch is true in the time in which it may be switched.
func (d *decision) maySwitch() bool {
	return d.now >= d.plan.Deadline-keepBack(d.order.Duration) && d.now < d.plan.Deadline-lastSwitch
}

func (d *decision) toSwitching(cause string) Plan {
	next := d.to(Switching, cause)
	next.Slots = uint32(d.slots(d.isTarget))
	return next
}

// switching ends once nothing runs elsewhere and the target has been watched with all
// requests; when the deadline is near, without those that nobody has a link with. What
// was due while the store was away is done when it is back, also after the deadline.
func (d *decision) switching() (Plan, bool) {
	ready := d.slots(d.isTarget)
	running, lost := d.others()
	watched := d.now >= d.plan.Since+watchSwitch
	late := d.now >= d.plan.Deadline-endBefore
	bears := ready > 0 && float64(ready) >= keptSlots*float64(d.plan.Slots)
	switch {
	case ready == 0:
		return d.to(RolledBack, "no backend server of the version is ready any more"), true
	case bears && running == 0 && (late || lost == 0 && watched):
		return d.to(Completed, fmt.Sprintf("the other versions' backend servers are empty; %d of them lost", lost)), true
	case d.now >= d.plan.Deadline && !bears:
		return d.to(RolledBack, fmt.Sprintf("too few slots at the deadline: %d ready, %d at the switch", ready, d.plan.Slots)), true
	case d.now >= d.plan.Deadline:
		return d.to(RolledBack, fmt.Sprintf("%d backend servers of other versions still ran requests at the deadline", running)), true
	}
	return d.plan, false
}
