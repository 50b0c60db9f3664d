package systems

import (
	"context"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/link"
	"github.com/rushramp/rushramp/pkg/place"
	"github.com/rushramp/rushramp/pkg/store"
	"github.com/rushramp/rushramp/pkg/tables"
	"github.com/rushramp/rushramp/pkg/utils"
	"github.com/rushramp/rushramp/pkg/wire"
)

const (
	// departurePrefix begins the keys of departures in the store.
	departurePrefix = "departure/"
	// departuresRead is how many rows of departures are read at a time.
	departuresRead = 500
	// departuresFor is how long a departure is remembered, in nanoseconds.
	departuresFor = 5 * 60 * int64(time.Second)
	// informedAfter is how long a daemon that was started again waits for the
	// store's or a peer's word before it trusts its backend server alone.
	informedAfter = 4 * time.Second
	// departuresEvery is the time between two tries to read them.
	departuresEvery = 500 * time.Millisecond
	// departureRelays is how many daemons of a data centre pass a departure on to
	// other data centres, beside the one that it was said to. With each daemon doing
	// so, 82 of them sent 54,829 frames there for some forty departures.
	departureRelays = 3
	// departureCrossings is how many daemons of another region each of them tells. A
	// departure binds the daemon beside the backend server; others keep it for when that
	// one has forgotten, and it asks its own data centre first.
	departureCrossings = 2
)

// departures keeps and passes on which processes of backend servers have said
// that they leave. A daemon that acknowledged that may be killed at once and
// started anew; peers and the store then know what it has forgotten. Source:
// docs/design/platform.md, "A backend server leaves".
type departures struct {
	*Env
	due  due
	busy atomic.Bool
	// greeted is how many links had ever come up when all were told.
	greeted uint64
}

// Tick implements System.
func (d *departures) Tick(now int64, mail *tables.Mail) {
	if d.Backend == nil {
		return
	}
	var own, heard []string
	for _, id := range mail.Departed {
		own = d.add(now, own, id)
	}
	for _, p := range mail.PeerDepartures {
		heard = d.takeOver(now, heard, p.Said)
	}
	d.tell(own, heard)
	d.greet()
	if !d.Backend.IsInformed() {
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
		d.Backend.Depart(now, id)
		fresh = d.add(now, fresh, id)
	}
	if said.Informed {
		d.Backend.Informed()
	}
	return fresh
}

// tell passes departures on that are new here: those that were said here to all
// daemons of the region that this one has links with and to a few of others, those
// heard of within the data centre, and a few of them to others. Who knows them already passes nothing on, so news ends by
// itself.
func (d *departures) tell(own, heard []string) {
	if len(own)+len(heard) == 0 {
		return
	}
	near, far := d.peersByGroup()
	everywhere := slices.Concat(own, d.relayed(near, heard))
	// A link that has closed leaves the table with its next event.
	all := &wire.Departures{IDs: slices.Concat(own, heard)}
	for _, peer := range near {
		_ = peer.Send(all)
	}
	if len(everywhere) == 0 {
		return
	}
	abroad := &wire.Departures{IDs: everywhere}
	for to, peers := range far {
		if to.at == place.Other {
			peers = draw(peers, departureCrossings)
		}
		for _, peer := range peers {
			_ = peer.Send(abroad)
		}
	}
}

// relayed are the departures that this daemon passes on to other data centres: those
// for which it is among the first of its own by rendezvous hash. Only daemons with a
// link count, so that where links are few there are more relays, never fewer.
func (d *departures) relayed(near []*link.Peer, heard []string) []string {
	var out []string
	for _, id := range heard {
		mine, ahead := utils.Rendezvous(id, d.World.VM), 0
		for _, peer := range near {
			if utils.Rendezvous(id, peer.Hello.VM) > mine {
				ahead++
			}
		}
		if ahead < departureRelays {
			out = append(out, id)
		}
	}
	return out
}

// greet sends the whole set over each new link, once this daemon is informed.
func (d *departures) greet() {
	if !d.Backend.IsInformed() || d.greeted == d.World.Peers.Added() {
		return
	}
	d.greeted = d.World.Peers.Added()
	frame := &wire.Departures{Informed: true}
	for id := range d.World.Departures {
		frame.IDs = append(frame.IDs, id)
	}
	d.World.Peers.Rows(func(peer *link.Peer, row *tables.PeerRow) {
		if row.Told {
			return
		}
		row.Told = true
		// A link that has closed leaves the table with its next event.
		_ = peer.Send(frame)
	})
}

// inform reads the departures from the store while no peer has told them.
func (d *departures) inform(now int64) {
	if time.Duration(now) > informedAfter {
		d.Backend.Informed()
		return
	}
	if d.due.at(now, departuresEvery) && d.busy.CompareAndSwap(false, true) {
		go d.read()
	}
}

func (d *departures) read() {
	defer d.busy.Store(false)
	ctx, cancel := context.WithTimeout(d.Background, d.Settings.Platform.Timeout)
	defer cancel()
	said := &wire.Departures{Informed: true}
	after := departurePrefix
	for {
		rows, err := d.Platform.Scan(ctx, departurePrefix, after, departuresRead)
		if err != nil {
			return
		}
		for _, row := range rows {
			said.IDs = append(said.IDs, strings.TrimPrefix(row.Key, departurePrefix))
			after = row.Key
		}
		if len(rows) < departuresRead {
			break
		}
	}
	d.World.Inbox.Post(true, func(m *tables.Mail) {
		m.PeerDepartures = append(m.PeerDepartures, tables.PeerDepartures{Said: said})
	})
}

// KeepDeparture notes that a process of the backend server beside this daemon
// leaves: here and with the peers at once, and in the store, which it waits for
// until ctx ends. Only then may the announcement be acknowledged.
func (e *Env) KeepDeparture(ctx context.Context, instance string) {
	e.World.Inbox.Post(true, func(m *tables.Mail) { m.Departed = append(m.Departed, instance) })
	err := e.Platform.Transact(ctx, []store.Write{{Key: departurePrefix + instance, Value: []byte(e.Settings.VM.ID)}})
	if err != nil && !errors.Is(err, store.ErrConflict) {
		e.Log.Event(events.DepartureNotKept, events.F("instance", instance), events.F("cause", err))
	}
}
