package link

import (
	"sync/atomic"
	"time"

	"github.com/rushramp/rushramp/pkg/proximity"
)

// MaxMissedHeartbeats is how many idle times may pass without a frame before a link is
// closed, and how many heartbeat intervals may pass without an answer to a probe.
const MaxMissedHeartbeats = 3

// maxStatedIdle limits the idle time that a peer may state, and the increased idle time of
// links to other regions. If links.heartbeat is one second, a fleet of any size needs no
// longer idle time than this.
const maxStatedIdle = 4 * time.Second

// otherRegionFactor multiplies the idle time of links to other regions, where bytes have
// the highest price and most of the bytes of idle links are heartbeats. Placement versions,
// departures and evacuations do not wait for a heartbeat, and on a link in use the calls
// detect a dead peer.
const otherRegionFactor = 3

// HeartbeatTiming holds how often a heartbeat is sent on an idle link, and how long a peer
// may send nothing before its link is closed. All links of a daemon share one, so that the
// times can grow with the number of links. It is safe for concurrent use.
type HeartbeatTiming struct {
	idle           atomic.Int64
	silenceTimeout atomic.Int64
}

// NewHeartbeatTiming returns a timing with the given idle time and a silence timeout of
// MaxMissedHeartbeats idle times.
func NewHeartbeatTiming(idle time.Duration) *HeartbeatTiming {
	t := &HeartbeatTiming{}
	t.Set(idle, MaxMissedHeartbeats*idle)
	return t
}

// Set changes the times: idle is the time without traffic after which a heartbeat is due,
// silenceTimeout the time without a frame from the peer after which a link is closed.
func (t *HeartbeatTiming) Set(idle, silenceTimeout time.Duration) {
	t.idle.Store(int64(idle))
	t.silenceTimeout.Store(int64(silenceTimeout))
}

// Idle returns the time without traffic after which a heartbeat is due on a link to a peer
// of the given proximity.
func (t *HeartbeatTiming) Idle(level proximity.Level) time.Duration {
	idle := time.Duration(t.idle.Load())
	if level == proximity.OtherRegion {
		return max(idle, min(idle*otherRegionFactor, maxStatedIdle))
	}
	return idle
}

// SilenceTimeout returns the time without a frame from the peer after which a link is
// closed.
func (t *HeartbeatTiming) SilenceTimeout() time.Duration {
	return time.Duration(t.silenceTimeout.Load())
}
