package backend

import (
	"sync"
	"time"
)

const (
	// endRetention is how long the id of a process that said it leaves is
	// remembered. It is far longer than any such process lives on.
	endRetention = 5 * time.Minute
	// confirmationPeriod is how long a sign of life of one incarnation outweighs a
	// heartbeat of another one, which may come seconds late.
	confirmationPeriod = 2 * time.Second
	// maxColdTime bounds what a backend server says of its being cold: one that is
	// wrong by more must not be held to few starts for long. Those of the users' sites
	// are cold for three seconds.
	maxColdTime = time.Minute
	// connectFailuresUntilDown is how many connections in a row must be refused before the
	// backend server counts as down.
	connectFailuresUntilDown = 2
)

// State is what the daemon believes of its backend server.
type State uint8

// The states of a backend server.
const (
	// Unknown: no incarnation has shown itself yet.
	Unknown State = iota
	// Live: the incarnation takes requests.
	Live
	// Leaving: the incarnation said that it leaves; it gets nothing more.
	Leaving
	// Down: connections are refused.
	Down
)

// String returns the state's word in log lines.
func (s State) String() string {
	return [...]string{"unknown", "live", "leaving", "down"}[s]
}

// Heartbeat is a backend server's announcement of itself.
type Heartbeat struct {
	InstanceID string
	// StartedAtMS is the Unix millisecond of the incarnation's start; 0: it does not say.
	StartedAtMS int64
	// Sequence rises with each call of one incarnation, so that a late one is
	// known.
	Sequence uint64
	Slots    int
	Leaving  bool
	// Version is the one of the service's program that it runs; empty: it does not
	// say.
	Version string
	// ColdFor is how much longer it is cold from its start.
	ColdFor time.Duration
}

// Incarnation is the one that the heartbeat is of.
func (h *Heartbeat) Incarnation() Incarnation {
	return Incarnation{ID: h.InstanceID, StartedAtMS: h.StartedAtMS}
}

// ColdPeriod is what the current incarnation said of its being cold.
type ColdPeriod struct {
	// LatestEnd is until when it is cold at the latest; in the past for one that is warm.
	LatestEnd int64
	// EarliestEnd is until when it is cold at least: an answer may have been on its way
	// for as long as the question took.
	EarliestEnd int64
	// CheckedAt is when its health path was last asked for what it then said. Heartbeats may come seconds late,
	// so that none proves that a backend server is warm.
	CheckedAt int64
	// FromHeartbeat is true where a heartbeat told the longest time: it may have been on
	// its way for seconds, so that the cold time may have begun at any time since ToldAt.
	FromHeartbeat bool
}

// Lifecycle knows which incarnation of the backend server may get requests.
// Times are nanoseconds of a steady clock, handed in. It is safe for
// concurrent use.
type Lifecycle struct {
	mu      sync.Mutex
	current Incarnation
	state   State
	// departuresKnown is true once all departures that could matter are known: a
	// daemon that was started again may have acknowledged one before.
	departuresKnown bool
	// lastSeenAt is the last sign of life of the current incarnation.
	lastSeenAt int64
	cold   ColdPeriod
	// histories are the incarnations that have sent heartbeats.
	histories map[Incarnation]*heartbeatHistory
	// departed and replaced are by id. The first have said that they leave; after the
	// others another id was seen at the address, and a heartbeat that a cut held back
	// does not bring one of them back.
	departed map[string]endRecord
	replaced map[string]endRecord
	connectFailures int
	// onChange is called without the lock after each change of the belief.
	onChange func(of Incarnation, state State)
}

// endRecord is that of the lives under an id, up to the one that began at born; 0: of any of
// them.
type endRecord struct {
	startedAtMS int64
	recordedAt   int64
}

// covers is true for an incarnation that may be one of those which have ended.
func (e endRecord) covers(i Incarnation) bool {
	return e.startedAtMS == 0 || i.StartedAtMS == 0 || i.StartedAtMS <= e.startedAtMS
}

// NewLifecycle makes the lifecycle of a backend server that has not been seen.
// informed is true when no departure can have been acknowledged before, as at
// the first start of the whole system. changed may be nil.
func NewLifecycle(informed bool, changed func(of Incarnation, state State)) *Lifecycle {
	if changed == nil {
		changed = func(Incarnation, State) {}
	}
	return &Lifecycle{departuresKnown: informed, onChange: changed, histories: map[Incarnation]*heartbeatHistory{}, departed: map[string]endRecord{}, replaced: map[string]endRecord{}}
}

// Accepting returns the incarnation that may get requests now; ok is false when
// there is none.
func (l *Lifecycle) Accepting() (current Incarnation, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current, l.departuresKnown && l.state == Live
}

// Current returns the incarnation and what is believed of it.
func (l *Lifecycle) Current() (current Incarnation, state State) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current, l.state
}

// Version returns the version that the current incarnation has said; empty: it has
// said none yet.
func (l *Lifecycle) Version() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.version()
}

// ColdPeriod returns what the current incarnation said of its being cold.
func (l *Lifecycle) ColdPeriod() ColdPeriod {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cold
}

// RecordCold takes over what the health path of an incarnation says of its being
// cold, which goes before any heartbeat. asked is when it was asked.
func (l *Lifecycle) RecordCold(asked, now int64, id string, coldFor time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if id == l.current.ID {
		l.cold = ColdPeriod{LatestEnd: coldEnd(now, coldFor), EarliestEnd: coldEnd(asked, coldFor), CheckedAt: asked}
	}
}

// coldEnd is until when a backend server is cold that says so for a time.
func coldEnd(now int64, coldFor time.Duration) int64 {
	return now + int64(min(max(coldFor, 0), maxColdTime))
}

