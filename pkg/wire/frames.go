// Package wire holds the frames that daemons exchange over a link. A WebSocket
// message is a CBOR sequence (RFC 8742): for each frame its type, which is one
// byte, and the frame as a CBOR array. Source: docs/design/links.md.
package wire

import (
	"time"

	"github.com/rushramp/rushramp/pkg/evacuation"
)

// Type says which frame follows. Values stay below 24, so that the byte is a
// whole CBOR item.
type Type uint8

// The types of frames.
const (
	TypeHello Type = iota + 1
	TypeCall
	TypeChunk
	TypeAnswer
	TypeRefusal
	TypeCancel
	TypeState
	TypePull
	TypeUpdate
	TypeMembers
	TypeMembersAsk
	TypeDepartures
	TypeRolloutNews
	TypeRolloutReport
	TypeQuarantine
	TypeQuotaAsk
	TypeQuotaGrant
	// TypeCount is one more than the highest type.
	TypeCount
)

// String returns the type's word in metrics and log lines.
func (t Type) String() string {
	return [...]string{
		"none", "hello", "call", "chunk", "answer", "refusal", "cancel",
		"state", "pull", "update", "members", "members_ask", "departures",
		"rollout_news", "rollout_report", "quarantine", "quota_ask", "quota_grant", "count",
	}[min(t, TypeCount)]
}

// Header is one HTTP header field.
type Header struct {
	_     struct{} `cbor:",toarray"`
	Name  string
	Value string
}

// Stamp is a gate's report of its load. It rides on answers and refusals.
type Stamp struct {
	_ struct{} `cbor:",toarray"`
	// Seq grows with each stamp of one incarnation, so that a late stamp never
	// replaces a newer one.
	Seq uint64
	// Running and Queued count calls at the gate when the stamp was made.
	Running uint32
	Queued  uint32
	// Limit is how many calls the gate runs at once now.
	Limit uint32
	// ServiceUS is the estimated time of one run, in microseconds.
	ServiceUS uint32
	// Slowdown is how long work takes at the backend server now, in percent of
	// what is usual there; 0: the backend server does not say.
	Slowdown uint32
	// NormalSlowdown is the slowdown outside of slow spells where that is not 100 percent, as
	// of a backend server that is cold; 0: it is.
	NormalSlowdown uint32
}

// Size is how many bytes the stamp takes in a frame.
func (s *Stamp) Size() int {
	const arrayHead = 1
	return arrayHead + uintSize(s.Seq) + uintSize(uint64(s.Running)) + uintSize(uint64(s.Queued)) +
		uintSize(uint64(s.Limit)) + uintSize(uint64(s.ServiceUS)) + uintSize(uint64(s.Slowdown)) + uintSize(uint64(s.NormalSlowdown))
}

// uintSize is the length of an unsigned integer in CBOR (RFC 8949, section 3).
func uintSize(n uint64) int {
	switch {
	case n < 24:
		return 1
	case n < 1<<8:
		return 2
	case n < 1<<16:
		return 3
	case n < 1<<32:
		return 5
	}
	return 9
}

// Hello is the first frame in each direction.
type Hello struct {
	_           struct{} `cbor:",toarray"`
	VM          string
	Incarnation uint64
	DataCentre  string
	State       State
	// Region is that of the data centre; empty: not known.
	Region string
}

// State is the heartbeat, and news that cannot wait.
type State struct {
	_ struct{} `cbor:",toarray"`
	// Placement is the version that the sender has in force.
	Placement uint64
	// Leaving is true when the sender takes no new calls.
	Leaving bool
	// StoreReadAgeMS is how long ago the newest word of the store that the sender
	// knows of was read, by itself or by others, in milliseconds.
	StoreReadAgeMS uint64
	// MembersDigest is the digest of the sender's table of members.
	MembersDigest uint64
	// HeardDataCentres says how long ago the sender heard of each data centre. It is long
	// and keeps for seconds, so not each heartbeat carries it.
	HeardDataCentres []HeardDataCentre
	// Evacuation is the newest set of evacuated data centres that the sender
	// knows of.
	Evacuation evacuation.Set
	// IdleTenths is how long the sender may say nothing on an idle link from now on,
	// in tenths of a second; 0: it does not say.
	IdleTenths uint32
	// RolloutsDigest is the digest of what the sender knows of roll-outs; 0: nothing.
	RolloutsDigest uint64
	// PlacementProofAgeMS is one more than the age of the newest proof that Placement is the operators'
	// newest version, in milliseconds; 0: the sender does not say.
	PlacementProofAgeMS uint64
}

// IdleTenth is the unit of State.IdleTenths.
const IdleTenth = 100 * time.Millisecond

// Idle is how long the sender may say nothing on an idle link; 0: it does not say.
func (s *State) Idle() time.Duration { return time.Duration(s.IdleTenths) * IdleTenth }

// HeardDataCentre is how long ago something said in a data centre was heard of.
type HeardDataCentre struct {
	_          struct{} `cbor:",toarray"`
	DataCentre string
	AgeMS      uint64
}

// StoreNeverRead stands in StoreAgeMS when no word of the store is known.
const StoreNeverRead = 1 << 40

// Call carries a call from its entry to the executor.
type Call struct {
	_       struct{} `cbor:",toarray"`
	ID      uint64
	Service string
	// Kind is the name of the kind that the entry matched. The executor matches
	// by itself and refuses when the two differ.
	Kind      string
	Method    string
	URI       string
	Headers   []Header
	Key       string
	Placement uint64
	// Remaining is the time left, as a duration: clocks of VMs differ.
	Remaining time.Duration
	// Claim says in which generation of its key a never-repeat call may run.
	Claim Claim
	// WantStamp asks for a stamp with the answer; its bytes are paid for.
	WantStamp bool
	// MaxCost is the longest expected time at the gate, wait and run, for which this
	// attempt is worth queueing; a longer one is refused at once. Zero: no bound.
	MaxCost time.Duration
	Body    Body
	// Routed is set for requests that are routed by host and path.
	Routed Routed
}

