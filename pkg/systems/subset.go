package systems

import (
	"slices"

	"github.com/rushramp/rushramp/pkg/placement"
	"github.com/rushramp/rushramp/pkg/rollout"
	"github.com/rushramp/rushramp/pkg/settings"
	"github.com/rushramp/rushramp/pkg/tables"
	"github.com/rushramp/rushramp/pkg/wire"
)

// Subset returns the routes that this entry works with for a kind: all of them
// in a small service. Of a large one it takes those of its own data centre, so
// that each of them has the same entries and none is busier for the luck of a
// hash, and a few of other data centres for when its own has no room. Where
// there are more than it may take, rendezvous hashing on this daemon's name
// decides, so that each entry has its own stable choice. Members that could not
// be reached of late, whose data centre is evacuated, or whose version a roll-out lets
// run nothing are passed over. Those of a version that a roll-out moves to are taken as
// if they were a service of their own, so that links to them are open once all requests
// move, and those that try it are always among them, as they are few. Source:
// docs/design/members.md, "Links".
func Subset(w *tables.World, choosing settings.Choosing, kind *placement.CompiledKind) []*tables.Route {
	var others, targets side
	var trying []*tables.Route
	evacuated, traffic, target := w.View.Evacuation(), w.View.Rollout(kind.Service), movingTo(w, kind.Service)
	w.Members.Service(kind.Service, func(row int) {
		takes := !w.Members.Leaving(row) && w.Members.Row[row].Backend == wire.BackendLive
		if !takes || !kind.Allows(w.Members.Row[row].DataCentre) || evacuated.Has(w.Members.Row[row].DataCentre) {
			return
		}
		route := w.Members.Route[row]
		if _, unreached := w.Unreached[route]; unreached {
			return
		}
		version := route.Version()
		switch {
		case target != "" && version == target:
			targets.add(w, route)
			if !traffic.Takes(rollout.LaneOld, version, route.VM) && traffic.Takes(rollout.LaneTarget, version, route.VM) {
				trying = append(trying, route)
			}
		case traffic.Takes(rollout.LaneOld, version, route.VM):
			others.add(w, route)
		}
	})
	out := append(others.choose(w, choosing), targets.choose(w, choosing)...)
	for _, route := range trying {
		if !slices.Contains(out, route) {
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

// side is a set of routes to choose from, in this daemon's data centre and in others.
type side struct{ near, far []*tables.Route }

func (s *side) add(w *tables.World, route *tables.Route) {
	if route.DataCentre == w.DataCentre {
		s.near = append(s.near, route)
	} else {
		s.far = append(s.far, route)
	}
}

func (s *side) choose(w *tables.World, choosing settings.Choosing) []*tables.Route {
	if len(s.near)+len(s.far) <= choosing.Subset {
		return highest(w.VM, append(s.near, s.far...), choosing.Subset)
	}
	near := highest(w.VM, s.near, choosing.Near)
	return append(near, highest(w.VM, s.far, max(choosing.Far, choosing.Subset/2-len(near)))...)
}

// subsetKey names a kind of a service, subsetRow is its subset and what it was
// worked out from.
type (
	subsetKey struct{ service, kind string }
	subsetRow struct {
		kind      *placement.CompiledKind
		members   uint64
		unreached uint64
		evacuated uint64
		rollout   *rollout.Traffic
		routes    []*tables.Route
	}
)

// subset is Subset, worked out again only after something that it hangs on has
// changed: several systems ask for it at each tick. The result is not changed.
func (e *Env) subset(kind *placement.CompiledKind) []*tables.Route {
	if e.subsets == nil {
		e.subsets = map[subsetKey]subsetRow{}
	}
	key := subsetKey{kind.Service, kind.Name}
	row, changes := e.subsets[key], e.World.Members.ServiceChanges(kind.Service)
	evacuated, traffic := e.World.View.Evacuation().Revision, e.World.View.Rollout(kind.Service)
	if row.kind != kind || row.members != changes || row.unreached != e.World.UnreachedChanges || row.evacuated != evacuated || row.rollout != traffic {
		row = subsetRow{
			kind: kind, members: changes, unreached: e.World.UnreachedChanges, evacuated: evacuated, rollout: traffic,
			routes: Subset(e.World, e.Settings.Choosing, kind),
		}
		e.subsets[key] = row
	}
	return row.routes
}
