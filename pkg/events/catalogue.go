// Package events holds the numbered log events and the logger that writes them.
// Each event stands once in the catalogue; docs/EVENTS.md is generated from it.
package events

import "strconv"

// Level is the severity of an event.
type Level uint8

// The levels, from least to most severe.
const (
	Debug Level = iota
	Info
	Warn
	Error
	// nothing is above all levels: a log of this minimum writes nothing.
	nothing
)

var levelNames = [...]string{"debug", "info", "warn", "error"}

// String returns the level's word in log lines and settings.
func (l Level) String() string { return levelNames[l] }

// ID is the number of an event. Numbers are never given twice.
type ID int

// The events. Hundreds group them: 1xx process, 2xx links, 3xx placement,
// 4xx members, 5xx calls, 6xx never-repeat calls, 7xx platform and, from 760
// on, requests behind one another on a connection.
const (
	DaemonStarted        ID = 101
	DaemonReady          ID = 102
	DaemonDraining       ID = 103
	DaemonStopped        ID = 104
	ListenerFailed       ID = 105
	SettingsRead         ID = 106
	SettingsRefused      ID = 107
	LinesDropped         ID = 108
	VMSuspended          ID = 109
	LinkUp               ID = 201
	LinkDown             ID = 202
	LinkBadFrame         ID = 203
	LinkRefused          ID = 204
	LinkSurplus          ID = 205
	LinkTraffic          ID = 206
	PlacementInForce     ID = 301
	PlacementRejected    ID = 302
	PlacementChanged     ID = 303
	PlacementUnsure      ID = 304
	EvacuationChanged    ID = 305
	EvacuationOrdered    ID = 306
	MemberJoined         ID = 401
	MemberLeaving        ID = 402
	MemberGone           ID = 403
	CallFault            ID = 501
	BackendDown          ID = 502
	BackendUp            ID = 503
	RequestFailed        ID = 504
	BackendState         ID = 505
	RequestAnswered      ID = 506
	RunEnded             ID = 507
	RunRefused           ID = 508
	RunAbandoned         ID = 509
	SpeedChanged         ID = 510
	SlotsChanged         ID = 511
	RetryBudgetEmpty     ID = 512
	ChecksPaused         ID = 513
	ChecksResumed        ID = 514
	LimitChanged         ID = 515
	BackendCold          ID = 516
	BackendEnded         ID = 517
	ContentHeld          ID = 518
	ContentReleased      ID = 519
	InvalidRecord        ID = 520
	QuotaCounterChanged  ID = 521
	ClaimLost            ID = 601
	ClaimVoided          ID = 602
	ClaimUnknown         ID = 603
	PlatformDown         ID = 701
	PlatformUp           ID = 702
	FeedReopened         ID = 703
	FeedHistoryLost      ID = 704
	DocumentRefused      ID = 705
	DepartureNotStored   ID = 706
	StoreCalls           ID = 707
	RowsNotSwept         ID = 708
	HeldRequestNotStored ID = 709
	StoreRestored        ID = 710
	PipelineAborted      ID = 760
	PipelineFault        ID = 761
	RolloutRefused       ID = 780
	RolloutOrderChanged  ID = 781
	RolloutPhase         ID = 782
	RolloutStopped       ID = 783
	RolloutRowFailed     ID = 784
	RolloutGuard         ID = 785
	RolloutWatch         ID = 786
	RolloutDecided       ID = 787
	RolloutOrderWritten  ID = 774
)

// Entry is the catalogue's row of one event.
type Entry struct {
	ID    ID
	Level Level
	// Text is the msg field of the log line.
	Text string
	// Routine lines are many and tell that all is well; they are the first to be
	// left out.
	Routine bool
	// Cause says what brings the event about.
	Cause string
	// Advice says what an operator should do.
	Advice string
}

