package systems

import (
	"time"

	"github.com/rushramp/rushramp/pkg/link"
)

const (
	// unitsPerHeartbeat is the setting links.heartbeat in the unit of the intervals
	// here, which is 1/32 of it.
	unitsPerHeartbeat = 32
	// maxHeartbeatInterval is the longest heartbeat interval of idle links, for a large
	// fleet, in units of links.heartbeat/unitsPerHeartbeat. Departures and placement
	// versions do not wait for a heartbeat, and closeUnresponsive checks links with
	// calls.
	maxHeartbeatInterval = 4 * unitsPerHeartbeat
	// largeFleetAssumedFor is for how long after the first start the fleet counts as
	// large. Its size is not known until links are open, and with links.heartbeat as the
	// interval most of the traffic between data centres would be heartbeats.
	largeFleetAssumedFor = 6 * time.Second
)

// heartbeatTiming computes the heartbeat interval of idle links: links.heartbeat in a
// fleet of up to unitsPerHeartbeat members, and longer in proportion to the members above
// that. Each daemon tells its peers its interval, since they may know of a different
// number of members.
type heartbeatTiming struct{}

// intervals returns the time between two heartbeats, and the longest silence of a peer
// that does not state its own, both in units of links.heartbeat/unitsPerHeartbeat.
// firstStart is true at the first start of the fleet.
func (heartbeatTiming) intervals(now int64, members int, firstStart bool) (interval, silence time.Duration) {
	if firstStart && now < int64(largeFleetAssumedFor) {
		return maxHeartbeatInterval, link.MaxMissedHeartbeats * maxHeartbeatInterval
	}
	interval = heartbeatIntervalFor(members)
	return interval, link.MaxMissedHeartbeats * interval
}

func heartbeatIntervalFor(members int) time.Duration {
	return time.Duration(min(max(members, unitsPerHeartbeat), maxHeartbeatInterval))
}
