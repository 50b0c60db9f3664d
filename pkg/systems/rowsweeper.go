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
	// departureSweepInterval is the time between two sweeps of departures. A row exists
	// for one to two intervals, and so at least for departureRetention.
	departureSweepInterval = time.Duration(departureRetention)
	// scanBatchSize is how many rows one scan reads.
	scanBatchSize = 500
	// deleteBatchSize is how many rows one transaction deletes: half of the smallest
	// known limit of a platform.
	deleteBatchSize = 50
)

// rowSweeper deletes outdated rows under a prefix of the store: those that the previous
// sweep has seen unchanged. It does not compute the age of a row, since rows contain no
// time and the clocks of VMs differ. One daemon per data centre sweeps; if several do,
// each row is still deleted once.
type rowSweeper struct {
	*Env
	prefix string
	// interval is the time between two sweeps. Rows must not be needed for longer than
	// that.
	interval time.Duration
	// counter is the name of the metric that counts deleted rows.
	counter  string
	timer    intervalTimer
	sweeping atomic.Bool
	// previous holds the versions of the rows that the previous sweep left, by key. Only
	// the running sweep uses it.
	previous map[string]uint64
}

func newDepartureSweeper(env *Env) *rowSweeper {
	return &rowSweeper{Env: env, prefix: departurePrefix, interval: departureSweepInterval, counter: "rushramp_departures_swept_total"}
}

func newQuarantineSweeper(env *Env) *rowSweeper {
	return &rowSweeper{Env: env, prefix: quarantineKeyPrefix, interval: quarantine.CrashRetention, counter: "rushramp_held_requests_swept_total"}
}

// Tick implements System.
func (s *rowSweeper) Tick(now int64, _ *tables.Mail) {
	if s.timer.nextAt == 0 {
		s.timer.nextAt = now + int64(s.interval)
	}
	if !s.timer.fires(now, s.interval) || s.rankInDataCentre() > 0 {
		return
	}
	if s.sweeping.CompareAndSwap(false, true) {
		go s.run()
	}
}

func (s *rowSweeper) run() {
	defer s.sweeping.Store(false)
	ctx, cancel := context.WithTimeout(s.DaemonContext, s.Settings.Platform.Timeout)
	defer cancel()
	deleted, err := s.sweep(ctx)
	s.Metrics.GetOrCreateCounter(s.counter).Add(deleted)
	if err != nil {
		s.Log.Event(events.RowsNotSwept, events.F("rows", s.prefix), events.F("deleted", deleted), events.F("cause", err))
	}
}

// sweep deletes the rows that have not changed since the previous sweep, and remembers
// the others.
func (s *rowSweeper) sweep(ctx context.Context) (deleted int, err error) {
	kept := map[string]uint64{}
	var old []store.Write
	err = scanAll(ctx, s.Platform, s.prefix, func(row store.Row) {
		if s.previous[row.Key] == row.Version {
			old = append(old, store.Write{Key: row.Key, IfVersion: row.Version, Delete: true})
			return
		}
		kept[row.Key] = row.Version
	})
	if err != nil {
		return 0, err
	}
	s.previous = kept
	return s.delete(ctx, old)
}

// scanAll calls handle for each row under a prefix.
func scanAll(ctx context.Context, table store.Table, prefix string, handle func(store.Row)) error {
	for after := prefix; ; {
		rows, err := table.Scan(ctx, prefix, after, scanBatchSize)
		if err != nil {
			return errors.Wrapf(err, "read the rows of %s", prefix)
		}
		for _, row := range rows {
			after = row.Key
			handle(row)
		}
		if len(rows) < scanBatchSize {
			return nil
		}
	}
}

// delete deletes rows in batches. The next sweep sees rows that remain after an error as
// new.
func (s *rowSweeper) delete(ctx context.Context, old []store.Write) (deleted int, err error) {
	for len(old) > 0 {
		batch := old[:min(len(old), deleteBatchSize)]
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
