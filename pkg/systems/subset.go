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

// maxOtherRegionEndpoints is how many endpoints of other regions a subset of a large
// service has: one, and a second for when the first has ended. Each costs a link whose
// heartbeats cross regions.
const maxOtherRegionEndpoints = 2

// Subset returns the endpoints to which this entry sends requests of a kind.
//
// Of a small service it returns all endpoints. Of a large one it returns those of its
// own data centre, so that each of them gets requests from the same entries and no
// chance of hashing makes one busier than the others, and a few of other data centres
// for when the own one has no capacity: of the same region, and fewer of other regions.
// If there are more than allowed, rendezvous hashing on the name of this VM selects
// some, so that each entry has its own stable selection.
//
// It leaves out members that are leaving, are unreached or have no live backend server,
// members in evacuated data centres, and members whose version a roll-out lets run no
// requests. From the endpoints of the target version of a roll-out it selects as if they
// were a service of their own, so that links to them are open when all requests move to
// them. It adds all of those that are on trial, which are few.
//
// Source: docs/design/members.md, "Links", and docs/design/regions.md.
func Subset(w *tables.World, choosing settings.Choosing, kind *placement.CompiledKind) []*tables.Endpoint {
	var others, targets candidateSet
	var onTrial []*tables.Endpoint
	evacuated, traffic, target := w.View.Evacuation(), w.View.RolloutTraffic(kind.Service), rolloutTarget(w, kind.Service)
	w.Members.EachRowOfService(kind.Service, func(row int) {
		isAccepting := !w.Members.Leaving(row) && w.Members.Record[row].Backend == wire.BackendLive
		if !isAccepting || !kind.Allows(w.Members.Record[row].DataCentre) || evacuated.Has(w.Members.Record[row].DataCentre) {
			return
		}
		endpoint := w.Members.Endpoint[row]
		if _, unreached := w.Unreached[endpoint]; unreached {
			return
		}
		version := endpoint.Version()
		switch {
		case target != "" && version == target:
			targets.add(w, endpoint)
			if !traffic.Permits(rollout.LaneOld, version, endpoint.VM) && traffic.Permits(rollout.LaneTarget, version, endpoint.VM) {
				onTrial = append(onTrial, endpoint)
			}
		case traffic.Permits(rollout.LaneOld, version, endpoint.VM):
			others.add(w, endpoint)
		}
	})
	out := others.choose(w, choosing, kind)
	for _, endpoint := range append(onTrial, targets.choose(w, choosing, kind)...) {
		if len(out) < maxSubset && !slices.Contains(out, endpoint) {
			out = append(out, endpoint)
		}
	}
	return out
}

// rolloutTarget returns the version that a roll-out under way moves a service to, or
// empty.
func rolloutTarget(w *tables.World, service string) string {
	order, ok := w.Rollouts.Order(service)
	plan, _ := w.Rollouts.Plan(service)
	_, stopped := w.Rollouts.Stopped(service)
	if !ok || stopped || plan.Order > order.Revision || plan.Order == order.Revision && plan.Phase.Ended() {
		return ""
	}
	return order.Version
}

// candidateSet holds the endpoints to select a subset from.
type candidateSet struct {
	byProximity [proximity.Count][]*tables.Endpoint
	all         []*tables.Endpoint
}

func (s *candidateSet) add(w *tables.World, endpoint *tables.Endpoint) {
	level := w.Here().LevelTo(endpoint.DataCentre, endpoint.Region)
	s.byProximity[level], s.all = append(s.byProximity[level], endpoint), append(s.all, endpoint)
}