// RecordDeparturesKnown notes that all departures that could matter are known.
func (l *Lifecycle) RecordDeparturesKnown() {
	l.update(func() { l.departuresKnown = true })
}

// DeparturesKnown is true once all departures that could matter are known.
func (l *Lifecycle) DeparturesKnown() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.departuresKnown
}

// update runs do under the lock and tells of what changed for others.
func (l *Lifecycle) update(do func()) {
	l.mu.Lock()
	was, oldState, oldInformed, oldVersion := l.current, l.state, l.departuresKnown, l.version()
	do()
	current, state := l.current, l.state
	same := current == was && state == oldState && l.departuresKnown == oldInformed && l.version() == oldVersion
	l.mu.Unlock()
	if !same {
		l.onChange(current, state)
	}
}

// RecordHeartbeat takes an announcement. It returns true when the announcement says
// for the first time that the incarnation leaves.
func (l *Lifecycle) RecordHeartbeat(now int64, h Heartbeat) (departed bool) {
	l.update(func() {
		of := h.Incarnation()
		late := l.recordHistory(now, &h)
		switch {
		case h.Leaving:
			departed = l.markDeparted(now, of)
		case !late && l.mayBecomeCurrent(now, of):
			l.markSeen(now, of)
			l.extendCold(coldEnd(now, h.ColdFor))
		}
	})
	return departed
}

// extendCold takes over what a heartbeat says: it may only make the cold time
// longer.
func (l *Lifecycle) extendCold(till int64) {
	if till > l.cold.LatestEnd {
		l.cold.LatestEnd, l.cold.EarliestEnd, l.cold.FromHeartbeat = till, till, true
	}
}

// mayBecomeCurrent is true where a heartbeat may make its sender the current incarnation.
func (l *Lifecycle) mayBecomeCurrent(now int64, of Incarnation) bool {
	switch {
	case of.mayEqual(l.current):
		// A word without a start does not make that of the current one unknown.
		return of.StartedAtMS != 0 || l.current.StartedAtMS == 0
	case of.startedAfter(l.current):
		return true
	case of.ID == l.current.ID:
		return l.startedAfterClockStep(now, of)
	}
	gone, replaced := l.replaced[of.ID]
	return !(replaced && gone.covers(of)) && !l.recentlySeen(now)
}

// recentlySeen is true while the current incarnation has shown itself lately.
func (l *Lifecycle) recentlySeen(now int64) bool {
	return l.state == Live && now-l.lastSeenAt < int64(confirmationPeriod)
}

// markSeen notes a sign of life. An incarnation that said it leaves stays so.
func (l *Lifecycle) markSeen(now int64, of Incarnation) {
	if of.ID == "" {
		return
	}
	if gone, known := l.departed[of.ID]; known && gone.covers(of) {
		if l.current.ID == "" || l.current.ID == of.ID {
			l.current, l.state = of, Leaving
		}
		return
	}
	if !of.mayEqual(l.current) {
		l.cold = ColdPeriod{}
	}
	l.current, l.state, l.lastSeenAt, l.connectFailures = of, Live, now, 0
}

// confirmInstanceID notes a first-hand sign of life, which ends any other id at the address. It
// names an id only: the life under it is the newest that was heard of.
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

// RecordInstanceID takes an answer that names the incarnation's id, as that of the health path
// does: it is first-hand, so it goes before any heartbeat.
func (l *Lifecycle) RecordInstanceID(now int64, id string) {
	l.update(func() { l.confirmInstanceID(now, id) })
}

// RecordAnswer notes a sign of life of the current incarnation.
func (l *Lifecycle) RecordAnswer(now int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastSeenAt, l.connectFailures = now, 0
}

// RecordDeparture takes the word that an incarnation leaves, from itself or from a peer
// that knows. It returns true the first time.
func (l *Lifecycle) RecordDeparture(now int64, of Incarnation) (first bool) {
	l.update(func() { first = l.markDeparted(now, of) })
	return first
}

// markDeparted notes that the lives under an id up to one have said that they leave. A word
// without a start is of the current one, where that has the id.
func (l *Lifecycle) markDeparted(now int64, of Incarnation) (first bool) {
	l.dropOldEnds(now)
	if of.StartedAtMS == 0 && of.ID == l.current.ID {
		of = l.current
	}
	known, was := l.departed[of.ID]
	if was && (known.startedAtMS == 0 || of.StartedAtMS != 0 && of.StartedAtMS <= known.startedAtMS) {
		return false
	}
	gone := endRecord{startedAtMS: of.StartedAtMS, recordedAt: now}
	l.departed[of.ID] = gone
	if l.current.ID == of.ID && gone.covers(l.current) {
		l.state = Leaving
	}
	return true
}

func (l *Lifecycle) dropOldEnds(now int64) {
	for _, ends := range []map[string]endRecord{l.departed, l.replaced} {
		for id, gone := range ends {
			if now-gone.recordedAt > int64(endRetention) {
				delete(ends, id)
			}
		}
	}
}

// RecordReplacement notes that another incarnation answers at the address.
func (l *Lifecycle) RecordReplacement(now int64, by string) {
	l.update(func() {
		if by == "" {
			l.state = Unknown
			return
		}
		l.confirmInstanceID(now, by)
	})
}

// RecordProcessEnd notes that the process of an incarnation has ended: it is down until something
// shows itself at the address.
func (l *Lifecycle) RecordProcessEnd(of Incarnation) {
	l.update(func() {
		if l.current == of && l.state == Live {
			l.state = Down
		}
	})
}

// RecordConnectFailure notes a refused connection.
func (l *Lifecycle) RecordConnectFailure() {
	l.update(func() {
		l.connectFailures++
		if l.connectFailures >= connectFailuresUntilDown && l.state == Live {
			l.state = Down
		}
	})
}
