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
	// departurePrefix is the prefix of the store keys of departures.
	departurePrefix = "departure/"
	// departureRetention is how long a departure is remembered, in nanoseconds.
	departureRetention = 5 * 60 * int64(time.Second)
	// departuresTimeout is how long after its start a restarted daemon waits for the
	// departures that the store or a peer knows. After that it trusts its backend server
	// alone.
	departuresTimeout = 4 * time.Second
	// departuresReadInterval is the time between two attempts to read the departures.
	departuresReadInterval = 500 * time.Millisecond
)

// departures records which processes of backend servers have announced that they leave,
// and passes this on to peers. A daemon may be killed and restarted as soon as it has
// acknowledged a departure; the peers and the store then tell it what it has forgotten.
// Source: docs/design/platform.md, "A backend server leaves".
type departures struct {
	*Env
	timer   intervalTimer
	reading atomic.Bool
	// acknowledged are the departures that this daemon has acknowledged, with the time in
	// nanoseconds.
	acknowledged map[string]int64
	// startedAtMS is the Unix time of the daemon's start in milliseconds. A departure that an
	// earlier process of the daemon heard is of a backend server process that started before.
	startedAtMS int64
	// sentAtAddedCount is the value of Peers.AddedCount when all departures were last
	// sent over the new links.
	sentAtAddedCount uint64
}

// Tick implements System.
func (d *departures) Tick(now int64, mail *tables.Mail) {
	if d.Backend == nil {
		return
	}
	if d.acknowledged == nil {
		d.acknowledged = map[string]int64{}
		d.startedAtMS = time.Now().Add(-time.Duration(now)).UnixMilli()
	}
	var own, received []string
	for _, id := range mail.LocalDepartures {
		own = d.add(now, own, id)
		d.acknowledged[id] = now
	}
	if mail.StoreRestored {
		d.storeAgain(now)
	}
	for _, p := range mail.PeerDepartures {
		source := backend.FromPeer
		if p.Peer == nil {
			source = backend.FromStore
		}
		received = d.merge(now, received, p.Frame, source)
	}
	d.broadcastNew(own, received)
	d.sendToNewLinks()
	if !d.Backend.DeparturesKnown() {
		d.readUntilKnown(now)
	}
}

// add records a departure and forgets those older than departureRetention. It returns
// added, with the id appended if that is new.
func (d *departures) add(now int64, added []string, id string) []string {
	if _, known := d.World.Departures[id]; known {
		return added
	}
	d.World.Departures[id] = now
	for old, at := range d.World.Departures {
		if now-at > departureRetention {
			delete(d.World.Departures, old)
		}
	}
	return append(added, id)
}

// merge records the departures that a peer or the store reported, and appends the new
// ones to added.
func (d *departures) merge(now int64, added []string, frame *wire.Departures, source backend.DepartureSource) []string {
	// A record with a start time takes precedence over one without, wherever that stands.
	for _, startKnown := range []bool{true, false} {
		for _, id := range frame.IDs {
			if incarnation := backend.ParseIncarnation(id); (incarnation.StartedAtMS != 0) == startKnown {
				d.Backend.RecordDeparture(now, backend.Departure{Incarnation: incarnation, StartedByMS: d.startedAtMS, Source: source})
			}
		}
	}
	for _, id := range frame.IDs {
		added = d.add(now, added, id)
	}
	if frame.Informed {
		d.Backend.RecordDeparturesKnown()
	}
	return added
}

// storeAgain writes the departures that were acknowledged here again: the backup that the
// store was restored from may lack them, and this daemon may be killed at any time.
func (d *departures) storeAgain(now int64) {
	for id, at := range d.acknowledged {
		if now-at > departureRetention {
			delete(d.acknowledged, id)
			continue
		}
		go d.storeDeparture(d.DaemonContext, id)
	}
}

// broadcastNew passes on departures that are new here. Only the daemon on the departed
// process's VM acts on a departure; other daemons remember it in case that daemon
// restarts and asks its data centre.
func (d *departures) broadcastNew(own, received []string) {
	broadcast(d.Env, own, received, func(id string) string { return id }, func(ids []string) wire.Frame {
		return &wire.Departures{IDs: ids}
	})
}

// sendToNewLinks sends all departures over each new link, once this daemon knows them.
func (d *departures) sendToNewLinks() {
	if !d.Backend.DeparturesKnown() || d.sentAtAddedCount == d.World.Peers.AddedCount() {
		return
	}
	d.sentAtAddedCount = d.World.Peers.AddedCount()
	frame := &wire.Departures{Informed: true}
	for id := range d.World.Departures {
		frame.IDs = append(frame.IDs, id)
	}
	d.World.Peers.EachRow(func(peer *link.Peer, row *tables.PeerRow) {
		if row.DeparturesSent {
			return
		}
		row.DeparturesSent = true
		// A closed link is removed from the table by its LinkEvent.
		_ = peer.Send(frame)
	})
}

// readUntilKnown reads the departures from the store until the store or a peer has
// reported them.
func (d *departures) readUntilKnown(now int64) {
	if time.Duration(now) > departuresTimeout {
		d.Backend.RecordDeparturesKnown()
		return
	}
	if !d.shouldWaitForPeers(now) && d.timer.fires(now, departuresReadInterval) && d.reading.CompareAndSwap(false, true) {
		go d.readFromStore()
	}
}

func (d *departures) readFromStore() {
	defer d.reading.Store(false)
	ctx, cancel := context.WithTimeout(d.DaemonContext, d.Settings.Platform.Timeout)
	defer cancel()
	frame := &wire.Departures{Informed: true}
	err := scanAll(ctx, d.Platform, departurePrefix, func(row store.Row) {
		frame.IDs = append(frame.IDs, strings.TrimPrefix(row.Key, departurePrefix))
	})
	if err != nil {
		return
	}
	d.World.Inbox.Post(true, func(m *tables.Mail) {
		m.PeerDepartures = append(m.PeerDepartures, tables.PeerDepartures{Frame: frame})
	})
}

// SaveDeparture records that a process of this VM's backend server leaves. It tells the
// systems at once and returns when the departure is written to the store or ctx ends. The
// announcement may be acknowledged only after that.
func (e *Env) SaveDeparture(ctx context.Context, incarnation backend.Incarnation) {
	id := incarnation.String()
	e.World.Inbox.Post(true, func(m *tables.Mail) { m.LocalDepartures = append(m.LocalDepartures, id) })
	e.storeDeparture(ctx, id)
}

// storeDeparture writes the row of a departure. A conflict means that the row exists
// already.
func (e *Env) storeDeparture(ctx context.Context, id string) {
	ctx, cancel := context.WithTimeout(ctx, e.Settings.Platform.Timeout)
	defer cancel()
	err := e.Platform.Transact(ctx, []store.Write{{Key: departurePrefix + id, Value: []byte(e.Settings.VM.ID)}})
	if err != nil && !errors.Is(err, store.ErrConflict) {
		e.Log.Event(events.DepartureNotStored, events.F("instance", id), events.F("cause", err))
	}
}
