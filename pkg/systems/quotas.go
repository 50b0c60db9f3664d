package systems

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/link"
	"github.com/rushramp/rushramp/pkg/quota"
	"github.com/rushramp/rushramp/pkg/tables"
	"github.com/rushramp/rushramp/pkg/utils"
	"github.com/rushramp/rushramp/pkg/wire"
)

const (
	// counterLinksPerGroup is how many candidates for the counter of a group (the daemon
	// that counts the requests of a group of teams) each daemon keeps links to: the first
	// one, and those that replace it if it is lost.
	counterLinksPerGroup = 3
	// membersKnownAfter is how long after the first start of the whole system each daemon
	// has read the list of VMs, or received it from a peer.
	membersKnownAfter = 3 * time.Second
)

// quotas tells package quota, which enforces the limits of teams over all daemons, how
// many daemons share the limits, and which of them should count which group of teams:
// the first ones by rendezvous hash. Source: docs/design/teams.md.
type quotas struct {
	*Env
	// isMemberCountKnown is true once this daemon knows how many daemons share the
	// limits.
	isMemberCountKnown bool
	// isListRead is true once this daemon has read the whole list of VMs, so that its table
	// lacks no member that was listed then.
	isListRead bool
	// chosenAtMemberChanges and chosenAtUnreachedChanges are the change counts of the
	// members and of the unreached endpoints when the counters were last chosen.
	// hasChosen is true once they have been chosen.
	chosenAtMemberChanges, chosenAtUnreachedChanges uint64
	hasChosen                                       bool
	// liveMembers is the number of members that were not leaving at that time.
	liveMembers uint32
	// rankedFrom is the state of the links from which ranked was computed.
	rankedFrom linkState
	ranked     [quota.Groups][]quota.Peer
	// loggedCounters are the counters that were last logged.
	loggedCounters [quota.Groups]string
	// previousLeaseLogged is true once the end of the previous process's leases was logged.
	previousLeaseLogged bool
}

func newQuotas(env *Env) *quotas { return &quotas{Env: env} }

// groupKeys are the names by which daemons are ranked for each group.
var groupKeys = func() (out [quota.Groups]string) {
	for g := range out {
		out[g] = "teams " + strconv.Itoa(g)
	}
	return out
}()

// Tick implements System.
func (q *quotas) Tick(now int64, mail *tables.Mail) {
	wholeList := mail.VMList != nil && mail.VMList.DataCentre == ""
	if wholeList && !q.isListRead {
		q.isListRead, q.hasChosen = true, false
	}
	q.isMemberCountKnown = q.isMemberCountKnown || wholeList || q.Settings.Platform.FirstStart && now > int64(membersKnownAfter)
	if q.Quota == nil || q.World.Placement == nil || len(q.World.Placement.Teams) == 0 {
		return
	}
	q.chooseCounters()
	q.rankPeers()
	q.Quota.Tick(now, q.membersSharing(), &q.ranked)
	q.logCounters()
	q.logPreviousLease(now)
}

// membersSharing returns how many daemons share the limits, or 0 if this daemon does not
// know yet. A restarted daemon that has not read the list of VMs knows it once it has
// found as many members as a counter has reported. Otherwise no daemon would know the
// number any more after all daemons had been restarted one after another.
func (q *quotas) membersSharing() uint32 {
	if reported := q.Quota.Members(); reported > 0 && q.liveMembers >= reported {
		q.isMemberCountKnown = true
	}
	if !q.isMemberCountKnown {
		return 0
	}
	return q.liveMembers
}

// chooseCounters chooses the daemons that should count, so that this daemon keeps links
// to them, and counts the members that share the limits. An unreached member shares
// them too: it may be running and use its share.
func (q *quotas) chooseCounters() {
	changes := q.World.Members.ChangeCount()
	if q.hasChosen && changes == q.chosenAtMemberChanges && q.chosenAtUnreachedChanges == q.World.UnreachedChanges {
		return
	}
	q.hasChosen, q.chosenAtMemberChanges, q.chosenAtUnreachedChanges = true, changes, q.World.UnreachedChanges
	q.liveMembers = 0
	var vms []string
	var reachable []*tables.Endpoint
	q.World.Members.EachRow(func(row int) {
		if vm := q.World.Members.Record[row].VM; vm != q.World.VM {
			vms = append(vms, vm)
		}
		if q.World.Members.Leaving(row) {
			return
		}
		q.liveMembers++
		endpoint := q.World.Members.Endpoint[row]
		if _, unreached := q.World.Unreached[endpoint]; !unreached {
			reachable = append(reachable, endpoint)
		}
	})
	q.Quota.SetVMs(vms, q.isListRead)
	q.World.QuotaCounterDaemons = q.World.QuotaCounterDaemons[:0]
	for g := range quota.Groups {
		for _, endpoint := range highestByRendezvous(groupKeys[g], reachable, counterLinksPerGroup) {
			if !slices.Contains(q.World.QuotaCounterDaemons, endpoint) {
				q.World.QuotaCounterDaemons = append(q.World.QuotaCounterDaemons, endpoint)
			}
		}
	}
}

