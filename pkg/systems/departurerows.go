package systems

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/rushramp/rushramp/pkg/backend"
	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/store"
	"github.com/rushramp/rushramp/pkg/tables"
)

const (
	// departureWriteDelay and departureWriteDelayMax are the first and the longest mean
	// delay between two attempts to write a departure. The delay doubles and has a random
	// part, which spreads the writes of a fleet once the store is back.
	departureWriteDelay    = 250 * time.Millisecond
	departureWriteDelayMax = 4 * time.Second
)

// ownDepartures writes the departures of this VM's backend server to the store until each
// is there. A departure may be acknowledged before that: a later process of the daemon that
// finds no row gives the backend server no requests before a good health check.
// Source: docs/design/platform.md, "A backend server leaves".
type ownDepartures struct {
	*Env
	rows map[string]*departureRow
}

// departureRow is the state of the row of a departure. Times are nanoseconds of the
// daemon's clock.
type departureRow struct {
	recordedAt int64
	// stored is true once the store has acknowledged the row, writing while a write runs.
	stored, writing bool
	// nextWriteAt is the earliest time of the next attempt, delay the mean delay after it.
	nextWriteAt int64
	delay       time.Duration
	attempts    int
}

// addAnnounced adds a departure that was announced to this daemon, whose first write
// SaveDeparture has started.
func (o *ownDepartures) addAnnounced(now int64, id string) {
	if o.rows[id] == nil {
		o.rows[id] = &departureRow{recordedAt: now, writing: true, delay: departureWriteDelay}
	}
}

// tick takes over the results of writes and starts those that are due.
func (o *ownDepartures) tick(now int64, mail *tables.Mail) {
	o.addReported(now)
	for _, write := range mail.DepartureWrites {
		if row := o.rows[write.ID]; row != nil {
			o.finishWrite(now, row, &write)
		}
	}
	unstored := 0
	for id, row := range o.rows {
		if mail.StoreRestored {
			row.stored, row.nextWriteAt, row.delay = false, now, departureWriteDelay
		}
		if now-row.recordedAt > departureRetention {
			delete(o.rows, id)
			continue
		}
		if row.stored {
			continue
		}
		unstored++
		if !row.writing && now >= row.nextWriteAt {
			row.writing = true
			go o.writeDeparture(o.DaemonContext, id)
		}
	}
	o.unstoredDepartures.Store(int64(unstored))
}

// addReported adds the departure of the current process if a peer or the store has reported
// it: an earlier process of this daemon acknowledged it, and may not have stored it.
func (o *ownDepartures) addReported(now int64) {
	_, source, departed := o.Backend.CurrentDeparture(now)
	if !departed || source != backend.FromPeer && source != backend.FromStore {
		return
	}
	current, _ := o.Backend.Current()
	id := o.Backend.RecordedDeparture(current.ID).String()
	if o.rows[id] == nil {
		o.rows[id] = &departureRow{recordedAt: now, stored: source == backend.FromStore, delay: departureWriteDelay}
	}
}

// finishWrite records the result of a write.
func (o *ownDepartures) finishWrite(now int64, row *departureRow, write *tables.DepartureWrite) {
	row.writing = false
	row.attempts++
	switch {
	case write.Err != nil:
		row.nextWriteAt = now + int64(row.delay/2+rand.N(row.delay))
		row.delay = min(2*row.delay, departureWriteDelayMax)
		if row.attempts == 1 {
			o.Log.Event(events.DepartureNotStored, events.F("instance", write.ID), events.F("cause", write.Err))
		}
	default:
		row.stored = true
		if row.attempts > 1 {
			o.Log.Event(events.DepartureStored, events.F("instance", write.ID), events.F("attempts", row.attempts), events.F("took", events.Milliseconds(time.Duration(now-row.recordedAt))))
		}
	}
}

// UnstoredDepartures returns how many departures of this VM's backend server are known here
// and not yet written to the store.
func (e *Env) UnstoredDepartures() int64 { return e.unstoredDepartures.Load() }

// SaveDeparture records that a process of this VM's backend server leaves. It tells the
// systems, which pass it on to peers at once, and returns when the first attempt to write it
// to the store has ended, or ctx has. The systems go on writing it after a failure. The
// announcement may be acknowledged after that, stored or not.
func (e *Env) SaveDeparture(ctx context.Context, incarnation backend.Incarnation) {
	id := incarnation.String()
	e.World.Inbox.Post(true, func(m *tables.Mail) { m.LocalDepartures = append(m.LocalDepartures, id) })
	e.writeDeparture(ctx, id)
}

// writeDeparture writes the row of a departure and posts the result. A conflict means that
// the row exists already.
func (e *Env) writeDeparture(ctx context.Context, id string) {
	ctx, cancel := context.WithTimeout(ctx, e.Settings.Platform.Timeout)
	defer cancel()
	err := e.Platform.Transact(ctx, []store.Write{{Key: departurePrefix + id, Value: []byte(e.Settings.VM.ID)}})
	if errors.Is(err, store.ErrConflict) {
		err = nil
	}
	e.World.Inbox.Post(true, func(m *tables.Mail) {
		m.DepartureWrites = append(m.DepartureWrites, tables.DepartureWrite{ID: id, Err: err})
	})
}
