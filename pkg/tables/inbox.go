package tables

import (
	"sync"

	"github.com/rushramp/rushramp/pkg/evacuation"
	"github.com/rushramp/rushramp/pkg/link"
	"github.com/rushramp/rushramp/pkg/placement"
	"github.com/rushramp/rushramp/pkg/rollout"
	"github.com/rushramp/rushramp/pkg/store"
	"github.com/rushramp/rushramp/pkg/wire"
)

// Inbox collects the events between two ticks: changes of links, frames from peers and
// results of calls to the platform. The systems take its content at the next tick. It is
// safe for concurrent use.
type Inbox struct {
	mu   sync.Mutex
	mail Mail
	wake chan struct{}
}

// Mail is the content of an Inbox.
type Mail struct {
	// VMList is the newest list of VMs read from the platform; nil: none was read.
	VMList *VMList
	// Members are the records of members that peers sent, MembersAsks the requests of
	// peers for such records.
	Members     []PeerMembers
	MembersAsks []PeerMembersAsk
	// LinkEvents are the links that came up or ended.
	LinkEvents []LinkEvent
	// PeerStates are the states of peers, oldest first.
	PeerStates []PeerState
	// PlacementPulls are the requests of peers for the placement.
	PlacementPulls []PeerPlacementPull
	// PlacementUpdates are the placements that peers sent.
	PlacementUpdates []PeerPlacementUpdate
	// StorePlacements are the placements that were read from the store.
	StorePlacements []ReceivedPlacement
	// StoreReadAt is when this daemon last read the store, in nanoseconds of its clock;
	// 0: not since the last tick.
	StoreReadAt int64
	// PlacementHead is the newest head of the placement that was read; its Version is 0 if
	// the store has none.
	PlacementHead placement.Head
	// PlacementHeadKnown is true if the head was read, even if the store has none.
	PlacementHeadKnown bool
	// Evacuation is the newest set of evacuated data centres that was read from the
	// store; nil: none was read.
	Evacuation *evacuation.Set
	// RolloutOrders is the newest set of orders for roll-outs that was read from the
	// store; nil: none was read. RolloutUpdates and RolloutReports came from peers.
	RolloutOrders  *rollout.Orders
	RolloutUpdates []PeerRolloutUpdate
	RolloutReports []rollout.Report
	// RolloutPlanResults are the results of reads and writes of roll-out plans in the
	// store.
	RolloutPlanResults []RolloutPlanResult
	// RequestedServices are the services that a call asked for and that have no view
	// yet.
	RequestedServices []string
	// LocalDepartures are the processes of this VM's backend server that have announced
	// that they leave.
	LocalDepartures []string
	// DepartureWrites are the results of writes of departures to the store.
	DepartureWrites []DepartureWrite
	// PeerDepartures are the departures of backend servers that peers reported.
	PeerDepartures []PeerDepartures
	// PeerQuarantines are the requests that crash backend servers, as peers reported
	// them.
	PeerQuarantines []PeerQuarantine
	// StoreRestored is true if the store was restored from an older copy.
	StoreRestored bool
	// Queries are functions that read the tables for operators.
	Queries []func(*World)
	// Leave is true if this daemon was told to leave.
	Leave bool
}

// KeepNewestOrders sets RolloutOrders, unless it holds a newer set: two concurrent reads
// may end in any order.
func (m *Mail) KeepNewestOrders(orders rollout.Orders) {
	if m.RolloutOrders == nil || orders.Revision > m.RolloutOrders.Revision {
		m.RolloutOrders = &orders
	}
}

// VMList is the platform's list of the VMs of one data centre, or of all if DataCentre
// is empty.
type VMList struct {
	DataCentre string
	VMs        []store.VM
}

// PeerMembers are records of members that a peer sent.
type PeerMembers struct {
	Peer *link.Peer
	Rows []wire.Member
}

