package systems

import (
	"time"

	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/tables"
)

// stalenessCheck works out whether this daemon can tell that its placement is in force.
// It can while the store was read lately, by itself or by someone it hears of.
// When the store is silent for all, it can as long as it hears of each other
// data centre: then no daemon out of its hearing can have seen a change
// accepted. Source: docs/design/placement.md, "Cut off".
type stalenessCheck struct {
	*Env
	due intervalTimer
}

const doubtEvery = 100 * time.Millisecond

// Tick implements System.
func (d *stalenessCheck) Tick(now int64, _ *tables.Mail) {
	if !d.due.fires(now, doubtEvery) {
		return
	}
	age, ok := d.World.StoreReadAge(now)
	stale := !ok || age > d.Settings.Placement.UnsureAfter
	d.World.View.SetStoreStale(stale)
	unsure := d.World.Placement != nil && stale && d.someoneSilent(now)
	if unsure == d.World.View.PlacementUnsure() {
		return
	}
	d.World.View.SetPlacementUnsure(unsure)
	if unsure {
		d.Log.Event(events.PlacementUnsure, events.F("version", d.World.PlacementVersion()))
	}
}

// someoneSilent is true when another data centre was not heard of lately.
func (d *stalenessCheck) someoneSilent(now int64) bool {
	bound := d.Settings.Placement.UnsureAfter
	silent := false
	d.World.Members.EachRow(func(row int) {
		dc := d.World.Members.Record[row].DataCentre
		if dc == d.World.DataCentre {
			return
		}
		at, heard := d.World.DataCentreHeardAt[dc]
		if !heard || time.Duration(now-at) > bound {
			silent = true
		}
	})
	return silent
}
