package link

import (
	"sync"

	"github.com/rushramp/rushramp/pkg/common"
	"github.com/rushramp/rushramp/pkg/measure"
	"github.com/rushramp/rushramp/pkg/wire"
)

// stampFilter decides which stamps are sent on one link, within the measurement budget. A
// stamp that differs little from the last one sent has a low value.
type stampFilter struct {
	mu       sync.Mutex
	lastSent wire.Stamp
}

// filter returns the stamp if the peer wants one and the budget pays for its bytes. Otherwise
// it returns an empty stamp.
func (s *stampFilter) filter(c *common.Common, wanted bool, stamp wire.Stamp) wire.Stamp {
	if !wanted {
		return wire.Stamp{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !c.Measure.TrySpend(c.Now(), stamp.Size(), stampValue(s.lastSent, stamp)) {
		return wire.Stamp{}
	}
	s.lastSent = stamp
	return stamp
}

// stampValue returns the value of a stamp to a peer that has received lastSent. It is high
// for the first stamp, and if the limit has changed, if the number of calls at the gate has
// changed by at least a quarter of the limit, or if the service time has changed by at least
// half, since the peer may then choose another backend server.
func stampValue(lastSent, current wire.Stamp) measure.Value {
	before := int64(lastSent.Running) + int64(lastSent.Queued)
	after := int64(current.Running) + int64(current.Queued)
	switch {
	case lastSent.Seq == 0 || lastSent.Limit != current.Limit:
		return measure.HighValue
	case 4*abs(after-before) >= int64(current.Limit):
		return measure.HighValue
	case 2*abs(int64(current.ServiceUS)-int64(lastSent.ServiceUS)) >= int64(lastSent.ServiceUS):
		return measure.HighValue
	}
	return measure.LowValue
}

func abs(n int64) int64 {
	if n < 0 {
		return -n
	}
	return n
}
