package systems

import "github.com/rushramp/rushramp/pkg/tables"

// unreachedAfter is how many dials and ends of a link in a row put a route among
// those that cannot be reached: one may be a restart.
const unreachedAfter = 2

// unreachedEndpoints keeps the routes whose daemons cannot be reached. A VM that lost its
// power says nothing of it, and no list tells: without this its place in the
// subset would stay empty. A route comes back when its rest is over, and is then
// dialled again.
type unreachedEndpoints struct {
	world *tables.World
	until map[*tables.Endpoint]int64
}

func newUnreachedEndpoints(w *tables.World) *unreachedEndpoints {
	return &unreachedEndpoints{world: w, until: map[*tables.Endpoint]int64{}}
}

// add puts a route among them until a time in nanoseconds.
func (u *unreachedEndpoints) add(route *tables.Endpoint, until int64) {
	u.until[route] = until
	u.world.Unreached[route] = struct{}{}
	u.changed(route)
}

// remove takes a route out: its daemon was heard.
func (u *unreachedEndpoints) remove(route *tables.Endpoint) {
	if _, known := u.until[route]; !known {
		return
	}
	delete(u.until, route)
	delete(u.world.Unreached, route)
	u.changed(route)
}

// expire takes out the routes whose rest is over.
func (u *unreachedEndpoints) expire(now int64) {
	for route, until := range u.until {
		if now >= until {
			u.remove(route)
		}
	}
}

func (u *unreachedEndpoints) changed(route *tables.Endpoint) {
	u.world.UnreachedChanges++
	u.world.MarkDirty(route.Service)
}
