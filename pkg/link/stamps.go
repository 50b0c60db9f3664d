package link

import (
	"sync"

	"github.com/rushramp/rushramp/pkg/common"
	"github.com/rushramp/rushramp/pkg/measure"
	"github.com/rushramp/rushramp/pkg/wire"
)

// stampFilter decides which stamps are worth their bytes on one link. A stamp
// that says nearly what the peer was told last is of low value.
type stampFilter struct {
	mu   sync.Mutex
	last wire.Stamp
}

// pay returns the stamp when it is wanted and paid for, or an empty one.
func (s *stampFilter) pay(c *common.Common, wanted bool, stamp wire.Stamp) wire.Stamp {
	if !wanted {
		return wire.Stamp{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !c.Measure.TrySpend(c.Now(), stamp.Size(), worth(s.last, stamp)) {
		return wire.Stamp{}
	}
	s.last = stamp
	return stamp
}

// worth compares a stamp with the one that the peer has. A change by a quarter
// of the limit, or of the service time by half, may change a choice.
func worth(last, now wire.Stamp) measure.Value {
	before := int64(last.Running) + int64(last.Queued)
	after := int64(now.Running) + int64(now.Queued)
	switch {
	case last.Seq == 0 || last.Limit != now.Limit:
		return measure.HighValue
	case 4*abs(after-before) >= int64(now.Limit):
		return measure.HighValue
	case 2*abs(int64(now.ServiceUS)-int64(last.ServiceUS)) >= int64(last.ServiceUS):
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
