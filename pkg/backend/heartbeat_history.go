package backend

import "time"

const (
	// maxHistories bounds the incarnations whose heartbeats are remembered: one that is
	// seen by its health path first has said its version before, or will soon.
	maxHistories = 16
	// silenceBeforeClockStep is how long a life must have said nothing for another one under its id
	// to be taken for newer, though its start is earlier by its clock, and that has said
	// so more than once: the clock was set back. It is over twice the time between two
	// heartbeats on the users' sites.
	silenceBeforeClockStep = 4 * time.Second
)

// heartbeatHistory is what an incarnation has said of itself.
type heartbeatHistory struct {
	lastSequence uint64
	version  string
	// firstAt and lastAt are when its first and its newest heartbeat came.
	firstAt, lastAt int64
}

// version is the one that the current incarnation has said; the lock is held.
func (l *Lifecycle) version() string {
	if known := l.histories[l.current]; known != nil {
		return known.version
	}
	return ""
}

// recordHistory notes a heartbeat, and is true for a late one. The version of an incarnation never
// changes.
func (l *Lifecycle) recordHistory(now int64, h *Heartbeat) (late bool) {
	of := h.Incarnation()
	known := l.histories[of]
	if known == nil {
		l.evictSilent()
		known = &heartbeatHistory{firstAt: now}
		l.histories[of] = known
	}
	late = h.Sequence <= known.lastSequence
	known.lastSequence = max(h.Sequence, known.lastSequence)
	if !late {
		known.lastAt = now
	}
	if known.version == "" {
		known.version = h.Version
	}
	return late
}

// evictSilent forgets the life that said nothing for the longest time.
func (l *Lifecycle) evictSilent() {
	if len(l.histories) < maxHistories {
		return
	}
	oldest, found := Incarnation{}, false
	for of, known := range l.histories {
		if of != l.current && (!found || known.lastAt < l.histories[oldest].lastAt) {
			oldest, found = of, true
		}
	}
	delete(l.histories, oldest)
}

// startedAfterClockStep is true for a life under the current one's id that goes on sending heartbeats
// while the current one says nothing: it began later, by a clock that was set back.
func (l *Lifecycle) startedAfterClockStep(now int64, of Incarnation) bool {
	current, other := l.histories[l.current], l.histories[of]
	silent := current == nil || now-current.lastAt > int64(silenceBeforeClockStep)
	return silent && other != nil && now-other.firstAt > int64(confirmationPeriod)
}

// newestIncarnation is the life under an id that began last, of those that were heard of.
func (l *Lifecycle) newestIncarnation(id string) Incarnation {
	out := Incarnation{ID: id}
	for of := range l.histories {
		if of.ID == id {
			out.StartedAtMS = max(out.StartedAtMS, of.StartedAtMS)
		}
	}
	return out
}
