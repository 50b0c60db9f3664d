package systems

import (
	"slices"
	"time"

	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/tables"
)

// surplusDelay is how long a link must not have been needed before it is closed. Subsets
// change, and change back, if a backend server is away for a moment.
const surplusDelay = 5 * time.Second

// surplusLinks tracks which links are no longer needed. Subsets shift while a fleet
// starts and its members become known one after another. A daemon that kept all links
// that it ever needed would end up with links to most of the fleet.
type surplusLinks struct {
	// unneededSince is when the link to an endpoint was first found not to be needed, in
	// nanoseconds.
	unneededSince map[*tables.Endpoint]int64
	// closed are the endpoints whose links this daemon is closing, until the links have
	// ended.
	closed map[*tables.Endpoint]struct{}
}

func newSurplusLinks() *surplusLinks {
	return &surplusLinks{unneededSince: map[*tables.Endpoint]int64{}, closed: map[*tables.Endpoint]struct{}{}}
}

// closable returns the open endpoints that have not been needed for surplusDelay, except
// those with outstanding calls.
func (s *surplusLinks) closable(now int64, open, needed map[*tables.Endpoint]struct{}) []*tables.Endpoint {
	var out []*tables.Endpoint
	for endpoint := range s.unneededSince {
		if _, isOpen := open[endpoint]; !isOpen {
			delete(s.unneededSince, endpoint)
		}
	}
	for endpoint := range open {
		if _, isNeeded := needed[endpoint]; isNeeded {
			delete(s.unneededSince, endpoint)
			continue
		}
		since, known := s.unneededSince[endpoint]
		if !known {
			s.unneededSince[endpoint] = now
			continue
		}
		if now-since >= int64(surplusDelay) && endpoint.Load.Outstanding() == 0 {
			out = append(out, endpoint)
		}
	}
	return out
}

// forgetClosed reports whether closeSurplus closed the link to an endpoint, and forgets
// it.
func (s *surplusLinks) forgetClosed(endpoint *tables.Endpoint) bool {
	_, wasClosed := s.closed[endpoint]
	delete(s.closed, endpoint)
	return wasClosed
}

// closeSurplus closes links that have not been needed for some time.
func (l *links) closeSurplus(now int64) {
	open := make(map[*tables.Endpoint]struct{}, len(l.clients))
	for endpoint := range l.clients {
		open[endpoint] = struct{}{}
	}
	for _, endpoint := range l.surplus.closable(now, open, l.neededEndpoints()) {
		l.surplus.closed[endpoint] = struct{}{}
		l.Log.Event(events.LinkSurplus, events.F("peer", endpoint.VM))
		l.clients[endpoint].Close()
	}
}

// neededEndpoints returns the endpoints to which this daemon keeps links: those of the
// subsets and of the sample, the watchers of a roll-out and the counters of teams'
// requests.
func (l *links) neededEndpoints() map[*tables.Endpoint]struct{} {
	out := map[*tables.Endpoint]struct{}{}
	for _, endpoint := range slices.Concat(l.sample, l.World.RolloutWatchers, l.World.QuotaCounterDaemons, l.World.RetryHolders) {
		out[endpoint] = struct{}{}
	}
	for service := range l.World.RequestedServices {
		for _, subset := range l.subsetsOf(service) {
			for _, endpoint := range subset {
				out[endpoint] = struct{}{}
			}
		}
	}
	return out
}
