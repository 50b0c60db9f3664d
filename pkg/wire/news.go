package wire

import (
	"github.com/rushramp/rushramp/pkg/quarantine"
	"github.com/rushramp/rushramp/pkg/quota"
	"github.com/rushramp/rushramp/pkg/retries"
	"github.com/rushramp/rushramp/pkg/rollout"
)

// Departures contains the instance ids of backend server processes that have announced that
// they are leaving. A departure is final; ids are only dropped when they are old.
type Departures struct {
	_   struct{} `cbor:",toarray"`
	IDs []string
	// Informed is true when the sender knows all departures that may still matter. A daemon
	// that has just started may not know them.
	Informed bool
}

// RolloutNews contains orders, plans and stops of roll-outs: all that the sender knows, or
// those that changed.
type RolloutNews struct {
	_      struct{} `cbor:",toarray"`
	Update rollout.Update
}

// RolloutReport contains what an executor has counted at its backend server. It is sent to
// the daemons that evaluate the roll-out of its service.
type RolloutReport struct {
	_      struct{} `cbor:",toarray"`
	Report rollout.Report
}

// Quarantine contains crashes of backend servers with the requests that may have caused them,
// and completions of such requests.
type Quarantine struct {
	_           struct{} `cbor:",toarray"`
	Crashes     []quarantine.Crash
	Completions []quarantine.Completion
	// Informed is true when the sender knows all crashes and completions that may still
	// matter. A daemon that has just started may not know them.
	Informed bool
}

// Update returns the crashes and completions of the frame.
func (q *Quarantine) Update() quarantine.Update {
	return quarantine.Update{Crashes: q.Crashes, Completions: q.Completions}
}

// QuotaAsk is a message to the daemon that counts the requests of a group of teams (the
// group's counter). It requests tokens, leases the sender's share of the teams' limits to
// the counter, or takes the share back.
type QuotaAsk struct {
	_   struct{} `cbor:",toarray"`
	Ask quota.Ask
}

// QuotaGrant is the answer to a QuotaAsk.
type QuotaGrant struct {
	_     struct{} `cbor:",toarray"`
	Grant quota.Grant
}

// RetryAsk asks the daemon that holds the slack of the sender's group for one retry.
type RetryAsk struct {
	_   struct{} `cbor:",toarray"`
	Ask retries.Ask
}

// RetryGrant is the answer to a RetryAsk.
type RetryGrant struct {
	_     struct{} `cbor:",toarray"`
	Grant retries.Grant
}
