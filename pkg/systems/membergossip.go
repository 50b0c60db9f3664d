package systems

import (
	"math/rand/v2"
	"time"

	"github.com/rushramp/rushramp/pkg/link"
	"github.com/rushramp/rushramp/pkg/proximity"
	"github.com/rushramp/rushramp/pkg/tables"
	"github.com/rushramp/rushramp/pkg/wire"
)

// maxGossipChanges is the largest number of changes in a tick that are passed on. Larger
// sets, such as a whole new list, are left to antiEntropy, which sends each peer only the
// rows it lacks.
const maxGossipChanges = 200

// gossipFanout is how many daemons of the same data centre a daemon passes a change on
// to. When each does so, a change reaches nearly all in a few steps; a share of about
// e^-4 is missed and recovered by antiEntropy. Passing changes on over all links would
// cost the square of the fleet's size for each change.
const gossipFanout = 4

// gossipRelays is how many daemons of a data centre, on average, send a change of one of
// its VMs to each other data centre of the region and to each other region. A share of
// about e^-3 of the changes is missed there and recovered by antiEntropy. Traffic between
// data centres costs more.
const gossipRelays = 3

// gossipInterval is the least time between two rounds of passing changes on. A single
// change is sent at once. While a fleet starts, the changes of an interval are sent
// together, instead of one frame for each.
const gossipInterval = 100 * time.Millisecond

// memberGossip passes changes of the table of members on to randomly selected peers: to a
// few in the same data centre, and with a low probability to other data centres. A daemon
// that knows a change already does not pass it on.
type memberGossip struct {
	*Env
	timer intervalTimer
	// pending holds the changes to pass on, the newest of each VM.
	pending map[string]tables.MemberChange
}

// Tick implements System.
func (g *memberGossip) Tick(now int64, _ *tables.Mail) {
	g.collect(g.World.Members.TakeChanges())
	if len(g.pending) == 0 || !g.timer.fires(now, gossipInterval) {
		return
	}
	changes := make([]tables.MemberChange, 0, len(g.pending))
	for _, change := range g.pending {
		changes = append(changes, change)
	}
	clear(g.pending)
	for peer, rows := range g.recordsByPeer(changes) {
		sendMembers(peer, rows)
	}
}

// collect adds the changes of the last tick to pending.
func (g *memberGossip) collect(changes []tables.MemberChange) {
	if len(changes) == 0 || len(changes) > maxGossipChanges {
		return
	}
	if g.Registrar == nil {
		g.sendListChanges(changes)
	}
	if g.pending == nil {
		g.pending = map[string]tables.MemberChange{}
	}
	for _, change := range g.changesFromDaemons(changes) {
		g.pending[change.Record.VM] = change
	}
}

// recordsByPeer selects the records to send over each link.
func (g *memberGossip) recordsByPeer(changes []tables.MemberChange) map[*link.Peer][]wire.Member {
	out := map[*link.Peer][]wire.Member{}
	if len(changes) == 0 {
		return out
	}
	localPeers, groups := g.peersByGroup()
	for _, peer := range pickRandom(localPeers, gossipFanout) {
		out[peer] = rowsNotFrom(peer, changes)
	}
	for group, peers := range groups {
		for _, peer := range pickRandom(peers, 1) {
			out[peer] = rowsNotFrom(peer, g.selectForGroup(group, changes))
		}
	}
	return out
}

// sendListChanges sends what a reader took over from the platform's list of VMs over all
// links. It is not needed if daemons write the list themselves, because then each daemon
// reads the list at its start.
func (g *memberGossip) sendListChanges(changes []tables.MemberChange) {
	var listed []tables.MemberChange
	for _, change := range changes {
		if change.From == nil && change.Record.VM != g.World.VM {
			listed = append(listed, change)
		}
	}
	g.World.Peers.EachRow(func(peer *link.Peer, _ *tables.PeerRow) { sendMembers(peer, rowsNotFrom(peer, listed)) })
}

// changesFromDaemons returns the changes that were reported by a daemon, this one
// included.
func (g *memberGossip) changesFromDaemons(changes []tables.MemberChange) []tables.MemberChange {
	var out []tables.MemberChange
	for _, change := range changes {
		if change.From != nil || change.Record.VM == g.World.VM {
			out = append(out, change)
		}
	}
	return out
}

// selectForGroup selects the records that this daemon sends to a group, each at random so
// that on average gossipRelays daemons of its data centre send it. Records of the own
// data centre go to all groups. Records of other regions go to the data centres of the
// own region. Records of the region's other data centres are sent by the daemons there.
func (g *memberGossip) selectForGroup(group peerGroup, changes []tables.MemberChange) []tables.MemberChange {
	chance := gossipRelays / float64(max(g.World.Members.CountInDataCentre(g.World.DataCentre), 1))
	var out []tables.MemberChange
	for _, change := range changes {
		from := g.World.Here().LevelTo(change.Record.DataCentre, change.Record.Region)
		relay := from == proximity.SameDataCentre || from == proximity.OtherRegion && group.level == proximity.Region
		if relay && rand.Float64() < chance {
			out = append(out, change)
		}
	}
	return out
}

// pickRandom returns up to limit randomly selected peers.
func pickRandom(peers []*link.Peer, limit int) []*link.Peer {
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(limit, len(peers))]
}

// rowsNotFrom returns the records that were not received from the peer's VM.
func rowsNotFrom(peer *link.Peer, changes []tables.MemberChange) []wire.Member {
	var rows []wire.Member
	for _, change := range changes {
		if change.From == nil || change.From.Hello.VM != peer.Hello.VM {
			rows = append(rows, change.Record)
		}
	}
	return rows
}
