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
	// paceStart is for how long after the first start of the whole system the fleet
	// counts as large. It becomes known over links that each carry heartbeats
	// meanwhile: of 295 daemons these were 60 in 100 of the bytes between data centres
	// in the first ten seconds.
	paceStart = 6 * time.Second
)

// heartbeatPace works out how rarely idle links carry heartbeats: as links.heartbeat says
// in a fleet of up to paceUnit members, more rarely in proportion above that. Peers
// are told, so that they may know of another size of the fleet.
type heartbeatPace struct{}

// of returns the time between two heartbeats and the longest silence of a peer that
// does not say its own, both in parts of links.heartbeat. first is true where the
// whole system starts for the first time.
func (heartbeatPace) of(now int64, members int, first bool) (every, bound time.Duration) {
	if first && now < int64(paceStart) {
		return paceMost, link.MissedHeartbeats * paceMost
	}
	every = paced(members)
	return every, link.MissedHeartbeats * every
}

func paced(members int) time.Duration {
	return time.Duration(min(max(members, paceUnit), paceMost))
}
