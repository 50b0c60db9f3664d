// Package errkind holds the closed list of error kinds and the one table that
// maps a kind to the answer a caller receives. Source: brief, "House style"
// and docs/design/retries.md.
package errkind

// Kind names one reason why a call was refused or failed. The list is closed:
// code outside this package never invents a kind.
type Kind uint8

// The kinds. Their text, HTTP status and meaning stand in the table below.
const (
	None Kind = iota
	BadRequest
	BodyCut
	BodyTooLarge
	UnknownService
	UnknownRequestKind
	KeyMissing
	KeyReused
	KeyExpired
	KeyMoved
	WrongPlace
	PlacementUnknown
	PlacementStale
	PlacementUnsure
	NoBackendServer
	Overloaded
	OverloadedBelow
	GateBusier
	Leaving
	DeadlineBeforeRun
	CallerLimit
	StoreUnavailable
	BackendUnreachable
	LinkUnavailable
	CallerGone
	KeyInProgress
	DeadlineWhileRunning
	LinkLost
	BackendFailed
	AnswerCut
	UnknownRoute
	BackendRefused
	BackendReplaced
	BackendAbsent
	HeaderTooLarge
	Internal
	// Kinds are told between releases by their number: a new one comes last.
	DataCentreEvacuated
	VersionHeld
	RequestHeld
	KeyUnknown
	KeysUnsure
	LimitUsed
	LimitUnsure
	kindCount
)

// Ran says whether the backend server may have seen the call.
type Ran uint8

const (
	// RanNo means that no byte of the call was handed to a backend server.
	RanNo Ran = iota
	// RanMaybe means that the backend server may have run the call.
	RanMaybe
)

// String returns the word that the Rushramp-Ran header carries.
func (r Ran) String() string {
	if r == RanNo {
		return "no"
	}
	return "maybe"
}

// Row is what the table says of one kind.
type Row struct {
	// Name is the stable word in the Rushramp-Error header.
	Name string
	// Status is the HTTP status of the answer.
	Status int
	// Ran is the strongest claim this kind may make.
	Ran Ran
	// Elsewhere is true when another executor may succeed where this one
	// refused. Only kinds with RanNo have it.
	Elsewhere bool
	// Overload is true when the kind tells of too much load. The entry marks
	// it for its own caller, so that nobody further up retries.
	Overload bool
	// RetryAfterMS tells the caller when to come back; 0 leaves the header out.
	RetryAfterMS int
	// Advice is a sentence for the person who reads the answer.
	Advice string
}