// Catalogue returns all events in the order of their numbers.
func Catalogue() []Entry {
	return []Entry{
		{DaemonStarted, Info, "daemon started", false, "The process read its settings and opened its listeners.", "Nothing."},
		{DaemonReady, Info, "daemon takes calls", false, "The daemon has a placement version and a list of members.", "Nothing."},
		{DaemonDraining, Info, "daemon is leaving", false, "SIGTERM, an operator's drain, or the platform's leaving mark.", "Wait for event 104; calls in flight end first."},
		{DaemonStopped, Info, "daemon stopped", false, "All calls ended, or the drain bound passed (field cut tells how many were cut).", "If cut is not 0, raise drain.bound."},
		{ListenerFailed, Error, "listener failed", false, "The address is in use or not of this VM.", "Correct the address in the settings and start again."},
		{SettingsRead, Info, "settings file read again", false, "SIGHUP, or the file changed.", "Sections named in changed come into force at the daemon's next start."},
		{SettingsRefused, Error, "settings file refused", false, "The file cannot be read or a value is not allowed; the settings in force stay.", "Correct the file as the line says."},
		{LinesDropped, Warn, "log lines left out", false, "More lines than log.lines_per_second or log.bytes_per_second allow, or a reader of the log that stands still.", "by_event tells how many of each event; raise the bounds in log if failures are among them."},
		{VMSuspended, Warn, "VM was suspended", false, "The clock that counts suspension moved on while the process stood still; total is since its start.", "Nothing once; look at the platform's VMs if it repeats. Requests whose time was over are refused, and links that peers have given up are opened anew."},
		{LinkUp, Debug, "link up", false, "A link to another daemon was opened or accepted.", "Nothing."},
		{LinkDown, Info, "link down", false, "The other daemon ended, or the network between the two broke.", "If it repeats for one peer, look at that VM and the network."},
		{LinkBadFrame, Warn, "bad frame on link, link closed", false, "A peer sent bytes that are not a frame, or a frame over the bound.", "Check that both daemons run compatible releases."},
		{LinkRefused, Debug, "link refused", false, "The peer did not accept a connection.", "Nothing, unless the peer should be live."},
		{LinkSurplus, Debug, "link closed, not needed any more", false, "No subset of a service and no sample has held the peer for some seconds.", "Nothing."},
		{LinkTraffic, Info, "traffic with other daemons", true, "Each ten seconds: links, and frames and bytes sent since the last such line, by kind and by how far they went: near (the own data centre), region (another one of the region), other (another region).", "Nothing; compare it with docs/CAPACITY.md when a network or a processor is full."},
		{PlacementInForce, Info, "placement in force", false, "A newer placement version was taken over.", "Nothing."},
		{PlacementRejected, Error, "placement version refused", false, "Its content does not match its hash, or it cannot be read.", "Check the object store; apply the placement again."},
		{PlacementChanged, Info, "placement changed by operator", false, "An operator's change was accepted.", "Nothing; the line holds author and version."},
		{PlacementUnsure, Warn, "placement may be out of date", false, "Neither the store nor readers of other data centres were heard within placement.unsure_after.", "Look at the network of this data centre; strict kinds are refused meanwhile."},
		{EvacuationChanged, Info, "evacuated data centres changed", false, "Operators evacuated a data centre or took one back; data_centres names all that are evacuated now, revision the store's counter at which that held.", "Nothing; requests under way there end, and new ones go elsewhere."},
		{EvacuationOrdered, Info, "evacuation changed by operator", false, "An operator evacuated a data centre or took one back through this daemon.", "Nothing; the line holds author and revision."},
		{MemberJoined, Debug, "member joined", false, "A VM appeared in the platform's list or was heard of.", "Nothing."},
		{MemberLeaving, Info, "member is leaving", false, "A VM was marked as leaving.", "Nothing."},
		{MemberGone, Info, "member gone", false, "A VM left the platform's list or stopped answering.", "Nothing, unless many go at once."},
		{CallFault, Error, "fault while handling a call", false, "A fault in rushramp; the call was answered as internal.", "Report it with this line."},
		{BackendDown, Warn, "backend server does not accept calls", false, "The backend server beside this daemon refuses connections.", "Look at the backend server on this VM."},
		{BackendUp, Info, "backend server accepts calls again", false, "A connection succeeded after event 502.", "Nothing."},
		{RequestFailed, Info, "routed request was not answered by a backend server", false, "The line says which kind, whether it may have run, and how many attempts were made.", "Look up the kind in ERRORS.md; follow the request's id in the lines of the other daemons."},
		{BackendState, Info, "backend server's state changed", false, "It announced itself, said that it leaves, was replaced, or refused connections.", "Nothing, unless it stays down."},
		{RequestAnswered, Info, "routed request answered by a backend server", true, "Each request that a backend server answered, at its entry.", "Nothing; field attempts holds each try with what the entry knew then."},
		{RunEnded, Info, "run ended at the backend server", true, "Each request that this daemon handed to its backend server.", "Nothing, unless status is 500 or more."},
		{RunRefused, Info, "request refused at the gate", true, "The gate, or a check before it, refused a request as not run; another backend server may have taken it.", "Nothing; many of kind overloaded mean that the service is full."},
		{RunAbandoned, Info, "request left its executor unrun", true, "Nobody waits for it any more, or it waited as long as it may.", "Nothing; many mean that the service is full or callers have little time."},
		{SpeedChanged, Info, "backend server's speed class changed", true, "Its own word on its speed crossed routing.soft_slowdown.", "Nothing; a neighbour on its VM takes processor time."},
		{SlotsChanged, Info, "backend server's number of slots changed", false, "It said how many requests it runs at once.", "Nothing."},
		{RetryBudgetEmpty, Warn, "retry budget empty", false, "More requests of the service failed than may be sent again.", "Look why they fail (504, 507); requests that fail now are answered at once."},
		{ChecksPaused, Warn, "health path does not answer in time", false, "A check that starting requests waited for failed, or took longer than routing.look_within; requests start on the last word until the pause is over.", "If it repeats, look at the backend server's health path."},
		{ChecksResumed, Info, "health path answers again", false, "A check succeeded after event 513.", "Nothing."},
		{LimitChanged, Info, "number of runs at once changed", false, "The gate has learnt from runs above which number work slows, or that it does not.", "Nothing."},
		{BackendCold, Info, "backend server became cold, or is warm again", false, "It has started or come back; while it is cold, no more than most_starts requests start there in a second (0: any number).", "Nothing; requests that cannot start in time go elsewhere, or are refused."},
		{BackendEnded, Warn, "backend server's process ended under requests", false, "Its connections broke while it ran requests, and it refuses new ones; contents names each request that ran, with the fingerprint of its content.", "Look at the backend server's own log. A content that stands in several such lines ends each backend server that runs it: find its request by the id in event 504."},
		{ContentHeld, Warn, "requests of one content are held back", false, "Each backend server that ran a request of this content ended, and none has run one to its end since.", "Find such a request by the content in events 517 and 504, and mend what ends the backend server; the content may run again when left is over."},
		{ContentReleased, Info, "requests of one content run again", false, "The time is over, or a backend server has run one to its end; why says which.", "Nothing."},
		{InvalidRecord, Warn, "word of another writer passed over", false, "An announcement, or a row of the store, lacks fields, holds some of another type, names a state or service that is not one here, or cannot be read.", "Find who writes it: what names the sender or the row. It names no backend server to use; the others hold."},
		{QuotaCounterChanged, Debug, "another daemon counts teams", false, "The daemon that counted the requests of a group of teams cannot be reached, or one that should count before it is back; counter names its VM and process.", "Nothing. While it repeats within seconds, teams may be refused within their limit: look at the network between the named VMs."},
		{ClaimLost, Info, "claim taken by another executor", false, "Two executors tried the same never-repeat call; only one may run it.", "Nothing."},
		{ClaimVoided, Info, "abandoned claim voided", false, "This executor held a claim that it had not handed over.", "Nothing."},
		{ClaimUnknown, Warn, "claim outcome unknown", false, "The store answered neither the write nor the read-back in time; the call was not run.", "Look at the platform's table service."},
		{PlatformDown, Warn, "platform does not answer", false, "The table service, object store or VM list failed.", "Look at the platform; other traffic goes on."},
		{PlatformUp, Info, "platform answers again", false, "A request succeeded after event 701.", "Nothing."},
		{FeedReopened, Info, "placement feed opened again", false, "A peer knew of a newer version than the feed had told of, or the feed failed.", "Nothing, unless it repeats."},
		{FeedHistoryLost, Warn, "placement feed lost its history", false, "The store forgot the changes since the last one seen; the newest version is read whole.", "Nothing."},
		{DocumentRefused, Error, "placement document refused", false, "The row in the store cannot be read; the version in force stays.", "Correct the document and write it again."},
		{DepartureNotStored, Warn, "departure was not written to the store", false, "The store did not answer in time; peers were told.", "Look at the platform's store."},
		{StoreCalls, Info, "calls to the platform's store", true, "Each ten seconds in which there were any: calls since the last such line, by purpose and result.", "Nothing; many while the store answers mean that links are few or end often."},
		{RowsNotSwept, Warn, "old rows were not deleted in the store", false, "The store did not answer in time, or refused; rows names which.", "Nothing once: the next sweep makes up for it. If it repeats, look at the platform's store: the table named there grows."},
		{HeldRequestNotStored, Warn, "held request was not written to the store", false, "The store did not answer in time, or a row there cannot be read; peers were told.", "Nothing once: it is written again. If it repeats, look at the platform's store: daemons that all restart at once would let the content run again."},
		{StoreRestored, Warn, "store came back from an older copy", false, "The era in the store's answers has risen: what was written after the copy is gone.", "Write again what operators had written since. Daemons write their entries, departures and held requests again, and keep the placement that they have in force."},
		{PipelineAborted, Info, "connection ended with requests behind one another", true, "A caller's connection ended while requests of it were unanswered, or bytes behind them unread: the caller left, could not be written to, or the connection was ended with the answers before.", "Nothing; many mean that callers leave early, or send requests to a daemon that is leaving."},
		{PipelineFault, Error, "fault while handling a request beside others", false, "A fault in rushramp; the connection was closed without an answer.", "Report it with this line."},
		{RolloutRefused, Error, "orders of roll-outs refused", false, "An order in the store cannot be read, or there are more orders than a daemon keeps (field orders); what was known before stays.", "Correct the order as the line says and write it again; take orders of roll-outs away that have ended."},
		{RolloutOrderWritten, Info, "roll-out ordered or cancelled by operator", false, "An operator ordered a roll-out through this daemon, or took the order away (version is empty then).", "Nothing; the line holds author, change id and revision, event 782 tells how it goes on."},
		{RolloutOrderChanged, Info, "roll-out ordered", false, "Operators ordered that a service's requests move to another version, or took the order away (version is empty then).", "Nothing; event 782 tells how it goes on."},
		{RolloutPhase, Info, "roll-out's phase changed", false, "A newer plan of a service's roll-out is in force here; cause says why its phase began.", "Nothing; for rolled_back see cause, and event 783 for the evidence."},
		{RolloutStopped, Warn, "roll-out's version is bad, it gets nothing more", false, "A daemon that watches the roll-out told from the reports of executors that the version is worse than the old ones; cause names the route, figures and test.", "Look at the version's failures or times on that route."},
		{RolloutRowFailed, Warn, "roll-out's row was not read or written", false, "The store did not answer, or another daemon wrote first (conflict); the row is read again before anything else is written.", "Look at the platform's store if it repeats."},
		{RolloutGuard, Info, "backend server's part in a roll-out changed", false, "The executor now refuses, or takes again, requests for its backend server: the roll-out's plan says so, its version is new and its order may be on its way, or nobody who watches hears this daemon.", "Nothing; field why says which, revision the plan's."},
		{RolloutWatch, Info, "watch of a roll-out changed", false, "This daemon is, or is no more, among the three that judge the roll-out of its service; rank 0 writes the plan.", "Nothing."},
		{RolloutDecided, Info, "roll-out's next plan decided", false, "This daemon writes a plan to the store; the line holds the figures it was decided on.", "Nothing."},
	}
}

// String returns the number as it stands in log lines.
func (id ID) String() string { return strconv.Itoa(int(id)) }
