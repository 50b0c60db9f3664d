package backend

import (
	"strconv"
	"strings"
)

// Incarnation is one life of a backend server's process. A process may start again under
// the id that it had; it then knows nothing of the life before. Source:
// docs/design/incarnations.md.
type Incarnation struct {
	ID string
	// StartedAtMS is the Unix millisecond of its start, which tells the lives under one id
	// apart; 0: not known, as of one that only an answer has named.
	StartedAtMS int64
}

// startSeparator stands between id and start in the text of an incarnation.
const startSeparator = "@"

// String is the incarnation as it stands in log lines, frames and keys of the store: the
// id alone where the start is not known, as daemons of the release before have it.
func (i Incarnation) String() string {
	if i.StartedAtMS == 0 {
		return i.ID
	}
	return i.ID + startSeparator + strconv.FormatInt(i.StartedAtMS, 10)
}

// ParseIncarnation reads the text of an incarnation. One whose end is no start is an id.
func ParseIncarnation(text string) Incarnation {
	at := strings.LastIndex(text, startSeparator)
	if at < 0 {
		return Incarnation{ID: text}
	}
	born, err := strconv.ParseInt(text[at+len(startSeparator):], 10, 64)
	if err != nil || born <= 0 {
		return Incarnation{ID: text}
	}
	return Incarnation{ID: text[:at], StartedAtMS: born}
}

// mayEqual is true where two words may be of one life: one that says no start may be of any.
func (i Incarnation) mayEqual(other Incarnation) bool {
	return i.ID == other.ID && (i.StartedAtMS == other.StartedAtMS || i.StartedAtMS == 0 || other.StartedAtMS == 0)
}

// startedAfter is true for a life under the same id that is known to have begun later.
func (i Incarnation) startedAfter(other Incarnation) bool {
	return i.ID == other.ID && other.StartedAtMS != 0 && i.StartedAtMS > other.StartedAtMS
}
