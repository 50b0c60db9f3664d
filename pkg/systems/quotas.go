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
	// countersLinked is how many daemons that should count a group each daemon keeps a link
	// with: the first choice, and those that take its place when it is lost with another.
	countersLinked = 3
	// membersKnownAfter is when daemons know each other at the first start of the whole
	// system: each has read the list of VMs by then, or been told of it.
	membersKnownAfter = 3 * time.Second
)

// quotas tells the counting of teams' requests which daemons there are, and which of them
// should count which group: those first by rendezvous hash. Source: docs/design/teams.md.
type quotas struct {
	*Env
	// counted is true once this daemon knows how many share the limits.
	counted bool
	// members and unreached are the state of the tables that the first choices were drawn
	// from, drawn whether they were.
	members, unreached uint64
	drawn              bool
	// live is how many members were not leaving then.
	live uint32
	// madeFrom is the state of the links that ranked was made from.
	madeFrom linkState
	ranked   [quota.Groups][]quota.Peer
	// told are the counters that the log was told of.
	told [quota.Groups]string
}

func newQuotas(env *Env) *quotas { return &quotas{Env: env} }

// groupNames are the keys by which daemons are ranked for each group.
var groupNames = func() (out [quota.Groups]string) {
	for g := range out {
		out[g] = "teams " + strconv.Itoa(g)
	}
	return out
}()

// Tick implements System.
func (q *quotas) Tick(now int64, mail *tables.Mail) {
	wholeList := mail.VMList != nil && mail.VMList.DataCentre == ""
	q.counted = q.counted || wholeList || q.Settings.Platform.FirstStart && now > int64(membersKnownAfter)
	if q.Quota == nil || q.World.Placement == nil || len(q.World.Placement.Teams) == 0 {
		return
	}
	q.drawCounters()
	q.rank()
	q.Quota.Tick(now, q.countMembers(), &q.ranked)
	q.note()
}

// countMembers is how many daemons share the limits; 0 while this one cannot tell. One that
// was started again and has not read the list can, once it knows as many as a daemon that
// counts has told: else a fleet whose daemons were all started again in turn would have
// nobody left who can.
func (q *quotas) countMembers() uint32 {
	if told := q.Quota.Members(); told > 0 && q.live >= told {
		q.counted = true
	}
	if !q.counted {
		return 0
	}
	return q.live
}

// drawCounters works out which daemons should count, to keep links with them, and how many
// share the limits: one that can not be reached may live and use its part.
func (q *quotas) drawCounters() {
	changes := q.World.Members.ChangeCount()
	if q.drawn && changes == q.members && q.unreached == q.World.UnreachedChanges {
		return
	}
	q.drawn, q.members, q.unreached = true, changes, q.World.UnreachedChanges
	q.live = 0
	var routes []*tables.Endpoint
	q.World.Members.EachRow(func(row int) {
		if q.World.Members.Leaving(row) {
			return
		}
		q.live++
		route := q.World.Members.Endpoint[row]
		if _, unreached := q.World.Unreached[route]; !unreached {
			routes = append(routes, route)
		}
	})
	q.World.QuotaCounterDaemons = q.World.QuotaCounterDaemons[:0]
	for g := range quota.Groups {
		for _, route := range highestByRendezvous(groupNames[g], routes, countersLinked) {
			if !slices.Contains(q.World.QuotaCounterDaemons, route) {
				q.World.QuotaCounterDaemons = append(q.World.QuotaCounterDaemons, route)
			}
		}
	}
}

// processID tells the processes of one VM's daemon apart.
func processID(peer *link.Peer) string {
	return peer.Hello.VM + "/" + strconv.FormatUint(peer.Hello.Incarnation, 16)
}

// candidate is a daemon that may count.
type candidate struct {
	vm      string
	leaving bool
	peer    quota.Peer
	// incarnation tells which of two links leads to the newer process.
	incarnation uint64
}

// linkState is what the ranking of daemons hangs on.
type linkState struct {
	added         uint64
	links, leaves int
	leaving       bool
}

func (q *quotas) linkState() linkState {
	out := linkState{added: q.World.Peers.AddedCount(), links: q.World.Peers.Len(), leaving: q.World.View.Leaving()}
	q.World.Peers.EachRow(func(_ *link.Peer, row *tables.PeerRow) {
		if row.Leaving {
			out.leaves++
		}
	})
	return out
}

// rank orders the daemons that this one has links with, and itself, by who should count
// each group. Those that leave come last: parts that are lent to them are asked back.
func (q *quotas) rank() {
	now := q.linkState()
	if now == q.madeFrom && q.ranked[0] != nil {
		return
	}
	q.madeFrom = now
	candidates := q.candidates()
	for g := range quota.Groups {
		q.ranked[g] = rankedFor(groupNames[g], candidates)
	}
}

func (q *quotas) candidates() []candidate {
	own := candidate{vm: q.World.VM, leaving: q.World.View.Leaving(), peer: quota.Peer{Process: q.World.VM}}
	byVM := map[string]candidate{}
	q.World.Peers.EachRow(func(peer *link.Peer, row *tables.PeerRow) {
		vm, incarnation := peer.Hello.VM, peer.Hello.Incarnation
		known, ok := byVM[vm]
		// Of two links to one process that which this daemon opened, so that it stays.
		newer := !ok || incarnation > known.incarnation || incarnation == known.incarnation && peer.Outgoing
		if !newer || vm == q.World.VM {
			return
		}
		byVM[vm] = candidate{vm: vm, leaving: row.Leaving, incarnation: incarnation, peer: quota.Peer{
			Process: processID(peer), Link: peer,
			Send: func(ask *quota.Ask) {
				// A link that has closed leaves the table with its next event.
				_ = peer.Send(&wire.QuotaAsk{Ask: *ask})
			},
		}}
	})
	out := []candidate{own}
	for _, c := range byVM {
		out = append(out, c)
	}
	return out
}

func rankedFor(key string, candidates []candidate) []quota.Peer {
	slices.SortFunc(candidates, func(a, b candidate) int {
		if a.leaving != b.leaving {
			if a.leaving {
				return 1
			}
			return -1
		}
		return cmp.Compare(utils.Rendezvous(key, b.vm), utils.Rendezvous(key, a.vm))
	})
	out := make([]quota.Peer, 0, len(candidates))
	for _, c := range candidates {
		out = append(out, c.peer)
	}
	return out
}

// note logs which daemons count from now on.
func (q *quotas) note() {
	counters := q.Quota.Counters()
	for g, process := range counters {
		if process != q.told[g] {
			q.told[g] = process
			q.Log.Event(events.QuotaCounterChanged, events.F("group", g), events.F("counter", process))
		}
	}
}
