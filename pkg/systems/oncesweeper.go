package systems

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rushramp/rushramp/pkg/tables"
)

// onceSweepInterval is the time between two sweeps of one reader.
const onceSweepInterval = 30 * time.Second

// onceSweeper lets the platform readers of a data centre (isPlatformReader) delete
// expired rows of never-repeat calls from the store, which would otherwise grow without
// bound.
type onceSweeper struct {
	*Env
	timer    intervalTimer
	sweeping atomic.Bool
}

// Tick implements System.
func (s *onceSweeper) Tick(now int64, _ *tables.Mail) {
	if s.timer.nextAt == 0 {
		// At its start a daemon knows no other member and takes itself for a reader, so
		// it does not sweep yet.
		s.timer.nextAt = now + int64(onceSweepInterval)
	}
	if s.SweepOnceRows == nil || !s.timer.fires(now, onceSweepInterval) || !s.isPlatformReader() {
		return
	}
	if s.sweeping.CompareAndSwap(false, true) {
		go s.sweep()
	}
}

func (s *onceSweeper) sweep() {
	defer s.sweeping.Store(false)
	ctx, cancel := context.WithTimeout(s.DaemonContext, s.Settings.Platform.Timeout)
	defer cancel()
	// Later sweeps make up for one that fails.
	deleted, _ := s.SweepOnceRows(ctx)
	s.Metrics.GetOrCreateCounter("rushramp_once_swept_total").Add(deleted)
}
