package systems

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/link"
	"github.com/rushramp/rushramp/pkg/placement"
	"github.com/rushramp/rushramp/pkg/tables"
	"github.com/rushramp/rushramp/pkg/wire"
)

// pullAgain is how long a pull may stay unanswered before the peer, or another
// one, is asked again.
const pullAgain = 500 * time.Millisecond

// placements keeps the newest version that this daemon has seen in force, and
// passes it on. A version is never lowered.
type placements struct {
	*Env
	pullDue due
	// offers are versions that peers gave while this daemon had none, by the
	// peer's data centre.
	offers map[string]tables.Version
}

// Tick implements System.
func (self *placements) Tick(now int64, mail *tables.Mail) {
	for _, v := range mail.Documents {
		self.take(v)
	}
	for _, u := range mail.Updates {
		self.takeUpdate(u)
	}
	for _, p := range mail.Pulls {
		self.answer(p)
	}
	if len(mail.News) > 0 {
		self.pull(now)
	}
}

func (self *placements) takeUpdate(u tables.PeerUpdate) {
	v, err := readUpdate(u.Peer, u.Update, self.World.Placement)
	if err != nil {
		self.Log.Event(events.PlacementRejected, events.F("version", u.Update.Version), events.F("peer", u.Peer.Hello.VM), events.F("cause", err))
		return
	}
	self.pullDue.next = 0
	self.take(v)
}

func (self *placements) take(v tables.Version) {
	if self.World.Placement != nil && v.Document.Version <= self.World.Version() {
		return
	}
	if self.World.Placement == nil && !v.FromStore {
		v = self.weigh(v)
		if v.Document == nil {
			return
		}
	}
	self.force(v)
}

// weigh decides on a peer's version while this daemon has none and the store
// has not answered: the highest of peers in more than one data centre, so that
// a data centre that is cut off by itself does not start new daemons on an old
// version. Where the members know of one data centre only, one is enough.
func (self *placements) weigh(v tables.Version) tables.Version {
	if self.offers == nil {
		self.offers = map[string]tables.Version{}
	}
	dc := v.Peer.Hello.DataCentre
	if old, ok := self.offers[dc]; !ok || old.Document.Version < v.Document.Version {
		self.offers[dc] = v
	}
	if len(self.offers) < min(2, self.dataCentres()) {
		return tables.Version{}
	}
	best := tables.Version{}
	for _, o := range self.offers {
		if best.Document == nil || o.Document.Version > best.Document.Version {
			best = o
		}
	}
	return best
}

func (self *placements) dataCentres() int {
	seen := map[string]struct{}{}
	self.World.Members.Rows(func(row int) { seen[self.World.Members.Row[row].DataCentre] = struct{}{} })
	return len(seen)
}

// force takes a version over: from here on the hot path uses it.
func (self *placements) force(v tables.Version) {
	old := self.World.Placement
	self.touchChanged(old, v.Document)
	self.World.Placement, self.World.Hash = v.Document, v.Hash
	self.keepLog(old, v)
	self.offers = nil
	compiled := placement.Compile(v.Document)
	self.World.View.SetPlacement(compiled)
	self.Log.Event(events.PlacementInForce, events.F("version", compiled.Version), events.F("services", compiled.Services()))
	state := self.Control.State()
	self.World.Peers.Rows(func(peer *link.Peer, _ *tables.PeerRow) { _ = peer.Send(state) })
}

// touchChanged marks the services whose kinds differ between two versions.
func (self *placements) touchChanged(old, now *placement.Document) {
	if old == nil {
		old = &placement.Document{}
	}
	// Compiled kinds belong to one version, so each wanted service gets a new
	// view; the cost grows with what this entry uses, not with the placement.
	for service := range self.World.Wanted {
		self.World.Touch(service)
	}
	for _, c := range placement.Diff(old, now) {
		self.World.Touch(c.Service)
	}
}

// keepLog keeps the newest changes, unless there is a gap before them.
func (self *placements) keepLog(old *placement.Document, v tables.Version) {
	follows := old != nil && len(v.Entries) > 0 && v.Entries[0].Version == old.Version+1
	if !follows {
		self.World.Log = nil
		return
	}
	self.World.Log = append(self.World.Log, v.Entries...)
	if extra := len(self.World.Log) - tables.LogLength; extra > 0 {
		self.World.Log = append([]placement.LogEntry(nil), self.World.Log[extra:]...)
	}
}

// pull asks a peer that is ahead. One at a time: the answer comes to all that
// wait, and 300 peers with the same news are not asked 300 times.
func (self *placements) pull(now int64) {
	have := self.World.Version()
	var best *link.Peer
	var bestRow *tables.PeerRow
	self.World.Peers.Rows(func(peer *link.Peer, row *tables.PeerRow) {
		ahead := row.Placement > have || (self.World.Placement == nil && row.Placement > 0 && !self.offered(peer))
		if ahead && (best == nil || row.Placement > bestRow.Placement) {
			best, bestRow = peer, row
		}
	})
	if best == nil || (now < self.pullDue.next && bestRow.PulledAt != 0) {
		return
	}
	self.pullDue.next = now + int64(pullAgain)
	bestRow.PulledAt = now
	_ = best.Send(&wire.Pull{Have: have})
}

func (self *placements) offered(peer *link.Peer) bool {
	_, ok := self.offers[peer.Hello.DataCentre]
	return ok
}

// answer sends a peer the changes since its version, or the whole document.
func (self *placements) answer(p tables.PeerPull) {
	doc := self.World.Placement
	if doc == nil || doc.Version <= p.Have {
		return
	}
	update := &wire.Update{Version: doc.Version, Hash: self.World.Hash}
	if entries, ok := self.since(p.Have); ok {
		update.From = p.Have
		update.Entries = entries
		_ = p.Peer.Send(update)
		return
	}
	data, err := doc.Encode()
	if err != nil {
		return
	}
	update.Document = data
	_ = p.Peer.Send(update)
}

func (self *placements) since(have uint64) ([][]byte, bool) {
	log := self.World.Log
	if have == 0 || len(log) == 0 || log[0].Version > have+1 {
		return nil, false
	}
	var out [][]byte
	for _, e := range log {
		if e.Version <= have {
			continue
		}
		data, err := cbor.Marshal(e)
		if err != nil {
			return nil, false
		}
		out = append(out, data)
	}
	return out, true
}

// readUpdate turns a peer's update into a version. base is the version in
// force here, or nil.
func readUpdate(peer *link.Peer, update *wire.Update, base *placement.Document) (tables.Version, error) {
	out := tables.Version{Hash: update.Hash, Peer: peer}
	if update.From == 0 {
		doc, err := placement.Decode(update.Document, update.Hash)
		out.Document = doc
		return out, err
	}
	for _, data := range update.Entries {
		var e placement.LogEntry
		if err := cbor.Unmarshal(data, &e); err != nil {
			return out, err
		}
		out.Entries = append(out.Entries, e)
	}
	doc, err := placement.Replay(base, out.Entries, update.Hash)
	out.Document = doc
	return out, err
}
