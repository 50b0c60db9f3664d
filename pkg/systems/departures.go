package systems

import (
	"context"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/rushramp/rushramp/pkg/backend"
	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/link"
	"github.com/rushramp/rushramp/pkg/store"
	"github.com/rushramp/rushramp/pkg/tables"
	"github.com/rushramp/rushramp/pkg/wire"
)

const (
	// departurePrefix begins the keys of departures in the store.
	departurePrefix = "departure/"
	// departuresFor is how long a departure is remembered, in nanoseconds.
	departuresFor = 5 * 60 * int64(time.Second)
	// informedAfter is how long a daemon that was started again waits for the
	// store's or a peer's word before it trusts its backend server alone.
	informedAfter = 4 * time.Second
	// departuresEvery is the time between two tries to read them.
	departuresEvery = 500 * time.Millisecond
)

// departures keeps and passes on which processes of backend servers have said
// that they leave. A daemon that acknowledged that may be killed at once and
// started anew; peers and the store then know what it has forgotten. Source:
// docs/design/platform.md, "A backend server leaves".
type departures struct {
	*Env
	due  intervalTimer
	busy atomic.Bool
	// own are the departures that this daemon has acknowledged, and when.
	own map[string]int64
	// greeted is how many links had ever come up when all were told.
	greeted uint64
}

// Tick implements System.
func (d *departures) Tick(now int64, mail *tables.Mail) {
	if d.Backend == nil {
		return
	}
	if d.own == nil {
		d.own = map[string]int64{}
	}
	var own, heard []string
	for _, id := range mail.LocalDepartures {
		own = d.add(now, own, id)
		d.own[id] = now
	}
	if mail.StoreRestored {
		d.keepAgain(now)
	}
	for _, p := range mail.PeerDepartures {
		heard = d.takeOver(now, heard, p.Frame)
	}
	d.tell(own, heard)
	d.greet()
	if !d.Backend.DeparturesKnown() {
		d.inform(now)
	}
}

func (d *departures) add(now int64, fresh []string, id string) []string {
	if _, known := d.World.Departures[id]; known {
		return fresh
	}
	d.World.Departures[id] = now
	for old, at := range d.World.Departures {
		if now-at > departuresFor {
			delete(d.World.Departures, old)
		}
	}
	return append(fresh, id)
}

func (d *departures) takeOver(now int64, fresh []string, said *wire.Departures) []string {
	for _, id := range said.IDs {
		d.Backend.RecordDeparture(now, backend.ParseIncarnation(id))
		fresh = d.add(now, fresh, id)
	}
	if said.Informed {
		d.Backend.RecordDeparturesKnown()
	}
	return fresh
}

// keepAgain writes the departures that were acknowledged here once more: the copy that the
// store came back from may lack them, and this daemon may be killed at any time.
func (d *departures) keepAgain(now int64) {
	for id, at := range d.own {
		if now-at > departuresFor {
			delete(d.own, id)
			continue
		}
		go d.storeDeparture(d.DaemonContext, id)
	}
}

// tell passes departures on that are new here. A departure binds the daemon beside the
// backend server; others keep it for when that one has forgotten, and it asks its own
// data centre first.
func (d *departures) tell(own, heard []string) {
	broadcast(d.Env, own, heard, func(id string) string { return id }, func(ids []string) wire.Frame {
		return &wire.Departures{IDs: ids}
	})
}

// greet sends the whole set over each new link, once this daemon is informed.
func (d *departures) greet() {
	if !d.Backend.DeparturesKnown() || d.greeted == d.World.Peers.AddedCount() {
		return
	}
	d.greeted = d.World.Peers.AddedCount()
	frame := &wire.Departures{Informed: true}
	for id := range d.World.Departures {
		frame.IDs = append(frame.IDs, id)
	}
	d.World.Peers.EachRow(func(peer *link.Peer, row *tables.PeerRow) {
		if row.DeparturesSent {
			return
		}
		row.DeparturesSent = true
		// A link that has closed leaves the table with its next event.
		_ = peer.Send(frame)
	})
}

// inform reads the departures from the store while no peer has told them.
func (d *departures) inform(now int64) {
	if time.Duration(now) > informedAfter {
		d.Backend.RecordDeparturesKnown()
		return
	}
	if !d.shouldWaitForPeers(now) && d.due.fires(now, departuresEvery) && d.busy.CompareAndSwap(false, true) {
		go d.read()
	}
}

func (d *departures) read() {
	defer d.busy.Store(false)
	ctx, cancel := context.WithTimeout(d.DaemonContext, d.Settings.Platform.Timeout)
	defer cancel()
	said := &wire.Departures{Informed: true}
	err := scanAll(ctx, d.Platform, departurePrefix, func(row store.Row) {
		said.IDs = append(said.IDs, strings.TrimPrefix(row.Key, departurePrefix))
	})
	if err != nil {
		return
	}
	d.World.Inbox.Post(true, func(m *tables.Mail) {
		m.PeerDepartures = append(m.PeerDepartures, tables.PeerDepartures{Frame: said})
	})
}

// SaveDeparture notes that a process of the backend server beside this daemon
// leaves: here and with the peers at once, and in the store, which it waits for
// until ctx ends. Only then may the announcement be acknowledged.
func (e *Env) SaveDeparture(ctx context.Context, of backend.Incarnation) {
	instance := of.String()
	e.World.Inbox.Post(true, func(m *tables.Mail) { m.LocalDepartures = append(m.LocalDepartures, instance) })
	e.storeDeparture(ctx, instance)
}

// storeDeparture writes the row of a departure; one that is there is as good.
func (e *Env) storeDeparture(ctx context.Context, instance string) {
	ctx, cancel := context.WithTimeout(ctx, e.Settings.Platform.Timeout)
	defer cancel()
	err := e.Platform.Transact(ctx, []store.Write{{Key: departurePrefix + instance, Value: []byte(e.Settings.VM.ID)}})
	if err != nil && !errors.Is(err, store.ErrConflict) {
		e.Log.Event(events.DepartureNotStored, events.F("instance", instance), events.F("cause", err))
	}
}
