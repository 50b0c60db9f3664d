package tables

import (
	"time"

	"github.com/rushramp/rushramp/pkg/placement"
	"github.com/rushramp/rushramp/pkg/proximity"
	"github.com/rushramp/rushramp/pkg/rollout"
)

// World is all tables of one daemon. Only the goroutine that ticks touches it,
// but for View, Inbox and the atomics of Load and Route.
type World struct {
	// VM and DataCentre are this daemon's own.
	VM         string
	DataCentre string
	// Region is empty in a deployment without regions.
	Region  string
	Members *Members
	Peers   *Peers
	// Placement is the version in force, or nil. Hash is its digest.
	Placement     *placement.Document
	PlacementHash string
	// PlacementLog holds the newest accepted changes, oldest first, for peers that are
	// a few versions behind.
	PlacementLog []placement.LogEntry
	// RequestedServices are the services that calls of this entry asked for.
	RequestedServices map[string]struct{}
	// NewestStoreReadAt is when the newest word of the store that this daemon knows of
	// was read, on its own clock; 0: never.
	NewestStoreReadAt int64
	// DataCentreHeardAt says when something that was said in a data centre was last heard
	// of here, directly or through others.
	DataCentreHeardAt map[string]int64
	// Departures are the processes of backend servers, anywhere, that said that
	// they leave, and when this daemon heard of it. Source: docs/design/platform.md.
	Departures map[string]int64
	// Unreached are routes whose daemons could not be reached of late. Subsets
	// pass them over; UnreachedChanges grows with each change of the set.
	Unreached        map[*Endpoint]struct{}
	UnreachedChanges uint64
	// Rollouts is what is known of roll-outs. Watchers are the daemons that judge the
	// one of this VM's service, the first one writes its plan; none without a roll-out.
	Rollouts        *rollout.Book
	RolloutWatchers []*Endpoint
	// QuotaCounters are the daemons that should count the requests of teams, to which this one
	// keeps links.
	QuotaCounters []*Endpoint
	// DirtyServices are the services whose view must be published again.
	DirtyServices map[string]struct{}
	View          *View
	Inbox         *Inbox
}

// NewWorld makes empty tables.
func NewWorld(vm, dataCentre string) *World {
	return &World{
		VM:                vm,
		DataCentre:        dataCentre,
		Members:           NewMembers(),
		Peers:             NewPeers(),
		RequestedServices: map[string]struct{}{},
		DataCentreHeardAt: map[string]int64{},
		Departures:        map[string]int64{},
		Unreached:         map[*Endpoint]struct{}{},
		Rollouts:          rollout.NewBook(),
		DirtyServices:     map[string]struct{}{},
		View:              &View{},
		Inbox:             NewInbox(),
	}
}

// Here is where this daemon stands.
func (w *World) Here() proximity.Location {
	return proximity.Location{DataCentre: w.DataCentre, Region: w.Region}
}

// MarkDirty marks the view of a service as out of date.
func (w *World) MarkDirty(service string) { w.DirtyServices[service] = struct{}{} }

// PlacementVersion returns the placement version in force; 0: none.
func (w *World) PlacementVersion() uint64 {
	if w.Placement == nil {
		return 0
	}
	return w.Placement.Version
}

// StoreReadAge is how old the newest word of the store is; ok is false when there
// never was one.
func (w *World) StoreReadAge(now int64) (age time.Duration, ok bool) {
	if w.NewestStoreReadAt == 0 {
		return 0, false
	}
	return time.Duration(now - w.NewestStoreReadAt), true
}

// MaxPlacementLog is how many accepted changes are kept for peers that are behind.
// A peer further back gets the whole document.
const MaxPlacementLog = 64
