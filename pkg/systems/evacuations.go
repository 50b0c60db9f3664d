package systems

import (
	"strings"

	"github.com/rushramp/rushramp/pkg/evacuation"
	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/link"
	"github.com/rushramp/rushramp/pkg/tables"
)

// evacuations keeps the newest set of evacuated data centres in force, from the
// store and from peers, and passes each change on over all links. A new link
// greets with the set, so that both its ends hold the newer one at any time.
// Source: docs/design/evacuation.md.
type evacuations struct{ *Env }

// Tick implements System.
func (ev *evacuations) Tick(_ int64, mail *tables.Mail) {
	if mail.Evacuation != nil {
		ev.take(*mail.Evacuation, "")
	}
	for _, n := range mail.PeerStates {
		ev.take(n.State.Evacuation, n.Peer.Hello.VM)
	}
}

// take puts a newer set in force; from names the peer that told it, or is empty
// for the store.
func (ev *evacuations) take(set evacuation.Set, from string) {
	known := ev.World.View.Evacuation()
	if set.Revision <= known.Revision {
		return
	}
	ev.World.View.SetEvacuation(set)
	if set.SameDataCentres(known) {
		return
	}
	ev.Log.Event(events.EvacuationChanged, events.F("data_centres", strings.Join(set.DataCentres, ",")), events.F("revision", set.Revision), events.F("from", from))
	ev.enforce(set.Has(ev.World.DataCentre))
	for service := range ev.World.RequestedServices {
		ev.World.MarkDirty(service)
	}
	state := ev.Control.State()
	ev.World.Peers.EachRow(func(peer *link.Peer, _ *tables.PeerRow) { _ = peer.Send(state) })
}

// enforce has the executors of this daemon refuse new work while its own data
// centre is evacuated, whatever entries believe.
func (ev *evacuations) enforce(evacuated bool) {
	if ev.Executor != nil {
		ev.Executor.SetEvacuated(evacuated)
	}
	if ev.RoutedRunner != nil {
		ev.RoutedRunner.SetEvacuated(evacuated)
	}
}

// sendEvacuation tells a peer whose greeting shows another set than this daemon's.
// The set may have changed between this daemon's greeting and now.
func (l *links) sendEvacuation(peer *link.Peer) {
	if !peer.Hello.State.Evacuation.SameDataCentres(l.World.View.Evacuation()) {
		_ = peer.Send(l.Control.State())
	}
}
