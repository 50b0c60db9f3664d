package backend

import "time"

const (
	// mostLives bounds the incarnations whose heartbeats are remembered: one that is
	// seen by its health path first has said its version before, or will soon.
	mostLives = 16
	// steppedAfter is how long a life must have said nothing for another one under its id
	// to be taken for newer, though its start is earlier by its clock, and that has said
	// so more than once: the clock was set back. It is over twice the time between two
	// heartbeats on the users' sites.
	steppedAfter = 4 * time.Second
)

// life is what an incarnation has said of itself.
type life struct {
	sequence uint64
	version  string
	// firstAt and heardAt are when its first and its newest heartbeat came.
	firstAt, heardAt int64
}

// version is the one that the current incarnation has said; the lock is held.
func (l *Lifecycle) version() string {
	if known := l.lives[l.current]; known != nil {
		return known.version
	}
	return ""
}

// hear notes a heartbeat, and is true for a late one. The version of an incarnation never
// changes.
func (l *Lifecycle) hear(now int64, h *Heartbeat) (late bool) {
	of := h.Incarnation()
	known := l.lives[of]
	if known == nil {
		l.makeRoom()
		known = &life{firstAt: now}
		l.lives[of] = known
	}
	late = h.Sequence <= known.sequence
	known.sequence = max(h.Sequence, known.sequence)
	if !late {
		known.heardAt = now
	}
	if known.version == "" {
		known.version = h.Version
	}
	return late
}

// makeRoom forgets the life that said nothing for the longest time.
func (l *Lifecycle) makeRoom() {
	if len(l.lives) < mostLives {
		return
	}
	oldest, found := Incarnation{}, false
	for of, known := range l.lives {
		if of != l.current && (!found || known.heardAt < l.lives[oldest].heardAt) {
			oldest, found = of, true
		}
	}
	delete(l.lives, oldest)
}

// isStepped is true for a life under the current one's id that goes on sending heartbeats
// while the current one says nothing: it began later, by a clock that was set back.
func (l *Lifecycle) isStepped(now int64, of Incarnation) bool {
	current, other := l.lives[l.current], l.lives[of]
	silent := current == nil || now-current.heardAt > int64(steppedAfter)
	return silent && other != nil && now-other.firstAt > int64(confirmedFor)
}

// newestOf is the life under an id that began last, of those that were heard of.
func (l *Lifecycle) newestOf(id string) Incarnation {
	out := Incarnation{ID: id}
	for of := range l.lives {
		if of.ID == id {
			out.StartedAtMS = max(out.StartedAtMS, of.StartedAtMS)
		}
	}
	return out
}
