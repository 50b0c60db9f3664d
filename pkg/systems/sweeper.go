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

// sweeper lets the data centre's readers delete rows of never-repeat calls that
// are long past their time, so that the table does not grow without bound.
type sweeper struct {
	*Env
	due  due
	busy atomic.Bool
}

// Tick implements System.
func (s *sweeper) Tick(now int64, _ *tables.Mail) {
	if s.due.next == 0 {
		// Not at the start: all daemons would sweep that know nobody yet.
		s.due.next = now + int64(sweepEvery)
	}
	if s.Sweep == nil || !s.due.at(now, sweepEvery) || !s.isReader() {
		return
	}
	if s.busy.CompareAndSwap(false, true) {
		go s.sweep()
	}
}

func (s *sweeper) sweep() {
	defer s.busy.Store(false)
	ctx, cancel := context.WithTimeout(s.Background, s.Settings.Platform.Timeout)
	defer cancel()
	// A sweep that fails is made up for by the next ones.
	deleted, _ := s.Sweep(ctx)
	s.Metrics.GetOrCreateCounter("rushramp_once_swept_total").Add(deleted)
}
