package systems

import (
	"context"
	"time"

	"github.com/rushramp/rushramp/pkg/link"
	"github.com/rushramp/rushramp/pkg/tables"
)

const (
	dialTimeout = 2 * time.Second
	// minRedialDelay is the delay before an endpoint is dialled again after its link
	// failed or ended.
	minRedialDelay = 200 * time.Millisecond
	// maxRedialDoublings is how often the delay doubles on consecutive failures.
	maxRedialDoublings = 4
	// sampleInterval is the time between two checks whether the sample must be drawn
	// again.
	sampleInterval = time.Second
)

// links opens and closes the links of this daemon: to the subset of each service that
// its callers request, and to a small sample of other daemons. Source:
// docs/design/members.md.
type links struct {
	*Env
	clients map[*tables.Endpoint]*link.Client
	dials   *dialLimiter
	// redialAt is when an endpoint may be dialled again, in nanoseconds.
	redialAt map[*tables.Endpoint]int64
	// failures is the number of consecutive failed dials and lost links of an endpoint.
	failures    map[*tables.Endpoint]int
	surplus     *surplusLinks
	unreached   *unreachedEndpoints
	sampleTimer intervalTimer
	sample      []*tables.Endpoint
	// sampledChangeCount is the ChangeCount of the table of members when the sample was
	// drawn.
	sampledChangeCount uint64
	retryTimer         intervalTimer
}

// Tick implements System.
func (l *links) Tick(now int64, mail *tables.Mail) {
	if l.clients == nil {
		l.clients = map[*tables.Endpoint]*link.Client{}
		l.dials = newDialLimiter()
		l.redialAt = map[*tables.Endpoint]int64{}
		l.failures = map[*tables.Endpoint]int{}
		l.surplus = newSurplusLinks()
		l.unreached = newUnreachedEndpoints(l.World)
	}
	for _, e := range mail.LinkEvents {
		l.handleLinkEvent(now, e)
	}
	for _, service := range mail.RequestedServices {
		l.World.RequestedServices[service] = struct{}{}
		l.World.MarkDirty(service)
	}
	retry := l.retryTimer.fires(now, minRedialDelay)
	if retry {
		l.recordRoundTrips()
		l.unreached.expire(now)
		l.closeUnresponsive()
	}
	resumeDeferred := l.dials.deferred
	l.dials.deferred = false
	l.openServices(now, retry || resumeDeferred)
	if retry {
		l.openAll(now, l.World.RolloutWatchers)
		l.openAll(now, l.World.QuotaCounterDaemons)
		l.openAll(now, l.World.RetryHolders)
	}
	if resumeDeferred {
		l.openAll(now, l.sample)
	}
	if l.sampleTimer.fires(now, sampleInterval) {
		if changeCount := l.World.Members.ChangeCount(); changeCount != l.sampledChangeCount {
			l.sampledChangeCount = changeCount
			l.drawSample()
			l.closeOutdated()
		}
		l.openAll(now, l.sample)
		l.closeSurplus(now)
	}
}

func (l *links) recordRoundTrips() {
	var roundTrips leastRoundTrips
	for endpoint, client := range l.clients {
		roundTrips.record(l.World.Here().LevelTo(endpoint.DataCentre, endpoint.Region), client.MinRTT())
		endpoint.Load.SetMinRTT(client.MinRTT())
		client.MeasureRTT()
	}
	if share, ok := roundTrips.regionShare(); ok {
		l.World.View.SetRegionShare(share)
	}
}

// closeUnresponsive closes links with outstanding calls whose peer has left a request for
// a sign of life unanswered for too long: a VM that loses power, or that is cut off, does
// not close its connections.
func (l *links) closeUnresponsive() {
	for endpoint, client := range l.clients {
		if endpoint.Load.Outstanding() > 0 && client.UnansweredFor() > link.MaxMissedHeartbeats*l.Settings.Links.Heartbeat {
			client.Close()
		}
	}
}

// openServices opens the links that calls need, for the services whose members changed or
// for all. It takes one endpoint of each subset in turn, so that a daemon that has just
// started first gets a few links for each service.
func (l *links) openServices(now int64, all bool) {
	var subsets [][]*tables.Endpoint
	for service := range l.World.RequestedServices {
		if _, dirty := l.World.DirtyServices[service]; dirty || all {
			subsets = append(subsets, l.subsetsOf(service)...)
		}
	}
	for turn := 0; len(subsets) > 0; turn++ {
		remaining := subsets[:0]
		for _, endpoints := range subsets {
			if turn < len(endpoints) {
				l.openOne(now, endpoints[turn])
				remaining = append(remaining, endpoints)
			}
		}
		subsets = remaining
	}
}

// subsetsOf returns the subsets of a service, one for each request kind.
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

func (l *links) openAll(now int64, endpoints []*tables.Endpoint) {
	for _, endpoint := range endpoints {
		l.openOne(now, endpoint)
	}
}

func (l *links) openOne(now int64, endpoint *tables.Endpoint) {
	if _, open := l.clients[endpoint]; open || endpoint.VM == l.World.VM || now < l.redialAt[endpoint] {
		return
	}
	if l.dials.tryBegin(now, endpoint) {
		go l.dial(endpoint)
	}
}

func (l *links) dial(endpoint *tables.Endpoint) {
	ctx, cancel := context.WithTimeout(l.DaemonContext, dialTimeout)
	defer cancel()
	client, err := link.DialClient(ctx, l.Common, &endpointControl{Handler: l.Control, world: l.World, endpoint: endpoint}, endpoint.LinkAddress, l.DialOptions)
	if err != nil {
		l.World.Inbox.Post(false, func(m *tables.Mail) {
			m.LinkEvents = append(m.LinkEvents, tables.LinkEvent{Endpoint: endpoint, Cause: err})
		})
		return
	}
	client.Run()
}

// closeOutdated closes links to VMs that were removed or replaced.
func (l *links) closeOutdated() {
	for endpoint, client := range l.clients {
		row, ok := l.World.Members.Find(endpoint.VM)
		if !ok || l.World.Members.Endpoint[row] != endpoint {
			client.Close()
		}
	}
}
