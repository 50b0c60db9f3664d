package quota

import "time"

// requestTokens sends an Ask with only token requests to the counter of a group. It does
// nothing while the group has no counter.
func (n *Node) requestTokens(now int64, group int, requests []TokenRequest) {
	counter := n.counters[group]
	if counter.Process == "" {
		return
	}
	n.stats.Asked++
	n.send(now, counter, &Ask{Group: uint8(group), TokenRequests: requests})
}

// send sends an Ask. If the counter is this daemon itself, it is answered at once.
func (n *Node) send(now int64, to Peer, ask *Ask) {
	if to.Send == nil {
		ask.CounterTime = now
		grant := n.handleAsk(now, n.opts.VM, ask)
		n.handleGrant(now, to.Process, &grant)
		return
	}
	peer := n.peerOf(now, to.Process)
	if peer.unansweredSince == 0 {
		peer.unansweredSince = now
	}
	ask.CounterTime, ask.UptimeMS = peer.counterTime, uint64(time.Duration(now)/time.Millisecond)+1
	to.Send(ask)
}

// HandleAsk handles the Ask of the daemon on a VM and returns the answer.
func (n *Node) HandleAsk(now int64, vm string, ask *Ask) Grant {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.handleAsk(n.latest(now), vm, ask)
}

func (n *Node) handleAsk(now int64, vm string, ask *Ask) Grant {
	if ask.CounterTime > 0 {
		// The Ask was sent after this daemon had given the time that it repeats.
		n.starts.observe(vm, StartOf(ask.CounterTime, ask.UptimeMS))
	}
	out := Grant{Group: ask.Group, CounterTime: now, Members: n.ownMembers, OldestMS: statedAge(n.starts.oldestStart())}
	if int(ask.Group) >= Groups {
		return out
	}
	p := n.pools[ask.Group]
	if ask.ReleaseAskedAt > 0 {
		p.releaseShare(now, vm)
		out.ReleaseAskedAt = ask.ReleaseAskedAt
	}
	if ask.Members > 0 && ask.CounterTime > 0 {
		size := 1 / float64(max(ask.Members, n.members.count))
		p.addShare(now, shareOffer{vm: vm, size: size, counterTime: ask.CounterTime, lease: time.Duration(ask.LeaseMS) * time.Millisecond, previousCounterLost: ask.PreviousCounterLost, unearned: time.Duration(ask.UnearnedMS) * time.Millisecond, historyLost: ask.HistoryLost})
	}
	out.HoldsShare = p.holds(now, vm)
	for _, request := range ask.TokenRequests {
		granted := TokenGrant{Team: request.Team, Requested: request.Count, AskedAt: request.AskedAt}
		if limit, ok := n.opts.Limit(request.Team); ok && limit.Limited() {
			count, wait := p.take(now, request.Team, limit, request)
			granted.Count, granted.WaitMS = count, uint32(wait.Milliseconds())
			granted.NoShareYet = count < request.Count && !p.knowsUse(now, limit, n.opts.Window)
			switch {
			case granted.NoShareYet:
				n.stats.Deferred++
				granted.MaxWaiting = p.allowWaiting(now, request.Team, limit, leaseDuration(n.members.count), request.Count-count) + 1
			case n.opts.ScheduleReturns:
				p.addReturns(now, limit, &request, &granted)
			}
		} else if ok {
			granted.Count = request.Count
		} else {
			granted.WaitMS = uint32(askInterval.Milliseconds())
		}
		out.TokenGrants = append(out.TokenGrants, granted)
	}
	return out
}

// HandleGrant handles the answer of a process to an Ask of this node.
func (n *Node) HandleGrant(now int64, process string, grant *Grant) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handleGrant(n.latest(now), process, grant)
}

func (n *Node) handleGrant(now int64, process string, grant *Grant) {
	peer := n.peerOf(now, process)
	first := peer.counterTime == 0
	peer.counterTime, peer.unansweredSince = max(peer.counterTime, grant.CounterTime), 0
	if grant.Members > n.members.count {
		n.members.update(now, grant.Members)
	}
	if !n.previous.ended && int(grant.Group) < Groups && grant.OldestMS > 0 {
		n.concludePreviousLease(now, startFromAge(n.peer(int(grant.Group), process).Start, grant.OldestMS))
	}
	if int(grant.Group) < Groups && grant.HoldsShare {
		n.adoptPreviousLease(now, int(grant.Group), process)
	}
	fromCurrent := int(grant.Group) < Groups && n.counters[grant.Group].Process == process
	for i := range grant.TokenGrants {
		granted := &grant.TokenGrants[i]
		if a := n.accounts[granted.Team]; a != nil {
			a.applyGrant(now, granted, fromCurrent)
		}
	}
	if !fromCurrent {
		return
	}
	if grant.ReleaseAskedAt > 0 {
		// The share is free: lease it to the preferred counter.
		n.leases[grant.Group].released(now, process, grant.ReleaseAskedAt)
		n.chooseCounter(now, int(grant.Group), n.ranked[grant.Group])
	}
	if first {
		// A lease needs the counter's time, which this first answer brought.
		n.renew(now, int(grant.Group), nil)
	}
}
