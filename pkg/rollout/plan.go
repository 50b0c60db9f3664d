package rollout

import "time"

// Phase is how far a roll-out has come. Only the store's row advances it.
type Phase uint8

// The phases of a roll-out.
const (
	// Waiting: backend servers of the new version are not ready yet; none gets a
	// request.
	Waiting Phase = iota
	// Canary: few backend servers of the new version get a small share.
	Canary
	// Switching: all requests go to the new version; executors of the old ones
	// refuse, and tell when they are empty.
	Switching
	// Completed: the roll-out has ended well; the old backend servers stop.
	Completed
	// RolledBack: the roll-out has ended; the new version gets nothing more.
	RolledBack
)

// String returns the phase's word in log lines and answers to operators.
func (p Phase) String() string {
	return [...]string{"waiting", "canary", "switching", "completed", "rolled_back"}[min(p, RolledBack)]
}

// Ended is true for a phase after which there is no other.
func (p Phase) Ended() bool { return p == Completed || p == RolledBack }

// Plan is the state of a service's roll-out as it stands in the store: one row a
// service, written under the condition of its version.
type Plan struct {
	_       struct{} `cbor:",toarray"`
	Service string
	// Target is the version to move to, Old are those that served before.
	Target string
	Old    []string
	// Order is the revision of the order that the plan carries out.
	Order uint64
	// Revision is the version of the plan's row; 0: it was not written yet.
	Revision uint64
	Phase    Phase
	// Canaries are the VMs whose backend servers take the canaries' share.
	Canaries []string
	// PerMille is the share of the service's requests for the new version while it is
	// tried, in thousandths.
	PerMille uint32
	// Began and Since are when the order was first seen and when the phase began, and
	// Deadline is until when it must have ended, all on the store's steady clock.
	Began    time.Duration
	Since    time.Duration
	Deadline time.Duration
	// Cause says why the phase began, in a few words for operators.
	Cause string
	// Barred are versions of earlier orders that were left or have not proved
	// themselves: they get nothing, whichever version this plan moves to.
	Barred []string
	// Slots are those of the target's ready backend servers when it was switched to it;
	// it is not completed with far fewer.
	Slots uint32
}

// Supersedes is true when the plan goes before another one of the same service: it
// carries out a later order, has ended where the other one has not, or was written
// later.
func (p *Plan) Supersedes(other *Plan) bool {
	if p.Order != other.Order {
		return p.Order > other.Order
	}
	if p.Phase.Ended() != other.Phase.Ended() {
		return p.Phase.Ended()
	}
	return p.Revision > other.Revision
}

// Stop is the word that a version has shown itself bad. It needs no store: whoever
// hears it sends the version nothing more under the order that it names, and nothing
// takes it back but a later order.
type Stop struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Order   uint64
	Cause   string
}

// Update is what daemons tell each other of roll-outs.
type Update struct {
	_      struct{} `cbor:",toarray"`
	Orders Orders
	Plans  []Plan
	Stops  []Stop
}
