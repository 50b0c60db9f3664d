package backend

import (
	"sync"
	"time"
)

const (
	// confirmationPeriod is how long a sign of life of the current incarnation outweighs
	// heartbeats of others, which may arrive seconds late.
	confirmationPeriod = 2 * time.Second
	// maxColdTime caps the remaining cold time that a backend server reports, so that a
	// wrong value does not restrict its starts for long. Backend servers of the users'
	// sites are cold for three seconds.
	maxColdTime = time.Minute
	// connectFailuresUntilDown is how many attempts to connect must fail in a row before the
	// backend server counts as down.
	connectFailuresUntilDown = 2
)

// State is the state of the backend server as far as the daemon knows.
type State uint8

// The states of a backend server.
const (
	// Unknown means that no incarnation has been seen yet.
	Unknown State = iota
	// Unconfirmed means that the current incarnation gets no requests yet: it may have
	// announced its departure to an earlier process of the daemon, so a good health check is
	// needed, or it has replaced another instance, so a heartbeat must name its service.
	Unconfirmed
	// Live means that the current incarnation takes requests.
	Live
	// Leaving means that the current incarnation has announced its departure; it gets no
	// further requests.
	Leaving
	// Down means that connections fail or that the process has ended.
	Down
)

// String returns the state as written in log lines.
func (s State) String() string {
	return [...]string{"unknown", "unconfirmed", "live", "leaving", "down"}[s]
}

// Heartbeat is a backend server's periodic announcement of its state.
type Heartbeat struct {
	InstanceID string
	// StartedAtMS is the Unix time of the process start in milliseconds; 0: not reported.
	StartedAtMS int64
	// Sequence increases with each heartbeat of an incarnation, so that late ones are
	// recognised.
	Sequence uint64
	Slots    int
	Leaving  bool
	// Version is the version of the service's program that it runs; empty: not reported.
	Version string
	// ColdFor is how much longer the backend server stays cold.
	ColdFor time.Duration
	// ReceivedAtMS is the Unix time of the arrival in milliseconds; 0: unknown.
	ReceivedAtMS int64
}

// Incarnation returns the incarnation that sent the heartbeat.
func (h *Heartbeat) Incarnation() Incarnation {
	return Incarnation{ID: h.InstanceID, StartedAtMS: h.StartedAtMS}
}

// ColdPeriod is the period in which the current incarnation is cold, by its own report:
// it works slowly and tolerates few starts. Times are nanoseconds of the daemon's clock.
type ColdPeriod struct {
	// LatestEnd is the latest time at which the period can end; it is in the past for a
	// warm backend server.
	LatestEnd int64
	// EarliestEnd is the earliest time at which it can end: the report may have been
	// under way for as long as the health check took.
	EarliestEnd int64
	// CheckedAt is when the last health check that reported on the period began.
	// Heartbeats do not count: they may arrive seconds late, so that none proves a backend
	// server warm.
	CheckedAt int64
	// FromHeartbeat is true if the end comes from a heartbeat. As it may be seconds old,
	// the period may have begun at any time since CheckedAt.
	FromHeartbeat bool
}

// Lifecycle tracks which incarnation of the backend server is current, its state, and
// whether it may get requests. Callers pass times in nanoseconds of a monotonic clock.
// It is safe for concurrent use.
type Lifecycle struct {
	mu      sync.Mutex
	current Incarnation
	state   State
	// firstStart is true if no earlier process of the daemon can have acknowledged a
	// departure.
	firstStart bool
	// confirmedID is the instance ID that was last proven not to have announced a departure
	// before the start of the daemon. Later processes with that ID have not either.
	confirmedID string
	// firstID is the first instance ID that this process of the daemon has seen. The settings
	// of the daemon name its service. Others have the service that their heartbeats name.
	firstID string
	// departuresKnown is true once all stored departures that may matter are known: the
	// previous process of the daemon may have acknowledged one.
	departuresKnown bool
	// lastSeenAt is the time of the last sign of life of the current incarnation.
	lastSeenAt int64
	cold       ColdPeriod
	// histories holds the heartbeat histories of up to maxHistories incarnations.
	histories map[Incarnation]*heartbeatHistory
	// departed and replaced map instance IDs to the end of their incarnations. Departed
	// ones have announced that they leave. For replaced ones another ID was seen at the
	// address later, so that heartbeats delayed by a network failure do not make them
	// current again.
	departed map[string]endRecord
	replaced map[string]endRecord
	// otherService holds the instance IDs whose heartbeats name another service, with the
	// time of the first one. A heartbeat that names the service removes an ID.
	otherService    map[string]int64
	connectFailures int
	// onChange is called without the lock after each change of the current incarnation,
	// its state or version, or departuresKnown.
	onChange func(current Incarnation, state State)
}

