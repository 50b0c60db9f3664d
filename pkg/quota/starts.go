package quota

import (
	"math"
	"time"
)

// startTolerance is the smallest improvement of a known start that is recorded, so that
// the oldest start is not computed again after each Ask.
const startTolerance = int64(10 * time.Millisecond)

// ProcessStart is a lower bound of when a daemon's process started, on the clock of the
// daemon that knows it. The zero value is an unknown start.
type ProcessStart struct {
	Known bool
	// After is in nanoseconds; it is negative if the process may be older than this one.
	After int64
}

// StartOf returns the start of a process that stated an uptime, in milliseconds plus one
// as in wire.Hello, in a message that was sent at sentAfter at the earliest. An uptime of 0
// is not stated: the start is unknown.
func StartOf(sentAfter int64, uptimeMS uint64) ProcessStart {
	if uptimeMS == 0 || uptimeMS > math.MaxInt64/uint64(time.Millisecond)/2 {
		return ProcessStart{}
	}
	return ProcessStart{Known: true, After: sentAfter - int64(uptimeMS)*int64(time.Millisecond)}
}

// processStarts holds what a daemon knows about the starts of the other daemons' processes.
// A VM runs one process at a time, so the earlier processes of a VM have ended before the
// known start.
type processStarts struct {
	// vms lists the VMs of all other members, leaving ones included; complete is true if
	// this daemon knows that none is missing.
	vms      []string
	complete bool
	after    map[string]int64
	// oldest is the earliest of all starts, valid unless changed is true.
	oldest  ProcessStart
	changed bool
}

// observe records that the process of a VM started at or after a time.
func (s *processStarts) observe(vm string, start ProcessStart) {
	known, ok := s.after[vm]
	if !start.Known || ok && start.After < known+startTolerance {
		return
	}
	if s.after == nil {
		s.after = map[string]int64{}
	}
	s.after[vm], s.changed = start.After, true
}

// setVMs sets the VMs of all other members.
func (s *processStarts) setVMs(vms []string, complete bool) {
	s.vms, s.complete, s.changed = vms, complete, true
}

// oldestStart returns the earliest start of all members' processes, this daemon's own one
// included, which started at 0. It is unknown if that of any member is.
func (s *processStarts) oldestStart() ProcessStart {
	if s.changed {
		s.changed = false
		s.oldest = s.earliest()
	}
	return s.oldest
}

func (s *processStarts) earliest() ProcessStart {
	if !s.complete {
		return ProcessStart{}
	}
	out := ProcessStart{Known: true}
	for _, vm := range s.vms {
		after, ok := s.after[vm]
		if !ok {
			return ProcessStart{}
		}
		out.After = min(out.After, after)
	}
	return out
}

// sweep drops the starts of VMs that are no longer members.
func (s *processStarts) sweep() {
	if !s.complete {
		return
	}
	kept := make(map[string]int64, len(s.vms))
	for _, vm := range s.vms {
		if after, ok := s.after[vm]; ok {
			kept[vm] = after
		}
	}
	s.after = kept
}

// statedAge converts the oldest start to Grant.OldestMS, rounded up.
func statedAge(oldest ProcessStart) uint64 {
	if !oldest.Known {
		return 0
	}
	millisecond := int64(time.Millisecond)
	return uint64((millisecond-1-min(oldest.After, 0))/millisecond) + 1
}

// startFromAge converts Grant.OldestMS to a start on the clock of the daemon that received
// it. counter is the start of the counter's process on that clock.
func startFromAge(counter ProcessStart, oldestMS uint64) ProcessStart {
	if !counter.Known || oldestMS == 0 {
		return ProcessStart{}
	}
	return StartOf(counter.After+int64(time.Millisecond), oldestMS)
}

// previousLease is what a restarted daemon knows about the leases of its previous process.
type previousLease struct {
	// ended is true once no process can hold such a lease because all processes started
	// after the previous one had ended; endedAt is when this became known.
	ended   bool
	endedAt int64
}

