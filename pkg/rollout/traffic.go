package rollout

import (
	"hash/maphash"
	"math/rand/v2"
	"slices"
	"sync/atomic"
)

// Lane is one of the two sides between which a roll-out divides the requests of a
// service.
type Lane uint8

// The lanes.
const (
	// LaneOld is for requests that only the old versions may run.
	LaneOld Lane = iota
	// LaneTarget is for requests that only the new version may run.
	LaneTarget
)

// mode is how the requests are divided.
type mode uint8

const (
	// open: each version that is not shut takes any request.
	open mode = iota
	// divided: the canaries take LaneTarget, the other versions LaneOld.
	divided
	// moved: the target takes all.
	moved
)

// golden is 2^64 divided by the golden ratio: its multiples fill the range of 64 bits
// evenly, whatever their number, so that few requests keep the share already.
const golden = 0x9e3779b97f4a7c15

// turns is the number of sequences of a Traffic. Routes whose hash falls together
// share one, and keep the share in sum. 2 kB a service under an order.
const turns = 256

// TrafficPolicy is what the hot path needs of a service's roll-out. It is safe for
// concurrent use; a change of the plan or a stop makes another one. The methods of a
// nil TrafficPolicy are those of a service without a roll-out: all versions run all.
type TrafficPolicy struct {
	mode     mode
	target   string
	shut     []string
	canaries []string
	perMille uint64
	seed     maphash.Seed
	turn     [turns]atomic.Uint64
}

func newTraffic(m mode, target string, shut, canaries []string, perMille uint32) *TrafficPolicy {
	t := &TrafficPolicy{mode: m, target: target, shut: shut, canaries: canaries, perMille: uint64(perMille)}
	if m != divided {
		return t
	}
	t.seed = maphash.MakeSeed()
	// Each entry begins elsewhere in the sequence, so that what many entries with few
	// requests each give too much or too little evens out.
	for i := range t.turn {
		t.turn[i].Store(rand.Uint64())
	}
	return t
}

// trafficOf is the traffic of a plan that is carried out, or has ended.
func trafficOf(p *Plan) *TrafficPolicy {
	switch p.Phase {
	case Canary:
		return newTraffic(divided, p.Target, p.Barred, p.Canaries, p.PerMille)
	case Switching:
		return newTraffic(moved, p.Target, slices.Concat(p.Barred, p.Old), nil, 0)
	case Completed:
		return newTraffic(open, "", slices.Concat(p.Barred, p.Old), nil, 0)
	}
	if len(p.Old) == 0 {
		// No other version is known to run the requests.
		return newTraffic(open, "", p.Barred, nil, 0)
	}
	return newTraffic(open, "", slices.Concat(p.Barred, []string{p.Target}), nil, 0)
}

// carries is true where a version may run all requests.
func (t *TrafficPolicy) carries(version string) bool {
	switch {
	case slices.Contains(t.shut, version):
		return false
	case t.mode == moved:
		return version == t.target
	}
	return t.mode == open || version != t.target
}

// without is a list of versions less one.
func without(versions []string, version string) []string {
	return slices.DeleteFunc(slices.Clone(versions), func(v string) bool { return v == version })
}

// trafficLeft is the traffic of a plan that is stopped, or whose order was taken away:
// as rolled back, unless it is completed, since its old backend servers are gone then.
// While switching the old versions run requests again before the row says rolled back:
// waiting for it would refuse all requests for as long as the store is away. Only a
// completion that was written within the same moment could then meet a run of theirs.
func trafficLeft(p *Plan) *TrafficPolicy {
	left := *p
	if left.Phase != Completed {
		left.Phase = RolledBack
	}
	return trafficOf(&left)
}

// trafficBetween is the traffic between a later order and its first plan: that of the
// plan before, left or ended, and nothing for the new target, unless it is what serves.
func trafficBetween(p *Plan, order *Order) *TrafficPolicy {
	t := trafficLeft(p)
	if !p.serves(order.Version) {
		t.shut = append(slices.Clone(t.shut), order.Version)
	}
	return t
}

// serves is true for a version that ran the requests under a plan that was left or has
// ended.
func (p *Plan) serves(version string) bool {
	if p.Phase == Completed || len(p.Old) == 0 {
		return version == p.Target
	}
	return slices.Contains(p.Old, version)
}

// AssignLane is the lane of the next request of a route. A request that goes on elsewhere
// after an attempt in LaneTarget goes on in LaneOld, but while switching.
func (t *TrafficPolicy) AssignLane(route string) Lane {
	switch {
	case t == nil || t.mode == open:
		return LaneOld
	case t.mode == moved:
		return LaneTarget
	}
	at := maphash.String(t.seed, route) % turns
	place := (t.turn[at].Add(1) * golden) >> 32
	if place*1000>>32 < t.perMille {
		return LaneTarget
	}
	return LaneOld
}

// RetryLane is the lane for a further attempt of a request, whichever lane it had.
func (t *TrafficPolicy) RetryLane() Lane {
	if t != nil && t.mode == moved {
		return LaneTarget
	}
	return LaneOld
}

// Permits is true where a backend server on a VM, of a version, may run a request of the
// lane. Entries leave out of their choice those that may not. Lanes count for canaries
// only: a request keeps its way when a stop or a switch comes after its lane was drawn.
func (t *TrafficPolicy) Permits(lane Lane, version, vm string) bool {
	switch {
	case t == nil:
		return true
	case slices.Contains(t.shut, version):
		return false
	case t.mode == moved:
		return version == t.target
	case t.mode == divided && version == t.target:
		return lane == LaneTarget && slices.Contains(t.canaries, vm)
	case t.mode == divided:
		return lane == LaneOld
	}
	return true
}

// PermitsAny is true where a backend server of a version on a VM may run any request: the
// executor's guard, whatever entries believe.
func (t *TrafficPolicy) PermitsAny(version, vm string) bool {
	switch {
	case t == nil:
		return true
	case slices.Contains(t.shut, version):
		return false
	case t.mode == divided && version == t.target:
		return slices.Contains(t.canaries, vm)
	}
	return true
}
