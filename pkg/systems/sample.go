package systems

import (
	"github.com/rushramp/rushramp/pkg/proximity"
	"github.com/rushramp/rushramp/pkg/tables"
)

// sampleSameDataCentre is how many daemons of the own data centre the sample holds: links
// drawn at random, three a daemon, connect a data centre of any size.
const sampleSameDataCentre = 3

// drawSample picks the daemons that this one keeps a link with besides those
// that calls need: the highest by rendezvous hash, some in the own data centre,
// one in each other of the region and one in each other region. They carry
// placement versions and news even where no calls go.
//
// It keeps links to those besides that should follow the store's feed for it: each daemon
// that has no link to them takes itself for one of them, and asks the store too.
func (l *links) drawSample() {
	byGroup := map[peerGroup][]*tables.Endpoint{}
	l.World.Members.EachRow(func(row int) {
		route := l.World.Members.Endpoint[row]
		if route.VM == l.World.VM || l.World.Members.Leaving(row) {
			return
		}
		in := l.peerGroupOf(route.DataCentre, route.Region)
		byGroup[in] = append(byGroup[in], route)
	})
	l.sample = append(l.sample[:0], l.firstFollowers()...)
	for in, routes := range byGroup {
		most := 1
		if in.at == proximity.SameDataCentre {
			most = sampleSameDataCentre
		}
		l.sample = append(l.sample, highestByRendezvous(l.World.VM, routes, most)...)
	}
}

// firstFollowers are the daemons that should follow the feed of the store for this one's
// data centre. Where they follow for a region, a link more to each would cross between data
// centres, which costs more than a call.
func (l *links) firstFollowers() []*tables.Endpoint {
	group := l.feedReaderGroup()
	if l.Feed == nil || group.upTo != proximity.SameDataCentre {
		return nil
	}
	var routes []*tables.Endpoint
	l.World.Members.EachRow(func(row int) {
		route := l.World.Members.Endpoint[row]
		_, unreached := l.World.Unreached[route]
		if !unreached && !l.World.Members.Leaving(row) && group.has(l.World.Here().To(route.DataCentre, route.Region)) {
			routes = append(routes, route)
		}
	})
	// This daemon may be one of them, which openOne passes over.
	return highestByRendezvous(group.name, routes, l.Settings.Placement.FeedReaders)
}
