package quota

import (
	"context"
	"sync"
	"time"
)

// Options say how a daemon counts.
type Options struct {
	// VM names this daemon's VM.
	VM string
	// Slack is how many requests beyond its limit a team may send in the platform's
	// window, over all daemons.
	Slack float64
	// Window is the platform's.
	Window time.Duration
	// Restarted is true where another process of this daemon may have lent its part before,
	// and RestartAfter how long before this one it had ended at least.
	Restarted    bool
	RestartAfter time.Duration
	// Limit tells the limits in force.
	Limit LimitOf
}

// Peer is a daemon that may count.
type Peer struct {
	// Process tells the processes of one VM apart, Link the links to one process: what one
	// carried when it ended is lost.
	Process string
	Link    any
	// Send sends a question; nil for this daemon itself.
	Send func(*Ask)
}

// Node is one daemon's part in counting: it asks for tokens, lends its part of the limits,
// and counts the groups that others ask it for. It is safe for concurrent use. Times are
// nanoseconds of the daemon's clock.
type Node struct {
	opts Options

	mu       sync.Mutex
	pools    [Groups]*pool
	accounts map[string]*account
	lendings [Groups]lending
	// counters are the processes that are asked now, ranked the daemons that may count,
	// first choice first.
	counters [Groups]Peer
	ranked   [Groups][]Peer
	known    map[string]*knownPeer
	members  members
	// ownCount is how many members this daemon counts itself; 0: it does not know.
	ownCount uint32
	does     [Groups]step
	renewAt  int64
	askAt    int64
	sweepAt  int64
	stats    Stats
}

// knownPeer is what is known of a process that was asked.
type knownPeer struct {
	stamp int64
	// askedAt is when it was first asked since it last answered; 0: it owes nothing.
	askedAt  int64
	probedAt int64
	seenAt   int64
}

// silent is true for a process that owes an answer for too long.
func (k *knownPeer) silent(now int64) bool {
	return k.askedAt != 0 && now-k.askedAt > int64(silentAfter)
}

// members is how many daemons share the limits.
type members struct {
	count uint32
	// lowAt is when a smaller count than this was first told.
	lowAt int64
}

// note takes a count over; a smaller one only once it has held for a while.
func (m *members) note(now int64, count uint32) {
	if count >= m.count {
		m.count, m.lowAt = count, 0
		return
	}
	if m.lowAt == 0 {
		m.lowAt = now
	}
	if now-m.lowAt >= int64(max(membersFor, lease(m.count))) {
		m.count, m.lowAt = count, 0
	}
}

// Stats counts what a node did since its start.
type Stats struct {
	// Asked counts questions, Granted tokens that requests took here, Refused requests
	// over a limit, Unsure those that nobody answered for, Back tokens given back.
	Asked, Granted, Refused, Unsure, Back uint64
}

// count counts how a request for a token ended.
func (s *Stats) count(v Verdict) {
	switch {
	case v.Granted:
		s.Granted++
	case v.Unsure:
		s.Unsure++
	default:
		s.Refused++
	}
}

// NewNode makes a node.
func NewNode(opts Options) *Node {
	n := &Node{opts: opts, accounts: map[string]*account{}, known: map[string]*knownPeer{}}
	for g := range Groups {
		n.pools[g] = newPool(opts.Slack)
	}
	return n
}

// Stats returns the counts.
func (n *Node) Stats() Stats {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.stats
}

// Members is how many daemons share the limits, as far as this one has counted or was told;
// 0: it does not know.
func (n *Node) Members() uint32 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.members.count
}

// Counters are the processes that count each group, as far as this daemon knows.
func (n *Node) Counters() (out [Groups]string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for g := range Groups {
		out[g] = n.counters[g].Process
	}
	return out
}

// Holds is for how many daemons' parts this daemon counts a group now, as a share of all.
func (n *Node) Holds(now int64, group int) float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.pools[group].advance(now)
	return n.pools[group].sum
}

// Take asks for a token of a team that has a limit, and waits for it, for as long as
// patience at the most.
func (n *Node) Take(ctx context.Context, now int64, team string, patience time.Duration) Verdict {
	verdict := n.take(ctx, now, team, patience)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stats.count(verdict)
	return verdict
}

func (n *Node) take(ctx context.Context, now int64, team string, patience time.Duration) Verdict {
	w, verdict := n.begin(now, team)
	if w == nil {
		return verdict
	}
	timer := time.NewTimer(min(patience, mostPatience))
	defer timer.Stop()
	select {
	case verdict = <-w.verdict:
		return verdict
	case <-timer.C:
	case <-ctx.Done():
	}
	return n.giveUp(team, w)
}

