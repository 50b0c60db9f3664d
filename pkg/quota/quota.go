// Package quota counts the requests of teams over all daemons together, without an
// election and without the store: each daemon owns an equal part of every limit and lends
// it, for a short time each, to the daemon that counts a group of teams. No part is ever in
// two hands, whoever is cut off, killed or started again. The package needs no network.
// Source: docs/design/teams.md, "Limits".
package quota

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rushramp/rushramp/pkg/teams"
)

// Groups is how many groups of teams there are. Each has a counter of its own, so that
// the work is spread, and each costs a daemon one exchange of frames a renewal.
const Groups = 4

// GroupOf is the group of a team.
func GroupOf(team string) int { return int(xxhash.Sum64String(team) % Groups) }

const (
	// leaseLeast is for how long a part of the limits is lent in a fleet of up to
	// leaseMembers daemons. A counter that is lost takes the parts that it had with it for
	// as long.
	leaseLeast = 500 * time.Millisecond
	// renewLeast is the time between two renewals there: two may be lost before a part ends.
	renewLeast = 150 * time.Millisecond
	// leaseMembers is up to which size those hold. Above it both grow with the fleet, so
	// that a counter gets some 430 renewals a second whatever its size: 300 daemons at the
	// same pace took 62% of the busiest one's processor share.
	leaseMembers = 64
	// leaseMost bounds the lease: a counter that is lost keeps its teams waiting for it.
	leaseMost = 5 * time.Second
	// silentAfter is for how long a counter may leave a question unanswered until
	// another one is asked: a round trip between regions and a pause of its process.
	silentAfter = 300 * time.Millisecond
	// probeEvery is the time between two questions to a counter that was silent.
	probeEvery = 500 * time.Millisecond
	// tokenLife is for how long a daemon may keep a token that it has no request for.
	// What all daemons keep comes on top of what a team may send in any window.
	tokenLife = 300 * time.Millisecond
	// mostPatience is the longest that a request waits for the word of a counter: in a small
	// fleet another one has the parts of one that was lost by then, nearly.
	mostPatience = 400 * time.Millisecond
	// askAgain is the time after which requests that wait are asked for again, and tokens
	// that lay unused given back, whatever the pace of renewals.
	askAgain = 150 * time.Millisecond
	// membersFor is for how long a larger count of members is held to after it fell, and a
	// lease where that is longer: parts that were lent by it are still out.
	membersFor = time.Second
)

const (
	// depthShare is the share of the platform's slack by which a team may exceed its
	// burst, so that tokens which lie unused at daemons cost it nothing.
	depthShare = 0.5
	// startShare is the share of the slack that a team gets at once where its parts come
	// to a new counter after one that was lost, with the tokens that it had saved.
	// mostStarts is how often a daemon's part may bring that within one window, so that
	// both shares together keep to the slack.
	startShare = 0.25
	mostStarts = 2
)

// Ask is what a daemon says to the counter of a group.
type Ask struct {
	_ struct{} `cbor:",toarray"`
	// Group is the group that is meant.
	Group uint8
	// CounterTime is the newest one that the counter has sent; it says until when the part that
	// is lent with the question may be used. 0: none is known.
	CounterTime int64
	// Members is how many daemons share the limits, as far as the asking one knows; 0: it
	// lends nothing.
	Members uint32
	// PreviousCounterLost is true where the counter that had the part before was lost.
	PreviousCounterLost bool
	// LeaseMS is for how long the part is lent, in milliseconds.
	LeaseMS uint32
	// ReleaseAskedAt takes the part back, as another daemon is to count the group: it is the asking
	// daemon's own time. 0: it does not.
	ReleaseAskedAt int64
	// TokenRequests are the tokens that it asks for.
	TokenRequests []TokenRequest
}

// TokenRequest asks for tokens of one team.
type TokenRequest struct {
	_    struct{} `cbor:",toarray"`
	Team string
	// Count is how many are wanted, Back how many are given back unused.
	Count    uint32
	Returned uint32
	// AskedAt is the asking daemon's own time, which comes back with the answer.
	AskedAt int64
}

// Grant is a counter's answer.
type Grant struct {
	_     struct{} `cbor:",toarray"`
	Group uint8
	// Members is how many the counter counts itself, and not what others have told it: they
	// would hold each other at the largest number there ever was. 0: it does not know.
	Members uint32
	// CounterTime is the counter's time.
	CounterTime int64
	// ReleaseAskedAt repeats the question's Release: the part is not used here any more.
	ReleaseAskedAt int64
	TokenGrants    []TokenGrant
}

// TokenGrant answers one Want.
type TokenGrant struct {
	_    struct{} `cbor:",toarray"`
	Team string
	// Requested and At repeat the question, Count is how many tokens were granted.
	Requested uint32
	Count     uint32
	AskedAt   int64
	// WaitMS is after how many milliseconds there may be a token again.
	WaitMS uint32
	// NoShareYet is true where no part has come to the counter yet: it is worth asking again.
	NoShareYet bool
}

// lease is for how long a part is lent in a fleet of some size.
func lease(members uint32) time.Duration {
	return min(leaseLeast*time.Duration(max(members, leaseMembers))/leaseMembers, leaseMost)
}

// renewal is the time between two renewals in a fleet of some size.
func renewal(members uint32) time.Duration { return lease(members) * renewLeast / leaseLeast }

// LimitOf tells the limit of a team; ok is false where there is no such team.
type LimitOf func(team string) (limit teams.Limit, ok bool)
