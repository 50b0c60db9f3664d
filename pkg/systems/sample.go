package systems

import (
	"github.com/rushramp/rushramp/pkg/proximity"
	"github.com/rushramp/rushramp/pkg/tables"
)

// sampleSameDataCentre is how many daemons of the same data centre the sample contains.
// With three random links per daemon, a data centre of any size is connected.
const sampleSameDataCentre = 3

// drawSample selects the daemons that this one keeps links to in addition to those that
// calls need, by rendezvous hash: some in the same data centre, one in each other data
// centre of the region and one in each other region. These links carry placement versions
// and member changes even where there are no calls.
//
// The sample also contains the expected followers of the feed. A daemon without links to
// them would rank itself as a follower and call the store as well.
func (l *links) drawSample() {
	byGroup := map[peerGroup][]*tables.Endpoint{}
	l.World.Members.EachRow(func(row int) {
		endpoint := l.World.Members.Endpoint[row]
		if endpoint.VM == l.World.VM || l.World.Members.Leaving(row) {
			return
		}
		group := l.peerGroupOf(endpoint.DataCentre, endpoint.Region)
		byGroup[group] = append(byGroup[group], endpoint)
	})
	l.sample = append(l.sample[:0], l.expectedFollowers()...)
	for group, endpoints := range byGroup {
		limit := 1
		if group.level == proximity.SameDataCentre {
			limit = sampleSameDataCentre
		}
		l.sample = append(l.sample, highestByRendezvous(l.World.VM, endpoints, limit)...)
	}
}

// expectedFollowers returns the daemons that should follow the feed for this daemon's
// data centre. It returns none if they follow for a region: further links between data
// centres would cost more than calls to the store.
func (l *links) expectedFollowers() []*tables.Endpoint {
	group := l.feedReaderGroup()
	if l.Feed == nil || group.maxLevel != proximity.SameDataCentre {
		return nil
	}
	var endpoints []*tables.Endpoint
	l.World.Members.EachRow(func(row int) {
		endpoint := l.World.Members.Endpoint[row]
		_, unreached := l.World.Unreached[endpoint]
		if !unreached && !l.World.Members.Leaving(row) && group.contains(l.World.Here().LevelTo(endpoint.DataCentre, endpoint.Region)) {
			endpoints = append(endpoints, endpoint)
		}
	})
	// This daemon may be among them; openOne ignores it.
	return highestByRendezvous(group.name, endpoints, l.Settings.Placement.FeedReaders)
}