var table = [kindCount]Row{
	None:                 {Name: "none", Status: 200, Advice: "Nothing went wrong."},
	BadRequest:           {Name: "bad_request", Status: 400, Advice: "Correct the request as the detail says and send it again."},
	BodyCut:              {Name: "body_cut", Status: 400, Advice: "The body ended before its stated length; send the whole request again."},
	BodyTooLarge:         {Name: "body_too_large", Status: 413, Advice: "Send a smaller body, or ask the operators to raise limits.max_body_bytes."},
	UnknownService:       {Name: "unknown_service", Status: 404, Advice: "Check the service name, or ask the operators to place the service."},
	UnknownRequestKind:   {Name: "unknown_request_kind", Status: 404, Advice: "No kind of request in the placement matches this method and path; ask the operators to add one."},
	KeyMissing:           {Name: "key_missing", Status: 400, Advice: "Add an Idempotency-Key header: this kind of request may never be repeated."},
	KeyReused:            {Name: "key_reused", Status: 422, Advice: "This Idempotency-Key already belongs to a different request; use a new key."},
	KeyExpired:           {Name: "key_expired", Status: 410, Advice: "This Idempotency-Key is too old to be retried; look up the outcome in your own records."},
	KeyMoved:             {Name: "key_moved", Status: 503, RetryAfterMS: 100, Advice: "Another request with this Idempotency-Key came between; try again with the same key."},
	WrongPlace:           {Name: "wrong_place", Status: 421, Advice: "This data centre may not handle this kind of request; send it to one that the detail names."},
	PlacementUnknown:     {Name: "placement_unknown", Status: 503, Elsewhere: true, RetryAfterMS: 1000, Advice: "This daemon has no placement yet; try another daemon or come back later."},
	PlacementStale:       {Name: "placement_stale", Status: 503, Elsewhere: true, RetryAfterMS: 100, Advice: "Entry and executor hold different placement versions; try again."},
	PlacementUnsure:      {Name: "placement_unsure", Status: 503, RetryAfterMS: 2000, Advice: "This daemon is cut off and cannot tell whether its placement is still in force; try a daemon in another data centre."},
	NoBackendServer:      {Name: "no_backend_server", Status: 503, RetryAfterMS: 500, Advice: "No backend server in the allowed data centres can take the call; try again later or ask the operators."},
	Overloaded:           {Name: "overloaded", Status: 503, Elsewhere: true, Overload: true, RetryAfterMS: 200, Advice: "The backend servers of this service are full; come back after the stated time."},
	OverloadedBelow:      {Name: "overloaded_below", Status: 503, Overload: true, RetryAfterMS: 200, Advice: "A service that this one calls is full; do not retry at once, come back after the stated time."},
	GateBusier:           {Name: "gate_busier", Status: 503, Elsewhere: true, Overload: true, RetryAfterMS: 200, Advice: "The chosen backend server was busier than the entry believed; come back after the stated time."},
	Leaving:              {Name: "leaving", Status: 503, Elsewhere: true, RetryAfterMS: 50, Advice: "This daemon is leaving; use another one."},
	DeadlineBeforeRun:    {Name: "deadline_before_run", Status: 504, Advice: "The time ran out before the call could start; allow more time or send it when load is lower."},
	CallerLimit:          {Name: "caller_limit", Status: 429, RetryAfterMS: 200, Advice: "Too many calls in flight from this address; wait for some to end."},
	StoreUnavailable:     {Name: "store_unavailable", Status: 503, RetryAfterMS: 1000, Advice: "The platform's table service did not answer, so a call that may not be repeated was not run; try again with the same key."},
	BackendUnreachable:   {Name: "backend_unreachable", Status: 503, Elsewhere: true, RetryAfterMS: 100, Advice: "The backend server refused the connection; try again."},
	LinkUnavailable:      {Name: "link_unavailable", Status: 503, Elsewhere: true, RetryAfterMS: 100, Advice: "There is no link to the chosen daemon; try again."},
	CallerGone:           {Name: "caller_gone", Status: 499, Advice: "The caller left before the call started."},
	KeyInProgress:        {Name: "key_in_progress", Status: 409, Ran: RanMaybe, RetryAfterMS: 500, Advice: "A call with this Idempotency-Key has started and its outcome is not recorded yet; ask again later with the same key."},
	DeadlineWhileRunning: {Name: "deadline_while_running", Status: 504, Ran: RanMaybe, Advice: "The time ran out while the backend server worked; it may have run the call."},
	LinkLost:             {Name: "link_lost", Status: 502, Ran: RanMaybe, Advice: "The link to the executor broke; the call may have run."},
	BackendFailed:        {Name: "backend_failed", Status: 502, Ran: RanMaybe, Advice: "The backend server broke off; the call may have run."},
	AnswerCut:            {Name: "answer_cut", Status: 502, Ran: RanMaybe, Advice: "The answer arrived incomplete and was dropped; the call may have run."},
	UnknownRoute:         {Name: "unknown_route", Status: 404, Advice: "No route of the placement in force fits this host and path; ask the operators to add one."},
	BackendRefused:       {Name: "backend_refused", Status: 503, Elsewhere: true, Overload: true, RetryAfterMS: 100, Advice: "The backend server was full and did not run the request; come back after the stated time."},
	BackendReplaced:      {Name: "backend_replaced", Status: 503, Elsewhere: true, RetryAfterMS: 100, Advice: "Another backend server has taken the address over; try again."},
	BackendAbsent:        {Name: "backend_absent", Status: 503, Elsewhere: true, RetryAfterMS: 100, Advice: "The backend server beside the chosen daemon is leaving, down or not known yet; try again."},
	HeaderTooLarge:       {Name: "header_too_large", Status: 431, Advice: "Send a smaller head."},
	DataCentreEvacuated:  {Name: "data_centre_evacuated", Status: 503, Elsewhere: true, RetryAfterMS: 500, Advice: "Operators have evacuated the data centre of the chosen backend server; try again, or ask the operators to take it back."},
	VersionHeld:          {Name: "version_held", Status: 503, Elsewhere: true, RetryAfterMS: 100, Advice: "A roll-out lets no request run at this version of the service now; try again."},
	RequestHeld:          {Name: "request_held", Status: 503, RetryAfterMS: 60000, Advice: "Each backend server that ran a request of this content ended; it is held back. Do not send it again before the stated time, and tell the operators its id."},
	KeyUnknown:           {Name: "key_unknown", Status: 401, Advice: "No team of the placement in force holds the key that came with the request; send a key that the operators have given you."},
	KeysUnsure:           {Name: "keys_unsure", Status: 503, RetryAfterMS: 500, Advice: "This daemon cannot tell whether keys are still in force; send it through a daemon elsewhere, or come back later."},
	LimitUsed:            {Name: "limit_used", Status: 429, RetryAfterMS: 200, Advice: "The team has used its limit of requests; come back after the stated time, or ask the operators to raise the limit."},
	LimitUnsure:          {Name: "limit_unsure", Status: 503, RetryAfterMS: 300, Advice: "The daemon that counts the team's requests has not answered; come back after the stated time."},
	Internal:             {Name: "internal", Status: 500, Ran: RanMaybe, Advice: "A fault in rushramp; report it with the daemon's log."},
}

// Table returns a copy of all rows, indexed by Kind.
func Table() []Row {
	rows := make([]Row, kindCount)
	copy(rows, table[:])
	return rows
}

// Parse returns the kind with a number that a peer sent. A number outside the
// list becomes Internal.
func Parse(number uint8) Kind {
	if Kind(number) >= kindCount {
		return Internal
	}
	return Kind(number)
}

// Row returns what the table says of the kind.
func (k Kind) Row() Row {
	return table[Parse(uint8(k))]
}

// String returns the stable word of the kind.
func (k Kind) String() string { return k.Row().Name }
