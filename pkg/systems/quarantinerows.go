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
	// quarantineKeyPrefix is the prefix of the store keys of quarantined contents. A
	// content is quarantined if its requests are refused because they crash backend
	// servers.
	quarantineKeyPrefix = "held/"
	// quarantineReadDelay and quarantineReadDelayMax are the first and the longest delay
	// between two attempts to read the rows. The delay doubles and has a random part,
	// which spreads the reads of a large fleet whose daemons all start at once.
	quarantineReadDelay    = 500 * time.Millisecond
	quarantineReadDelayMax = 8 * time.Second
	// quarantineReaders is how many daemons of a data centre read the rows
	// quarantineReadAfter after their start, when the first links may be open. They send
	// the rows to the others, which read the rows themselves only if they have not
	// received them by quarantineReadByAllAfter. This bounds the load on the store when a
	// whole data centre starts at once.
	quarantineReaders        = 2
	quarantineReadAfter      = 300 * time.Millisecond
	quarantineReadByAllAfter = 2 * time.Second
	// quarantineWriteInterval is the time between two attempts to write a row.
	quarantineWriteInterval = time.Second
)

// quarantineRow is the state of a row of the store that this daemon writes.
type quarantineRow struct {
	// savedCrashes is the number of crashes in the row in the store.
	savedCrashes int
	// lastCrashAt is when this VM's backend server last crashed while it ran the content,
	// in nanoseconds.
	lastCrashAt int64
}

// quarantineRowCrash is a crash in a row. Its time is wall-clock time, since rows outlive
// processes. The clocks of VMs differ by seconds, which is little compared with the
// minutes for which a content is quarantined.
type quarantineRowCrash struct {
	ID   string `json:"id"`
	AtMS int64  `json:"at_ms"`
}

// quarantineRowValue is the value of a row, stored as JSON.
type quarantineRowValue struct {
	Crashes []quarantineRowCrash `json:"crashes"`
}

// syncOwnRows updates the rows of the contents that were running when this VM's backend
// server crashed. It writes the row of a content that is quarantined, and deletes the row
// of one that has no counted crash any more. It starts at most one write.
func (q *quarantines) syncOwnRows(now int64, own *quarantine.Update) {
	for i := range own.Crashes {
		for _, content := range own.Crashes[i].Contents {
			if q.ownRows[content] == nil {
				q.ownRows[content] = &quarantineRow{}
			}
			q.ownRows[content].lastCrashAt = now
		}
	}
	if len(q.ownRows) == 0 || q.writing || now < q.writeTimer.nextAt {
		return
	}
	for content, row := range q.ownRows {
		crashes := q.Quarantine.CrashesAgainst(now, content)
		_, quarantined := q.Quarantine.Quarantined(now, content)
		switch {
		case quarantined && len(crashes) > row.savedCrashes:
			q.writeRow(now, content, crashes)
			return
		case len(crashes) == 0 && row.savedCrashes > 0:
			q.writeRow(now, content, nil)
			return
		case now-row.lastCrashAt > int64(quarantine.CrashRetention):
			delete(q.ownRows, content)
		}
	}
}

// writeRow starts to write a row, or to delete it if crashes is empty.
func (q *quarantines) writeRow(now int64, content quarantine.Fingerprint, crashes []quarantine.Crash) {
	q.writing = true
	q.writeTimer.fires(now, quarantineWriteInterval)
	go func() {
		ctx, cancel := context.WithTimeout(q.DaemonContext, q.Settings.Platform.Timeout)
		defer cancel()
		err := q.updateRow(ctx, content, crashes)
		if err != nil {
			q.Log.Event(events.QuarantineNotStored, events.F("content", content), events.F("cause", err))
		}
		q.World.Inbox.Post(true, func(m *tables.Mail) {
			m.Queries = append(m.Queries, func(*tables.World) { q.finishWrite(content, len(crashes), err) })
		})
	}()
}

// finishWrite records the result of a write. After a success, the next write may begin
// at once.
func (q *quarantines) finishWrite(content quarantine.Fingerprint, crashes int, err error) {
	q.writing = false
	if row := q.ownRows[content]; row != nil && err == nil {
		row.savedCrashes = crashes
		q.writeTimer.nextAt = 0
	}
}

