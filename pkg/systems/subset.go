package systems

import (
	"slices"

	"github.com/rushramp/rushramp/pkg/placement"
	"github.com/rushramp/rushramp/pkg/proximity"
	"github.com/rushramp/rushramp/pkg/rollout"
	"github.com/rushramp/rushramp/pkg/routing"
	"github.com/rushramp/rushramp/pkg/settings"
	"github.com/rushramp/rushramp/pkg/tables"
	"github.com/rushramp/rushramp/pkg/wire"
)

// otherRegions is how many backend servers of other regions an entry works with
// beside those of its own: one, and one more for when that has ended. Each is a link
// whose heartbeats cross regions.
const otherRegions = 2

// Subset returns the routes that this entry works with for a kind: all of them
// in a small service. Of a large one it takes those of its own data centre, so
// that each of them has the same entries and none is busier for the luck of a
// hash, and a few of other data centres for when its own has no room: of its own
// region, and fewer of others. Where there are more than it may take, rendezvous
// hashing on this daemon's name decides, so that each entry has its own stable
// choice. Members that could not be reached of late, whose data centre is evacuated,
// or whose version a roll-out lets run nothing are passed over. Those of a version that
// a roll-out moves to are taken as if they were a service of their own, so that links to
// them are open once all requests move, and those that try it are always among them, as
// they are few. Source: docs/design/members.md, "Links", and docs/design/regions.md.
func Subset(w *tables.World, choosing settings.Choosing, kind *placement.CompiledKind) []*tables.Endpoint {
	var others, targets side
	var trying []*tables.Endpoint
	evacuated, traffic, target := w.View.Evacuation(), w.View.RolloutTraffic(kind.Service), movingTo(w, kind.Service)
	w.Members.EachRowOfService(kind.Service, func(row int) {
		takes := !w.Members.Leaving(row) && w.Members.Record[row].Backend == wire.BackendLive
		if !takes || !kind.Allows(w.Members.Record[row].DataCentre) || evacuated.Has(w.Members.Record[row].DataCentre) {
			return
		}
		route := w.Members.Endpoint[row]
		if _, unreached := w.Unreached[route]; unreached {
			return
		}
		version := route.Version()
		switch {
		case target != "" && version == target:
			targets.add(w, route)
			if !traffic.Permits(rollout.LaneOld, version, route.VM) && traffic.Permits(rollout.LaneTarget, version, route.VM) {
				trying = append(trying, route)
			}
		case traffic.Permits(rollout.LaneOld, version, route.VM):
			others.add(w, route)
		}
	})
	out := others.choose(w, choosing, kind)
	for _, route := range append(trying, targets.choose(w, choosing, kind)...) {
		if len(out) < subsetMost && !slices.Contains(out, route) {
			out = append(out, route)
		}
	}
	return out
}

// movingTo is the version that a roll-out under way moves a service to, or empty.
func movingTo(w *tables.World, service string) string {
	order, ok := w.Rollouts.Order(service)
	plan, _ := w.Rollouts.Plan(service)
	_, stopped := w.Rollouts.Stopped(service)
	if !ok || stopped || plan.Order > order.Revision || plan.Order == order.Revision && plan.Phase.Ended() {
		return ""
	}
	return order.Version
}

// side is a set of routes to choose from, by how far they are.
type side struct {
	at  [proximity.Count][]*tables.Endpoint
	all []*tables.Endpoint
}

func (s *side) add(w *tables.World, route *tables.Endpoint) {
	where := w.Here().To(route.DataCentre, route.Region)
	s.at[where], s.all = append(s.at[where], route), append(s.all, route)
}

func (s *side) choose(w *tables.World, choosing settings.Choosing, kind *placement.CompiledKind) []*tables.Endpoint {
	if len(s.all) <= choosing.Subset {
		return highestByRendezvous(w.VM, s.all, choosing.Subset)
	}
	least := choosing.Subset / 2
	chosen := highestByRendezvous(w.VM, s.at[proximity.SameDataCentre], nearMost(choosing, len(kind.RouteDataCentres)))
	chosen = append(chosen, highestByRendezvous(w.VM, s.at[proximity.Region], max(choosing.Far, least-len(chosen)))...)
	chosen = append(chosen, highestByRendezvous(w.VM, s.at[proximity.OtherRegion], max(otherRegions, least-len(chosen)))...)
	return fillUp(w.VM, chosen, s.all, kind.RouteDataCentres, choosing.Subset)
}

// nearMost is how many backend servers of its own data centre an entry works with, so
// that each of some lists of data centres can have one: half of what it may mark, and
// with many lists no less than a quarter.
func nearMost(choosing settings.Choosing, lists int) int {
	if lists == 0 {
		return choosing.Near
	}
	left := subsetMost - choosing.Far - otherRegions - lists
	return min(choosing.Near, max(subsetMost/4, min(subsetMost/2, left)))
}

// subsetMost bounds a subset that lists of data centres fill up: choosing marks
// whom it has asked in a word of 64 bits.
const subsetMost = 64

// fillUp adds to a subset, for each list of data centres that routes name, allowed
// backend servers until it holds enough of them. A route that the own data centre
// may not handle would else find none but the few of others.
func fillUp(vm string, chosen, all []*tables.Endpoint, lists [][]string, enough int) []*tables.Endpoint {
	if len(lists) == 0 {
		return chosen
	}
	has := make(map[*tables.Endpoint]struct{}, subsetMost)
	for _, route := range chosen {
		has[route] = struct{}{}
	}
	// Each list gets its part of the room, so that the first leaves some to the last.
	enough = min(enough, max(1, (subsetMost-len(chosen))/len(lists)))
	for _, list := range lists {
		held := 0
		var others []*tables.Endpoint
		for _, route := range all {
			switch _, is := has[route]; {
			case !routing.AllowsDataCentre(list, route.DataCentre):
			case is:
				held++
			default:
				others = append(others, route)
			}
		}
		for _, route := range highestByRendezvous(vm, others, min(max(enough-held, 0), max(subsetMost-len(chosen), 0))) {
			has[route] = struct{}{}
			chosen = append(chosen, route)
		}
	}
	return chosen
}

// subsetKey names a kind of a service, cachedSubset is its subset and what it was
// worked out from.
type (
	subsetKey    struct{ service, kind string }
	cachedSubset struct {
		kind      *placement.CompiledKind
		members   uint64
		unreached uint64
		evacuated uint64
		rollout   *rollout.TrafficPolicy
		routes    []*tables.Endpoint
	}
)

// subset is Subset, worked out again only after something that it hangs on has
// changed: several systems ask for it at each tick. The result is not changed.
func (e *Env) subset(kind *placement.CompiledKind) []*tables.Endpoint {
	if e.subsetCache == nil {
		e.subsetCache = map[subsetKey]cachedSubset{}
	}
	key := subsetKey{kind.Service, kind.Name}
	row, changes := e.subsetCache[key], e.World.Members.ServiceChangeCount(kind.Service)
	evacuated, traffic := e.World.View.Evacuation().Revision, e.World.View.RolloutTraffic(kind.Service)
	if row.kind != kind || row.members != changes || row.unreached != e.World.UnreachedChanges || row.evacuated != evacuated || row.rollout != traffic {
		row = cachedSubset{
			kind: kind, members: changes, unreached: e.World.UnreachedChanges, evacuated: evacuated, rollout: traffic,
			routes: Subset(e.World, e.Settings.Choosing, kind),
		}
		e.subsetCache[key] = row
	}
	return row.routes
}