// NewLifecycle returns the lifecycle of a backend server that has not been seen yet.
// firstStart is true if no departure can have been acknowledged before, as at the first
// start of the whole system. onChange may be nil.
func NewLifecycle(firstStart bool, onChange func(current Incarnation, state State)) *Lifecycle {
	if onChange == nil {
		onChange = func(Incarnation, State) {}
	}
	return &Lifecycle{firstStart: firstStart, departuresKnown: firstStart, onChange: onChange, histories: map[Incarnation]*heartbeatHistory{}, departed: map[string]endRecord{}, replaced: map[string]endRecord{}, otherService: map[string]int64{}}
}

// Accepting returns the current incarnation; ok is true if it may get requests now.
func (l *Lifecycle) Accepting() (current Incarnation, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current, l.departuresKnown && l.state == Live
}

// Current returns the current incarnation and its state.
func (l *Lifecycle) Current() (current Incarnation, state State) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current, l.state
}

// IsCurrent reports whether the incarnation may be the current one.
func (l *Lifecycle) IsCurrent(incarnation Incarnation) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return incarnation.mayEqual(l.current)
}

// Version returns the version that the current incarnation has reported, or an empty
// string if it has reported none yet.
func (l *Lifecycle) Version() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.version()
}

// ColdPeriod returns the cold period that the current incarnation reported.
func (l *Lifecycle) ColdPeriod() ColdPeriod {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cold
}

// RecordCold records the remaining cold time from a health check of an instance, which
// takes precedence over heartbeats. askedAt is when the check began.
func (l *Lifecycle) RecordCold(askedAt, now int64, instanceID string, coldFor time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if instanceID == l.current.ID {
		l.cold = ColdPeriod{LatestEnd: coldEnd(now, coldFor), EarliestEnd: coldEnd(askedAt, coldFor), CheckedAt: askedAt}
	}
}

// coldEnd returns the end of a cold period with the reported time left, which it caps.
func coldEnd(now int64, coldFor time.Duration) int64 {
	return now + int64(min(max(coldFor, 0), maxColdTime))
}

// RecordDeparturesKnown records that all departures that may matter are known.
func (l *Lifecycle) RecordDeparturesKnown() {
	l.update(func() { l.departuresKnown = true })
}

// DeparturesKnown is true once all departures that may matter are known.
func (l *Lifecycle) DeparturesKnown() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.departuresKnown
}

// update calls apply under the lock, and onChange without it if apply changed anything
// that others see.
func (l *Lifecycle) update(apply func()) {
	l.mu.Lock()
	oldCurrent, oldState, oldDeparturesKnown, oldVersion := l.current, l.state, l.departuresKnown, l.version()
	apply()
	current, state := l.current, l.state
	same := current == oldCurrent && state == oldState && l.departuresKnown == oldDeparturesKnown && l.version() == oldVersion
	l.mu.Unlock()
	if !same {
		l.onChange(current, state)
	}
}

// RecordHeartbeat records a heartbeat. departed is true if it is the first to announce
// that its incarnation leaves.
func (l *Lifecycle) RecordHeartbeat(now int64, h Heartbeat) (departed bool) {
	l.update(func() {
		incarnation := h.Incarnation()
		late := l.recordHistory(now, &h)
		delete(l.otherService, h.InstanceID)
		switch {
		case h.Leaving:
			departed = l.markDeparted(now, Departure{Incarnation: incarnation, StartedByMS: h.ReceivedAtMS, Source: FromHeartbeat})
		case !late && l.mayBecomeCurrent(now, incarnation):
			if l.sentAfterStart(now, incarnation) {
				l.confirmedID = incarnation.ID
			}
			l.markSeen(now, incarnation)
			l.extendCold(coldEnd(now, h.ColdFor))
		}
	})
	return departed
}

