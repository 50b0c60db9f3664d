// Package wire defines the frames that daemons exchange over a link, and their encoding. A
// WebSocket message is a CBOR sequence (RFC 8742): for each frame its type, which is one
// byte, and the frame as a CBOR array. The order of the fields of a struct is their order in
// the array. Source: docs/design/links.md.
package wire

import (
	"time"

	"github.com/rushramp/rushramp/pkg/evacuation"
)

// Type is the type of a frame, sent before it. Values stay below 24, which CBOR encodes in
// one byte.
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
	TypeGrant
	TypeAck
	TypeRetryAsk
	TypeRetryGrant
	// TypeCount is one more than the highest type.
	TypeCount
)

// String returns the label of the type in metrics and log lines.
func (t Type) String() string {
	return [...]string{
		"none", "hello", "call", "chunk", "answer", "refusal", "cancel",
		"state", "pull", "update", "members", "members_ask", "departures",
		"rollout_news", "rollout_report", "quarantine", "quota_ask", "quota_grant", "grant", "ack", "retry_ask", "retry_grant", "count",
	}[min(t, TypeCount)]
}

// Header is one HTTP header field.
type Header struct {
	_     struct{} `cbor:",toarray"`
	Name  string
	Value string
}

// Hello is the first frame in each direction. It identifies the sender.
type Hello struct {
	_  struct{} `cbor:",toarray"`
	VM string
	// Incarnation distinguishes the daemon processes that have run under this VM's id. It
	// increases with each.
	Incarnation uint64
	DataCentre  string
	State       State
	// Region is the region of the data centre; empty: not known.
	Region string
	// Features holds the features that the sender supports on this link.
	Features Features
	// UptimeMS is one more than the time in whole milliseconds since the sender's process
	// started; 0: not stated.
	UptimeMS uint64
}

// State is the state of the sending daemon. It is sent as the heartbeat, and at once after
// a change that must not wait for the next heartbeat.
type State struct {
	_ struct{} `cbor:",toarray"`
	// Placement is the version of the placement that the sender has in force.
	Placement uint64
	// Leaving is true when the sender accepts no new calls.
	Leaving bool
	// StoreReadAgeMS is the time since the latest read of the store that the sender knows
	// of, by itself or another daemon, in milliseconds. StoreNeverRead: it knows of none.
	StoreReadAgeMS uint64
	// MembersDigest is the digest of the sender's table of members, by which peers detect
	// that their tables differ.
	MembersDigest uint64
	// HeardDataCentres holds how long ago the sender last heard from each other data centre.
	// Only some heartbeats contain it, since it is long and a value a few seconds old is
	// good enough.
	HeardDataCentres []HeardDataCentre
	// Evacuation is the newest set of evacuated data centres that the sender knows of.
	Evacuation evacuation.Set
	// IdleTenths is the longest time, in units of IdleTenth, for which the sender may send
	// nothing on an idle link from now on; 0: not stated.
	IdleTenths uint32
	// RolloutsDigest is the digest of the sender's orders, plans and stops of roll-outs; 0:
	// it has none.
	RolloutsDigest uint64
	// PlacementProofAgeMS is one more than the time in whole milliseconds since the latest
	// read of the store that showed no placement newer than Placement; 0: not stated.
	PlacementProofAgeMS uint64
}

// IdleTenth is the unit of State.IdleTenths: a tenth of a second.
const IdleTenth = 100 * time.Millisecond

// Idle returns IdleTenths as a duration; 0: not stated.
func (s *State) Idle() time.Duration { return time.Duration(s.IdleTenths) * IdleTenth }

// HeardDataCentre is the time since the sender of a State last received a frame from a data
// centre, directly or through other daemons, in milliseconds.
type HeardDataCentre struct {
	_          struct{} `cbor:",toarray"`
	DataCentre string
	AgeMS      uint64
}

// StoreNeverRead is the value of State.StoreReadAgeMS if no read of the store is known.
const StoreNeverRead = 1 << 40

