package systems

import (
	"time"

	"github.com/rushramp/rushramp/pkg/tables"
)

const (
	// maxDialsPerWindow bounds the dials that start within dialWindow. A dial takes about
	// 0.2 ms of processor time at each end, and a daemon may have only a sixth of a
	// processor. After a power failure of all VMs, a hundred dials at once would all
	// finish late, although the first few links are needed soon. Dials that hang do not
	// count, since they cost nothing.
	maxDialsPerWindow = 16
	dialWindow        = 40 * time.Millisecond
)

// dialLimiter bounds how many dials start at the same time.
type dialLimiter struct {
	inProgress map[*tables.Endpoint]struct{}
	// startTimes are when dials started within the window, oldest first, in nanoseconds.
	startTimes []int64
	// deferred is true if the limit prevented a dial, which the next tick then tries
	// again.
	deferred bool
}

func newDialLimiter() *dialLimiter { return &dialLimiter{inProgress: map[*tables.Endpoint]struct{}{}} }

// tryBegin reports whether an endpoint may be dialled now, and if so records the dial.
// now is in nanoseconds.
func (d *dialLimiter) tryBegin(now int64, endpoint *tables.Endpoint) bool {
	if _, dialling := d.inProgress[endpoint]; dialling {
		return false
	}
	for len(d.startTimes) > 0 && now-d.startTimes[0] >= int64(dialWindow) {
		d.startTimes = d.startTimes[1:]
	}
	if len(d.startTimes) >= maxDialsPerWindow {
		d.deferred = true
		return false
	}
	d.startTimes = append(d.startTimes, now)
	d.inProgress[endpoint] = struct{}{}
	return true
}

// end records that a dial has ended, successfully or not.
func (d *dialLimiter) end(endpoint *tables.Endpoint) { delete(d.inProgress, endpoint) }
