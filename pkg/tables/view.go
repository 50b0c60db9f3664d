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

// serviceVMs is how many VMs stand beside each service, and beside any.
type serviceVMs struct {
	of  map[string]int
	all int
}

// View is what the hot path reads. Each service is published by itself, so
// that a change costs no more than the service it concerns.
type View struct {
	placement atomic.Pointer[placement.Compiled]
	// since is when the version in force was published.
	since    atomic.Pointer[time.Time]
	services sync.Map
	unsure   atomic.Bool
	leaving  atomic.Bool
	ready    atomic.Bool
	members  atomic.Int64
	stale    atomic.Bool
	// serviceVMs is nil while no member is known.
	serviceVMs atomic.Pointer[serviceVMs]
	// evacuation is nil while no set is known.
	evacuation atomic.Pointer[evacuation.Set]
	// regionShare holds the bits of a float; 0: it was not measured.
	regionShare atomic.Uint64
	// rollouts is nil while no roll-out is known.
	rollouts atomic.Pointer[RolloutView]
	provenAt atomic.Int64
}

// RolloutView is what is known of roll-outs; it never changes.
type RolloutView struct {
	// Traffic is by service.
	Traffic map[string]*rollout.Traffic
	// Digest is what peers compare; 0: nothing is known.
	Digest uint64
}

// RolloutTraffic returns how a roll-out divides the requests of a service, or nil.
func (vi *View) RolloutTraffic(service string) *rollout.Traffic {
	known := vi.rollouts.Load()
	if known == nil {
		return nil
	}
	return known.Traffic[service]
}

// RolloutDigest returns the digest of what is known of roll-outs; 0: nothing.
func (vi *View) RolloutDigest() uint64 {
	if known := vi.rollouts.Load(); known != nil {
		return known.Digest
	}
	return 0
}

// SetRollouts publishes what is known of roll-outs.
func (vi *View) SetRollouts(known *RolloutView) { vi.rollouts.Store(known) }

// Placement returns the version in force, or nil.
func (vi *View) Placement() *placement.Compiled { return vi.placement.Load() }

// TeamLimit returns the limit of a team under the version in force; ok is false where that
// names no such team.
func (vi *View) TeamLimit(team string) (limit teams.Limit, ok bool) {
	if p := vi.placement.Load(); p != nil {
		return p.Teams.LimitOf(team)
	}
	return teams.Limit{}, false
}

// SetPlacement publishes a version.
func (vi *View) SetPlacement(c *placement.Compiled) {
	now := time.Now()
	vi.since.Store(&now)
	vi.placement.Store(c)
}

// PlacementSince is when the version in force was published; zero without one.
func (vi *View) PlacementSince() time.Time {
	if at := vi.since.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// Service returns the view of a service, or nil.
func (vi *View) Service(name string) *ServiceView {
	if v, ok := vi.services.Load(name); ok {
		return v.(*ServiceView)
	}
	return nil
}

// SetService publishes a service; nil takes it away.
func (vi *View) SetService(name string, v *ServiceView) {
	if v == nil {
		vi.services.Delete(name)
		return
	}
	vi.services.Store(name, v)
}

// SetVMsByService publishes how many VMs stand beside each service; the map is not
// changed any more.
func (vi *View) SetVMsByService(of map[string]int) {
	known := serviceVMs{of: of}
	for service, n := range of {
		if service != "" {
			known.all += n
		}
	}
	vi.serviceVMs.Store(&known)
}

// VMShareOf is which share of the VMs that stand beside any service belongs to certain
// ones, from 0 to 1; 0 where none is known.
func (vi *View) VMShareOf(services []string) float64 {
	known := vi.serviceVMs.Load()
	if known == nil || known.all == 0 {
		return 0
	}
	of := 0
	for _, service := range services {
		of += known.of[service]
	}
	return float64(of) / float64(known.all)
}

// Evacuation returns which data centres are evacuated.
func (vi *View) Evacuation() evacuation.Set {
	if s := vi.evacuation.Load(); s != nil {
		return *s
	}
	return evacuation.Set{}
}

// SetEvacuation publishes which data centres are evacuated.
func (vi *View) SetEvacuation(s evacuation.Set) { vi.evacuation.Store(&s) }

// RegionShare is what a round trip to other data centres of the own region takes
// of one to other regions, as the links have measured it last. It is 1 until there
// was a link to another region: a deployment of one has no nearer crossing.
func (vi *View) RegionShare() float64 {
	if bits := vi.regionShare.Load(); bits != 0 {
		return math.Float64frombits(bits)
	}
	return 1
}

// SetRegionShare publishes what was measured.
func (vi *View) SetRegionShare(share float64) { vi.regionShare.Store(math.Float64bits(share)) }

// PlacementProvenAt is when the store had no newer version than the one in force, as far as this
// daemon knows, in nanoseconds of its clock; 0: never.
func (vi *View) PlacementProvenAt() int64 { return vi.provenAt.Load() }

// SetPlacementProvenAt publishes it.
func (vi *View) SetPlacementProvenAt(at int64) { vi.provenAt.Store(at) }

// PlacementUnsure is true while nobody can tell whether the placement is in force.
func (vi *View) PlacementUnsure() bool { return vi.unsure.Load() }

// SetPlacementUnsure publishes whether the placement may be out of date.
func (vi *View) SetPlacementUnsure(unsure bool) { vi.unsure.Store(unsure) }

// Leaving is true when this daemon takes no new calls.
func (vi *View) Leaving() bool { return vi.leaving.Load() }

// SetLeaving makes this daemon take no new calls. There is no way back.
func (vi *View) SetLeaving() { vi.leaving.Store(true) }

// Ready is true when the daemon takes calls.
func (vi *View) Ready() bool { return vi.ready.Load() }

// SetReady publishes that the daemon takes calls.
func (vi *View) SetReady() { vi.ready.Store(true) }

// MemberCount counts the VMs that this daemon knows of.
func (vi *View) MemberCount() int { return int(vi.members.Load()) }

// SetMemberCount publishes how many VMs are known.
func (vi *View) SetMemberCount(n int) { vi.members.Store(int64(n)) }

// StoreStale is true while the newest word of the store is over its bound.
func (vi *View) StoreStale() bool { return vi.stale.Load() }

// SetStoreStale publishes whether it is.
func (vi *View) SetStoreStale(stale bool) { vi.stale.Store(stale) }
