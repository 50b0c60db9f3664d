package tables

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rushramp/rushramp/pkg/evacuation"
	"github.com/rushramp/rushramp/pkg/placement"
	"github.com/rushramp/rushramp/pkg/rollout"
	"github.com/rushramp/rushramp/pkg/teams"
)

// Candidate is a backend server that the placement allows for a kind.
type Candidate struct {
	Endpoint *Endpoint
	// Load repeats Route.Load, one step nearer for the scan.
	Load *Load
}

// KindView is what the hot path needs to choose for one kind of request. It
// never changes; a tick that changed something publishes another one.
type KindView struct {
	Kind *placement.CompiledKind
	// LinkedCandidates are the candidates with a link.
	LinkedCandidates []Candidate
	// UnlinkedEndpoints are candidates that have no link yet.
	UnlinkedEndpoints []*Endpoint
	// RedirectAddresses are callers' addresses of daemons in allowed data centres.
	RedirectAddresses []string
}

// ServiceView holds the kinds of one service.
type ServiceView struct {
	Service *placement.CompiledService
	kinds   map[*placement.CompiledKind]*KindView
}

// NewServiceView makes the view of one service.
func NewServiceView(service *placement.CompiledService, kinds []*KindView) *ServiceView {
	s := &ServiceView{Service: service, kinds: make(map[*placement.CompiledKind]*KindView, len(kinds))}
	for _, k := range kinds {
		s.kinds[k.Kind] = k
	}
	return s
}

// Match returns the view of the kind that fits, or nil.
func (s *ServiceView) Match(method, path string) *KindView {
	kind := s.Service.Match(method, path)
	if kind == nil {
		return nil
	}
	return s.kinds[kind]
}

// vmCounts is how many VMs stand beside each service, and beside any.
type vmCounts struct {
	byService map[string]int
	total     int
}

// View is what the hot path reads. Each service is published by itself, so
// that a change costs no more than the service it concerns.
type View struct {
	placement atomic.Pointer[placement.Compiled]
	// placementSince is when the version in force was published.
	placementSince  atomic.Pointer[time.Time]
	services        sync.Map
	placementUnsure atomic.Bool
	leaving         atomic.Bool
	ready           atomic.Bool
	memberCount     atomic.Int64
	storeStale      atomic.Bool
	// vmCounts is nil while no member is known.
	vmCounts atomic.Pointer[vmCounts]
	// evacuation is nil while no set is known.
	evacuation atomic.Pointer[evacuation.Set]
	// regionShare holds the bits of a float; 0: it was not measured.
	regionShare atomic.Uint64
	// rollouts is nil while no roll-out is known.
	rollouts          atomic.Pointer[RolloutView]
	placementProvenAt atomic.Int64
}

// RolloutView is what is known of roll-outs; it never changes.
type RolloutView struct {
	// Traffic is by service.
	Traffic map[string]*rollout.Traffic
	// Digest is what peers compare; 0: nothing is known.
	Digest uint64
}

// RolloutTraffic returns how a roll-out divides the requests of a service, or nil.
func (v *View) RolloutTraffic(service string) *rollout.Traffic {
	rollouts := v.rollouts.Load()
	if rollouts == nil {
		return nil
	}
	return rollouts.Traffic[service]
}

// RolloutDigest returns the digest of what is known of roll-outs; 0: nothing.
func (v *View) RolloutDigest() uint64 {
	if rollouts := v.rollouts.Load(); rollouts != nil {
		return rollouts.Digest
	}
	return 0
}

// SetRollouts publishes what is known of roll-outs.
func (v *View) SetRollouts(rollouts *RolloutView) { v.rollouts.Store(rollouts) }

// Placement returns the version in force, or nil.
func (v *View) Placement() *placement.Compiled { return v.placement.Load() }

// TeamLimit returns the limit of a team under the version in force; ok is false where that
// names no such team.
func (v *View) TeamLimit(team string) (limit teams.Limit, ok bool) {
	if p := v.placement.Load(); p != nil {
		return p.Teams.LimitOf(team)
	}
	return teams.Limit{}, false
}