// PeerMembersAsk is a peer's request for the records in which its table of members
// differs. Buckets are its bucket digests.
type PeerMembersAsk struct {
	Peer    *link.Peer
	Buckets []uint32
}

// LinkEvent reports that a link came up or ended, or that opening it failed. Peer is nil
// if opening failed. Client is set for links that this daemon opened.
type LinkEvent struct {
	Peer   *link.Peer
	Client *link.Client
	// Endpoint is the one that the link was opened for; nil for links that peers opened.
	Endpoint *Endpoint
	// Up is false if the link ended or could not be opened; Cause is why.
	Up    bool
	Cause error
}

// PeerState is a state frame of a peer. At is when it was received, in nanoseconds.
type PeerState struct {
	Peer  *link.Peer
	State *wire.State
	At    int64
}

// PeerPlacementPull is a peer's request for placement versions above Have.
type PeerPlacementPull struct {
	Peer *link.Peer
	Have uint64
}

// PeerPlacementUpdate is a placement that a peer sent.
type PeerPlacementUpdate struct {
	Peer   *link.Peer
	Update *wire.Update
}

// PeerDepartures are departures of backend servers that a peer reported, or that were
// read from the store if Peer is nil.
type PeerDepartures struct {
	Peer  *link.Peer
	Frame *wire.Departures
}

// DepartureWrite is the result of a write of a departure to the store.
type DepartureWrite struct {
	ID  string
	Err error
}

// PeerQuarantine holds requests that crash backend servers, as a peer reported them, or
// as read from the store if Peer is nil.
type PeerQuarantine struct {
	Peer  *link.Peer
	Frame *wire.Quarantine
}

// PeerRolloutUpdate holds the orders, plans and stops of roll-outs that a peer sent.
type PeerRolloutUpdate struct {
	Peer   *link.Peer
	Update rollout.Update
}

// RolloutPlanResult is the result of a read or write of a service's roll-out plan in the
// store.
type RolloutPlanResult struct {
	Service string
	// IsWrite is true for a write, false for a read.
	IsWrite bool
	Stored  rollout.StoredPlan
	Err     error
	// Began is when the call to the store began, in nanoseconds of the daemon's clock.
	Began int64
}

// ReceivedPlacement is a placement document with its digest. Entries are the changes
// that led to it, if they are known.
type ReceivedPlacement struct {
	Document *placement.Document
	Hash     string
	Entries  []placement.LogEntry
	// FromStore is true for a document from the store, false for one from a peer.
	FromStore bool
	// Peer is the peer that sent the document; nil if it came from the store.
	Peer *link.Peer
}

// NewInbox returns an empty inbox.
func NewInbox() *Inbox { return &Inbox{wake: make(chan struct{}, 1)} }

// Wake returns a channel that is readable once something urgent was posted.
func (i *Inbox) Wake() <-chan struct{} { return i.wake }

// Post calls change, which adds to the mail. urgent makes the systems run at once instead
// of at the next tick.
func (i *Inbox) Post(urgent bool, change func(*Mail)) {
	i.mu.Lock()
	change(&i.mail)
	i.mu.Unlock()
	if !urgent {
		return
	}
	select {
	case i.wake <- struct{}{}:
	default:
	}
}

// RunQuery runs a query in the goroutine that runs the systems and waits for its end. It
// returns false if done is closed before that; the query may still run afterwards.
func (i *Inbox) RunQuery(done <-chan struct{}, query func(*World)) bool {
	answered := make(chan struct{})
	i.Post(true, func(m *Mail) {
		m.Queries = append(m.Queries, func(w *World) {
			query(w)
			close(answered)
		})
	})
	select {
	case <-answered:
		return true
	case <-done:
		return false
	}
}

// Take returns the mail and empties the inbox.
func (i *Inbox) Take() Mail {
	i.mu.Lock()
	defer i.mu.Unlock()
	out := i.mail
	i.mail = Mail{}
	return out
}
