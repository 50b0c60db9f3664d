package systems

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/store"
	"github.com/rushramp/rushramp/pkg/tables"
)

const (
	// departureSweepEvery is the time between two sweeps. A row lives for one to two
	// of them, and as long as departures are remembered at least: at 5,800
	// replacements a day that makes some forty rows.
	departureSweepEvery = time.Duration(departuresFor)
	// departuresSwept is how many rows one transaction deletes, half of what the
	// platforms known take.
	departuresSwept = 50
)

// departureSweep deletes the store's rows of departures that nobody needs any more:
// those that a sweep before has seen. A row tells no time, and clocks of VMs differ.
// One daemon a data centre sweeps; where two do, one of them finds nothing left.
type departureSweep struct {
	*Env
	due  due
	busy atomic.Bool
	// seen are the rows of the sweep before, by key. Only the sweep that is under way
	// touches it.
	seen map[string]uint64
}

// Tick implements System.
func (s *departureSweep) Tick(now int64, _ *tables.Mail) {
	if s.Backend == nil {
		return
	}
	if s.due.next == 0 {
		s.due.next = now + int64(departureSweepEvery)
	}
	if !s.due.at(now, departureSweepEvery) || s.aheadInDataCentre() > 0 {
		return
	}
	if s.busy.CompareAndSwap(false, true) {
		go s.run()
	}
}

func (s *departureSweep) run() {
	defer s.busy.Store(false)
	ctx, cancel := context.WithTimeout(s.Background, s.Settings.Platform.Timeout)
	defer cancel()
	deleted, err := s.sweep(ctx)
	s.Metrics.GetOrCreateCounter("rushramp_departures_swept_total").Add(deleted)
	if err != nil {
		s.Log.Event(events.DeparturesNotSwept, events.F("deleted", deleted), events.F("cause", err))
	}
}

// sweep deletes the rows that the sweep before has seen, and remembers the others.
func (s *departureSweep) sweep(ctx context.Context) (deleted int, err error) {
	found := map[string]uint64{}
	var old []store.Write
	after := departurePrefix
	for {
		rows, err := s.Platform.Scan(ctx, departurePrefix, after, departuresRead)
		if err != nil {
			return 0, errors.Wrap(err, "read the departures")
		}
		for _, row := range rows {
			after = row.Key
			if s.seen[row.Key] == row.Version {
				old = append(old, store.Write{Key: row.Key, IfVersion: row.Version, Delete: true})
				continue
			}
			found[row.Key] = row.Version
		}
		if len(rows) < departuresRead {
			break
		}
	}
	s.seen = found
	return s.delete(ctx, old)
}

// delete deletes rows, some at a time. Those that it does not come to are new to the
// next sweep.
func (s *departureSweep) delete(ctx context.Context, old []store.Write) (deleted int, err error) {
	for len(old) > 0 {
		batch := old[:min(len(old), departuresSwept)]
		old = old[len(batch):]
		err := s.Platform.Transact(ctx, batch)
		if err != nil && !errors.Is(err, store.ErrConflict) {
			return deleted, errors.Wrap(err, "delete old departures")
		}
		if err == nil {
			deleted += len(batch)
		}
	}
	return deleted, nil
}
