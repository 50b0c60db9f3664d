package systems

import (
	"time"

	"github.com/rushramp/rushramp/pkg/tables"
)

const (
	// dialsAtOnce bounds the dials that have begun within dialsWindow. A dial
	// takes some 0.2 ms of a processor at each end, and a daemon may have a sixth
	// of one: a hundred at once, as after a power-off of all VMs, would all be done
	// after some 100 ms, where the first few are needed sooner. Dials that hang do
	// not count: they cost nothing.
	dialsAtOnce = 16
	dialsWindow = 40 * time.Millisecond
)

// dialLimiter keeps the routes that are being dialled.
type dialLimiter struct {
	routes map[*tables.Endpoint]struct{}
	// recent are the beginnings within the window, oldest first, in nanoseconds.
	recent []int64
	// leftOver is true when a route was not dialled for the bound's sake, so that
	// the next tick tries again.
	leftOver bool
}

func newDialLimiter() *dialLimiter { return &dialLimiter{routes: map[*tables.Endpoint]struct{}{}} }

// begin is true when a route may be dialled now.
func (d *dialLimiter) begin(now int64, route *tables.Endpoint) bool {
	if _, already := d.routes[route]; already {
		return false
	}
	for len(d.recent) > 0 && now-d.recent[0] >= int64(dialsWindow) {
		d.recent = d.recent[1:]
	}
	if len(d.recent) >= dialsAtOnce {
		d.leftOver = true
		return false
	}
	d.recent = append(d.recent, now)
	d.routes[route] = struct{}{}
	return true
}

// ended notes that a dial has ended, well or not.
func (d *dialLimiter) ended(route *tables.Endpoint) { delete(d.routes, route) }
