package systems

import (
	"github.com/rushramp/rushramp/pkg/proximity"
	"github.com/rushramp/rushramp/pkg/utils"
)

// isPlatformReader is true when this daemon is among its data centre's readers of the
// platform. Each daemon works that out by itself from its table of members;
// while tables differ there is a reader more or less, which costs a read or
// some time, and is never wrong.
func (e *Env) isPlatformReader() bool { return e.rankInDataCentre() < e.Settings.Placement.HeadReaders }

// readerGroup are the daemons among which a few read for all.
type readerGroup struct {
	// name is what they are ranked by, upTo the farthest place of theirs.
	name string
	upTo proximity.Level
}

// has is true for daemons at a place.
func (r readerGroup) has(at proximity.Level) bool { return at != proximity.Unknown && at <= r.upTo }

// feedReaderGroup are those among which the followers of the feed are drawn: the region where
// there are several, since each region hears the others over its links and the store
// stands in one of them; else the data centre.
func (e *Env) feedReaderGroup() readerGroup {
	if e.World.Members.RegionCount() > 1 && e.World.Region != "" {
		return readerGroup{e.World.Region, proximity.Region}
	}
	return readerGroup{e.World.DataCentre, proximity.SameDataCentre}
}

// rankInDataCentre counts the members of this data centre that come before this
// daemon by rendezvous hash.
func (e *Env) rankInDataCentre() int {
	return e.rankIn(readerGroup{e.World.DataCentre, proximity.SameDataCentre})
}

// rankIn counts the members among some readers that come before this daemon by
// rendezvous hash.
func (e *Env) rankIn(group readerGroup) int {
	mine := utils.Rendezvous(group.name, e.World.VM)
	ahead := 0
	m := e.World.Members
	m.EachRow(func(row int) {
		vm := &m.Record[row]
		if !group.has(e.World.Here().To(vm.DataCentre, vm.Region)) || vm.VM == e.World.VM || m.Leaving(row) {
			return
		}
		if utils.Rendezvous(group.name, vm.VM) > mine {
			ahead++
		}
	})
	return ahead
}