// Call is a call that an entry sends to the executor. A body longer than ChunkSize continues
// in Chunk frames.
type Call struct {
	_       struct{} `cbor:",toarray"`
	ID      uint64
	Service string
	// Kind is the name of the request kind, or of the route, that the entry matched. The
	// executor matches the request too, and refuses the call if the two differ.
	Kind    string
	Method  string
	URI     string
	Headers []Header
	// Key is the Idempotency-Key; empty: none.
	Key string
	// Placement is the version of the placement that the entry has in force.
	Placement uint64
	// Remaining is the time until the deadline. It is a duration because the clocks of VMs
	// differ.
	Remaining time.Duration
	// Claim is the version and generation of Key under which a never-repeat call may run.
	Claim Claim
	// WantStamp asks for a stamp in the answer or refusal.
	WantStamp bool
	// MaxCost is the longest expected time at the gate, queueing and running, with which the
	// gate accepts this attempt; it refuses the attempt at once if it expects more. 0: no
	// limit.
	MaxCost time.Duration
	// Body is the first part of the body. If its Size is above 0 and First is empty, the call
	// offers its body, and the entry sends it as far as Grant frames allow.
	Body Body
	// Routed holds further fields of a request that is routed by host and path.
	Routed Routed
	// WantAck asks the executor to acknowledge the call if it sends no other frame about it
	// in time.
	WantAck bool
	// SentUS is one more than the time on the sender's clock in microseconds when the call
	// was queued; 0: not stated. Clocks of VMs differ: only differences between calls of one
	// link have a meaning.
	SentUS uint64
}

// Routed holds the fields of a routed request that other calls do not have.
type Routed struct {
	_ struct{} `cbor:",toarray"`
	// ID is the id that the caller gave the request; empty: the call is not routed.
	ID   string
	Host string
	// Caller is the service of the backend server on the entry's VM.
	Caller string
	// Repeatable is true when the request may run more than once.
	Repeatable bool
	Priority   uint8
	// Soft makes the gate refuse the call at once while its backend server is slowed or
	// nearly full.
	Soft bool
	// Near is true when the entry is in the executor's data centre. A retry in another data
	// centre then has the cost of crossing between data centres.
	Near bool
	// TargetRemaining is the time until the route's desired response time has passed. A later
	// answer is worth less to the caller.
	TargetRemaining time.Duration
	// Team is the team whose API key the request contained; empty: it contained none.
	Team string
	// TeamPriority is compared before Priority.
	TeamPriority uint8
	// RateLimitMilli is the rate limit of the backend server that the entry knows, in
	// thousandths of a request per second; 0: it knows none. It tells a restarted executor
	// what the process before it knew.
	RateLimitMilli uint32
}

// RateLimit returns RateLimitMilli in requests per second.
func (r *Routed) RateLimit() float64 { return float64(r.RateLimitMilli) / MilliPerUnit }

// Rank returns the rank of the request at the gate, lowest first: the priority of its team,
// then that of its route. Calls made by backend servers have no team and come first: a run
// that occupies a slot waits for each of them.
func (r *Routed) Rank() uint16 { return uint16(r.TeamPriority)<<8 | uint16(r.Priority) }

// Claim identifies one run of a call that has an Idempotency-Key. The executor may run the
// call only after it has replaced exactly this version of the key's row in the store.
type Claim struct {
	_ struct{} `cbor:",toarray"`
	// Version is the version of the key's row; 0: the row does not exist.
	Version uint64
	// Generation numbers the runs that were permitted for the key. For a routed request it
	// is the number of earlier attempts that reached a backend server.
	Generation uint32
}

// Body holds the first part of a body, and the size and xxHash of the whole body. The other
// parts follow in Chunk frames.
type Body struct {
	_     struct{} `cbor:",toarray"`
	Size  uint64
	Hash  uint64
	First []byte
}

// Chunk is a further part of a body. ID is the id of the call, Seq counts the chunks of the
// body from 0.
type Chunk struct {
	_    struct{} `cbor:",toarray"`
	ID   uint64
	Seq  uint32
	Data []byte
}

// Answer is the backend server's response to a call, which the executor sends back to the
// entry. A body longer than ChunkSize continues in Chunk frames.
type Answer struct {
	_       struct{} `cbor:",toarray"`
	ID      uint64
	Status  int
	Headers []Header
	// Queued is the time that the call waited at the gate, Run the time that it ran at the
	// backend server.
	Queued time.Duration
	Run    time.Duration
	Stamp  Stamp
	Body   Body
	// Origin is where the requests of the route come from.
	Origin Origin
	// Slowdown is the backend server's slowdown when the run started, in percent of its
	// usual run time; 0: not known.
	Slowdown uint32
	// CallsFailed is true when calls that the backend server made to other services failed
	// during the run.
	CallsFailed bool
}

