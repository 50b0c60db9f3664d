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

// Inbox takes what happened outside the tick: links, news of peers, answers of
// the platform. Systems take it over at their next run.
type Inbox struct {
	mu   sync.Mutex
	mail Mail
	wake chan struct{}
}

// Mail is what an Inbox held.
type Mail struct {
	// VMList is the newest list of the platform; nil when none came.
	VMList *VMList
	// Members are rows that peers sent, Asks what they asked for.
	Members     []PeerMembers
	MembersAsks []PeerMembersAsk
	// LinkEvents are links that came up or ended.
	LinkEvents []LinkEvent
	// PeerStates are states of peers, oldest first.
	PeerStates []PeerState
	// Pulls are requests of peers for the placement.
	Pulls []PeerPull
	// Updates are placements that peers sent.
	Updates []PeerUpdate
	// Placements are versions that were read from the store.
	Placements []ReceivedPlacement
	// StoreReadAt is when the head was last read by this daemon; 0: not since.
	StoreReadAt int64
	// Head is the newest head read; Version 0 when there was none.
	Head placement.Head
	// HeadKnown is true when the store answered, even if it was empty.
	HeadKnown bool
	// Evacuation is the newest set of evacuated data centres that this daemon read
	// in the store; nil: it read none.
	Evacuation *evacuation.Set
	// RolloutOrders is the newest set of orders for roll-outs that this daemon read in the
	// store; nil: it read none. RolloutNews and RolloutReports came from peers.
	RolloutOrders  *rollout.Orders
	RolloutNews    []PeerRollouts
	RolloutReports []rollout.Report
	// RolloutPlanResults are calls to the store about plans that have ended.
	RolloutPlanResults []RolloutPlanResult
	// RequestedServices are services that a call asked for and that have no view yet.
	RequestedServices []string
	// LocalDepartures are processes of backend servers that said here that they leave.
	LocalDepartures []string
	// PeerDepartures are those that peers told of.
	PeerDepartures []PeerDepartures
	// PeerQuarantines are what peers told of requests that end backend servers.
	PeerQuarantines []PeerQuarantine
	// StoreRestored is true when the store has come back from an older copy.
	StoreRestored bool
	// Queries are questions about the tables, asked by operators.
	Queries []func(*World)
	// Leave is true when this daemon was told to leave.
	Leave bool
}

// KeepNewestOrders notes a set of orders that was read in the store, unless a newer one was
// noted already: two that read it may end in any order.
func (m *Mail) KeepNewestOrders(orders rollout.Orders) {
	if m.RolloutOrders == nil || orders.Revision > m.RolloutOrders.Revision {
		m.RolloutOrders = &orders
	}
}

// VMList is the platform's list of one data centre, or of all of them.
type VMList struct {
	DataCentre string
	VMs        []store.VM
}

// PeerMembers are rows of the table of members that a peer sent.
type PeerMembers struct {
	Peer *link.Peer
	Rows []wire.Member
}

// PeerMembersAsk is a peer's question in what the two tables of members differ.
type PeerMembersAsk struct {
	Peer    *link.Peer
	Buckets []uint32
}

// LinkEvent is the beginning or end of a link. Client is set for links that
// this daemon opened as an entry.
type LinkEvent struct {
	Peer   *link.Peer
	Client *link.Client
	// Endpoint is the route that the link was opened for.
	Endpoint *Endpoint
	Up       bool
	Cause    error
}

// PeerState is a state that a peer sent, and when it came.
type PeerState struct {
	Peer  *link.Peer
	State *wire.State
	At    int64
}

// PeerPull is a request of a peer for the placement.
type PeerPull struct {
	Peer *link.Peer
	Have uint64
}

// PeerUpdate is a placement that a peer sent.
type PeerUpdate struct {
	Peer   *link.Peer
	Update *wire.Update
}

// PeerDepartures are departures that a peer told of.
type PeerDepartures struct {
	Peer  *link.Peer
	Frame *wire.Departures
}

// PeerQuarantine is what a peer, or the store where Peer is nil, told of requests that
// end backend servers.
type PeerQuarantine struct {
	Peer  *link.Peer
	Frame *wire.Quarantine
}

// PeerRollouts is what a peer told of roll-outs.
type PeerRollouts struct {
	Peer *link.Peer
	News rollout.News
}

// RolloutPlanResult is how a call to the store about the plan of a service ended.
type RolloutPlanResult struct {
	Service string
	// IsWrite is true for a write, false for a read.
	IsWrite bool
	Stored  rollout.Stored
	Err     error
	// Began is when the call began, in nanoseconds of the daemon's clock.
	Began int64
}

// ReceivedPlacement is a placement document with its digest, and the changes that led
// to it where they are known.
type ReceivedPlacement struct {
	Document *placement.Document
	Hash     string
	Entries  []placement.LogEntry
	// FromStore is true for a version that the store gave, false for a peer's.
	FromStore bool
	// Peer is set for a peer's.
	Peer *link.Peer
}

// NewInbox makes an empty inbox.
func NewInbox() *Inbox { return &Inbox{wake: make(chan struct{}, 1)} }

// Wake is readable when something came that should not wait for the next tick.
func (i *Inbox) Wake() <-chan struct{} { return i.wake }

// Post changes the mail. urgent wakes the systems at once.
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

// RunQuery runs a question between two ticks and waits for it; false when the
// systems did not come to it before the channel closed.
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
