package runner

import (
	"math"
	"slices"
	"sync"

	"github.com/rushramp/rushramp/pkg/wire"
)

const (
	// originsEnough is how many requests of a route must have come from one
	// service, and from no other, before the route counts as called by it.
	// Callers from outside use all VMs alike, so that so many of theirs on the
	// VMs of one service are unlikely.
	originsEnough = 12
	// originsOdds are the odds that so many requests of callers from outside begin
	// beside the same few services by chance, below which the route counts as called
	// by these. One that does wrongly is known for what it is from the next request
	// on that begins beside another service.
	originsOdds = 0.001
	// mostCallers bounds the services that call one route.
	mostCallers = 8
	// mostOrigins bounds the routes that are followed.
	mostOrigins = 4096
)

// origins tells routes that services call in the middle of a run from those
// that callers from outside use, by where their requests begin. The requests of a
// route may be handled by two services, as while one takes over from the other, so
// that the calls of their runs come from both.
type origins struct {
	// shareOf is which share of the VMs stands beside certain services.
	shareOf func(services []string) float64

	mu      sync.Mutex
	byRoute map[string]*origin
}

// origin is what is known of one route.
type origin struct {
	// services are those beside which its requests began, and count is how many
	// began since the newest of them was first seen.
	services []string
	count    int
	// enough is how many show that services call it; 0: none do, or their share of the
	// VMs is not known yet.
	enough int
	// many is true once its requests began beside more services than are followed.
	many bool
}

func newOrigins(shareOf func(services []string) float64) *origins {
	return &origins{shareOf: shareOf, byRoute: map[string]*origin{}}
}

// note takes one request of a route over, which began beside a service, and
// returns what is believed of the route now.
func (o *origins) note(route, service string) wire.Origin {
	o.mu.Lock()
	defer o.mu.Unlock()
	found := o.byRoute[route]
	if found == nil {
		if len(o.byRoute) >= mostOrigins {
			return wire.OriginUnknown
		}
		found = &origin{services: []string{service}}
		o.byRoute[route] = found
	}
	if !slices.Contains(found.services, service) {
		found.add(service)
	}
	if found.enough == 0 {
		found.learn(o.shareOf)
	}
	found.count++
	switch {
	case found.enough > 0 && found.count > found.enough:
		return wire.OriginService
	case len(found.services) > 1:
		return wire.OriginCallers
	}
	return wire.OriginUnknown
}

// add takes over that requests begin beside another service, too.
func (o *origin) add(service string) {
	o.count, o.enough = 0, 0
	if len(o.services) >= mostCallers {
		o.many = true
		return
	}
	o.services = append(o.services, service)
}

// learn works out how many requests are enough. The VMs beside the services may not be
// known yet, so that it is asked again until they are.
func (o *origin) learn(shareOf func([]string) float64) {
	if o.many {
		return
	}
	share := shareOf(o.services)
	if len(o.services) == 1 && share >= 1 {
		o.enough = originsEnough
		return
	}
	o.enough = enoughOf(share)
}

// enoughOf is how many requests in a row begin beside a share of the VMs by chance
// with the odds that are left to it; 0: any number may.
func enoughOf(share float64) int {
	if share <= 0 || share >= 1 {
		return 0
	}
	return max(originsEnough, int(math.Ceil(math.Log(originsOdds)/math.Log(share))))
}
