package systems

import (
	"time"

	"github.com/rushramp/rushramp/pkg/link"
)

const (
	// paceUnit is what paces are counted in: parts of links.heartbeat.
	paceUnit = 32
	// paceMost bounds how much rarer than links.heartbeat idle links of a large
	// fleet carry a heartbeat. Departures and versions do not wait for one, and a
	// link in use is watched by its calls.
	paceMost = 4 * paceUnit
	// paceLag is for how long at least a daemon must have known of a larger fleet
	// before it sends its heartbeats more rarely: its peers, whose patience hangs
	// on what they know of the fleet, know of it by then.
	paceLag = 3 * time.Second
)

// pace works out how rarely idle links carry heartbeats: as links.heartbeat says
// in a fleet of up to paceUnit members, more rarely in proportion above that.
type pace struct {
	// least is the smallest size of the fleet in this window of paceLag, last that
	// in the one before.
	least, last int
	// ends is when this window ends, in nanoseconds.
	ends int64
}

// of returns the time between two heartbeats and the longest silence of a peer,
// both in parts of links.heartbeat.
func (p *pace) of(now int64, members int) (every, bound time.Duration) {
	p.least = min(p.least, members)
	if now >= p.ends {
		p.last, p.least = p.least, members
		p.ends = now + int64(paceLag)
	}
	every = paced(min(p.last, p.least))
	return every, link.MissedHeartbeats * paced(members)
}

func paced(members int) time.Duration {
	return time.Duration(min(max(members, paceUnit), paceMost))
}