// begin takes a token that lies here, or makes the request wait for one.
func (n *Node) begin(now int64, team string) (*waiter, Verdict) {
	n.mu.Lock()
	defer n.mu.Unlock()
	a := n.accountOf(team)
	a.recent++
	if len(a.waiting) == 0 && a.spend(now) {
		return nil, Verdict{Granted: true}
	}
	if now < a.shutUntil {
		return nil, Verdict{RetryAfter: time.Duration(a.shutUntil - now)}
	}
	w := &waiter{verdict: make(chan Verdict, 1)}
	a.waiting = append(a.waiting, w)
	if len(a.waiting) > int(a.asked) && now >= a.laterUntil {
		n.ask(now, a.group, []TokenRequest{a.want(now)})
	}
	select {
	case verdict := <-w.verdict:
		// This daemon counts the team itself.
		return nil, verdict
	default:
		return w, Verdict{}
	}
}

// giveUp ends the wait of a request whose time is over. One that was answered in the same
// moment takes that answer.
func (n *Node) giveUp(team string, w *waiter) Verdict {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.accountOf(team).leave(w) {
		return Verdict{Unsure: true}
	}
	return <-w.verdict
}

// ReturnToken returns the token of a request that was not run.
func (n *Node) ReturnToken(team string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	a := n.accountOf(team)
	a.back++
	// The next request may have it.
	a.shutUntil = 0
	n.stats.Back++
}

func (n *Node) accountOf(team string) *account {
	a := n.accounts[team]
	if a == nil {
		a = &account{team: team, group: GroupOf(team)}
		n.accounts[team] = a
	}
	return a
}

// ask sends a question without a part to the counter of a group.
func (n *Node) ask(now int64, group int, wants []TokenRequest) {
	counter := n.counters[group]
	if counter.Process == "" {
		return
	}
	n.stats.Asked++
	n.send(now, counter, &Ask{Group: uint8(group), TokenRequests: wants})
}

// send sends a question; this daemon answers itself at once.
func (n *Node) send(now int64, to Peer, ask *Ask) {
	if to.Send == nil {
		ask.CounterTime = now
		grant := n.answer(now, n.opts.VM, ask)
		n.takeOver(now, to.Process, &grant)
		return
	}
	peer := n.peerOf(now, to.Process)
	if peer.askedAt == 0 {
		peer.askedAt = now
	}
	ask.CounterTime = peer.stamp
	to.Send(ask)
}

func (n *Node) peerOf(now int64, process string) *knownPeer {
	k := n.known[process]
	if k == nil {
		k = &knownPeer{}
		n.known[process] = k
	}
	k.seenAt = now
	return k
}

// HandleAsk answers the question of another daemon.
func (n *Node) HandleAsk(now int64, vm string, ask *Ask) Grant {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.answer(now, vm, ask)
}

func (n *Node) answer(now int64, vm string, ask *Ask) Grant {
	out := Grant{Group: ask.Group, CounterTime: now, Members: n.ownCount}
	if int(ask.Group) >= Groups {
		return out
	}
	p := n.pools[ask.Group]
	if ask.ReleaseAskedAt > 0 {
		p.release(now, vm)
		out.ReleaseAskedAt = ask.ReleaseAskedAt
	}
	if ask.Members > 0 && ask.CounterTime > 0 {
		size := 1 / float64(max(ask.Members, n.members.count))
		p.lend(now, offer{vm: vm, size: size, stamp: ask.CounterTime, lease: time.Duration(ask.LeaseMS) * time.Millisecond, fresh: ask.PreviousCounterLost})
	}
	for _, want := range ask.TokenRequests {
		granted := TokenGrant{Team: want.Team, Requested: want.Count, AskedAt: want.AskedAt}
		if limit, ok := n.opts.Limit(want.Team); ok && limit.Limited() {
			count, wait := p.take(now, want.Team, limit, want)
			granted.Count, granted.WaitMS = count, uint32(wait.Milliseconds())
			granted.NoShareYet = count == 0 && p.sum == 0
		} else if ok {
			granted.Count = want.Count
		} else {
			granted.WaitMS = uint32(askAgain.Milliseconds())
		}
		out.TokenGrants = append(out.TokenGrants, granted)
	}
	return out
}

// HandleGrant takes the answer of a process over.
func (n *Node) HandleGrant(now int64, process string, grant *Grant) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.takeOver(now, process, grant)
}

func (n *Node) takeOver(now int64, process string, grant *Grant) {
	peer := n.peerOf(now, process)
	first := peer.stamp == 0
	peer.stamp, peer.askedAt = max(peer.stamp, grant.CounterTime), 0
	if grant.Members > n.members.count {
		n.members.note(now, grant.Members)
	}
	current := int(grant.Group) < Groups && n.counters[grant.Group].Process == process
	for i := range grant.TokenGrants {
		granted := &grant.TokenGrants[i]
		if a := n.accounts[granted.Team]; a != nil {
			a.grant(now, granted, current)
		}
	}
	if !current {
		return
	}
	if grant.ReleaseAskedAt > 0 {
		// The next choice lends it elsewhere.
		n.lendings[grant.Group].back(now, process, grant.ReleaseAskedAt)
		n.choose(now, int(grant.Group), n.ranked[grant.Group])
	}
	if first {
		// Only now can the part be lent there.
		n.renew(now, int(grant.Group), nil)
	}
}
