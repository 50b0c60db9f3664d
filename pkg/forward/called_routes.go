package forward

import (
	"sync"

	"github.com/rushramp/rushramp/pkg/wire"
)

// maxCalledRoutes limits the number of routes in a calledRoutes.
const maxCalledRoutes = 4096

// calledRoutes is the set of routes that services call in the middle of a run. It is
// built from the origins that executors report, because an entry sees only the requests of
// its own VM. It is safe for concurrent use.
type calledRoutes struct {
	mu     sync.Mutex
	byName map[string]struct{}
}

func newCalledRoutes() *calledRoutes { return &calledRoutes{byName: map[string]struct{}{}} }

// record updates the set by the origin that an executor reported for a route.
func (c *calledRoutes) record(route string, origin wire.Origin) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case origin == wire.OriginCallers:
		delete(c.byName, route)
	case origin == wire.OriginService && len(c.byName) < maxCalledRoutes:
		c.byName[route] = struct{}{}
	}
}

// contains reports whether services call the route.
func (c *calledRoutes) contains(route string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, found := c.byName[route]
	return found
}