// SetPlacement publishes a version.
func (v *View) SetPlacement(c *placement.Compiled) {
	now := time.Now()
	v.placementSince.Store(&now)
	v.placement.Store(c)
}

// PlacementSince is when the version in force was published; zero without one.
func (v *View) PlacementSince() time.Time {
	if at := v.placementSince.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// Service returns the view of a service, or nil.
func (v *View) Service(name string) *ServiceView {
	if service, ok := v.services.Load(name); ok {
		return service.(*ServiceView)
	}
	return nil
}

// SetService publishes a service; nil takes it away.
func (v *View) SetService(name string, service *ServiceView) {
	if service == nil {
		v.services.Delete(name)
		return
	}
	v.services.Store(name, service)
}

// SetVMsByService publishes how many VMs stand beside each service; the map is not
// changed any more.
func (v *View) SetVMsByService(byService map[string]int) {
	counts := vmCounts{byService: byService}
	for service, n := range byService {
		if service != "" {
			counts.total += n
		}
	}
	v.vmCounts.Store(&counts)
}

// VMShareOf is which share of the VMs that stand beside any service belongs to certain
// ones, from 0 to 1; 0 where none is known.
func (v *View) VMShareOf(services []string) float64 {
	counts := v.vmCounts.Load()
	if counts == nil || counts.total == 0 {
		return 0
	}
	vms := 0
	for _, service := range services {
		vms += counts.byService[service]
	}
	return float64(vms) / float64(counts.total)
}

// Evacuation returns which data centres are evacuated.
func (v *View) Evacuation() evacuation.Set {
	if s := v.evacuation.Load(); s != nil {
		return *s
	}
	return evacuation.Set{}
}

// SetEvacuation publishes which data centres are evacuated.
func (v *View) SetEvacuation(s evacuation.Set) { v.evacuation.Store(&s) }

// RegionShare is what a round trip to other data centres of the own region takes
// of one to other regions, as the links have measured it last. It is 1 until there
// was a link to another region: a deployment of one has no nearer crossing.
func (v *View) RegionShare() float64 {
	if bits := v.regionShare.Load(); bits != 0 {
		return math.Float64frombits(bits)
	}
	return 1
}

// SetRegionShare publishes what was measured.
func (v *View) SetRegionShare(share float64) { v.regionShare.Store(math.Float64bits(share)) }

// PlacementProvenAt is when the store had no newer version than the one in force, as far as this
// daemon knows, in nanoseconds of its clock; 0: never.
func (v *View) PlacementProvenAt() int64 { return v.placementProvenAt.Load() }

// SetPlacementProvenAt publishes it.
func (v *View) SetPlacementProvenAt(at int64) { v.placementProvenAt.Store(at) }

// PlacementUnsure is true while nobody can tell whether the placement is in force.
func (v *View) PlacementUnsure() bool { return v.placementUnsure.Load() }

// SetPlacementUnsure publishes whether the placement may be out of date.
func (v *View) SetPlacementUnsure(unsure bool) { v.placementUnsure.Store(unsure) }

// Leaving is true when this daemon takes no new calls.
func (v *View) Leaving() bool { return v.leaving.Load() }

// SetLeaving makes this daemon take no new calls. There is no way back.
func (v *View) SetLeaving() { v.leaving.Store(true) }

// Ready is true when the daemon takes calls.
func (v *View) Ready() bool { return v.ready.Load() }

// SetReady publishes that the daemon takes calls.
func (v *View) SetReady() { v.ready.Store(true) }

// MemberCount counts the VMs that this daemon knows of.
func (v *View) MemberCount() int { return int(v.memberCount.Load()) }

// SetMemberCount publishes how many VMs are known.
func (v *View) SetMemberCount(n int) { v.memberCount.Store(int64(n)) }

// StoreStale is true while the newest word of the store is over its bound.
func (v *View) StoreStale() bool { return v.storeStale.Load() }

// SetStoreStale publishes whether it is.
func (v *View) SetStoreStale(stale bool) { v.storeStale.Store(stale) }