// Refusal is sent in place of an Answer, with the reason why there is none.
type Refusal struct {
	_  struct{} `cbor:",toarray"`
	ID uint64
	// Kind is an errkind.Kind, and Ran an errkind.Ran.
	Kind   uint8
	Ran    uint8
	Detail string
	Stamp  Stamp
	// NextClaim is the claim to retry with if Kind is errkind.KeyMoved.
	NextClaim Claim
	// Offered is true when a routed request reached the backend server, or may have reached
	// it.
	Offered bool
	// Origin is where the requests of the route come from.
	Origin Origin
}

// Origin is where the requests of a route come from, as an executor infers it from the VMs
// that they enter through.
type Origin uint8

// The origins of requests.
const (
	// OriginUnknown: the executor has seen too few requests to infer their origin.
	OriginUnknown Origin = iota
	// OriginService: the backend servers of one or a few services send them during their own
	// runs.
	OriginService
	// OriginCallers: callers outside the fleet send them.
	OriginCallers
)

// Cancel tells the executor that the entry no longer needs the answer to a call.
type Cancel struct {
	_  struct{} `cbor:",toarray"`
	ID uint64
}

// Grant allows the entry to send the body of a call up to Offset, in bytes from its start.
// Offset never falls.
type Grant struct {
	_      struct{} `cbor:",toarray"`
	ID     uint64
	Offset uint64
}

// Ack tells the entry that all calls up to ID have been received.
type Ack struct {
	_  struct{} `cbor:",toarray"`
	ID uint64
}

// Pull asks a peer for the placement versions after Have.
type Pull struct {
	_    struct{} `cbor:",toarray"`
	Have uint64
}

// Update contains a placement: either the whole document or the changes from version From
// to Version.
type Update struct {
	_       struct{} `cbor:",toarray"`
	Version uint64
	// Hash is the hash of the whole document of Version.
	Hash string
	// From is the version that Entries apply to; 0 if Document is set.
	From uint64
	// Entries are the encoded changes, in order.
	Entries [][]byte
	// Document is the whole document, as placement.Document.EncodeCompressed encodes it.
	Document []byte
}

// MemberState is the state of one incarnation of a member, in its life cycle. Of two
// records of an incarnation the one with the later state is newer.
type MemberState uint8

// The states of a member, in their order.
const (
	MemberLive MemberState = iota
	MemberLeaving
	MemberGone
)

// Member is one row of the table of members: a VM with its daemon and backend server.
type Member struct {
	_  struct{} `cbor:",toarray"`
	VM string
	// Started comes from the platform, and increases with each VM that gets this id.
	// Incarnation increases with each daemon process on the VM, so that a restarted daemon
	// counts as live although the previous process has left.
	Started     uint64
	Incarnation uint64
	State       MemberState
	Region      string
	DataCentre  string
	Service     string
	// LinkAddress is where the daemon accepts links, CallerAddress where it accepts callers.
	LinkAddress   string
	CallerAddress string
	// Slots is the size of the backend server: its initial concurrency limit.
	Slots uint32
	// Revision increases with each change that an incarnation makes to its own row.
	Revision uint64
	// Backend is the state of the backend server beside the daemon.
	Backend BackendState
	// Version is the version that the backend server has reported; empty: not known.
	Version string
}

// BackendState is the state of a backend server as its daemon reports it.
type BackendState uint8

// The states of a backend server. A daemon that does not watch its backend server reports
// BackendLive.
const (
	BackendLive BackendState = iota
	// BackendAbsent is the state of a backend server that accepts no requests: it is not
	// known yet, is leaving, or is down.
	BackendAbsent
)

// Members contains rows of the table of members that changed, or that a peer asked for.
type Members struct {
	_    struct{} `cbor:",toarray"`
	Rows []Member
}

// MembersAsk asks a peer for the rows in which the two tables of members differ. Buckets
// holds the digest of each bucket of the sender's table.
type MembersAsk struct {
	_       struct{} `cbor:",toarray"`
	Buckets []uint32
}
