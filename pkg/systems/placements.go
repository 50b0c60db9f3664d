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
	pullDue intervalTimer
	// offers are versions that peers gave while this daemon had none, by the
	// peer's data centre.
	offers map[string]tables.ReceivedPlacement
	// packed is the document of packedVersion as peers get it.
	packed        []byte
	packedVersion uint64
	// fromPeer is true while the version in force came from a peer.
	fromPeer bool
}

// Tick implements System.
func (pl *placements) Tick(now int64, mail *tables.Mail) {
	for _, v := range mail.Placements {
		pl.take(v)
	}
	for _, u := range mail.Updates {
		pl.takeUpdate(u)
	}
	for _, p := range mail.Pulls {
		pl.answer(p)
	}
	if len(mail.PeerStates) > 0 {
		pl.pull(now)
	}
}

func (pl *placements) takeUpdate(u tables.PeerUpdate) {
	v, err := readUpdate(u.Peer, u.Update, pl.World.Placement)
	if err != nil {
		pl.Log.Event(events.PlacementRejected, events.F("version", u.Update.Version), events.F("peer", u.Peer.Hello.VM), events.F("cause", err))
		return
	}
	pl.pullDue.nextAt = 0
	pl.take(v)
}

func (pl *placements) take(v tables.ReceivedPlacement) {
	if pl.World.Placement != nil && v.Document.Version <= pl.World.PlacementVersion() && !pl.corrects(v) {
		return
	}
	if pl.World.Placement == nil && !v.FromStore {
		v = pl.weigh(v)
		if v.Document == nil {
			return
		}
	}
	pl.force(v)
}

// corrects is true for the store's own reading of the version in force where a peer
// read that otherwise: one of another release leaves out rules that it does not know.
func (pl *placements) corrects(v tables.ReceivedPlacement) bool {
	return pl.fromPeer && v.FromStore && v.Document.Version == pl.World.PlacementVersion() && v.Hash != pl.World.PlacementHash
}

// weigh decides on a peer's version while this daemon has none and the store
// has not answered: the highest of peers in more than one data centre, so that
// a data centre that is cut off by itself does not start new daemons on an old
// version. Where the members know of one data centre only, one is enough.
func (pl *placements) weigh(v tables.ReceivedPlacement) tables.ReceivedPlacement {
	if pl.offers == nil {
		pl.offers = map[string]tables.ReceivedPlacement{}
	}
	dc := v.Peer.Hello.DataCentre
	if old, ok := pl.offers[dc]; !ok || old.Document.Version < v.Document.Version {
		pl.offers[dc] = v
	}
	// At the first start of the whole system there is no old version.
	if !pl.Settings.Platform.FirstStart && len(pl.offers) < min(2, pl.dataCentres()) {
		return tables.ReceivedPlacement{}
	}
	best := tables.ReceivedPlacement{}
	for _, o := range pl.offers {
		if best.Document == nil || o.Document.Version > best.Document.Version {
			best = o
		}
	}
	return best
}

func (pl *placements) dataCentres() int {
	seen := map[string]struct{}{}
	pl.World.Members.EachRow(func(row int) { seen[pl.World.Members.Record[row].DataCentre] = struct{}{} })
	return len(seen)
}

// force takes a version over: from here on the hot path uses it.
func (pl *placements) force(v tables.ReceivedPlacement) {
	old := pl.World.Placement
	compiled := placement.Compile(v.Document)
	for _, service := range compiled.RoutedServices() {
		// Callers of routed requests ask for all of them sooner or later.
		pl.World.RequestedServices[service] = struct{}{}
	}
	pl.touchChanged(old, v.Document)
	pl.World.Placement, pl.World.PlacementHash = v.Document, v.Hash
	pl.fromPeer, pl.packed = !v.FromStore, nil
	pl.keepLog(old, v)
	pl.offers = nil
	pl.World.View.SetPlacement(compiled)
	pl.Log.Event(events.PlacementInForce, events.F("version", compiled.Version), events.F("services", compiled.Services()), events.F("routes", compiled.Routes.Len()), events.F("from_store", v.FromStore))
	state := pl.Control.State()
	pl.World.Peers.EachRow(func(peer *link.Peer, _ *tables.PeerRow) { _ = peer.Send(state) })
}

