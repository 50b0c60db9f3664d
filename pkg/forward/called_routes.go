package forward

import (
	"sync"

	"github.com/rushramp/rushramp/pkg/wire"
)

// mostCalledRoutes bounds the routes that are remembered.
const mostCalledRoutes = 4096

// calledRoutes holds the routes that services call in the middle of a run, as
// executors tell: an entry sees requests of its own VM only, and cannot tell.
type calledRoutes struct {
	mu     sync.Mutex
	byName map[string]struct{}
}

func newCalledRoutes() *calledRoutes { return &calledRoutes{byName: map[string]struct{}{}} }

// note takes the word of an executor over.
func (c *calledRoutes) note(route string, origin wire.Origin) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case origin == wire.OriginCallers:
		delete(c.byName, route)
	case origin == wire.OriginService && len(c.byName) < mostCalledRoutes:
		c.byName[route] = struct{}{}
	}
}

// has is true when services call the route.
func (c *calledRoutes) has(route string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, found := c.byName[route]
	return found
}
