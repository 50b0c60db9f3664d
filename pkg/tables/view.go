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

// Candidate is a backend server that the placement allows for a request kind.
type Candidate struct {
	Endpoint *Endpoint
	// Load is Endpoint.Load, copied here to save a pointer access for each candidate.
	Load *Load
}

// KindView is what the request path reads to choose a backend server for one request
// kind. It is immutable; a tick that changes anything publishes a new one.
type KindView struct {
	Kind *placement.CompiledKind
	// LinkedCandidates are the candidates with an open link.
	LinkedCandidates []Candidate
	// UnlinkedEndpoints are the candidates without an open link.
	UnlinkedEndpoints []*Endpoint
	// RedirectAddresses are the caller addresses of daemons in allowed data centres;
	// empty if this daemon's own data centre is allowed.
	RedirectAddresses []string
}

// ServiceView holds the views of the request kinds of one service.
type ServiceView struct {
	Service *placement.CompiledService
	kinds   map[*placement.CompiledKind]*KindView
}

// NewServiceView returns the view of a service from those of its kinds.
func NewServiceView(service *placement.CompiledService, kinds []*KindView) *ServiceView {
	s := &ServiceView{Service: service, kinds: make(map[*placement.CompiledKind]*KindView, len(kinds))}
	for _, k := range kinds {
		s.kinds[k.Kind] = k
	}
	return s
}

// Match returns the view of the request kind that a method and path belong to, or nil.
func (s *ServiceView) Match(method, path string) *KindView {
	kind := s.Service.Match(method, path)
	if kind == nil {
		return nil
	}
	return s.kinds[kind]
}

// vmCounts holds the number of VMs of each service and the sum over all services.
type vmCounts struct {
	byService map[string]int
	total     int
}

// View is what the request path reads without waiting for a tick. The systems publish
// each service separately, so that a change rebuilds the view of one service only. All
// methods are safe for concurrent use.
type View struct {
	placement atomic.Pointer[placement.Compiled]
	// placementChanged is nil in a View that NewView did not make.
	placementChanged chan struct{}
	// placementSince is when the placement in force was published.
	placementSince  atomic.Pointer[time.Time]
	services        sync.Map
	placementUnsure atomic.Bool
	leaving         atomic.Bool
	ready           atomic.Bool
	memberCount     atomic.Int64
	retryDaemons    atomic.Int64
	storeStale      atomic.Bool
	// vmCounts is nil until the first members are known.
	vmCounts atomic.Pointer[vmCounts]
	// evacuation is nil until a set is known.
	evacuation atomic.Pointer[evacuation.Set]
	// regionShare holds the bits of a float64; 0: not measured.
	regionShare atomic.Uint64
	// rollouts is nil until roll-outs are known.
	rollouts          atomic.Pointer[RolloutView]
	placementProvenAt atomic.Int64
}

// NewView returns an empty view.
func NewView() *View { return &View{placementChanged: make(chan struct{}, 1)} }

// RolloutView is what this daemon knows of roll-outs. It is immutable.
type RolloutView struct {
	// Traffic is the division of requests between versions, by service.
	Traffic map[string]*rollout.TrafficPolicy
	// Digest is the digest that peers compare with their own; 0: no roll-out is known.
	Digest uint64
}

// RolloutTraffic returns how a roll-out divides the requests of a service between
// versions, or nil without a roll-out.
func (v *View) RolloutTraffic(service string) *rollout.TrafficPolicy {
	rollouts := v.rollouts.Load()
	if rollouts == nil {
		return nil
	}
	return rollouts.Traffic[service]
}

// RolloutDigest returns RolloutView.Digest; 0: no roll-out is known.
func (v *View) RolloutDigest() uint64 {
	if rollouts := v.rollouts.Load(); rollouts != nil {
		return rollouts.Digest
	}
	return 0
}

// SetRollouts publishes the known roll-outs.
func (v *View) SetRollouts(rollouts *RolloutView) { v.rollouts.Store(rollouts) }

// Placement returns the placement in force, or nil.
func (v *View) Placement() *placement.Compiled { return v.placement.Load() }

// TeamLimit returns the limit of a team by the placement in force; ok is false if that
// has no team of this name.
func (v *View) TeamLimit(team string) (limit teams.Limit, ok bool) {
	if p := v.placement.Load(); p != nil {
		return p.Teams.LimitOf(team)
	}
	return teams.Limit{}, false
}

