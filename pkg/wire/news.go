package wire

import (
	"github.com/rushramp/rushramp/pkg/quarantine"
	"github.com/rushramp/rushramp/pkg/quota"
	"github.com/rushramp/rushramp/pkg/rollout"
)

// Departures carries the ids of backend servers' processes that have said that
// they leave. The set only grows; ids are dropped when they are old.
type Departures struct {
	_   struct{} `cbor:",toarray"`
	IDs []string
	// Informed is true when the sender knows all departures that could matter:
	// a daemon that was just started may not.
	Informed bool
}

// RolloutNews carries all that the sender knows of roll-outs.
type RolloutNews struct {
	_      struct{} `cbor:",toarray"`
	Update rollout.Update
}

// RolloutReport carries what an executor has seen of its backend server to those
// who watch its service's roll-out.
type RolloutReport struct {
	_      struct{} `cbor:",toarray"`
	Report rollout.Report
}

// Quarantine carries what daemons saw of requests that end backend servers.
type Quarantine struct {
	_           struct{} `cbor:",toarray"`
	Crashes     []quarantine.Crash
	Completions []quarantine.Completion
	// Informed is true when the sender knows all that could matter: a daemon that was
	// just started may not.
	Informed bool
}

// Update is what the frame tells.
func (q *Quarantine) Update() quarantine.Update {
	return quarantine.Update{Crashes: q.Crashes, Completions: q.Completions}
}

// QuotaAsk asks the daemon that counts a group of teams for tokens, and lends it a part of
// their limits.
type QuotaAsk struct {
	_   struct{} `cbor:",toarray"`
	Ask quota.Ask
}

// QuotaGrant answers a QuotaAsk.
type QuotaGrant struct {
	_     struct{} `cbor:",toarray"`
	Grant quota.Grant
}
