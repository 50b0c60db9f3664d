package quota

import "time"

// lending is to whom a daemon lends its part of the limits of one group. The part is
// lent to one process at a time: another one gets it only once it is back.
type lending struct {
	// to is the process that the part is lent to, until when it may use it.
	to    string
	until int64
	// lentAt is when it was lent last.
	lentAt int64
	// fresh is true where the process before was lost with the part, and startedAt are the
	// times at which that last was so.
	fresh     bool
	startedAt [mostStarts]int64
}

// step is what a daemon does with its part of a group's limits.
type step uint8

const (
	// waits: the part is still out with a process that is lost.
	waits step = iota
	// lends: the part goes to the counter.
	lends
	// releases: the counter is asked to give the part back.
	releases
)

// next decides who counts the group from now on, and what happens with the part. best is
// the process that should count, usable tells whether one can be asked. A counter that
// still answers is asked until the part is back from it: it has the tokens that others
// lent, too.
func (l *lending) next(now, window int64, best string, usable func(string) bool) (counter string, does step) {
	switch {
	case l.to == best:
		return best, lends
	case now >= l.until:
		l.fresh = l.to != "" && !usable(l.to) && l.start(now, window)
		l.to = best
		return best, lends
	case usable(l.to):
		return l.to, releases
	}
	return best, waits
}

// start notes that the part brings a team tokens for those that were lost; false where it
// has done so too often in one window.
func (l *lending) start(now, window int64) bool {
	if first := l.startedAt[0]; first != 0 && now-first < window {
		return false
	}
	copy(l.startedAt[:], l.startedAt[1:])
	l.startedAt[mostStarts-1] = now
	return true
}

// lend notes that the part is lent for one more lease.
func (l *lending) lend(now int64, lease time.Duration) { l.lentAt, l.until = now, now+int64(lease) }

// back notes that a process uses the part no more, as it was asked at some time. The
// answer to a question from before the part was lent there again says nothing.
func (l *lending) back(now int64, process string, askedAt int64) {
	if l.to == process && askedAt > l.lentAt {
		l.until = min(l.until, now)
	}
}
