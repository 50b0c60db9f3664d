package systems

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/quarantine"
	"github.com/rushramp/rushramp/pkg/store"
	"github.com/rushramp/rushramp/pkg/tables"
	"github.com/rushramp/rushramp/pkg/wire"
)

const (
	// heldKeyPrefix begins the keys of contents that are held back in the store.
	heldKeyPrefix = "held/"
	// heldReadRest and heldReadRestMost are the first and the longest time between two
	// tries to read them. The rest doubles, with a random part: 21,000 daemons that start
	// at once share two thousand reads a second.
	heldReadRest     = 500 * time.Millisecond
	heldReadRestMost = 8 * time.Second
	// heldReaders is how many daemons of a data centre read the rows as soon as links may
	// be open, heldReadFirst after their start; all others hear it from them, and read only
	// where they have heard nothing by heldReadAnyway. With each of 295 daemons reading
	// after a loss of power, that would be a quarter of their calls to the store then.
	heldReaders    = 2
	heldReadFirst  = 300 * time.Millisecond
	heldReadAnyway = 2 * time.Second
	// heldKeepRest is the time between two tries to write a row.
	heldKeepRest = time.Second
)

// heldRow is a row that this daemon keeps.
type heldRow struct {
	// saved is how many crashes stand in the store's row.
	saved int
	// since is when the last crash was seen here.
	since int64
}

// savedCrash is a crash in a row. Times are of the wall clock, since rows outlive each
// process: clocks of VMs differ by seconds, holds last for minutes.
type savedCrash struct {
	ID   string `json:"id"`
	AtMS int64  `json:"at_ms"`
}

type savedHeld struct {
	Crashes []savedCrash `json:"crashes"`
}

// keep writes the rows of contents that are held back, for those that ran when this
// daemon's backend server ended, and deletes those of contents that were found to run
// to their end.
func (q *quarantines) keep(now int64, own *quarantine.Update) {
	for i := range own.Crashes {
		for _, content := range own.Crashes[i].Requests {
			if q.rows[content] == nil {
				q.rows[content] = &heldRow{}
			}
			q.rows[content].since = now
		}
	}
	if len(q.rows) == 0 || q.writing || now < q.writeDue.nextAt {
		return
	}
	for content, row := range q.rows {
		crashes := q.Quarantine.CrashesAgainst(now, content)
		_, held := q.Quarantine.Held(now, content)
		switch {
		case held && len(crashes) > row.saved:
			q.write(now, content, crashes)
			return
		case len(crashes) == 0 && row.saved > 0:
			q.write(now, content, nil)
			return
		case now-row.since > int64(quarantine.CrashRetention):
			delete(q.rows, content)
		}
	}
}

// write writes one row, or deletes it where no crash counts any more.
func (q *quarantines) write(now int64, content quarantine.Fingerprint, crashes []quarantine.Crash) {
	q.writing = true
	q.writeDue.fires(now, heldKeepRest)
	go func() {
		ctx, cancel := context.WithTimeout(q.DaemonContext, q.Settings.Platform.Timeout)
		defer cancel()
		err := q.change(ctx, content, crashes)
		if err != nil {
			q.Log.Event(events.HeldRequestNotStored, events.F("content", content), events.F("cause", err))
		}
		q.World.Inbox.Post(true, func(m *tables.Mail) {
			m.Queries = append(m.Queries, func(*tables.World) { q.wrote(content, len(crashes), err) })
		})
	}()
}

func (q *quarantines) wrote(content quarantine.Fingerprint, crashes int, err error) {
	q.writing = false
	if row := q.rows[content]; row != nil && err == nil {
		row.saved = crashes
		q.writeDue.nextAt = 0
	}
}

func (q *quarantines) change(ctx context.Context, content quarantine.Fingerprint, crashes []quarantine.Crash) error {
	key := heldKeyPrefix + content.String()
	if len(crashes) == 0 {
		row, err := q.Platform.Get(ctx, key)
		if errors.Is(err, store.ErrNotFound) {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "read the row")
		}
		return errors.Wrap(q.Platform.Transact(ctx, []store.Write{{Key: key, IfVersion: row.Version, Delete: true}}), "delete the row")
	}
	value, err := json.Marshal(toRow(time.Now(), crashes))
	if err != nil {
		return errors.Wrap(err, "held request")
	}
	_, err = store.UpdateRow(ctx, q.Platform, key, func(was store.Row) ([]byte, error) {
		if string(was.Value) == string(value) {
			return nil, nil
		}
		return value, nil
	})
	return errors.Wrap(err, "write the row")
}

func toRow(wall time.Time, crashes []quarantine.Crash) (out savedHeld) {
	for _, c := range crashes {
		out.Crashes = append(out.Crashes, savedCrash{ID: strconv.FormatUint(c.ID, 16), AtMS: wall.UnixMilli() - int64(c.AgeMS)})
	}
	return out
}

// fromRow reads a row; one that cannot be read holds nothing back.
func fromRow(wall time.Time, row store.Row) (out []quarantine.Crash, err error) {
	content, err := strconv.ParseUint(strings.TrimPrefix(row.Key, heldKeyPrefix), 16, 64)
	if err != nil {
		return nil, errors.Wrap(err, "key")
	}
	var saved savedHeld
	if err := json.Unmarshal(row.Value, &saved); err != nil {
		return nil, errors.Wrap(err, "value")
	}
	for _, c := range saved.Crashes {
		id, err := strconv.ParseUint(c.ID, 16, 64)
		if err != nil {
			return nil, errors.Wrap(err, "id of a crash")
		}
		if c.AtMS <= 0 {
			return nil, errors.Errorf("a crash at %d", c.AtMS)
		}
		out = append(out, quarantine.Crash{
			ID: id, Requests: []quarantine.Fingerprint{quarantine.Fingerprint(content)}, AgeMS: uint64(max(wall.UnixMilli()-c.AtMS, 0)),
		})
	}
	return out, nil
}

// inform reads the rows while neither the store nor a peer has told them.
func (q *quarantines) inform(now int64) {
	if now < int64(heldReadFirst) || q.shouldWaitForPeers(now) || now < int64(heldReadAnyway) && q.rankInDataCentre() >= heldReaders {
		return
	}
	if !q.readDue.fires(now, q.readRest/2+rand.N(q.readRest)) || !q.reading.CompareAndSwap(false, true) {
		return
	}
	q.readRest = min(2*q.readRest, heldReadRestMost)
	go q.read()
}

func (q *quarantines) read() {
	defer q.reading.Store(false)
	ctx, cancel := context.WithTimeout(q.DaemonContext, q.Settings.Platform.Timeout)
	defer cancel()
	said := &wire.Quarantine{Informed: true}
	err := scanAll(ctx, q.Platform, heldKeyPrefix, func(row store.Row) {
		crashes, err := fromRow(time.Now(), row)
		if err != nil {
			q.Log.Event(events.HeldRequestNotStored, events.F("row", row.Key), events.F("cause", err))
			return
		}
		said.Crashes = append(said.Crashes, crashes...)
	})
	if err != nil {
		return
	}
	q.World.Inbox.Post(true, func(m *tables.Mail) {
		m.PeerQuarantines = append(m.PeerQuarantines, tables.PeerQuarantine{Frame: said})
	})
}
