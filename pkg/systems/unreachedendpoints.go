package systems

import "github.com/rushramp/rushramp/pkg/tables"

// unreachedFailures is how many consecutive failed dials and lost links make an endpoint
// unreached. One alone may be a restart.
const unreachedFailures = 2

// unreachedEndpoints maintains World.Unreached, the endpoints that cannot be reached. A
// VM that loses power sends nothing and may stay in the list of VMs, so without this it
// would keep its place in the subset. An endpoint is removed when its redial delay is
// over, and is then dialled again.
type unreachedEndpoints struct {
	world *tables.World
	until map[*tables.Endpoint]int64
}

func newUnreachedEndpoints(w *tables.World) *unreachedEndpoints {
	return &unreachedEndpoints{world: w, until: map[*tables.Endpoint]int64{}}
}

// add marks an endpoint as unreached until a time in nanoseconds.
func (u *unreachedEndpoints) add(endpoint *tables.Endpoint, until int64) {
	u.until[endpoint] = until
	u.world.Unreached[endpoint] = struct{}{}
	u.markChanged(endpoint)
}

// remove unmarks an endpoint whose daemon was reached or whose redial delay is over.
func (u *unreachedEndpoints) remove(endpoint *tables.Endpoint) {
	if _, known := u.until[endpoint]; !known {
		return
	}
	delete(u.until, endpoint)
	delete(u.world.Unreached, endpoint)
	u.markChanged(endpoint)
}

// expire removes the endpoints whose redial delay is over.
func (u *unreachedEndpoints) expire(now int64) {
	for endpoint, until := range u.until {
		if now >= until {
			u.remove(endpoint)
		}
	}
}

func (u *unreachedEndpoints) markChanged(endpoint *tables.Endpoint) {
	u.world.UnreachedChanges++
	u.world.MarkDirty(endpoint.Service)
}