// extendCold applies the end of the cold period from a heartbeat, which can only extend
// the period.
func (l *Lifecycle) extendCold(end int64) {
	if end > l.cold.LatestEnd {
		l.cold.LatestEnd, l.cold.EarliestEnd, l.cold.FromHeartbeat = end, end, true
	}
}

// mayBecomeCurrent is true if a heartbeat may make its sender the current incarnation.
func (l *Lifecycle) mayBecomeCurrent(now int64, incarnation Incarnation) bool {
	switch {
	case incarnation.mayEqual(l.current):
		// A heartbeat without a start time must not erase the known one.
		return incarnation.StartedAtMS != 0 || l.current.StartedAtMS == 0
	case incarnation.startedAfter(l.current):
		return true
	case incarnation.ID == l.current.ID:
		return l.startedAfterClockStep(now, incarnation)
	}
	end, replaced := l.replaced[incarnation.ID]
	return !(replaced && end.covers(incarnation)) && !l.recentlySeen(now)
}

// recentlySeen is true if the current incarnation is live and has given a sign of life
// within the confirmation period.
func (l *Lifecycle) recentlySeen(now int64) bool {
	return l.state == Live && now-l.lastSeenAt < int64(confirmationPeriod)
}

// markSeen records a sign of life, which makes the incarnation current and, if it is
// confirmed, live. One that has departed stays in the state Leaving.
func (l *Lifecycle) markSeen(now int64, incarnation Incarnation) {
	if incarnation.ID == "" {
		return
	}
	if end, departed := l.departed[incarnation.ID]; departed && end.covers(incarnation) {
		if l.current.ID == "" || l.current.ID == incarnation.ID {
			l.current, l.state = incarnation, Leaving
		}
		return
	}
	if !incarnation.mayEqual(l.current) {
		l.cold = ColdPeriod{}
	}
	if l.firstID == "" {
		l.firstID = incarnation.ID
	}
	l.current, l.state, l.lastSeenAt, l.connectFailures = incarnation, Unconfirmed, now, 0
	if l.isConfirmed(incarnation.ID) {
		l.state = Live
	}
}

// confirmInstanceID records which instance ID answers at the backend server's address,
// which replaces any other ID. The incarnation is the newest known one with that ID.
func (l *Lifecycle) confirmInstanceID(now int64, id string) {
	if id == l.current.ID {
		l.markSeen(now, l.current)
		return
	}
	if id != "" {
		l.replaced[l.current.ID] = endRecord{startedAtMS: l.current.StartedAtMS, recordedAt: now}
	}
	l.markSeen(now, l.newestIncarnation(id))
}

// RecordAnswer records a response of the current incarnation as a sign of life.
func (l *Lifecycle) RecordAnswer(now int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastSeenAt, l.connectFailures = now, 0
}

// RecordReplacement records that another instance answers at the address, which does not
// prove that it takes requests. With an empty ID the state becomes Unknown.
func (l *Lifecycle) RecordReplacement(now int64, id string) {
	l.update(func() {
		if id == "" {
			l.state = Unknown
			return
		}
		l.confirmInstanceID(now, id)
	})
}

// RecordProcessEnd records that the process of an incarnation has ended: the backend
// server is down until the next sign of life.
func (l *Lifecycle) RecordProcessEnd(incarnation Incarnation) {
	l.update(func() {
		if l.current == incarnation && l.state == Live {
			l.state = Down
		}
	})
}

// RecordConnectFailure records that a connection to the backend server could not be
// opened.
func (l *Lifecycle) RecordConnectFailure() {
	l.update(func() {
		l.connectFailures++
		if l.connectFailures >= connectFailuresUntilDown && l.state == Live {
			l.state = Down
		}
	})
}
