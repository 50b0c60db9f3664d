// Package events holds the numbered log events and the logger that writes them.
// Each event stands once in the catalogue; docs/EVENTS.md is generated from it.
package events

// Level is the severity of an event.
type Level uint8

// The levels, from least to most severe.
const (
	Debug Level = iota
	Info
	Warn
	Error
)

var levelNames = [...]string{"debug", "info", "warn", "error"}

// String returns the level's word in log lines and settings.
func (l Level) String() string { return levelNames[l] }

// ID is the number of an event. Numbers are never given twice.
type ID int

// The events. Hundreds group them: 1xx process, 2xx links, 3xx placement,
// 4xx members, 5xx calls, 6xx never-repeat calls, 7xx platform.
const (
	DaemonStarted     ID = 101
	DaemonReady       ID = 102
	DaemonDraining    ID = 103
	DaemonStopped     ID = 104
	ListenerFailed    ID = 105
	SettingsRead      ID = 106
	SettingsRefused   ID = 107
	LinkUp            ID = 201
	LinkDown          ID = 202
	LinkBadFrame      ID = 203
	LinkRefused       ID = 204
	PlacementInForce  ID = 301
	PlacementRejected ID = 302
	PlacementChanged  ID = 303
	PlacementUnsure   ID = 304
	MemberJoined      ID = 401
	MemberLeaving     ID = 402
	MemberGone        ID = 403
	CallFault         ID = 501
	BackendDown       ID = 502
	BackendUp         ID = 503
	RequestFailed     ID = 504
	BackendState      ID = 505
	ClaimLost         ID = 601
	ClaimVoided       ID = 602
	ClaimUnknown      ID = 603
	PlatformDown      ID = 701
	PlatformUp        ID = 702
	FeedReopened      ID = 703
	FeedBehind        ID = 704
	DocumentRefused   ID = 705
	DepartureNotKept  ID = 706
)

// Entry is the catalogue's row of one event.
type Entry struct {
	ID    ID
	Level Level
	// Text is the msg field of the log line.
	Text string
	// Cause says what brings the event about.
	Cause string
	// Do says what an operator should do.
	Do string
}

// Catalogue returns all events in the order of their numbers.
func Catalogue() []Entry {
	return []Entry{
		{DaemonStarted, Info, "daemon started", "The process read its settings and opened its listeners.", "Nothing."},
		{DaemonReady, Info, "daemon takes calls", "The daemon has a placement version and a list of members.", "Nothing."},
		{DaemonDraining, Info, "daemon is leaving", "SIGTERM, an operator's drain, or the platform's leaving mark.", "Wait for event 104; calls in flight end first."},
		{DaemonStopped, Info, "daemon stopped", "All calls ended, or the drain bound passed (field cut tells how many were cut).", "If cut is not 0, raise drain.bound."},
		{ListenerFailed, Error, "listener failed", "The address is in use or not of this VM.", "Correct the address in the settings and start again."},
		{SettingsRead, Info, "settings file read again", "SIGHUP, or the file changed.", "Sections named in changed come into force at the daemon's next start."},
		{SettingsRefused, Error, "settings file refused", "The file cannot be read or a value is not allowed; the settings in force stay.", "Correct the file as the line says."},
		{LinkUp, Debug, "link up", "A link to another daemon was opened or accepted.", "Nothing."},
		{LinkDown, Info, "link down", "The other daemon ended, or the network between the two broke.", "If it repeats for one peer, look at that VM and the network."},
		{LinkBadFrame, Warn, "bad frame on link, link closed", "A peer sent bytes that are not a frame, or a frame over the bound.", "Check that both daemons run compatible releases."},
		{LinkRefused, Debug, "link refused", "The peer did not accept a connection.", "Nothing, unless the peer should be live."},
		{PlacementInForce, Info, "placement in force", "A newer placement version was taken over.", "Nothing."},
		{PlacementRejected, Error, "placement version refused", "Its content does not match its hash, or it cannot be read.", "Check the object store; apply the placement again."},
		{PlacementChanged, Info, "placement changed by operator", "An operator's change was accepted.", "Nothing; the line holds author and version."},
		{PlacementUnsure, Warn, "placement may be out of date", "Neither the store nor readers of other data centres were heard within placement.unsure_after.", "Look at the network of this data centre; strict kinds are refused meanwhile."},
		{MemberJoined, Debug, "member joined", "A VM appeared in the platform's list or was heard of.", "Nothing."},
		{MemberLeaving, Info, "member is leaving", "A VM was marked as leaving.", "Nothing."},
		{MemberGone, Info, "member gone", "A VM left the platform's list or stopped answering.", "Nothing, unless many go at once."},
		{CallFault, Error, "fault while handling a call", "A fault in rushramp; the call was answered as internal.", "Report it with this line."},
		{BackendDown, Warn, "backend server does not accept calls", "The backend server beside this daemon refuses connections.", "Look at the backend server on this VM."},
		{BackendUp, Info, "backend server accepts calls again", "A connection succeeded after event 502.", "Nothing."},
		{RequestFailed, Info, "routed request was not answered by a backend server", "The line says which kind, whether it may have run, and how many attempts were made.", "Look up the kind in ERRORS.md; follow the request's id in the lines of the other daemons."},
		{BackendState, Info, "backend server's state changed", "It announced itself, said that it leaves, was replaced, or refused connections.", "Nothing, unless it stays down."},
		{ClaimLost, Info, "claim taken by another executor", "Two executors tried the same never-repeat call; only one may run it.", "Nothing."},
		{ClaimVoided, Info, "abandoned claim voided", "This executor held a claim that it had not handed over.", "Nothing."},
		{ClaimUnknown, Warn, "claim outcome unknown", "The store answered neither the write nor the read-back in time; the call was not run.", "Look at the platform's table service."},
		{PlatformDown, Warn, "platform does not answer", "The table service, object store or VM list failed.", "Look at the platform; other traffic goes on."},
		{PlatformUp, Info, "platform answers again", "A request succeeded after event 701.", "Nothing."},
		{FeedReopened, Info, "placement feed opened again", "A peer knew of a newer version than the feed had told of, or the feed failed.", "Nothing, unless it repeats."},
		{FeedBehind, Warn, "placement feed lost its history", "The store forgot the changes since the last one seen; the newest version is read whole.", "Nothing."},
		{DocumentRefused, Error, "placement document refused", "The row in the store cannot be read; the version in force stays.", "Correct the document and write it again."},
		{DepartureNotKept, Warn, "departure was not written to the store", "The store did not answer in time; peers were told.", "Look at the platform's store."},
	}
}
