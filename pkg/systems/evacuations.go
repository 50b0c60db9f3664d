package systems

import (
	"strings"

	"github.com/rushramp/rushramp/pkg/evacuation"
	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/link"
	"github.com/rushramp/rushramp/pkg/tables"
)

// evacuations puts the newest set of evacuated data centres, read from the store or
// received from a peer, in force, and sends each change over all links. The hello of
// each new link carries the set, so that both of its ends soon have the newer one.
// Source: docs/design/evacuation.md.
type evacuations struct{ *Env }

// Tick implements System.
func (ev *evacuations) Tick(_ int64, mail *tables.Mail) {
	if mail.Evacuation != nil {
		ev.apply(*mail.Evacuation, "")
	}
	for _, received := range mail.PeerStates {
		ev.apply(received.State.Evacuation, received.Peer.Hello.VM)
	}
}

// apply puts a set in force if it is newer than the known one. from is the VM of the
// peer that sent the set, or empty if it was read from the store.
func (ev *evacuations) apply(set evacuation.Set, from string) {
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

// enforce makes the executors of this daemon refuse new work while its own data centre
// is evacuated, including requests from entries that do not know of the evacuation yet.
func (ev *evacuations) enforce(evacuated bool) {
	if ev.Executor != nil {
		ev.Executor.SetEvacuated(evacuated)
	}
	if ev.RoutedRunner != nil {
		ev.RoutedRunner.SetEvacuated(evacuated)
	}
}

// sendEvacuation sends the state of this daemon to a new peer whose hello contains
// another set of evacuated data centres. The set of this daemon may have changed since
// it sent its own hello.
func (l *links) sendEvacuation(peer *link.Peer) {
	if !peer.Hello.State.Evacuation.SameDataCentres(l.World.View.Evacuation()) {
		_ = peer.Send(l.Control.State())
	}
}
