package systems

import (
	"math/rand/v2"
	"time"

	"github.com/rushramp/rushramp/pkg/link"
	"github.com/rushramp/rushramp/pkg/proximity"
	"github.com/rushramp/rushramp/pkg/tables"
	"github.com/rushramp/rushramp/pkg/wire"
)

// spreadMost is how many changed rows are passed on at once. More, as when a
// whole list is new, are left to the comparing of tables, which sends each
// peer only what it lacks.
const spreadMost = 200

// spreadFanout is how many daemons of its own data centre a daemon passes a new
// row on to. Each daemon doing so reaches nearly all in a few steps (some e^-4
// are missed, and found by the comparing of tables), where passing on over all
// links costs the square of the fleet for each change.
const spreadFanout = 4

// spreadRelays is how many daemons of a data centre, in the mean, send a row of
// one of its VMs to each other data centre of the region and to each other region;
// e^-3 of the rows are missed there and found by the comparing of tables. Bytes
// between data centres have a price.
const spreadRelays = 3

// spreadEvery is the least time between two times of passing rows on. A single
// change goes at once; while a fleet starts, what comes within this time goes in
// one frame a daemon: 295 daemons sent 700,000 frames of one row each.
const spreadEvery = 100 * time.Millisecond

// memberGossip passes on rows of members that changed, the own row too: to a few
// daemons of the own data centre, and now and then to another data centre. A row
// that a daemon knows already changes nothing there and goes no further.
type memberGossip struct {
	*Env
	due intervalTimer
	// waiting are the rows to pass on, the newest of each VM.
	waiting map[string]tables.MemberChange
}

// Tick implements System.
func (s *memberGossip) Tick(now int64, _ *tables.Mail) {
	s.collect(s.World.Members.TakeChanges())
	if len(s.waiting) == 0 || !s.due.fires(now, spreadEvery) {
		return
	}
	said := make([]tables.MemberChange, 0, len(s.waiting))
	for _, f := range s.waiting {
		said = append(said, f)
	}
	clear(s.waiting)
	for peer, rows := range s.plan(said) {
		sendMembers(peer, rows)
	}
}

// collect notes the rows to pass on that changed since the last tick.
func (s *memberGossip) collect(fresh []tables.MemberChange) {
	if len(fresh) == 0 || len(fresh) > spreadMost {
		return
	}
	if s.Registrar == nil {
		s.spreadList(fresh)
	}
	if s.waiting == nil {
		s.waiting = map[string]tables.MemberChange{}
	}
	for _, f := range s.changesFromDaemons(fresh) {
		s.waiting[f.Record.VM] = f
	}
}

// plan says which rows go over which links.
func (s *memberGossip) plan(said []tables.MemberChange) map[*link.Peer][]wire.Member {
	out := map[*link.Peer][]wire.Member{}
	if len(said) == 0 {
		return out
	}
	near, far := s.peersByGroup()
	for _, peer := range pickRandom(near, spreadFanout) {
		out[peer] = rowsNotFrom(peer, said)
	}
	for to, peers := range far {
		for _, peer := range pickRandom(peers, 1) {
			out[peer] = rowsNotFrom(peer, s.relayed(to, said))
		}
	}
	return out
}

// spreadList passes a reader's news of the platform's list on over all links.
// Where daemons write the list themselves, each reads it at its start.
func (s *memberGossip) spreadList(fresh []tables.MemberChange) {
	var listed []tables.MemberChange
	for _, f := range fresh {
		if f.From == nil && f.Record.VM != s.World.VM {
			listed = append(listed, f)
		}
	}
	s.World.Peers.EachRow(func(peer *link.Peer, _ *tables.PeerRow) { sendMembers(peer, rowsNotFrom(peer, listed)) })
}

// changesFromDaemons are the rows that a daemon said, this one or another.
func (s *memberGossip) changesFromDaemons(fresh []tables.MemberChange) []tables.MemberChange {
	var out []tables.MemberChange
	for _, f := range fresh {
		if f.From != nil || f.Record.VM == s.World.VM {
			out = append(out, f)
		}
	}
	return out
}

// relayed are the rows that this daemon sends to a group, each with a chance by which
// spreadRelays daemons of its data centre do so: those of the own data centre go to
// all groups, those of other regions to the data centres of the own one, where a row
// that crossed into one must reach the others. Rows of the own region's other data
// centres are relayed by these.
func (s *memberGossip) relayed(to peerGroup, said []tables.MemberChange) []tables.MemberChange {
	chance := spreadRelays / float64(max(s.World.Members.CountInDataCentre(s.World.DataCentre), 1))
	var out []tables.MemberChange
	for _, f := range said {
		from := s.World.Here().To(f.Record.DataCentre, f.Record.Region)
		relays := from == proximity.SameDataCentre || from == proximity.OtherRegion && to.at == proximity.Region
		if relays && rand.Float64() < chance {
			out = append(out, f)
		}
	}
	return out
}

// pickRandom picks up to most of some links.
func pickRandom(peers []*link.Peer, most int) []*link.Peer {
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(most, len(peers))]
}

// rowsNotFrom are the rows that did not come from a peer.
func rowsNotFrom(peer *link.Peer, fresh []tables.MemberChange) []wire.Member {
	var rows []wire.Member
	for _, f := range fresh {
		if f.From == nil || f.From.Hello.VM != peer.Hello.VM {
			rows = append(rows, f.Record)
		}
	}
	return rows
}
