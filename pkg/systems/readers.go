package systems

import (
	"github.com/rushramp/rushramp/pkg/proximity"
	"github.com/rushramp/rushramp/pkg/utils"
)

// isPlatformReader reports whether this daemon is one of the few of its data centre that
// read the platform's store for all. Each daemon determines this from its own table of
// members. While tables differ there may be a reader too many or too few, which costs a
// read or some delay but no correctness.
func (e *Env) isPlatformReader() bool { return e.rankInDataCentre() < e.Settings.Placement.HeadReaders }

// readerGroup is a set of daemons of which a few read the store for all.
type readerGroup struct {
	// name is hashed to rank the daemons. maxLevel is the farthest proximity of a daemon
	// in the group.
	name     string
	maxLevel proximity.Level
}

// contains reports whether the group contains the daemons of a proximity level.
func (r readerGroup) contains(level proximity.Level) bool {
	return level != proximity.Unknown && level <= r.maxLevel
}

// feedReaderGroup returns the group from which the followers of the feed are selected:
// the region if there are several, because a region also gets new versions over its links
// and the store is in only one of them; otherwise the data centre.
func (e *Env) feedReaderGroup() readerGroup {
	if e.World.Members.RegionCount() > 1 && e.World.Region != "" {
		return readerGroup{e.World.Region, proximity.Region}
	}
	return readerGroup{e.World.DataCentre, proximity.SameDataCentre}
}

// rankInDataCentre returns the rank of this daemon among the members of its data centre
// by rendezvous hash; 0: the first.
func (e *Env) rankInDataCentre() int {
	return e.rankIn(readerGroup{e.World.DataCentre, proximity.SameDataCentre})
}

// rankIn returns the rank of this daemon among the members of a group by rendezvous hash;
// 0: the first. Leaving members do not count.
func (e *Env) rankIn(group readerGroup) int {
	ownWeight := utils.RendezvousWeight(group.name, e.World.VM)
	rank := 0
	m := e.World.Members
	m.EachRow(func(row int) {
		record := &m.Record[row]
		if !group.contains(e.World.Here().LevelTo(record.DataCentre, record.Region)) || record.VM == e.World.VM || m.Leaving(row) {
			return
		}
		if utils.RendezvousWeight(group.name, record.VM) > ownWeight {
			rank++
		}
	})
	return rank
}
