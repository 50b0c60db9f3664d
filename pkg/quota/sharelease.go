package quota

import "time"

// shareLease tracks to which process a daemon leases its share of one group's limits.
// Only one process holds the share at a time: another gets it after the lease has
// expired or the holder has released it.
type shareLease struct {
	// holder is the process that the share was last leased to, until the end of its lease.
	holder string
	until  int64
	// holderVM is the VM of the holder.
	holderVM string
	// renewedAt is when the lease was last renewed.
	renewedAt int64
	// previousLost is true if the previous holder was unreachable when its lease had
	// expired, and the share grants recovery tokens at the new one. recoveriesAt holds the
	// times of the last such changes, oldest first.
	previousLost bool
	recoveriesAt [maxRecoveries]int64
	// lostAt is when a process that held the share was last found lost; 0: never.
	lostAt int64
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
		lost := l.until != 0 && !reachable(l.holder)
		if lost {
			l.lostAt = now
		}
		l.previousLost = lost && l.allowRecovery(now, window)
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

// assumeRecoveries records the recoveries that the previous process may have granted just
// before this one started, at 0: they count in the first window of this process.
func (l *shareLease) assumeRecoveries() {
	for i := range l.recoveriesAt {
		l.recoveriesAt[i] = 1
	}
}

// adopt records that a process holds the share under a lease of this daemon's previous
// process, which ends at until at the latest.
func (l *shareLease) adopt(holder Peer, until int64) {
	l.holder, l.holderVM, l.until = holder.Process, holder.VM, until
}

// endIfReplaced ends the lease if the holder's VM runs a process that started after the
// latest renewal. downtime is the minimum time between the end of the holder and that start.
func (l *shareLease) endIfReplaced(now int64, starts *processStarts, downtime time.Duration) {
	if after, ok := starts.after[l.holderVM]; ok && l.until > now && after > l.renewedAt {
		// 0 would mean that the share was never leased.
		l.until = max(now-int64(downtime), 1)
	}
}

// historyLost reports whether a process that held the share was lost within the window.
func (l *shareLease) historyLost(now, window int64) bool {
	return l.lostAt != 0 && now-l.lostAt < window
}

// renew records that the share is leased for another period. A counter never shortens a
// lease, also if the lease has become shorter with the fleet.
func (l *shareLease) renew(now int64, duration time.Duration) {
	l.renewedAt, l.until = now, max(l.until, now+int64(duration))
}

// released records that a process has released the share, as asked at askedAt. It
// ignores the answer to a request that was sent before the latest renewal: the process
// holds the share again.
func (l *shareLease) released(now int64, process string, askedAt int64) {
	if l.holder == process && askedAt > l.renewedAt {
		l.until = min(l.until, now)
	}
}
