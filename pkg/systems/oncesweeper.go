package systems

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rushramp/rushramp/pkg/tables"
)

// sweepEvery is the time between two sweeps of a reader. At two readers a data
// centre and 18 data centres, 120 rows a second are looked at in all.
const sweepEvery = 30 * time.Second

// onceSweeper lets the data centre's readers delete rows of never-repeat calls that
// are long past their time, so that the table does not grow without bound.
type onceSweeper struct {
	*Env
	due  intervalTimer
	busy atomic.Bool
}

// Tick implements System.
func (s *onceSweeper) Tick(now int64, _ *tables.Mail) {
	if s.due.nextAt == 0 {
		// Not at the start: all daemons would sweep that know nobody yet.
		s.due.nextAt = now + int64(sweepEvery)
	}
	if s.SweepOnceRows == nil || !s.due.fires(now, sweepEvery) || !s.isPlatformReader() {
		return
	}
	if s.busy.CompareAndSwap(false, true) {
		go s.sweep()
	}
}

func (s *onceSweeper) sweep() {
	defer s.busy.Store(false)
	ctx, cancel := context.WithTimeout(s.DaemonContext, s.Settings.Platform.Timeout)
	defer cancel()
	// A sweep that fails is made up for by the next ones.
	deleted, _ := s.SweepOnceRows(ctx)
	s.Metrics.GetOrCreateCounter("rushramp_once_swept_total").Add(deleted)
}
