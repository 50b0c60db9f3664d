package systems

import (
	"github.com/rushramp/rushramp/pkg/place"
	"github.com/rushramp/rushramp/pkg/tables"
)

// sampleNear is how many daemons of the own data centre the sample holds: links
// drawn at random, three a daemon, connect a data centre of any size.
const sampleNear = 3

// drawSample picks the daemons that this one keeps a link with besides those
// that calls need: the highest by rendezvous hash, some in the own data centre,
// one in each other of the region and one in each other region. They carry
// placement versions and news even where no calls go.
func (l *links) drawSample() {
	byGroup := map[group][]*tables.Route{}
	l.World.Members.Rows(func(row int) {
		route := l.World.Members.Route[row]
		if route.VM == l.World.VM || l.World.Members.Leaving(row) {
			return
		}
		in := l.groupOf(route.DataCentre, route.Region)
		byGroup[in] = append(byGroup[in], route)
	})
	l.sample = l.sample[:0]
	for in, routes := range byGroup {
		most := 1
		if in.at == place.Near {
			most = sampleNear
		}
		l.sample = append(l.sample, highest(l.World.VM, routes, most)...)
	}
}