// updateRow writes a row to the store, or deletes it if crashes is empty.
func (q *quarantines) updateRow(ctx context.Context, content quarantine.Fingerprint, crashes []quarantine.Crash) error {
	key := quarantineKeyPrefix + content.String()
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
	value, err := json.Marshal(newQuarantineRowValue(time.Now(), crashes))
	if err != nil {
		return errors.Wrap(err, "encode the row")
	}
	_, err = store.UpdateRow(ctx, q.Platform, key, func(old store.Row) ([]byte, error) {
		if string(old.Value) == string(value) {
			return nil, nil
		}
		return value, nil
	})
	return errors.Wrap(err, "write the row")
}

// newQuarantineRowValue returns the value of a row with crashes. wallNow is the wall-clock
// time to which the ages of the crashes are relative.
func newQuarantineRowValue(wallNow time.Time, crashes []quarantine.Crash) (out quarantineRowValue) {
	for _, c := range crashes {
		out.Crashes = append(out.Crashes, quarantineRowCrash{ID: strconv.FormatUint(c.ID, 16), AtMS: wallNow.UnixMilli() - int64(c.AgeMS)})
	}
	return out
}

// parseQuarantineRow returns the crashes in a row, with their ages at the wall-clock time
// wallNow. If any part of the row is invalid, it returns an error and no crashes.
func parseQuarantineRow(wallNow time.Time, row store.Row) (out []quarantine.Crash, err error) {
	content, err := strconv.ParseUint(strings.TrimPrefix(row.Key, quarantineKeyPrefix), 16, 64)
	if err != nil {
		return nil, errors.Wrap(err, "invalid key")
	}
	var value quarantineRowValue
	if err := json.Unmarshal(row.Value, &value); err != nil {
		return nil, errors.Wrap(err, "invalid value")
	}
	for _, c := range value.Crashes {
		id, err := strconv.ParseUint(c.ID, 16, 64)
		if err != nil {
			return nil, errors.Wrap(err, "invalid crash id")
		}
		if c.AtMS <= 0 {
			return nil, errors.Errorf("invalid crash time at_ms=%d", c.AtMS)
		}
		out = append(out, quarantine.Crash{
			ID: id, Contents: []quarantine.Fingerprint{quarantine.Fingerprint(content)}, AgeMS: uint64(max(wallNow.UnixMilli()-c.AtMS, 0)),
		})
	}
	return out, nil
}

// startRead starts to read the rows if it is this daemon's turn. It is called until
// this daemon has received the crashes from a peer or the store.
func (q *quarantines) startRead(now int64) {
	if now < int64(quarantineReadAfter) || q.shouldWaitForPeers(now) || now < int64(quarantineReadByAllAfter) && q.rankInDataCentre() >= quarantineReaders {
		return
	}
	if !q.readTimer.fires(now, q.readDelay/2+rand.N(q.readDelay)) || !q.reading.CompareAndSwap(false, true) {
		return
	}
	q.readDelay = min(2*q.readDelay, quarantineReadDelayMax)
	go q.readRows()
}

// readRows reads the rows of all quarantined contents and posts their crashes to the inbox.
// Invalid rows are logged and skipped.
func (q *quarantines) readRows() {
	defer q.reading.Store(false)
	ctx, cancel := context.WithTimeout(q.DaemonContext, q.Settings.Platform.Timeout)
	defer cancel()
	frame := &wire.Quarantine{Informed: true}
	err := scanAll(ctx, q.Platform, quarantineKeyPrefix, func(row store.Row) {
		crashes, err := parseQuarantineRow(time.Now(), row)
		if err != nil {
			q.Log.Event(events.QuarantineNotStored, events.F("row", row.Key), events.F("cause", err))
			return
		}
		frame.Crashes = append(frame.Crashes, crashes...)
	})
	if err != nil {
		return
	}
	q.World.Inbox.Post(true, func(m *tables.Mail) {
		m.PeerQuarantines = append(m.PeerQuarantines, tables.PeerQuarantine{Frame: frame})
	})
}
