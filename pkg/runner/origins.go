package runner

import (
	"math"
	"slices"
	"sync"

	"github.com/rushramp/rushramp/pkg/wire"
)

const (
	// minServiceRequests is the smallest threshold: the number of consecutive requests of a
	// route that must begin on VMs of the same services before the route counts as called by
	// these services. Requests of external callers begin on all VMs alike, so it is
	// unlikely that this many consecutive ones begin on the VMs of a few services.
	minServiceRequests = 12
	// maxChanceProbability is the highest accepted probability that requests of external
	// callers all began on the VMs of a few services by chance, so that the route wrongly
	// counts as called by these services. The next request that begins on a VM of another
	// service corrects the error.
	maxChanceProbability = 0.001
	// maxServicesPerRoute limits the calling services that are tracked per route.
	maxServicesPerRoute = 8
	// maxRoutes limits the routes that are tracked.
	maxRoutes = 4096
)

// originTracker determines which routes are called by services, while they run a request,
// and which by external callers. Requests of external callers begin on all VMs alike,
// calls of services only on the VMs of these services. A route may be called by more than
// one service, for example while one replaces another.
type originTracker struct {
	// vmShare returns the share of the VMs that run the given services, from 0 to 1; 0:
	// unknown.
	vmShare func(services []string) float64

	mu     sync.Mutex
	routes map[string]*routeOrigin
}

// routeOrigin is what is known about the requests of one route.
type routeOrigin struct {
	// services are those on whose VMs requests began. count is the number of requests
	// since the newest of them was added.
	services []string
	count    int
	// threshold is the count above which the route counts as called by services; 0: no
	// count is enough, or the share of the VMs is not known yet.
	threshold int
	// tooManyServices is true once requests began on VMs of more services than are tracked.
	tooManyServices bool
}

func newOriginTracker(vmShare func(services []string) float64) *originTracker {
	return &originTracker{vmShare: vmShare, routes: map[string]*routeOrigin{}}
}

// record counts a request of a route that began on a VM of a service, and returns the
// origin of the route's requests as known now.
func (o *originTracker) record(route, service string) wire.Origin {
	o.mu.Lock()
	defer o.mu.Unlock()
	origin := o.routes[route]
	if origin == nil {
		if len(o.routes) >= maxRoutes {
			return wire.OriginUnknown
		}
		origin = &routeOrigin{services: []string{service}}
		o.routes[route] = origin
	}
	if !slices.Contains(origin.services, service) {
		origin.addService(service)
	}
	if origin.threshold == 0 {
		origin.updateThreshold(o.vmShare)
	}
	origin.count++
	switch {
	case origin.threshold > 0 && origin.count > origin.threshold:
		return wire.OriginService
	case len(origin.services) > 1:
		return wire.OriginCallers
	}
	return wire.OriginUnknown
}

// addService adds a service on whose VMs requests began, and resets count and threshold.
func (o *routeOrigin) addService(service string) {
	o.count, o.threshold = 0, 0
	if len(o.services) >= maxServicesPerRoute {
		o.tooManyServices = true
		return
	}
	o.services = append(o.services, service)
}

// updateThreshold computes the threshold, which stays 0 while the share of the VMs is
// unknown.
func (o *routeOrigin) updateThreshold(vmShare func([]string) float64) {
	if o.tooManyServices {
		return
	}
	share := vmShare(o.services)
	if len(o.services) == 1 && share >= 1 {
		o.threshold = minServiceRequests
		return
	}
	o.threshold = thresholdFor(share)
}

// thresholdFor returns the smallest n, at least minServiceRequests, for which n requests
// of external callers in a row all begin on the given share of the VMs with a probability
// of at most maxChanceProbability; 0: there is no such number.
func thresholdFor(share float64) int {
	if share <= 0 || share >= 1 {
		return 0
	}
	return max(minServiceRequests, int(math.Ceil(math.Log(maxChanceProbability)/math.Log(share))))
}
