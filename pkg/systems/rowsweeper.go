package systems

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/quarantine"
	"github.com/rushramp/rushramp/pkg/store"
	"github.com/rushramp/rushramp/pkg/tables"
)

const (
	// departureSweepEvery is the time between two sweeps of departures. A row lives for
	// one to two of them, and as long as departures are remembered at least: at 5,800
	// replacements a day that makes some forty rows.
	departureSweepEvery = time.Duration(departuresFor)
	// rowsRead is how many rows are read at a time.
	rowsRead = 500
	// rowsSwept is how many rows one transaction deletes, half of what the platforms
	// known take.
	rowsSwept = 50
)

// rowSweeper deletes the store's rows under a prefix that nobody needs any more: those
// that a sweep before has seen. A row tells no time, and clocks of VMs differ. One
// daemon a data centre sweeps; where two do, one of them finds nothing left.
type rowSweeper struct {
	*Env
	prefix string
	// every is the time between two sweeps: rows are needed for that long at most.
	every time.Duration
	// swept is the name of the counter of rows that were deleted.
	swept string
	due   intervalTimer
	busy  atomic.Bool
	// seen are the rows of the sweep before, by key. Only the sweep that is under way
	// touches it.
	seen map[string]uint64
}

func newDepartureSweep(env *Env) *rowSweeper {
	return &rowSweeper{Env: env, prefix: departurePrefix, every: departureSweepEvery, swept: "rushramp_departures_swept_total"}
}

func newQuarantineSweep(env *Env) *rowSweeper {
	return &rowSweeper{Env: env, prefix: heldKeyPrefix, every: quarantine.CrashRetention, swept: "rushramp_held_requests_swept_total"}
}

// Tick implements System.
func (s *rowSweeper) Tick(now int64, _ *tables.Mail) {
	if s.due.nextAt == 0 {
		s.due.nextAt = now + int64(s.every)
	}
	if !s.due.fires(now, s.every) || s.rankInDataCentre() > 0 {
		return
	}
	if s.busy.CompareAndSwap(false, true) {
		go s.run()
	}
}

func (s *rowSweeper) run() {
	defer s.busy.Store(false)
	ctx, cancel := context.WithTimeout(s.DaemonContext, s.Settings.Platform.Timeout)
	defer cancel()
	deleted, err := s.sweep(ctx)
	s.Metrics.GetOrCreateCounter(s.swept).Add(deleted)
	if err != nil {
		s.Log.Event(events.RowsNotSwept, events.F("rows", s.prefix), events.F("deleted", deleted), events.F("cause", err))
	}
}

// sweep deletes the rows that the sweep before has seen, and remembers the others.
func (s *rowSweeper) sweep(ctx context.Context) (deleted int, err error) {
	found := map[string]uint64{}
	var old []store.Write
	err = scanAll(ctx, s.Platform, s.prefix, func(row store.Row) {
		if s.seen[row.Key] == row.Version {
			old = append(old, store.Write{Key: row.Key, IfVersion: row.Version, Delete: true})
			return
		}
		found[row.Key] = row.Version
	})
	if err != nil {
		return 0, err
	}
	s.seen = found
	return s.delete(ctx, old)
}

// scanAll reads all rows under a prefix.
func scanAll(ctx context.Context, table store.Table, prefix string, take func(store.Row)) error {
	for after := prefix; ; {
		rows, err := table.Scan(ctx, prefix, after, rowsRead)
		if err != nil {
			return errors.Wrapf(err, "read the rows of %s", prefix)
		}
		for _, row := range rows {
			after = row.Key
			take(row)
		}
		if len(rows) < rowsRead {
			return nil
		}
	}
}

// delete deletes rows, some at a time. Those that it does not come to are new to the
// next sweep.
func (s *rowSweeper) delete(ctx context.Context, old []store.Write) (deleted int, err error) {
	for len(old) > 0 {
		batch := old[:min(len(old), rowsSwept)]
		old = old[len(batch):]
		err := s.Platform.Transact(ctx, batch)
		if err != nil && !errors.Is(err, store.ErrConflict) {
			return deleted, errors.Wrap(err, "delete old rows")
		}
		if err == nil {
			deleted += len(batch)
		}
	}
	return deleted, nil
}
