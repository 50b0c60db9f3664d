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

// pullRetryAfter is how long a pull may stay unanswered before the placement is
// requested again, from the same peer or another one.
const pullRetryAfter = 500 * time.Millisecond

// placements puts the newest placement that this daemon has received in force, tells
// its peers, and sends it to those that request it. The version in force never
// decreases.
type placements struct {
	*Env
	pullTimer intervalTimer
	// offers are the newest placements that peers sent while this daemon had none, by
	// the peer's data centre.
	offers map[string]tables.ReceivedPlacement
	// packedDocument is the encoded document of version packedVersion, as sent to peers.
	packedDocument []byte
	packedVersion  uint64
	// fromPeer is true if the placement in force came from a peer.
	fromPeer bool
}

// Tick implements System.
func (pl *placements) Tick(now int64, mail *tables.Mail) {
	for _, received := range mail.StorePlacements {
		pl.acceptIfNewer(received)
	}
	for _, u := range mail.PlacementUpdates {
		pl.receiveUpdate(u)
	}
	for _, p := range mail.PlacementPulls {
		pl.answerPull(p)
	}
	if len(mail.PeerStates) > 0 {
		pl.pullNewest(now)
	}
}

// receiveUpdate decodes a placement that a peer sent, and accepts it if it is newer.
func (pl *placements) receiveUpdate(u tables.PeerPlacementUpdate) {
	received, err := decodeUpdate(u.Peer, u.Update, pl.World.Placement)
	if err != nil {
		pl.Log.Event(events.PlacementRejected, events.F("version", u.Update.Version), events.F("peer", u.Peer.Hello.VM), events.F("cause", err))
		return
	}
	pl.pullTimer.nextAt = 0
	pl.acceptIfNewer(received)
}

// acceptIfNewer puts a placement in force if it is newer than the one in force, or
// corrects it. A daemon without a placement may collect several offers of peers first
// (chooseOffer).
func (pl *placements) acceptIfNewer(received tables.ReceivedPlacement) {
	if pl.World.Placement != nil && received.Document.Version <= pl.World.PlacementVersion() && !pl.isCorrection(received) {
		return
	}
	if pl.World.Placement == nil && !received.FromStore {
		received = pl.chooseOffer(received)
		if received.Document == nil {
			return
		}
	}
	pl.putInForce(received)
}

// isCorrection reports whether a placement from the store has the version in force but
// another content, and the one in force came from a peer. A peer of an older release
// drops the rules that it does not know.
func (pl *placements) isCorrection(received tables.ReceivedPlacement) bool {
	return pl.fromPeer && received.FromStore && received.Document.Version == pl.World.PlacementVersion() && received.Hash != pl.World.PlacementHash
}

// chooseOffer adds a peer's placement to the offers, and returns the newest offer once
// peers in two data centres have made one; until then it returns the zero value. It is
// used while this daemon has no placement and the store has not answered. A single data
// centre may be cut off from the others, and would let new daemons start with an old
// placement. One offer is enough if all known members are in one data centre.
func (pl *placements) chooseOffer(received tables.ReceivedPlacement) tables.ReceivedPlacement {
	if pl.offers == nil {
		pl.offers = map[string]tables.ReceivedPlacement{}
	}
	dc := received.Peer.Hello.DataCentre
	if old, ok := pl.offers[dc]; !ok || old.Document.Version < received.Document.Version {
		pl.offers[dc] = received
	}
	// At the first start of the whole system there is no old placement.
	if !pl.Settings.Platform.FirstStart && len(pl.offers) < min(2, pl.countDataCentres()) {
		return tables.ReceivedPlacement{}
	}
	newest := tables.ReceivedPlacement{}
	for _, offer := range pl.offers {
		if newest.Document == nil || offer.Document.Version > newest.Document.Version {
			newest = offer
		}
	}
	return newest
}

// countDataCentres returns the number of data centres that have members.
func (pl *placements) countDataCentres() int {
	seen := map[string]struct{}{}
	pl.World.Members.EachRow(func(row int) { seen[pl.World.Members.Record[row].DataCentre] = struct{}{} })
	return len(seen)
}

// putInForce puts a placement in force: it publishes the compiled placement for the
// handling of requests, and sends the new version to all peers.
func (pl *placements) putInForce(received tables.ReceivedPlacement) {
	old := pl.World.Placement
	compiled := placement.Compile(received.Document)
	for _, service := range compiled.RoutedServices() {
		// Routed requests sooner or later ask for each service that a route names.
		pl.World.RequestedServices[service] = struct{}{}
	}
	pl.markChangedServices(old, received.Document)
	pl.World.Placement, pl.World.PlacementHash = received.Document, received.Hash
	pl.fromPeer, pl.packedDocument = !received.FromStore, nil
	pl.updateLog(old, received)
	pl.offers = nil
	pl.World.View.SetPlacement(compiled)
	pl.Log.Event(events.PlacementInForce, events.F("version", compiled.Version), events.F("services", compiled.ServiceCount()), events.F("routes", compiled.Routes.Len()), events.F("from_store", received.FromStore))
	state := pl.Control.State()
	pl.World.Peers.EachRow(func(peer *link.Peer, _ *tables.PeerRow) { _ = peer.Send(state) })
}

