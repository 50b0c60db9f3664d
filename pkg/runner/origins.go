package runner

import (
	"math"
	"slices"
	"sync"

	"github.com/rushramp/rushramp/pkg/wire"
)

const (
	// minServiceRequests is how many requests of a route must have come from one
	// service, and from no other, before the route counts as called by it.
	// Callers from outside use all VMs alike, so that so many of theirs on the
	// VMs of one service are unlikely.
	minServiceRequests = 12
	// maxChanceProbability are the odds that so many requests of callers from outside begin
	// beside the same few services by chance, below which the route counts as called
	// by these. One that does wrongly is known for what it is from the next request
	// on that begins beside another service.
	maxChanceProbability = 0.001
	// maxServicesPerRoute bounds the services that call one route.
	maxServicesPerRoute = 8
	// maxRoutes bounds the routes that are followed.
	maxRoutes = 4096
)

// originTracker tells routes that services call in the middle of a run from those
// that callers from outside use, by where their requests begin. The requests of a
// route may be handled by two services, as while one takes over from the other, so
// that the calls of their runs come from both.
type originTracker struct {
	// vmShare is which share of the VMs stands beside certain services.
	vmShare func(services []string) float64

	mu      sync.Mutex
	routes map[string]*routeOrigin
}

// routeOrigin is what is known of one route.
type routeOrigin struct {
	// services are those beside which its requests began, and count is how many
	// began since the newest of them was first seen.
	services []string
	count    int
	// threshold is how many show that services call it; 0: none do, or their share of the
	// VMs is not known yet.
	threshold int
	// tooManyServices is true once its requests began beside more services than are followed.
	tooManyServices bool
}

func newOriginTracker(shareOf func(services []string) float64) *originTracker {
	return &originTracker{vmShare: shareOf, routes: map[string]*routeOrigin{}}
}

// record takes one request of a route over, which began beside a service, and
// returns what is believed of the route now.
func (o *originTracker) record(route, service string) wire.Origin {
	o.mu.Lock()
	defer o.mu.Unlock()
	found := o.routes[route]
	if found == nil {
		if len(o.routes) >= maxRoutes {
			return wire.OriginUnknown
		}
		found = &routeOrigin{services: []string{service}}
		o.routes[route] = found
	}
	if !slices.Contains(found.services, service) {
		found.addService(service)
	}
	if found.threshold == 0 {
		found.updateThreshold(o.vmShare)
	}
	found.count++
	switch {
	case found.threshold > 0 && found.count > found.threshold:
		return wire.OriginService
	case len(found.services) > 1:
		return wire.OriginCallers
	}
	return wire.OriginUnknown
}

// addService takes over that requests begin beside another service, too.
func (o *routeOrigin) addService(service string) {
	o.count, o.threshold = 0, 0
	if len(o.services) >= maxServicesPerRoute {
		o.tooManyServices = true
		return
	}
	o.services = append(o.services, service)
}

// updateThreshold works out how many requests are enough. The VMs beside the services may not be
// known yet, so that it is asked again until they are.
func (o *routeOrigin) updateThreshold(shareOf func([]string) float64) {
	if o.tooManyServices {
		return
	}
	share := shareOf(o.services)
	if len(o.services) == 1 && share >= 1 {
		o.threshold = minServiceRequests
		return
	}
	o.threshold = thresholdFor(share)
}

// thresholdFor is how many requests in a row begin beside a share of the VMs by chance
// with the odds that are left to it; 0: any number may.
func thresholdFor(share float64) int {
	if share <= 0 || share >= 1 {
		return 0
	}
	return max(minServiceRequests, int(math.Ceil(math.Log(maxChanceProbability)/math.Log(share))))
}
