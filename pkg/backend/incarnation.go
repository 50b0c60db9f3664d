package backend

import (
	"strconv"
	"strings"
	"time"
)

// Incarnation identifies one process of a backend server. A process that is restarted
// may reuse the instance ID of its predecessor, but shares no state with it. Source:
// docs/design/incarnations.md.
type Incarnation struct {
	// ID is the instance ID.
	ID string
	// StartedAtMS is the Unix time of the process start in milliseconds, which tells
	// processes with the same ID apart; 0: unknown, as for one known only from a
	// response header.
	StartedAtMS int64
}

// maxClockSkew is how far in the future the start of a process may be by another clock: those of
// VMs differ by seconds.
const maxClockSkew = 24 * time.Hour

// InFuture reports whether the start time is one that no process can have. No later process with
// this ID would be newer.
func (i Incarnation) InFuture(now time.Time) bool {
	return i.StartedAtMS > now.Add(maxClockSkew).UnixMilli()
}

// startSeparator separates ID and start time in the text of an incarnation.
const startSeparator = "@"

// String returns the incarnation as written in log lines, frames and store keys. It is
// the ID alone if the start time is unknown, as daemons of the previous release write it.
func (i Incarnation) String() string {
	if i.StartedAtMS == 0 {
		return i.ID
	}
	return i.ID + startSeparator + strconv.FormatInt(i.StartedAtMS, 10)
}

// ParseIncarnation parses the text that String returns. A text that does not end in a
// valid start time is an ID as a whole.
func ParseIncarnation(text string) Incarnation {
	separator := strings.LastIndex(text, startSeparator)
	if separator < 0 {
		return Incarnation{ID: text}
	}
	startedAtMS, err := strconv.ParseInt(text[separator+len(startSeparator):], 10, 64)
	if err != nil || startedAtMS <= 0 {
		return Incarnation{ID: text}
	}
	return Incarnation{ID: text[:separator], StartedAtMS: startedAtMS}
}

// mayEqual is true if both may be the same process: an unknown start time matches any.
func (i Incarnation) mayEqual(other Incarnation) bool {
	return i.ID == other.ID && (i.StartedAtMS == other.StartedAtMS || i.StartedAtMS == 0 || other.StartedAtMS == 0)
}

// startedAfter is true if both have the same ID and i is known to have started later.
func (i Incarnation) startedAfter(other Incarnation) bool {
	return i.ID == other.ID && other.StartedAtMS != 0 && i.StartedAtMS > other.StartedAtMS
}
