package systems

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rushramp/rushramp/pkg/backend"
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
	// alone, and goes on reading.
	departuresTimeout = 4 * time.Second
	// departuresReadInterval is the time between two attempts to read the departures until
	// departuresTimeout. It then doubles with each attempt, up to
	// departuresReadIntervalMax; a random wait from half of it to the whole follows.
	departuresReadInterval    = 500 * time.Millisecond
	departuresReadIntervalMax = 8 * time.Second
)

// departures records which processes of backend servers have announced that they leave,
// and passes this on to peers. A daemon may be killed and restarted as soon as it has
// acknowledged a departure; the peers and the store then tell it what it has forgotten.
// Source: docs/design/platform.md, "A backend server leaves".
type departures struct {
	*Env
	timer        intervalTimer
	readInterval time.Duration
	reading      atomic.Bool
	// own are the departures of this VM's backend server, which this daemon writes to the
	// store.
	own ownDepartures
	// informed is true once the store, or a peer that is informed, has reported all
	// departures that it knows.
	informed bool
	// startedAtMS is the Unix time of the daemon's start in milliseconds. A departure that an
	// earlier process of the daemon heard is of a backend server process that started before.
	startedAtMS int64
	// sentAtAddedCount is the value of Peers.AddedCount when all departures were last
	// sent over the new links, sentInformed that of informed.
	sentAtAddedCount uint64
	sentInformed     bool
}

func newDepartures(env *Env) *departures {
	return &departures{
		Env: env, readInterval: departuresReadInterval, own: ownDepartures{Env: env, rows: map[string]*departureRow{}},
		informed: env.Backend != nil && env.Backend.DeparturesKnown(),
	}
}

// Tick implements System.
func (d *departures) Tick(now int64, mail *tables.Mail) {
	if d.Backend == nil {
		return
	}
	if d.startedAtMS == 0 {
		d.startedAtMS = time.Now().Add(-time.Duration(now)).UnixMilli()
	}
	var own, received []string
	for _, id := range mail.LocalDepartures {
		own = d.add(now, own, id)
		d.own.addAnnounced(now, id)
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
	if !d.informed {
		d.readUntilInformed(now)
	}
	d.own.tick(now, mail)
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
// ones to added. It ignores those of processes that start in the future, which are not from a
// daemon and would apply to each later process of the instance.
func (d *departures) merge(now int64, added []string, frame *wire.Departures, source backend.DepartureSource) []string {
	ids := slices.DeleteFunc(slices.Clone(frame.IDs), func(id string) bool { return backend.ParseIncarnation(id).InFuture(time.Now()) })
	// A record with a start time takes precedence over one without, wherever that stands.
	for _, startKnown := range []bool{true, false} {
		for _, id := range ids {
			if incarnation := backend.ParseIncarnation(id); (incarnation.StartedAtMS != 0) == startKnown {
				d.Backend.RecordDeparture(now, backend.Departure{Incarnation: incarnation, StartedByMS: d.startedAtMS, Source: source})
			}
		}
	}
	for _, id := range ids {
		added = d.add(now, added, id)
	}
	if frame.Informed {
		d.informed = true
		d.Backend.RecordDeparturesKnown()
	}
	return added
}

// broadcastNew passes on departures that are new here. Only the daemon on the departed
// process's VM acts on a departure; other daemons remember it in case that daemon
// restarts and asks its data centre.
func (d *departures) broadcastNew(own, received []string) {
	broadcast(d.Env, own, received, func(id string) string { return id }, func(ids []string) wire.Frame {
		return &wire.Departures{IDs: ids}
	})
}

// sendToNewLinks sends all departures over each new link, once this daemon uses what it
// knows, and again over all links once it is informed.
func (d *departures) sendToNewLinks() {
	nothingNew := d.sentAtAddedCount == d.World.Peers.AddedCount() && d.sentInformed == d.informed
	if !d.Backend.DeparturesKnown() || nothingNew {
		return
	}
	d.sentAtAddedCount, d.sentInformed = d.World.Peers.AddedCount(), d.informed
	frame := d.allDepartures()
	d.World.Peers.EachRow(func(peer *link.Peer, row *tables.PeerRow) {
		if row.DeparturesSent && row.InformedSent == d.informed {
			return
		}
		row.DeparturesSent, row.InformedSent = true, d.informed
		// A closed link is removed from the table by its LinkEvent.
		_ = peer.Send(frame)
	})
}

// allDepartures returns the frame with all departures that this daemon knows. A peer that
// receives it waits for no others if this daemon is informed.
func (d *departures) allDepartures() *wire.Departures {
	frame := &wire.Departures{Informed: d.informed}
	for id := range d.World.Departures {
		frame.IDs = append(frame.IDs, id)
	}
	return frame
}

// readUntilInformed reads the departures from the store until the store or a peer has
// reported them.
func (d *departures) readUntilInformed(now int64) {
	if time.Duration(now) > departuresTimeout {
		d.Backend.RecordDeparturesKnown()
	}
	if d.shouldWaitForPeers(now) || !d.timer.fires(now, d.readInterval) || !d.reading.CompareAndSwap(false, true) {
		return
	}
	if time.Duration(now) > departuresTimeout {
		d.readInterval = min(2*d.readInterval, departuresReadIntervalMax)
		// Daemons that started together do not read together.
		d.timer.nextAt = now + int64(d.readInterval/2) + rand.Int64N(int64(d.readInterval/2))
	}
	go d.readFromStore()
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