// choose selects a subset of the endpoints, as Subset describes.
func (s *candidateSet) choose(w *tables.World, choosing settings.Choosing, kind *placement.CompiledKind) []*tables.Endpoint {
	if len(s.all) <= choosing.Subset {
		return highestByRendezvous(w.VM, s.all, choosing.Subset)
	}
	least := choosing.Subset / 2
	chosen := highestByRendezvous(w.VM, s.byProximity[proximity.SameDataCentre], maxNearEndpoints(choosing, len(kind.RouteDataCentres)))
	chosen = append(chosen, highestByRendezvous(w.VM, s.byProximity[proximity.Region], max(choosing.Far, least-len(chosen)))...)
	chosen = append(chosen, highestByRendezvous(w.VM, s.byProximity[proximity.OtherRegion], max(maxOtherRegionEndpoints, least-len(chosen)))...)
	return addForRoutes(w.VM, chosen, s.all, kind.RouteDataCentres, choosing.Subset)
}

// maxNearEndpoints returns how many endpoints of the own data centre a subset may have.
// lists is the number of lists of data centres in routes. With lists, it is at most half
// of a subset, and with many lists as little as a quarter, so that there is room for an
// endpoint of each list.
func maxNearEndpoints(choosing settings.Choosing, lists int) int {
	if lists == 0 {
		return choosing.Near
	}
	left := maxSubset - choosing.Far - maxOtherRegionEndpoints - lists
	return min(choosing.Near, max(maxSubset/4, min(maxSubset/2, left)))
}

// maxSubset is the size up to which endpoints are added to a subset for roll-outs and
// routes. Retries of a call can only exclude the first 64 (choose.IndexSet).
const maxSubset = 64

// addForRoutes extends a subset so that it has enough endpoints in the data centres of
// each list in routes. Otherwise a route that excludes the own data centre could use
// only the few endpoints of other ones.
func addForRoutes(vm string, chosen, all []*tables.Endpoint, lists [][]string, enough int) []*tables.Endpoint {
	if len(lists) == 0 {
		return chosen
	}
	isChosen := make(map[*tables.Endpoint]struct{}, maxSubset)
	for _, endpoint := range chosen {
		isChosen[endpoint] = struct{}{}
	}
	// Each list may use an equal part of the free places, so that the first lists leave
	// some to the last.
	enough = min(enough, max(1, (maxSubset-len(chosen))/len(lists)))
	for _, list := range lists {
		held := 0
		var others []*tables.Endpoint
		for _, endpoint := range all {
			switch _, already := isChosen[endpoint]; {
			case !routing.AllowsDataCentre(list, endpoint.DataCentre):
			case already:
				held++
			default:
				others = append(others, endpoint)
			}
		}
		for _, endpoint := range highestByRendezvous(vm, others, min(max(enough-held, 0), max(maxSubset-len(chosen), 0))) {
			isChosen[endpoint] = struct{}{}
			chosen = append(chosen, endpoint)
		}
	}
	return chosen
}

// subsetKey names a kind of a service. cachedSubset is the subset for a kind, with the
// inputs that it was computed from.
type (
	subsetKey    struct{ service, kind string }
	cachedSubset struct {
		kind               *placement.CompiledKind
		memberChanges      uint64
		unreachedChanges   uint64
		evacuationRevision uint64
		traffic            *rollout.TrafficPolicy
		endpoints          []*tables.Endpoint
	}
)

// subset returns Subset for a kind. It caches the result until an input changes, since
// several systems call it at each tick. Callers must not change the result.
func (e *Env) subset(kind *placement.CompiledKind) []*tables.Endpoint {
	if e.subsetCache == nil {
		e.subsetCache = map[subsetKey]cachedSubset{}
	}
	key := subsetKey{kind.Service, kind.Name}
	cached, changes := e.subsetCache[key], e.World.Members.ServiceChangeCount(kind.Service)
	evacuated, traffic := e.World.View.Evacuation().Revision, e.World.View.RolloutTraffic(kind.Service)
	if cached.kind != kind || cached.memberChanges != changes || cached.unreachedChanges != e.World.UnreachedChanges || cached.evacuationRevision != evacuated || cached.traffic != traffic {
		cached = cachedSubset{
			kind: kind, memberChanges: changes, unreachedChanges: e.World.UnreachedChanges, evacuationRevision: evacuated, traffic: traffic,
			endpoints: Subset(e.World, e.Settings.Choosing, kind),
		}
		e.subsetCache[key] = cached
	}
	return cached.endpoints
}
