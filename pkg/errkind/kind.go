// Package errkind defines all error kinds and the table that maps each kind to the answer
// that a caller receives. Source: brief, "House style" and docs/design/retries.md.
package errkind

// Kind is the reason why a call was refused or failed. Only this package defines kinds.
type Kind uint8

// The kinds; see table for the name, HTTP status and advice of each.
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
	// Daemons of different releases exchange kinds as numbers, so new kinds go at the end.
	DataCentreEvacuated
	VersionHeld
	RequestHeld
	KeyUnknown
	KeysUnsure
	LimitUsed
	LimitUnsure
	DrainEnded
	kindCount
)

// Ran says whether a backend server may have run the call.
type Ran uint8

const (
	// RanNo means that no backend server ran the call. An earlier call with the same
	// Idempotency-Key may have run.
	RanNo Ran = iota
	// RanMaybe means that a backend server may have run the call.
	RanMaybe
)

// String returns the value of the Rushramp-Ran header.
func (r Ran) String() string {
	if r == RanNo {
		return "no"
	}
	return "maybe"
}

// Row is the row of a kind in the table.
type Row struct {
	// Name is the value of the Rushramp-Error header. It is the same in all releases.
	Name string
	// Status is the HTTP status of the answer.
	Status int
	// Ran is the Ran of a new error of this kind.
	Ran Ran
	// Elsewhere is true if another executor may be able to run the call. It is false for
	// kinds with RanMaybe.
	Elsewhere bool
	// Unoffered is true if the call was refused before any backend server or gate weighed
	// it, so that another attempt is no retry.
	Unoffered bool
	// Overload is true if the reason is too much load. The entry marks its answer
	// accordingly, so that no service further up the chain of calls retries.
	Overload bool
	// RetryAfterMS is the time, in milliseconds, after which the caller may retry. If it is
	// 0, the answer has no Retry-After header.
	RetryAfterMS int
	// Advice tells the person who reads the answer what to do.
	Advice string
}

