package systems

import (
	"slices"
	"time"

	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/tables"
)

// surplusFor is how long a link must have been needed by nobody until it is
// closed: a backend server that is away for a moment changes subsets, and
// changes them back.
const surplusFor = 5 * time.Second

// surplusLinks follows which links no subset needs any more. Subsets shift while a
// fleet starts and members become known one by one; a daemon that kept all links
// it ever needed would in the end have one to most others.
type surplusLinks struct {
	// since is when a route was first not needed.
	since map[*tables.Endpoint]int64
	// closed are the routes whose links were closed here, until they are down.
	closed map[*tables.Endpoint]struct{}
}

func newSurplusLinks() *surplusLinks {
	return &surplusLinks{since: map[*tables.Endpoint]int64{}, closed: map[*tables.Endpoint]struct{}{}}
}

// due returns the open routes that have not been needed for long. Routes with
// calls on their way are left.
func (s *surplusLinks) due(now int64, open, needed map[*tables.Endpoint]struct{}) []*tables.Endpoint {
	var out []*tables.Endpoint
	for route := range s.since {
		if _, still := open[route]; !still {
			delete(s.since, route)
		}
	}
	for route := range open {
		if _, is := needed[route]; is {
			delete(s.since, route)
			continue
		}
		first, known := s.since[route]
		if !known {
			s.since[route] = now
			continue
		}
		if now-first >= int64(surplusFor) && route.Load.Outstanding() == 0 {
			out = append(out, route)
		}
	}
	return out
}

// forgetClosed is true once for a link that was closed as surplus.
func (s *surplusLinks) forgetClosed(route *tables.Endpoint) bool {
	_, was := s.closed[route]
	delete(s.closed, route)
	return was
}

// closeSurplus closes links that neither calls nor the sample need.
func (l *links) closeSurplus(now int64) {
	open := make(map[*tables.Endpoint]struct{}, len(l.clients))
	for route := range l.clients {
		open[route] = struct{}{}
	}
	for _, route := range l.surplus.due(now, open, l.needed()) {
		l.surplus.closed[route] = struct{}{}
		l.Log.Event(events.LinkSurplus, events.F("peer", route.VM))
		l.clients[route].Close()
	}
}

// needed are the routes that this daemon keeps links to.
func (l *links) needed() map[*tables.Endpoint]struct{} {
	out := map[*tables.Endpoint]struct{}{}
	for _, route := range slices.Concat(l.sample, l.World.RolloutWatchers, l.World.QuotaCounterDaemons) {
		out[route] = struct{}{}
	}
	for service := range l.World.RequestedServices {
		for _, routes := range l.subsetsOf(service) {
			for _, route := range routes {
				out[route] = struct{}{}
			}
		}
	}
	return out
}
