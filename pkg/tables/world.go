package tables

import (
	"time"

	"github.com/rushramp/rushramp/pkg/placement"
	"github.com/rushramp/rushramp/pkg/proximity"
	"github.com/rushramp/rushramp/pkg/rollout"
)

// World holds all tables of one daemon. Only the goroutine that runs the systems may use
// it, except for View, Inbox and the atomic fields of Load and Endpoint.
type World struct {
	// VM and DataCentre are those of this daemon.
	VM         string
	DataCentre string
	// Region is that of this daemon; empty in a deployment without regions.
	Region  string
	Members *Members
	Peers   *Peers
	// Placement is the placement in force, or nil. PlacementHash is its digest.
	Placement     *placement.Document
	PlacementHash string
	// PlacementLog holds the newest accepted changes of the placement, oldest first.
	// Peers that are a few versions behind get them instead of the document.
	PlacementLog []placement.LogEntry
	// RequestedServices are the services that calls to this entry have asked for.
	RequestedServices map[string]struct{}
	// NewestStoreReadAt is when the store was last read by any daemon, as far as this
	// one knows, in nanoseconds of its own clock; 0: never.
	NewestStoreReadAt int64
	// DataCentreHeardAt is the time of the newest known state of any daemon in each data
	// centre, received directly or through other daemons, in nanoseconds of this
	// daemon's clock.
	DataCentreHeardAt map[string]int64
	// Departures are the processes of backend servers, on any VM, that have announced
	// that they leave, with the time at which this daemon learnt of it, in nanoseconds.
	// Source: docs/design/platform.md.
	Departures map[string]int64
	// Unreached are the endpoints whose daemons could not be reached recently. Subsets
	// leave them out. UnreachedChanges counts the changes of the set.
	Unreached        map[*Endpoint]struct{}
	UnreachedChanges uint64
	// Rollouts is what this daemon knows of roll-outs. RolloutWatchers are the other
	// daemons that evaluate the roll-out of this VM's service, in the order of their
	// ranks; empty without a roll-out.
	Rollouts        *rollout.Replica
	RolloutWatchers []*Endpoint
	// QuotaCounterDaemons are the daemons that should count the requests of teams against
	// their limits. This daemon keeps links to them.
	QuotaCounterDaemons []*Endpoint
	// RetryHolders are the daemons that grant retries from the slack of this daemon's groups.
	RetryHolders []*Endpoint
	// DirtyServices are the services whose view must be published again.
	DirtyServices map[string]struct{}
	View          *View
	Inbox         *Inbox
}

// NewWorld returns empty tables.
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
		Rollouts:          rollout.NewReplica(),
		DirtyServices:     map[string]struct{}{},
		View:              NewView(),
		Inbox:             NewInbox(),
	}
}

// Here returns the location of this daemon.
func (w *World) Here() proximity.Location {
	return proximity.Location{DataCentre: w.DataCentre, Region: w.Region}
}

// MarkDirty marks the view of a service as out of date.
func (w *World) MarkDirty(service string) { w.DirtyServices[service] = struct{}{} }

// PlacementVersion returns the version of the placement in force; 0: there is none.
func (w *World) PlacementVersion() uint64 {
	if w.Placement == nil {
		return 0
	}
	return w.Placement.Version
}

// StoreReadAge returns the time since NewestStoreReadAt; ok is false if the store was
// never read.
func (w *World) StoreReadAge(now int64) (age time.Duration, ok bool) {
	if w.NewestStoreReadAt == 0 {
		return 0, false
	}
	return time.Duration(now - w.NewestStoreReadAt), true
}

// MaxPlacementLog is the largest number of changes in World.PlacementLog. A peer that is
// further behind gets the whole document.
const MaxPlacementLog = 64
