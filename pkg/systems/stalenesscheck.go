package systems

import (
	"time"

	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/tables"
)

// stalenessCheck determines whether this daemon can tell that its placement is still in
// force. It can if the store was read recently, by itself or by a daemon it hears of. If
// no daemon can read the store, it can as long as it hears of every other data centre:
// then no daemon that it does not hear of can have seen a change being accepted. Source:
// docs/design/placement.md, "Cut off".
type stalenessCheck struct {
	*Env
	timer intervalTimer
}

const stalenessCheckInterval = 100 * time.Millisecond

// Tick implements System.
func (s *stalenessCheck) Tick(now int64, _ *tables.Mail) {
	if !s.timer.fires(now, stalenessCheckInterval) {
		return
	}
	age, ok := s.World.StoreReadAge(now)
	stale := !ok || age > s.Settings.Placement.UnsureAfter
	s.World.View.SetStoreStale(stale)
	unsure := s.World.Placement != nil && stale && s.anyDataCentreSilent(now)
	if unsure == s.World.View.PlacementUnsure() {
		return
	}
	s.World.View.SetPlacementUnsure(unsure)
	if unsure {
		s.Log.Event(events.PlacementUnsure, events.F("version", s.World.PlacementVersion()))
	}
}

// anyDataCentreSilent reports whether another data centre was not heard of within
// Settings.Placement.UnsureAfter.
func (s *stalenessCheck) anyDataCentreSilent(now int64) bool {
	bound := s.Settings.Placement.UnsureAfter
	silent := false
	s.World.Members.EachRow(func(row int) {
		dc := s.World.Members.Record[row].DataCentre
		if dc == s.World.DataCentre {
			return
		}
		at, heard := s.World.DataCentreHeardAt[dc]
		if !heard || time.Duration(now-at) > bound {
			silent = true
		}
	})
	return silent
}
