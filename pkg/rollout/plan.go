package rollout

import "time"

// Phase is the progress of a roll-out. It changes only by a write of the plan to the
// store.
type Phase uint8

// The phases of a roll-out.
const (
	// Waiting: backend servers of the new version are not ready yet, and get no requests.
	Waiting Phase = iota
	// Canary: a few backend servers of the new version get a small share of the requests.
	Canary
	// Switching: all requests go to the new version. Executors of the old versions refuse
	// requests, and report when they are drained.
	Switching
	// Completed: the roll-out has succeeded, and the old versions get no more requests.
	Completed
	// RolledBack: the roll-out has ended, and the new version gets no more requests.
	RolledBack
)

// String returns the name of the phase in log lines and in answers to operators.
func (p Phase) String() string {
	return [...]string{"waiting", "canary", "switching", "completed", "rolled_back"}[min(p, RolledBack)]
}

// Ended is true for the last phase of a roll-out, Completed or RolledBack.
func (p Phase) Ended() bool { return p == Completed || p == RolledBack }

// Plan is the state of a service's roll-out. The store holds one row a service, and each
// write is conditional on the row's version.
type Plan struct {
	_       struct{} `cbor:",toarray"`
	Service string
	// Target is the version to move to. Old are the versions that ran the requests before.
	Target string
	Old    []string
	// Order is the revision of the order that the plan carries out.
	Order uint64
	// Revision is the version of the plan's row; 0 before the first write.
	Revision uint64
	Phase    Phase
	// Canaries are the VMs whose backend servers run the canaries' share of the requests.
	Canaries []string
	// PerMille is the canaries' share of the service's requests, in thousandths.
	PerMille uint32
	// Began is when the order was first seen, Since when the phase began, and Deadline by
	// when the roll-out must have ended, all on the store's monotonic clock.
	Began    time.Duration
	Since    time.Duration
	Deadline time.Duration
	// Cause tells operators why the phase began.
	Cause string
	// Barred are versions of earlier orders that were replaced or rolled back. They get no
	// requests, whatever the target is.
	Barred []string
	// Slots is the number of the target's ready slots at the switch. The roll-out does not
	// complete with far fewer.
	Slots uint32
}

// Supersedes is true where the plan replaces another one of the same service: it carries
// out a later order; or, of the same order, it has ended and the other one has not; or
// both or neither have ended and it was written later.
func (p *Plan) Supersedes(other *Plan) bool {
	if p.Order != other.Order {
		return p.Order > other.Order
	}
	if p.Phase.Ended() != other.Phase.Ended() {
		return p.Phase.Ended()
	}
	return p.Revision > other.Revision
}

// Stop tells that the new version of an order has proved bad. It needs no write to the
// store: each daemon that receives it sends the version no more requests under that
// order. Only a later order ends its effect.
type Stop struct {
	_       struct{} `cbor:",toarray"`
	Service string
	// Order is the revision of the order that is stopped.
	Order uint64
	// Cause tells operators why the version is bad.
	Cause string
}

// Update holds orders, plans and stops that a daemon sends to its peers: all that it
// knows, or those that changed. Zero Orders stand for no change of the orders.
type Update struct {
	_      struct{} `cbor:",toarray"`
	Orders Orders
	Plans  []Plan
	Stops  []Stop
}
