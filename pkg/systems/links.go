package systems

import (
	"context"
	"time"

	"github.com/rushramp/rushramp/pkg/link"
	"github.com/rushramp/rushramp/pkg/tables"
)

const (
	dialTime = 2 * time.Second
	// redialAfter is how long a route rests after a link failed or ended.
	redialAfter = 200 * time.Millisecond
	// redialDoublings is how often that time doubles while dialling fails.
	redialDoublings = 4
	// sampleEvery is how often the sample is worked out again.
	sampleEvery = time.Second
)

// links opens links: to the subset of each service that this entry was asked
// for, and to a small sample of other daemons. Source: docs/design/members.md.
type links struct {
	*Env
	clients   map[*tables.Endpoint]*link.Client
	dialing   *dialLimiter
	restUntil map[*tables.Endpoint]int64
	// failures counts a route's failed dials and ended links in a row.
	failures  map[*tables.Endpoint]int
	surplus   *surplusLinks
	unreached *unreachedEndpoints
	sampleDue intervalTimer
	sample    []*tables.Endpoint
	// drawnAt is the state of the members that the sample was drawn from.
	drawnAt  uint64
	retryDue intervalTimer
}

// Tick implements System.
func (l *links) Tick(now int64, mail *tables.Mail) {
	if l.clients == nil {
		l.clients = map[*tables.Endpoint]*link.Client{}
		l.dialing = newDialLimiter()
		l.restUntil = map[*tables.Endpoint]int64{}
		l.failures = map[*tables.Endpoint]int{}
		l.surplus = newSurplusLinks()
		l.unreached = newUnreachedEndpoints(l.World)
	}
	for _, e := range mail.LinkEvents {
		l.take(now, e)
	}
	for _, service := range mail.RequestedServices {
		l.World.RequestedServices[service] = struct{}{}
		l.World.MarkDirty(service)
	}
	retry := l.retryDue.fires(now, redialAfter)
	if retry {
		l.noteDistances()
		l.unreached.expire(now)
		l.closeSilent()
	}
	again := l.dialing.leftOver
	l.dialing.leftOver = false
	l.openServices(now, retry || again)
	if retry {
		l.openAll(now, l.World.RolloutWatchers)
		l.openAll(now, l.World.QuotaCounterDaemons)
	}
	if again {
		l.openAll(now, l.sample)
	}
	if l.sampleDue.fires(now, sampleEvery) {
		if changes := l.World.Members.ChangeCount(); changes != l.drawnAt {
			l.drawnAt = changes
			l.drawSample()
			l.closeGone()
		}
		l.openAll(now, l.sample)
		l.closeSurplus(now)
	}
}

func (l *links) noteDistances() {
	var distances leastRoundTrips
	for route, client := range l.clients {
		distances.note(l.World.Here().To(route.DataCentre, route.Region), client.RoundTrip())
		route.Load.SetRoundTrip(client.RoundTrip())
		client.MeasureAgain()
	}
	if share, ok := distances.regionShare(); ok {
		l.World.View.SetRegionShare(share)
	}
}

// closeSilent closes links on which calls wait and whose peers have owed a sign of
// life as long as ends an idle link of a small fleet: a VM without power, or behind
// a cut, ends no connection.
func (l *links) closeSilent() {
	for route, client := range l.clients {
		if route.Load.Outstanding() > 0 && client.Unanswered() > link.MissedHeartbeats*l.Settings.Links.Heartbeat {
			client.Close()
		}
	}
}

// openServices opens the links that calls need: those of the services whose
// members changed, or of all. Services take turns, each with its routes in their
// order, so that a daemon that has just started has a few links for each of them
// first.
func (l *links) openServices(now int64, all bool) {
	var subsets [][]*tables.Endpoint
	for service := range l.World.RequestedServices {
		if _, dirty := l.World.DirtyServices[service]; dirty || all {
			subsets = append(subsets, l.subsetsOf(service)...)
		}
	}
	for turn := 0; len(subsets) > 0; turn++ {
		rest := subsets[:0]
		for _, routes := range subsets {
			if turn < len(routes) {
				l.openOne(now, routes[turn])
				rest = append(rest, routes)
			}
		}
		subsets = rest
	}
}

// subsetsOf are the subsets of a service, one a kind.
func (l *links) subsetsOf(service string) [][]*tables.Endpoint {
	view := l.World.View.Placement()
	if view == nil {
		return nil
	}
	compiled := view.Service(service)
	if compiled == nil {
		return nil
	}
	var out [][]*tables.Endpoint
	for _, kind := range compiled.Kinds {
		out = append(out, l.subset(kind))
	}
	return out
}

func (l *links) openAll(now int64, routes []*tables.Endpoint) {
	for _, route := range routes {
		l.openOne(now, route)
	}
}

func (l *links) openOne(now int64, route *tables.Endpoint) {
	if _, open := l.clients[route]; open || route.VM == l.World.VM || now < l.restUntil[route] {
		return
	}
	if l.dialing.begin(now, route) {
		go l.dial(route)
	}
}

func (l *links) dial(route *tables.Endpoint) {
	ctx, cancel := context.WithTimeout(l.DaemonContext, dialTime)
	defer cancel()
	client, err := link.DialClient(ctx, l.Common, &endpointControl{Control: l.Control, world: l.World, route: route}, route.LinkAddress, l.DialOptions)
	if err != nil {
		l.World.Inbox.Post(false, func(m *tables.Mail) {
			m.LinkEvents = append(m.LinkEvents, tables.LinkEvent{Endpoint: route, Cause: err})
		})
		return
	}
	client.Run()
}

// closeGone closes links to VMs that are gone or that another VM replaced.
func (l *links) closeGone() {
	for route, client := range l.clients {
		row, ok := l.World.Members.Find(route.VM)
		if !ok || l.World.Members.Endpoint[row] != route {
			client.Close()
		}
	}
}