// SetVMs tells the node the VMs of all other members, leaving ones included. complete is
// false if more members may exist. The node keeps vms.
func (n *Node) SetVMs(vms []string, complete bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.starts.setVMs(vms, complete)
}

// ObserveStart tells the node when the process of a VM's daemon started.
func (n *Node) ObserveStart(vm string, start ProcessStart) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.starts.observe(vm, start)
}

// concludePreviousLease records that the previous process's leases have ended if all
// processes that could hold one started after that process had ended.
func (n *Node) concludePreviousLease(now int64, oldest ProcessStart) {
	if !n.previous.ended && oldest.Known && oldest.After >= -int64(n.opts.RestartAfter) {
		n.previous = previousLease{ended: true, endedAt: now}
	}
}

// previousLeaseEnd returns the time from which no process holds a lease of this daemon's
// previous process. ok is false if the time is not known yet.
//
// Once all other processes are known to be newer than the previous one, the holder of the
// lease has ended too, and RestartAfter has passed since then.
func (n *Node) previousLeaseEnd(now int64) (at int64, ok bool) {
	at = int64(leaseDuration(n.members.count) - n.opts.RestartAfter)
	if n.previous.ended {
		at = min(at, n.previous.endedAt-int64(n.opts.RestartAfter))
	}
	return at, now >= at
}

// mayLease reports whether this daemon may lease its share of a group. It may not while a
// lease of its previous process may still be valid at an unknown process.
func (n *Node) mayLease(now int64, group int) bool {
	if !n.opts.Restarted || n.leases[group].until != 0 {
		return true
	}
	_, ok := n.previousLeaseEnd(now)
	return ok
}

// adoptPreviousLease records that a process holds the share of a group under a lease of
// this daemon's previous process. A share has one holder, so no other process can hold it,
// and this daemon renews or moves the lease as if it were its own.
func (n *Node) adoptPreviousLease(now int64, group int, process string) {
	l := &n.leases[group]
	if !n.opts.Restarted || l.until != 0 || n.members.count == 0 {
		return
	}
	if end, ended := n.previousLeaseEnd(now); !ended {
		l.adopt(n.peer(group, process), end)
		// The share may have to be released before it can be leased to the best counter.
		n.chooseCounter(now, group, n.ranked[group])
		if n.actions[group] == actionLease && l.renewedAt == 0 {
			n.renew(now, group, nil)
		}
	}
}

// askAboutPrevious asks a counter while this daemon waits for the leases of its previous
// process to end: the answer may show that they have. Each daemon asks the counter of its VM's
// group, so that the load is spread.
func (n *Node) askAboutPrevious(now int64) {
	if !n.opts.Restarted || n.previous.ended || now < n.previousAskAt {
		return
	}
	n.previousAskAt = now + int64(askInterval)
	if _, ended := n.previousLeaseEnd(now); ended {
		return
	}
	group := GroupOf(n.opts.VM)
	if counter := n.counters[group]; counter.Send != nil {
		n.send(now, counter, &Ask{Group: uint8(group)})
	}
}

// PreviousLease reports whether no process can hold a lease of this daemon's previous
// process any more, and whether that follows from the starts of all processes. ended is
// false for a daemon that had no previous process.
func (n *Node) PreviousLease(now int64) (ended, known bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.opts.Restarted || n.members.count == 0 {
		return false, false
	}
	_, ended = n.previousLeaseEnd(n.latest(now))
	return ended, n.previous.ended
}

// unearned returns for how long no process has held this daemon's share of a group, at
// most maxUnearned.
func (n *Node) unearned(now int64, group int) time.Duration {
	freeSince := n.leases[group].until
	if freeSince == 0 {
		if !n.opts.Restarted {
			return 0
		}
		freeSince, _ = n.previousLeaseEnd(now)
	}
	return min(max(time.Duration(now-freeSince), 0), maxUnearned)
}

// peer returns the peer of a process that can count a group. It has only the name of the
// process if this daemon has no link with it any more.
func (n *Node) peer(group int, process string) Peer {
	for _, p := range n.ranked[group] {
		if p.Process == process {
			return p
		}
	}
	return Peer{Process: process}
}
