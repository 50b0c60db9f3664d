package link

import (
	"sync/atomic"
	"time"

	"github.com/rushramp/rushramp/pkg/proximity"
)

// MaxMissedHeartbeats is how many idle times without a frame end a link, and how
// many a peer may owe a sign of life that it was asked for.
const MaxMissedHeartbeats = 3

// longestIdle bounds the time without a sign of life that a peer may ask for: no
// setting leads to a longer one in a fleet whose heartbeats are a second.
const longestIdle = 4 * time.Second

// otherStretch is how much rarer heartbeats are on idle links to other regions, where
// bytes have the highest price: seven in ten of the bytes that 28 daemons sent there on
// a quiet day were heartbeats. Versions, departures and evacuations wait for none, and
// a link in use is watched by its calls.
const otherStretch = 3

// HeartbeatTiming says how often idle links carry a heartbeat and how long a peer may say
// nothing. All links of a daemon share one, since the work grows with their
// number. It is safe for concurrent use.
type HeartbeatTiming struct {
	idle    atomic.Int64
	silence atomic.Int64
}

// NewHeartbeatTiming makes a pace of one heartbeat each idle time, where three missed ones
// end a link.
func NewHeartbeatTiming(idle time.Duration) *HeartbeatTiming {
	p := &HeartbeatTiming{}
	p.Set(idle, MaxMissedHeartbeats*idle)
	return p
}

// Set changes the pace: idle is the time without traffic after which a
// heartbeat is due, silence the time without a frame that ends a link.
func (p *HeartbeatTiming) Set(idle, silence time.Duration) {
	p.idle.Store(int64(idle))
	p.silence.Store(int64(silence))
}

// Idle is the time without traffic after which a heartbeat is due on a link to a
// place.
func (p *HeartbeatTiming) Idle(to proximity.Level) time.Duration {
	idle := time.Duration(p.idle.Load())
	if to == proximity.OtherRegion {
		return max(idle, min(idle*otherStretch, longestIdle))
	}
	return idle
}

// SilenceTimeout is the time without a frame that ends a link.
func (p *HeartbeatTiming) SilenceTimeout() time.Duration { return time.Duration(p.silence.Load()) }
