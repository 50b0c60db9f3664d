package systems

import (
	"time"

	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/tables"
)

// doubt works out whether this daemon can tell that its placement is in force.
// It can while the store was read lately, by itself or by someone it hears of.
// When the store is silent for all, it can as long as it hears of each other
// data centre: then no daemon out of its hearing can have seen a change
// accepted. Source: docs/design/placement.md, "Cut off".
type doubt struct {
	*Env
	due due
}

const doubtEvery = 100 * time.Millisecond

// Tick implements System.
func (self *doubt) Tick(now int64, _ *tables.Mail) {
	if !self.due.at(now, doubtEvery) {
		return
	}
	age, ok := self.World.StoreAge(now)
	stale := !ok || age > self.Settings.Placement.UnsureAfter
	self.World.View.SetStoreStale(stale)
	unsure := self.World.Placement != nil && stale && self.someoneSilent(now)
	if unsure == self.World.View.Unsure() {
		return
	}
	self.World.View.SetUnsure(unsure)
	if unsure {
		self.Log.Event(events.PlacementUnsure, events.F("version", self.World.Version()))
	}
}

// someoneSilent is true when another data centre was not heard of lately.
func (self *doubt) someoneSilent(now int64) bool {
	bound := self.Settings.Placement.UnsureAfter
	silent := false
	self.World.Members.Rows(func(row int) {
		dc := self.World.Members.Row[row].DataCentre
		if dc == self.World.DataCentre {
			return
		}
		at, heard := self.World.Heard[dc]
		if !heard || time.Duration(now-at) > bound {
			silent = true
		}
	})
	return silent
}