// table maps each kind to its row.
var table = [kindCount]Row{
	None:                 {Name: "none", Status: 200, Advice: "No error."},
	BadRequest:           {Name: "bad_request", Status: 400, Advice: "Correct the request as the detail says and send it again."},
	BodyCut:              {Name: "body_cut", Status: 400, Advice: "The body ended before its stated length; send the whole request again."},
	BodyTooLarge:         {Name: "body_too_large", Status: 413, Advice: "Send a smaller body, or ask the operators to raise limits.max_body_bytes."},
	UnknownService:       {Name: "unknown_service", Status: 404, Advice: "Check the service name, or ask the operators to place the service."},
	UnknownRequestKind:   {Name: "unknown_request_kind", Status: 404, Advice: "No kind of request in the placement matches this method and path; ask the operators to add one."},
	KeyMissing:           {Name: "key_missing", Status: 400, Advice: "Add an Idempotency-Key header; this kind of request may never be repeated."},
	KeyReused:            {Name: "key_reused", Status: 422, Advice: "This Idempotency-Key was used for a different request; use a new key."},
	KeyExpired:           {Name: "key_expired", Status: 410, Advice: "This Idempotency-Key is too old to be retried; look up the outcome in your own records."},
	KeyMoved:             {Name: "key_moved", Status: 503, RetryAfterMS: 100, Advice: "The record of this Idempotency-Key has changed in the meantime; try again with the same key."},
	WrongPlace:           {Name: "wrong_place", Status: 421, Advice: "This data centre may not handle this kind of request; send it to one that the detail names."},
	PlacementUnknown:     {Name: "placement_unknown", Status: 503, Elsewhere: true, Unoffered: true, RetryAfterMS: 1000, Advice: "This daemon has no placement yet; try another daemon, or try again later."},
	PlacementStale:       {Name: "placement_stale", Status: 503, Elsewhere: true, Unoffered: true, RetryAfterMS: 100, Advice: "The entry and the executor have different placement versions; try again."},
	PlacementUnsure:      {Name: "placement_unsure", Status: 503, RetryAfterMS: 2000, Advice: "This daemon has heard neither from the store nor from other data centres for too long, so its placement may be out of date; try a daemon in another data centre."},
	NoBackendServer:      {Name: "no_backend_server", Status: 503, RetryAfterMS: 500, Advice: "No backend server in the allowed data centres can run the call; try again later or ask the operators."},
	Overloaded:           {Name: "overloaded", Status: 503, Elsewhere: true, Overload: true, RetryAfterMS: 200, Advice: "The backend servers of this service are overloaded; try again after the time in the answer."},
	OverloadedBelow:      {Name: "overloaded_below", Status: 503, Overload: true, RetryAfterMS: 200, Advice: "A service that this one calls is overloaded; try again only after the time in the answer."},
	GateBusier:           {Name: "gate_busier", Status: 503, Elsewhere: true, Overload: true, RetryAfterMS: 200, Advice: "The chosen backend server was busier than the entry expected; try again after the time in the answer."},
	Leaving:              {Name: "leaving", Status: 503, Elsewhere: true, Unoffered: true, RetryAfterMS: 50, Advice: "This daemon is shutting down; use another one."},
	DeadlineBeforeRun:    {Name: "deadline_before_run", Status: 504, Advice: "The deadline passed before the call could start; allow more time, or send it when the load is lower."},
	CallerLimit:          {Name: "caller_limit", Status: 429, RetryAfterMS: 200, Advice: "Too many calls from this address are in flight; wait until some have ended."},
	StoreUnavailable:     {Name: "store_unavailable", Status: 503, RetryAfterMS: 1000, Advice: "The platform's table service did not answer, so a call that may not be repeated was not run; try again with the same key."},
	BackendUnreachable:   {Name: "backend_unreachable", Status: 503, Elsewhere: true, RetryAfterMS: 100, Advice: "The backend server refused the connection; try again."},
	LinkUnavailable:      {Name: "link_unavailable", Status: 503, Elsewhere: true, Unoffered: true, RetryAfterMS: 100, Advice: "There is no link to the chosen daemon; try again."},
	CallerGone:           {Name: "caller_gone", Status: 499, Advice: "The caller disconnected before the call started."},
	KeyInProgress:        {Name: "key_in_progress", Status: 409, Ran: RanMaybe, RetryAfterMS: 500, Advice: "A call with this Idempotency-Key has started and its outcome is not recorded yet; ask again later with the same key."},
	DeadlineWhileRunning: {Name: "deadline_while_running", Status: 504, Ran: RanMaybe, Advice: "The deadline passed while the backend server worked; it may have run the call."},
	LinkLost:             {Name: "link_lost", Status: 502, Ran: RanMaybe, Advice: "The link to the executor broke; the call may have run."},
	BackendFailed:        {Name: "backend_failed", Status: 502, Ran: RanMaybe, Advice: "The request to the backend server failed; the call may have run."},
	AnswerCut:            {Name: "answer_cut", Status: 502, Ran: RanMaybe, Advice: "The answer of the backend server was incomplete and was dropped; the call may have run."},
	UnknownRoute:         {Name: "unknown_route", Status: 404, Advice: "No route of the placement in force matches this host and path; ask the operators to add one."},
	BackendRefused:       {Name: "backend_refused", Status: 503, Elsewhere: true, Overload: true, RetryAfterMS: 100, Advice: "The backend server was overloaded and did not run the request; try again after the time in the answer."},
	BackendReplaced:      {Name: "backend_replaced", Status: 503, Elsewhere: true, RetryAfterMS: 100, Advice: "A new backend server has replaced the chosen one at its address; try again."},
	BackendAbsent:        {Name: "backend_absent", Status: 503, Elsewhere: true, Unoffered: true, RetryAfterMS: 100, Advice: "The backend server beside the chosen daemon is shutting down, down or not known yet; try again."},
	HeaderTooLarge:       {Name: "header_too_large", Status: 431, Advice: "Send a request with smaller headers."},
	DataCentreEvacuated:  {Name: "data_centre_evacuated", Status: 503, Elsewhere: true, Unoffered: true, RetryAfterMS: 500, Advice: "Operators have evacuated the data centre of the chosen backend server; try again, or ask the operators to end the evacuation."},
	VersionHeld:          {Name: "version_held", Status: 503, Elsewhere: true, Unoffered: true, RetryAfterMS: 100, Advice: "A roll-out lets no requests run at this version of the service at the moment; try again."},
	RequestHeld:          {Name: "request_held", Status: 503, RetryAfterMS: 60000, Advice: "Backend servers that ran a request with this content crashed, so such requests are refused for some time. Do not send it again before the time in the answer, and tell the operators its id."},
	KeyUnknown:           {Name: "key_unknown", Status: 401, Advice: "The key of the request belongs to no team of the placement in force; send a key that the operators have given you."},
	KeysUnsure:           {Name: "keys_unsure", Status: 503, RetryAfterMS: 500, Advice: "This daemon cannot check whether keys are still valid; send the request through a daemon in another data centre, or try again later."},
	LimitUsed:            {Name: "limit_used", Status: 429, RetryAfterMS: 200, Advice: "The team has reached its request limit; try again after the time in the answer, or ask the operators to raise the limit."},
	LimitUnsure:          {Name: "limit_unsure", Status: 503, RetryAfterMS: 300, Advice: "The daemon that counts the team's requests has not answered; try again after the time in the answer."},
	DrainEnded:           {Name: "drain_ended", Status: 502, Ran: RanMaybe, Advice: "The daemon stopped before the backend server answered; the call may have run."},
	Internal:             {Name: "internal", Status: 500, Ran: RanMaybe, Advice: "An internal error of rushramp; report it with the log of the daemon."},
}

// Table returns a copy of all rows, indexed by Kind.
func Table() []Row {
	rows := make([]Row, kindCount)
	copy(rows, table[:])
	return rows
}

// Parse returns the kind for a number from a peer. An unknown number becomes Internal.
func Parse(number uint8) Kind {
	if Kind(number) >= kindCount {
		return Internal
	}
	return Kind(number)
}

// Row returns the kind's row of the table.
func (k Kind) Row() Row {
	return table[Parse(uint8(k))]
}

// String returns the name of the kind.
func (k Kind) String() string { return k.Row().Name }