// Routed is what a routed request carries besides a call.
type Routed struct {
	_ struct{} `cbor:",toarray"`
	// ID is the caller's own id of the request; empty: the call is not routed.
	ID   string
	Host string
	// Caller is the service that runs on the VM where the request began.
	Caller string
	// Repeatable is true when the request may run more than once.
	Repeatable bool
	Priority   uint8
	// Soft asks the gate to refuse at once while its backend server is slowed
	// or nearly full.
	Soft bool
	// Near is true when the entry is in the executor's data centre, so that
	// going on to another one has a price.
	Near bool
	// TargetRemaining is the time left in which an answer has its full worth.
	TargetRemaining time.Duration
	// Team is the one whose key the request carried; empty: it carried none.
	Team string
	// TeamPriority goes before Priority.
	TeamPriority uint8
}

// Claim is a place in the history of an Idempotency-Key. The executor may run
// the call only if it writes the claim over exactly this version of the row.
type Claim struct {
	_ struct{} `cbor:",toarray"`
	// Version is the version of the key's row; 0: there is none.
	Version uint64
	// Generation counts the runs that a key was allowed to begin; for a routed
	// request, the attempts before this one that reached a backend server.
	Generation uint32
}

// Body is the first part of a body, and what the whole must come to. Longer
// bodies go on in Chunk frames.
type Body struct {
	_     struct{} `cbor:",toarray"`
	Size  uint64
	Hash  uint64
	First []byte
}

// Chunk is a further part of a body.
type Chunk struct {
	_    struct{} `cbor:",toarray"`
	ID   uint64
	Seq  uint32
	Data []byte
}

// Answer carries the backend server's answer back.
type Answer struct {
	_       struct{} `cbor:",toarray"`
	ID      uint64
	Status  int
	Headers []Header
	// Queued and Run are the time at the gate and at the backend server.
	Queued time.Duration
	Run    time.Duration
	Stamp  Stamp
	Body   Body
	// Origin says where the requests of the route begin.
	Origin Origin
	// Slowdown is the one at which the run started, in percent of what is usual;
	// 0: not known.
	Slowdown uint32
	// CallsFailed is true where calls of the backend server failed during the run.
	CallsFailed bool
}

// Refusal says that the executor did not produce an answer.
type Refusal struct {
	_      struct{} `cbor:",toarray"`
	ID     uint64
	Kind   uint8
	Ran    uint8
	Detail string
	Stamp  Stamp
	// NextClaim is the claim that the entry may try instead, with KeyMoved.
	NextClaim Claim
	// Offered is true when a routed request reached the backend server.
	Offered bool
	// Origin says where the requests of the route begin.
	Origin Origin
}

// Origin is what an executor believes of the requests of a route, by where they
// begin.
type Origin uint8

// The origins of a route's requests.
const (
	// OriginUnknown: the executor has seen too few of them to tell.
	OriginUnknown Origin = iota
	// OriginService: one service makes them in the middle of its runs.
	OriginService
	// OriginCallers: callers from outside send them.
	OriginCallers
)

// Cancel says that nobody waits for the call any more.
type Cancel struct {
	_  struct{} `cbor:",toarray"`
	ID uint64
}

// Pull asks a peer for placement versions above Have.
type Pull struct {
	_    struct{} `cbor:",toarray"`
	Have uint64
}

// Update carries a placement: the whole document, or the changes that lead
// from version From to Version.
type Update struct {
	_       struct{} `cbor:",toarray"`
	Version uint64
	Hash    string
	// From is the version that Entries build on; 0 with Document set.
	From    uint64
	Entries [][]byte
	// Document is the whole document, packed.
	Document []byte
}

// MemberState orders what may be said of one incarnation of a VM: what stands
// later goes before what stands earlier.
type MemberState uint8

// The states of a member.
const (
	MemberLive MemberState = iota
	MemberLeaving
	MemberGone
)

// Member is one row of the table of members, as daemons tell each other.
type Member struct {
	_  struct{} `cbor:",toarray"`
	VM string
	// Started is the platform's, Incarnation the daemon process's own: one that
	// was restarted on the same VM is live again although the old one left.
	Started       uint64
	Incarnation   uint64
	State         MemberState
	Region        string
	DataCentre    string
	Service       string
	LinkAddress   string
	CallerAddress string
	Slots         uint32
	// Revision orders what one incarnation says of itself.
	Revision uint64
	// Backend is the state of the backend server beside the daemon.
	Backend BackendState
	// Version is the one that the backend server has said; empty: not known.
	Version string
}

// BackendState is what a daemon says of its backend server.
type BackendState uint8

// The states of a backend server. A daemon that does not watch its backend
// server says that it is live.
const (
	BackendLive BackendState = iota
	// BackendAbsent takes no requests: it is not known yet, is leaving, or down.
	BackendAbsent
)

// Members carries rows that changed, or that a peer asked for.
type Members struct {
	_    struct{} `cbor:",toarray"`
	Rows []Member
}

// MembersAsk asks a peer for the rows in which the two tables differ: it holds
// the digest of each bucket of the sender's table.
type MembersAsk struct {
	_       struct{} `cbor:",toarray"`
	Buckets []uint32
}
