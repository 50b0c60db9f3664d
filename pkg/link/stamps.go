package link

import (
	"sync"
	"time"

	"github.com/rushramp/rushramp/pkg/common"
	"github.com/rushramp/rushramp/pkg/linkdelay"
	"github.com/rushramp/rushramp/pkg/measure"
	"github.com/rushramp/rushramp/pkg/wire"
)

// stampFilter decides which stamps are sent on one link, within the measurement budget. A
// stamp that differs little from the last one sent has a low value.
type stampFilter struct {
	mu       sync.Mutex
	lastSent wire.Stamp
	// sentAt is when lastSent was sent, in nanoseconds of the daemon's clock.
	sentAt int64
}

// filter returns the stamp if the peer wants one and the budget pays for its bytes. Otherwise
// it returns an empty stamp.
func (s *stampFilter) filter(c *common.Common, wanted bool, stamp wire.Stamp) wire.Stamp {
	if !wanted {
		return wire.Stamp{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := c.Now()
	if !c.Measure.TrySpend(now, stamp.Size(), stampValue(s.lastSent, stamp, time.Duration(now-s.sentAt))) {
		return wire.Stamp{}
	}
	s.lastSent, s.sentAt = stamp, now
	return stamp
}

// stampValue returns the value of a stamp to a peer that received lastSent some time ago. It
// is high for the first stamp, and if the limit or the rate limit has changed, if the number of
// calls at the gate has changed by at least a quarter of the limit, if the service time has
// changed by at least half, or if the link's delay or the wait of bodies is not what the peer
// expects, since the peer may then choose another backend server.
func stampValue(lastSent, current wire.Stamp, since time.Duration) measure.Value {
	before := int64(lastSent.Running) + int64(lastSent.Queued)
	after := int64(current.Running) + int64(current.Queued)
	switch {
	case lastSent.Seq == 0 || lastSent.Limit != current.Limit || lastSent.StartRateMilli != current.StartRateMilli:
		return measure.HighValue
	case 4*abs(after-before) >= int64(current.Limit):
		return measure.HighValue
	case 2*abs(int64(current.ServiceUS)-int64(lastSent.ServiceUS)) >= int64(lastSent.ServiceUS):
		return measure.HighValue
	case differs(linkdelay.Decay(lastSent.LinkDelay(), since), current.LinkDelay()):
		return measure.HighValue
	case differs(lastSent.BodyWait()-since, current.BodyWait()):
		return measure.HighValue
	}
	return measure.LowValue
}

// differs reports whether a time differs from what the peer expects by at least half of the
// longer one, and by more than the scheduling of processes accounts for.
func differs(expected, current time.Duration) bool {
	expected = max(expected, 0)
	difference := (expected - current).Abs()
	return difference >= linkdelay.Least && 2*difference >= max(expected, current)
}

func abs(n int64) int64 {
	if n < 0 {
		return -n
	}
	return n
}