// SetPlacement publishes a placement, which is in force from now on.
func (v *View) SetPlacement(c *placement.Compiled) {
	now := time.Now()
	v.placementSince.Store(&now)
	v.placement.Store(c)
	select {
	case v.placementChanged <- struct{}{}:
	default:
	}
}

// PlacementChanged returns a channel that is readable after a change of the placement, for one
// reader.
func (v *View) PlacementChanged() <-chan struct{} { return v.placementChanged }

// PlacementSince returns when the placement in force was published; zero without one.
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

// SetService publishes the view of a service; nil removes it.
func (v *View) SetService(name string, service *ServiceView) {
	if service == nil {
		v.services.Delete(name)
		return
	}
	v.services.Store(name, service)
}

// SetVMsByService publishes the number of VMs of each service. The caller must not
// change the map afterwards.
func (v *View) SetVMsByService(byService map[string]int) {
	counts := vmCounts{byService: byService}
	for service, n := range byService {
		if service != "" {
			counts.total += n
		}
	}
	v.vmCounts.Store(&counts)
}

// VMShareOf returns the share, from 0 to 1, of the VMs of all services that belong to
// the given services; 0 if no VM is known.
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

// Evacuation returns the set of evacuated data centres.
func (v *View) Evacuation() evacuation.Set {
	if s := v.evacuation.Load(); s != nil {
		return *s
	}
	return evacuation.Set{}
}

// SetEvacuation publishes the set of evacuated data centres.
func (v *View) SetEvacuation(s evacuation.Set) { v.evacuation.Store(&s) }

// RegionShare returns the round-trip time to other data centres of the same region as a
// share of the round-trip time to other regions, as last measured on the links. It is 1
// until it was measured: in a deployment with one region no crossing is cheaper.
func (v *View) RegionShare() float64 {
	if bits := v.regionShare.Load(); bits != 0 {
		return math.Float64frombits(bits)
	}
	return 1
}

// SetRegionShare publishes a measured RegionShare.
func (v *View) SetRegionShare(share float64) { v.regionShare.Store(math.Float64bits(share)) }

// PlacementProvenAt returns the latest time, in nanoseconds of this daemon's clock, at
// which the store is known to have had no newer placement than the one in force; 0:
// never.
func (v *View) PlacementProvenAt() int64 { return v.placementProvenAt.Load() }

// SetPlacementProvenAt publishes PlacementProvenAt.
func (v *View) SetPlacementProvenAt(at int64) { v.placementProvenAt.Store(at) }

// PlacementUnsure reports whether this daemon cannot tell if its placement is still in
// force: the store was not read recently, and another data centre was not heard of
// recently.
func (v *View) PlacementUnsure() bool { return v.placementUnsure.Load() }

// SetPlacementUnsure publishes PlacementUnsure.
func (v *View) SetPlacementUnsure(unsure bool) { v.placementUnsure.Store(unsure) }

// Leaving reports whether this daemon takes no new calls because it is leaving.
func (v *View) Leaving() bool { return v.leaving.Load() }

// SetLeaving makes this daemon take no new calls. It cannot be undone.
func (v *View) SetLeaving() { v.leaving.Store(true) }

// Ready reports whether the daemon has started up and takes calls.
func (v *View) Ready() bool { return v.ready.Load() }

// SetReady publishes that the daemon takes calls.
func (v *View) SetReady() { v.ready.Store(true) }

// MemberCount returns the number of VMs in the table of members.
func (v *View) MemberCount() int { return int(v.memberCount.Load()) }

// SetMemberCount publishes the number of VMs in the table of members.
func (v *View) SetMemberCount(n int) { v.memberCount.Store(int64(n)) }

// RetryDaemons returns the number of daemons that share the slack of retries; 0: not known
// yet.
func (v *View) RetryDaemons() int { return int(v.retryDaemons.Load()) }

// SetRetryDaemons publishes RetryDaemons.
func (v *View) SetRetryDaemons(n int) { v.retryDaemons.Store(int64(n)) }

// StoreStale reports whether the newest read of the store by any daemon, as far as this
// one knows, is too long ago.
func (v *View) StoreStale() bool { return v.storeStale.Load() }

// SetStoreStale publishes StoreStale.
func (v *View) SetStoreStale(stale bool) { v.storeStale.Store(stale) }
