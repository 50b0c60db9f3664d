package quota

import "time"

// shareLease tracks to which process a daemon leases its share of one group's limits.
// Only one process holds the share at a time: another gets it after the lease has
// expired or the holder has released it.
type shareLease struct {
	// holder is the process that the share was last leased to, until the end of its lease.
	holder string
	until  int64
	// renewedAt is when the lease was last renewed.
	renewedAt int64
	// previousLost is true if the previous holder was unreachable when its lease had
	// expired, and the share grants recovery tokens at the new one. recoveriesAt holds the
	// times of the last such changes, oldest first.
	previousLost bool
	recoveriesAt [maxRecoveries]int64
}

// leaseAction is what a daemon does next with its share of a group's limits.
type leaseAction uint8

const (
	// actionWait waits for the lease of an unreachable process to expire.
	actionWait leaseAction = iota
	// actionLease leases the share to the counter.
	actionLease
	// actionRelease asks the counter to release the share.
	actionRelease
)

// next returns the process that counts the group from now on and what to do with the
// share. best is the process that should count the group; reachable reports whether a
// process can be asked. A reachable holder stays the counter until it has released the
// share, because it also holds the tokens earned from other daemons' shares.
func (l *shareLease) next(now, window int64, best string, reachable func(string) bool) (counter string, action leaseAction) {
	switch {
	case l.holder == best:
		return best, actionLease
	case now >= l.until:
		l.previousLost = l.holder != "" && !reachable(l.holder) && l.allowRecovery(now, window)
		l.holder = best
		return best, actionLease
	case reachable(l.holder):
		return l.holder, actionRelease
	}
	return best, actionWait
}

// allowRecovery records that the share grants recovery tokens at its next counter. It
// returns false if the share has done so maxRecoveries times within the window.
func (l *shareLease) allowRecovery(now, window int64) bool {
	if oldest := l.recoveriesAt[0]; oldest != 0 && now-oldest < window {
		return false
	}
	copy(l.recoveriesAt[:], l.recoveriesAt[1:])
	l.recoveriesAt[maxRecoveries-1] = now
	return true
}

// renew records that the share is leased for another period.
func (l *shareLease) renew(now int64, duration time.Duration) {
	l.renewedAt, l.until = now, now+int64(duration)
}

// released records that a process has released the share, as asked at askedAt. It
// ignores the answer to a request that was sent before the latest renewal: the process
// holds the share again.
func (l *shareLease) released(now int64, process string, askedAt int64) {
	if l.holder == process && askedAt > l.renewedAt {
		l.until = min(l.until, now)
	}
}
