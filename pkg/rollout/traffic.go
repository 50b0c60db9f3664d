package rollout

import (
	"hash/maphash"
	"math/rand/v2"
	"slices"
	"sync/atomic"
)

// Lane is the group of versions that a request is assigned to during a roll-out.
type Lane uint8

// The lanes.
const (
	// LaneOld is the lane of the requests that the old versions run.
	LaneOld Lane = iota
	// LaneTarget is the lane of the requests that the new version runs.
	LaneTarget
)

// trafficMode is how a policy divides the requests between the versions.
type trafficMode uint8

const (
	// modeOpen: each version that is not barred runs requests of both lanes.
	modeOpen trafficMode = iota
	// modeSplit: the canaries run the requests of LaneTarget, the other versions those of
	// LaneOld.
	modeSplit
	// modeSwitched: the target runs all requests.
	modeSwitched
)

// goldenMultiplier is 2^64 divided by the golden ratio. Its multiples modulo 2^64 are
// spread evenly over the range, however many there are, so that the share holds after
// few requests already.
const goldenMultiplier = 0x9e3779b97f4a7c15

// counterCount is the number of request counters of a TrafficPolicy, which take 2 kB.
// Routes whose hashes select the same counter get the canaries' share together.
const counterCount = 256

// TrafficPolicy decides on the hot path which backend servers may run which requests of a
// service during a roll-out. It is safe for concurrent use. A change of the plan or a stop
// gives a new policy. The methods of a nil TrafficPolicy are those of a service without a
// roll-out: each version may run all requests.
type TrafficPolicy struct {
	mode     trafficMode
	target   string
	barred   []string
	canaries []string
	perMille uint64
	seed     maphash.Seed
	counters [counterCount]atomic.Uint64
}

func newTrafficPolicy(mode trafficMode, target string, barred, canaries []string, perMille uint32) *TrafficPolicy {
	t := &TrafficPolicy{mode: mode, target: target, barred: barred, canaries: canaries, perMille: uint64(perMille)}
	if mode != modeSplit {
		return t
	}
	t.seed = maphash.MakeSeed()
	// Each entry starts at random counts, so that the deviations from the share of many
	// entries with few requests each cancel out.
	for i := range t.counters {
		t.counters[i].Store(rand.Uint64())
	}
	return t
}

// policyForPlan returns the policy of a plan that is being carried out or has ended.
func policyForPlan(p *Plan) *TrafficPolicy {
	switch p.Phase {
	case Canary:
		return newTrafficPolicy(modeSplit, p.Target, p.Barred, p.Canaries, p.PerMille)
	case Switching:
		return newTrafficPolicy(modeSwitched, p.Target, slices.Concat(p.Barred, p.Old), nil, 0)
	case Completed:
		return newTrafficPolicy(modeOpen, "", slices.Concat(p.Barred, p.Old), nil, 0)
	}
	if len(p.Old) == 0 {
		// The target is not barred, because no other version is known to run the requests.
		return newTrafficPolicy(modeOpen, "", p.Barred, nil, 0)
	}
	return newTrafficPolicy(modeOpen, "", slices.Concat(p.Barred, []string{p.Target}), nil, 0)
}

// permitsAll is true where a version may run all requests.
func (t *TrafficPolicy) permitsAll(version string) bool {
	switch {
	case slices.Contains(t.barred, version):
		return false
	case t.mode == modeSwitched:
		return version == t.target
	}
	return t.mode == modeOpen || version != t.target
}

// withoutVersion returns a copy of versions without one of them.
func withoutVersion(versions []string, version string) []string {
	return slices.DeleteFunc(slices.Clone(versions), func(v string) bool { return v == version })
}

// policyForAbandonedPlan returns the policy of a plan that is stopped or whose order was
// taken away or replaced: that of a plan rolled back, or of a completed one, whose old
// backend servers are gone. A plan in the phase Switching counts as rolled back before its
// row says so: until the store is written, all requests would be refused otherwise. Only
// where another daemon writes the completion at the same moment may the old versions still
// run requests after it.
func policyForAbandonedPlan(p *Plan) *TrafficPolicy {
	abandoned := *p
	if abandoned.Phase != Completed {
		abandoned.Phase = RolledBack
	}
	return policyForPlan(&abandoned)
}

// policyBeforeFirstPlan returns the policy of a new order that has no plan yet: that of
// the abandoned plan p of the order before, which also bars the new target unless the
// target already serves under p.
func policyBeforeFirstPlan(p *Plan, order *Order) *TrafficPolicy {
	t := policyForAbandonedPlan(p)
	if !p.serves(order.Version) {
		t.barred = append(slices.Clone(t.barred), order.Version)
	}
	return t
}

// serves is true for a version that runs the requests once the plan has been abandoned or
// has ended.
func (p *Plan) serves(version string) bool {
	if p.Phase == Completed || len(p.Old) == 0 {
		return version == p.Target
	}
	return slices.Contains(p.Old, version)
}

// AssignLane returns the lane of the next request of a route, so that the canaries get
// their share. A retry takes the lane of RetryLane.
func (t *TrafficPolicy) AssignLane(route string) Lane {
	switch {
	case t == nil || t.mode == modeOpen:
		return LaneOld
	case t.mode == modeSwitched:
		return LaneTarget
	}
	i := maphash.String(t.seed, route) % counterCount
	fraction := (t.counters[i].Add(1) * goldenMultiplier) >> 32
	if fraction*1000>>32 < t.perMille {
		return LaneTarget
	}
	return LaneOld
}

// RetryLane returns the lane of a retry, whichever lane the request had before: LaneTarget
// once all requests are switched to the target, otherwise LaneOld.
func (t *TrafficPolicy) RetryLane() Lane {
	if t != nil && t.mode == modeSwitched {
		return LaneTarget
	}
	return LaneOld
}

// Permits is true where a backend server, given its version and VM, may run a request of
// the lane. Entries choose only among such backend servers. The lane matters only while
// there are canaries, so a request keeps its lane when a stop or a switch comes after it
// was assigned.
func (t *TrafficPolicy) Permits(lane Lane, version, vm string) bool {
	switch {
	case t == nil:
		return true
	case slices.Contains(t.barred, version):
		return false
	case t.mode == modeSwitched:
		return version == t.target
	case t.mode == modeSplit && version == t.target:
		return lane == LaneTarget && slices.Contains(t.canaries, vm)
	case t.mode == modeSplit:
		return lane == LaneOld
	}
	return true
}

// PermitsAny is true where a backend server, given its version and VM, may run requests of
// any lane. Executors check it, whatever entries have decided from their own policies.
func (t *TrafficPolicy) PermitsAny(version, vm string) bool {
	switch {
	case t == nil:
		return true
	case slices.Contains(t.barred, version):
		return false
	case t.mode == modeSplit && version == t.target:
		return slices.Contains(t.canaries, vm)
	}
	return true
}
