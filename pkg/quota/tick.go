package quota

import (
	"time"

	"github.com/rushramp/rushramp/pkg/teams"
)

// Tick chooses who counts each group and renews what is lent. members is how many daemons
// share the limits, 0 while that is not known. ranked are the daemons that this one can
// reach, itself included, those that should count a group first at the front.
func (n *Node) Tick(now int64, members uint32, ranked *[Groups][]Peer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ownCount = members; members > 0 {
		n.members.note(now, members)
	}
	n.ranked = *ranked
	for g := range Groups {
		n.choose(now, g, ranked[g])
	}
	n.askPending(now)
	if now >= n.sweepAt {
		n.sweepAt = now + int64(time.Minute)
		n.sweep(now)
	}
}

// choose decides who counts a group from now on.
func (n *Node) choose(now int64, group int, ranked []Peer) {
	best, current := n.firstUsable(now, group, ranked)
	if best.Process == "" {
		n.counters[group], n.does[group] = Peer{}, waits
		return
	}
	chosen, does := n.lendings[group].next(now, int64(n.opts.Window), best.Process, func(process string) bool { return current.Process == process })
	changes := does != n.does[group]
	n.does[group] = does
	to := best
	if chosen != best.Process {
		to = current
	}
	before := n.counters[group]
	n.counters[group] = to
	if before.Process != to.Process || before.Link != to.Link {
		n.askAnew(now, group)
		changes = true
	}
	if changes {
		n.renew(now, group, nil)
	}
}

// firstUsable finds the first daemon that can be asked, and the one that the part of the
// group's limits is lent to, where it can be asked still. It looks no further than both.
func (n *Node) firstUsable(now int64, group int, ranked []Peer) (best, current Peer) {
	lentTo := n.lendings[group].to
	for _, p := range ranked {
		if n.isSilent(now, p) {
			n.probe(now, group, p)
			continue
		}
		if best.Process == "" {
			best = p
		}
		if p.Process == lentTo {
			return best, p
		}
		if lentTo == "" {
			break
		}
	}
	return best, Peer{}
}

func (n *Node) isSilent(now int64, p Peer) bool {
	known := n.known[p.Process]
	return p.Send != nil && known != nil && known.silent(now)
}

// probe asks a process that was silent now and then whether it answers again.
func (n *Node) probe(now int64, group int, p Peer) {
	known := n.known[p.Process]
	if now-known.probedAt < int64(probeEvery) {
		return
	}
	known.probedAt = now
	n.send(now, p, &Ask{Group: uint8(group)})
}

// askAnew puts the questions of requests that wait to a new counter, or over a new link:
// the former one may never answer.
func (n *Node) askAnew(now int64, group int) {
	var wants []TokenRequest
	for _, a := range n.accounts {
		if a.group != group {
			continue
		}
		a.asked, a.shutUntil, a.laterUntil = 0, 0, 0
		if len(a.waiting) > 0 {
			wants = append(wants, a.want(now))
		}
	}
	if len(wants) > 0 {
		n.ask(now, group, wants)
	}
}

// askPending renews what is lent, asks again for requests that wait, and gives back what
// has lain here unused, each when it is due. What is due together goes in one question.
func (n *Node) askPending(now int64) {
	var wants [Groups][]TokenRequest
	if now >= n.askAt {
		n.askAt = now + int64(askAgain)
		wants = n.pending(now)
	}
	renews := now >= n.renewAt
	if renews {
		n.renewAt = now + int64(renewal(n.members.count))
	}
	for g := range Groups {
		switch {
		case renews:
			n.renew(now, g, wants[g])
		case len(wants[g]) > 0:
			n.ask(now, g, wants[g])
		}
	}
}

// pending are the questions that are due.
func (n *Node) pending(now int64) (wants [Groups][]TokenRequest) {
	for _, a := range n.accounts {
		a.expire(now)
		a.before, a.recent = a.recent, 0
		if a.back > 0 || len(a.waiting) > int(a.asked) {
			wants[a.group] = append(wants[a.group], a.want(now))
		}
	}
	return wants
}

// renew lends this daemon's part to the counter of a group for one more lease, or asks
// for it back.
func (n *Node) renew(now int64, group int, wants []TokenRequest) {
	counter, does := n.counters[group], n.does[group]
	if counter.Process == "" || does == waits && len(wants) == 0 {
		return
	}
	ask := &Ask{Group: uint8(group), TokenRequests: wants}
	if does == releases {
		ask.ReleaseAskedAt = now
	}
	if does == lends && n.mayLend(now) && !n.owes(now, counter) {
		l, lease := &n.lendings[group], lease(n.members.count)
		ask.Members, ask.PreviousCounterLost, ask.LeaseMS = n.members.count, l.fresh, uint32(lease.Milliseconds())
		l.lend(now, lease)
	}
	n.send(now, counter, ask)
}

// mayLend is false while the process before this one may still have lent the part.
func (n *Node) mayLend(now int64) bool {
	return !n.opts.Restarted || now >= int64(lease(n.members.count)-n.opts.RestartAfter)
}

// owes is true for a counter that has not answered the last renewal: one that is lost
// should not take the part with it for longer.
func (n *Node) owes(now int64, counter Peer) bool {
	known := n.known[counter.Process]
	return counter.Send != nil && known != nil && known.askedAt != 0 && now-known.askedAt >= int64(renewal(n.members.count))
}

// sweep drops what has not been used for long.
func (n *Node) sweep(now int64) {
	for g := range Groups {
		n.pools[g].forget(now)
	}
	for team, a := range n.accounts {
		if a.idle() {
			delete(n.accounts, team)
		}
	}
	for process, k := range n.known {
		if now-k.seenAt > int64(bucketFor) {
			delete(n.known, process)
		}
	}
}

// Usage is how much of its limit a team has left at this daemon, where it counts the team.
type Usage struct {
	Team  string
	Limit teams.Limit
	// Tokens are those left, Share the share of the limit that is lent here.
	Tokens, Share float64
}

// Usages lists the teams that were counted here lately.
func (n *Node) Usages(now int64) (out []Usage) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range n.pools {
		for team := range p.buckets {
			if limit, ok := n.opts.Limit(team); ok && limit.Limited() {
				out = append(out, Usage{Team: team, Limit: limit, Tokens: p.bucketOf(now, team, limit).tokens, Share: p.sum})
			}
		}
	}
	return out
}