// processID returns the name of a peer's daemon process: its VM and its incarnation.
func processID(peer *link.Peer) string {
	return peer.Hello.VM + "/" + strconv.FormatUint(peer.Hello.Incarnation, 16)
}

// candidate is a daemon that may become the counter of a group.
type candidate struct {
	vm      string
	leaving bool
	peer    quota.Peer
	// incarnation is higher for a newer process of the same VM's daemon.
	incarnation uint64
}

// linkState is what the ranking of candidates depends on. The ranking is computed again
// when it changes.
type linkState struct {
	// addedPeers counts the links that were ever added.
	addedPeers          uint64
	links, leavingPeers int
	selfLeaving         bool
}

func (e *Env) linkState() linkState {
	out := linkState{addedPeers: e.World.Peers.AddedCount(), links: e.World.Peers.Len(), selfLeaving: e.World.View.Leaving()}
	e.World.Peers.EachRow(func(_ *link.Peer, row *tables.PeerRow) {
		if row.Leaving {
			out.leavingPeers++
		}
	})
	return out
}

// rankPeers ranks this daemon and those that it has links with by who should count each
// group. Leaving daemons come last, so that the shares of the limits that were lent to
// them are requested back.
func (q *quotas) rankPeers() {
	state := q.linkState()
	if state == q.rankedFrom && q.ranked[0] != nil {
		return
	}
	q.rankedFrom = state
	candidates := q.candidates()
	for g := range quota.Groups {
		q.ranked[g] = rankCandidates(groupKeys[g], candidates)
	}
}

// candidates returns this daemon and one candidate for each other VM that it has a link
// with, and records when the processes of all peers started. The candidate of a VM is
// the newest process, and of several links to it the one that this daemon opened.
func (q *quotas) candidates() []candidate {
	self := candidate{vm: q.World.VM, leaving: q.World.View.Leaving(), peer: quota.Peer{Process: q.World.VM}}
	byVM := map[string]candidate{}
	q.World.Peers.EachRow(func(peer *link.Peer, row *tables.PeerRow) {
		vm, incarnation := peer.Hello.VM, peer.Hello.Incarnation
		start := quota.StartOf(peer.OpenedAfter, peer.Hello.UptimeMS)
		if vm != q.World.VM {
			q.Quota.ObserveStart(vm, start)
		}
		known, ok := byVM[vm]
		// Always taking the outgoing link keeps the choice the same at each call.
		preferred := !ok || incarnation > known.incarnation || incarnation == known.incarnation && peer.Outgoing
		if !preferred || vm == q.World.VM {
			return
		}
		byVM[vm] = candidate{vm: vm, leaving: row.Leaving, incarnation: incarnation, peer: quota.Peer{
			Process: processID(peer), Link: peer, VM: vm, Start: start,
			Send: func(ask *quota.Ask) {
				// A closed link is removed from the table by its LinkEvent.
				_ = peer.Send(&wire.QuotaAsk{Ask: *ask})
			},
		}}
	})
	out := []candidate{self}
	for _, c := range byVM {
		out = append(out, c)
	}
	return out
}

// rankCandidates sorts candidates by rendezvous hash on key, leaving ones last, and
// returns their peers.
func rankCandidates(key string, candidates []candidate) []quota.Peer {
	slices.SortFunc(candidates, func(a, b candidate) int {
		if a.leaving != b.leaving {
			if a.leaving {
				return 1
			}
			return -1
		}
		return cmp.Compare(utils.RendezvousWeight(key, b.vm), utils.RendezvousWeight(key, a.vm))
	})
	out := make([]quota.Peer, 0, len(candidates))
	for _, c := range candidates {
		out = append(out, c.peer)
	}
	return out
}

// logPreviousLease logs once when no process holds a lease of the previous process any
// more.
func (q *quotas) logPreviousLease(now int64) {
	if q.previousLeaseLogged {
		return
	}
	if ended, known := q.Quota.PreviousLease(now); ended {
		q.previousLeaseLogged = true
		q.Log.Event(events.QuotaShareFree, events.F("after_ms", time.Duration(now).Milliseconds()), events.F("known", known))
	}
}

// logCounters logs each group that has another counter than before.
func (q *quotas) logCounters() {
	counters := q.Quota.CounterProcesses()
	for g, process := range counters {
		if process != q.loggedCounters[g] {
			q.loggedCounters[g] = process
			q.Log.Event(events.QuotaCounterChanged, events.F("group", g), events.F("counter", process))
		}
	}
}