// markChangedServices marks the views of all requested services, and of those whose
// rules differ between two documents, as out of date. old may be nil.
func (pl *placements) markChangedServices(old, current *placement.Document) {
	if old == nil {
		old = &placement.Document{}
	}
	// A view refers to the compiled kinds of one version, so the view of each requested
	// service is out of date, even if the rules of the service are the same.
	for service := range pl.World.RequestedServices {
		pl.World.MarkDirty(service)
	}
	for _, c := range placement.Diff(old, current) {
		pl.World.MarkDirty(c.Service)
	}
}

// updateLog appends the changes that led to a placement to World.PlacementLog. If they
// are not known or do not follow the version of old, it clears the log.
func (pl *placements) updateLog(old *placement.Document, received tables.ReceivedPlacement) {
	follows := old != nil && len(received.Entries) > 0 && received.Entries[0].Version == old.Version+1
	if !follows {
		pl.World.PlacementLog = nil
		return
	}
	pl.World.PlacementLog = append(pl.World.PlacementLog, received.Entries...)
	if extra := len(pl.World.PlacementLog) - tables.MaxPlacementLog; extra > 0 {
		pl.World.PlacementLog = append([]placement.LogEntry(nil), pl.World.PlacementLog[extra:]...)
	}
}

// pullNewest requests the newest placement that any peer has, from the nearest peer that
// has it, if this daemon's is older. Only one pull is under way at a time, so that this
// daemon does not request the same placement from hundreds of peers.
func (pl *placements) pullNewest(now int64) {
	have := pl.World.PlacementVersion()
	var best *link.Peer
	var bestRow *tables.PeerRow
	pl.World.Peers.EachRow(func(peer *link.Peer, row *tables.PeerRow) {
		ahead := row.PlacementVersion > max(have, pl.offeredVersion(peer))
		if ahead && (best == nil || row.PlacementVersion > bestRow.PlacementVersion || row.PlacementVersion == bestRow.PlacementVersion && pl.isNearer(peer, best)) {
			best, bestRow = peer, row
		}
	})
	if best == nil || (now < pl.pullTimer.nextAt && bestRow.PlacementPulledAt != 0) {
		return
	}
	pl.pullTimer.nextAt = now + int64(pullRetryAfter)
	bestRow.PlacementPulledAt = now
	_ = best.Send(&wire.Pull{Have: have})
}

// isNearer reports whether a is nearer to this daemon than b. Traffic between data
// centres costs money, and traffic between regions costs more.
func (pl *placements) isNearer(a, b *link.Peer) bool { return pl.proximityOf(a) < pl.proximityOf(b) }

// offeredVersion returns the newest version that peers in this peer's data centre have
// offered (chooseOffer), 0 if none.
func (pl *placements) offeredVersion(peer *link.Peer) uint64 {
	if offer, ok := pl.offers[peer.Hello.DataCentre]; ok {
		return offer.Document.Version
	}
	return 0
}

// answerPull sends a peer the changes since its version, or the whole document if they
// are not known.
func (pl *placements) answerPull(pull tables.PeerPlacementPull) {
	doc := pl.World.Placement
	if doc == nil || doc.Version <= pull.Have {
		return
	}
	update := &wire.Update{Version: doc.Version, Hash: pl.World.PlacementHash}
	if entries, ok := pl.entriesSince(pull.Have); ok {
		update.From = pull.Have
		update.Entries = entries
		_ = pull.Peer.Send(update)
		return
	}
	packed, err := pl.pack(doc)
	if err != nil {
		return
	}
	update.Document = packed
	_ = pull.Peer.Send(update)
}

// pack encodes the placement in force. It keeps the result for the next peer that
// requests it.
func (pl *placements) pack(doc *placement.Document) ([]byte, error) {
	if pl.packedVersion == doc.Version && pl.packedDocument != nil {
		return pl.packedDocument, nil
	}
	packed, err := doc.EncodeCompressed()
	if err != nil {
		return nil, err
	}
	pl.packedDocument, pl.packedVersion = packed, doc.Version
	return packed, nil
}

// entriesSince returns the encoded changes since a version, or false if the log does not
// hold all of them.
func (pl *placements) entriesSince(have uint64) ([][]byte, bool) {
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

// decodeUpdate decodes a placement that a peer sent: a whole document, or changes to
// base, the placement in force. It returns an error if the result does not match its
// hash.
func decodeUpdate(peer *link.Peer, update *wire.Update, base *placement.Document) (tables.ReceivedPlacement, error) {
	out := tables.ReceivedPlacement{Hash: update.Hash, Peer: peer}
	if update.From == 0 {
		doc, err := placement.DecodeCompressed(update.Document, update.Hash)
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
