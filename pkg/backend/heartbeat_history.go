package backend

import "time"

const (
	// maxHistories is how many incarnations' heartbeat histories are kept. Those of
	// incarnations other than the current one are needed only briefly: a health check may
	// confirm an incarnation whose version came with an earlier heartbeat.
	maxHistories = 16
	// silenceBeforeClockStep is how long the current incarnation must have sent no
	// heartbeat before another one with the same ID and an earlier start time can replace
	// it: the clock was set back between the two starts. It is over twice the heartbeat
	// interval of the users' sites.
	silenceBeforeClockStep = 4 * time.Second
)

// heartbeatHistory summarises the heartbeats of one incarnation.
type heartbeatHistory struct {
	lastSequence uint64
	version      string
	// firstAt and lastAt are when the first and the newest heartbeat arrived.
	firstAt, lastAt int64
}

// version returns the version that the current incarnation has reported, or an empty
// string. The caller holds the lock.
func (l *Lifecycle) version() string {
	if history := l.histories[l.current]; history != nil {
		return history.version
	}
	return ""
}

// recordHistory adds a heartbeat to the history of its incarnation. late is true if a
// newer heartbeat of the same incarnation arrived before. The first version reported is
// kept: it never changes while a process runs.
func (l *Lifecycle) recordHistory(now int64, h *Heartbeat) (late bool) {
	incarnation := h.Incarnation()
	history := l.histories[incarnation]
	if history == nil {
		l.evictOldestHistory()
		history = &heartbeatHistory{firstAt: now}
		l.histories[incarnation] = history
	}
	late = h.Sequence <= history.lastSequence
	history.lastSequence = max(h.Sequence, history.lastSequence)
	if !late {
		history.lastAt = now
	}
	if history.version == "" {
		history.version = h.Version
	}
	return late
}

// evictOldestHistory makes room for one history by removing that of the incarnation whose last
// heartbeat is the oldest. It never removes that of the current incarnation.
func (l *Lifecycle) evictOldestHistory() {
	if len(l.histories) < maxHistories {
		return
	}
	oldest, found := Incarnation{}, false
	for incarnation, history := range l.histories {
		if incarnation != l.current && (!found || history.lastAt < l.histories[oldest].lastAt) {
			oldest, found = incarnation, true
		}
	}
	delete(l.histories, oldest)
}

// startedAfterClockStep is true if an incarnation with the current one's ID is newer
// although its start time is earlier: it keeps sending heartbeats and the current one
// does not, so the clock was set back between the two starts.
func (l *Lifecycle) startedAfterClockStep(now int64, incarnation Incarnation) bool {
	current, other := l.histories[l.current], l.histories[incarnation]
	silent := current == nil || now-current.lastAt > int64(silenceBeforeClockStep)
	return silent && other != nil && now-other.firstAt > int64(confirmationPeriod)
}

// newestIncarnation returns the incarnation with the given ID and the latest start time
// among those that have sent heartbeats; the start time is 0 if none has.
func (l *Lifecycle) newestIncarnation(id string) Incarnation {
	out := Incarnation{ID: id}
	for incarnation := range l.histories {
		if incarnation.ID == id {
			out.StartedAtMS = max(out.StartedAtMS, incarnation.StartedAtMS)
		}
	}
	return out
}