// touchChanged marks the services whose kinds differ between two versions.
func (pl *placements) touchChanged(old, now *placement.Document) {
	if old == nil {
		old = &placement.Document{}
	}
	// Compiled kinds belong to one version, so each wanted service gets a new
	// view; the cost grows with what this entry uses, not with the placement.
	for service := range pl.World.RequestedServices {
		pl.World.MarkDirty(service)
	}
	for _, c := range placement.Diff(old, now) {
		pl.World.MarkDirty(c.Service)
	}
}

// keepLog keeps the newest changes, unless there is a gap before them.
func (pl *placements) keepLog(old *placement.Document, v tables.ReceivedPlacement) {
	follows := old != nil && len(v.Entries) > 0 && v.Entries[0].Version == old.Version+1
	if !follows {
		pl.World.PlacementLog = nil
		return
	}
	pl.World.PlacementLog = append(pl.World.PlacementLog, v.Entries...)
	if extra := len(pl.World.PlacementLog) - tables.MaxPlacementLog; extra > 0 {
		pl.World.PlacementLog = append([]placement.LogEntry(nil), pl.World.PlacementLog[extra:]...)
	}
}

// pull asks a peer that is ahead. One at a time: the answer comes to all that
// wait, and 300 peers with the same news are not asked 300 times.
func (pl *placements) pull(now int64) {
	have := pl.World.PlacementVersion()
	var best *link.Peer
	var bestRow *tables.PeerRow
	pl.World.Peers.EachRow(func(peer *link.Peer, row *tables.PeerRow) {
		ahead := row.PlacementVersion > have || (pl.World.Placement == nil && row.PlacementVersion > 0 && !pl.offered(peer))
		if ahead && (best == nil || row.PlacementVersion > bestRow.PlacementVersion || row.PlacementVersion == bestRow.PlacementVersion && pl.isNearer(peer, best)) {
			best, bestRow = peer, row
		}
	})
	if best == nil || (now < pl.pullDue.nextAt && bestRow.PlacementPulledAt != 0) {
		return
	}
	pl.pullDue.nextAt = now + int64(pullAgain)
	bestRow.PlacementPulledAt = now
	_ = best.Send(&wire.Pull{Have: have})
}

// isNearer is true when the first of two peers is the nearer one: bytes between data
// centres have a price, and those between regions a higher one.
func (pl *placements) isNearer(a, b *link.Peer) bool { return pl.proximityOf(a) < pl.proximityOf(b) }

func (pl *placements) offered(peer *link.Peer) bool {
	_, ok := pl.offers[peer.Hello.DataCentre]
	return ok
}

// answer sends a peer the changes since its version, or the whole document.
func (pl *placements) answer(p tables.PeerPull) {
	doc := pl.World.Placement
	if doc == nil || doc.Version <= p.Have {
		return
	}
	update := &wire.Update{Version: doc.Version, Hash: pl.World.PlacementHash}
	if entries, ok := pl.since(p.Have); ok {
		update.From = p.Have
		update.Entries = entries
		_ = p.Peer.Send(update)
		return
	}
	packed, err := pl.pack(doc)
	if err != nil {
		return
	}
	update.Document = packed
	_ = p.Peer.Send(update)
}

// pack packs the version in force once, however many peers ask for it.
func (pl *placements) pack(doc *placement.Document) ([]byte, error) {
	if pl.packedVersion == doc.Version && pl.packed != nil {
		return pl.packed, nil
	}
	packed, err := doc.Pack()
	if err != nil {
		return nil, err
	}
	pl.packed, pl.packedVersion = packed, doc.Version
	return packed, nil
}

func (pl *placements) since(have uint64) ([][]byte, bool) {
	log := pl.World.PlacementLog
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
func readUpdate(peer *link.Peer, update *wire.Update, base *placement.Document) (tables.ReceivedPlacement, error) {
	out := tables.ReceivedPlacement{Hash: update.Hash, Peer: peer}
	if update.From == 0 {
		doc, err := placement.Unpack(update.Document, update.Hash)
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
