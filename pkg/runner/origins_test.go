package runner

import (
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test"

	"github.com/rushramp/rushramp/pkg/wire"
)

// fleetShares is the vmShare function of a fleet with three services.
func fleetShares(services []string) float64 {
	shares := map[string]float64{"desk": 0.52, "returns": 0.34, "field": 0.14}
	share := 0.0
	for _, name := range services {
		share += shares[name]
	}
	return share
}

// TestRouteCalledByTwoServices: a placement version split requests between two services,
// whose runs call the same route. These calls were then taken for external requests,
// which have lower priority and are refused if they would end after their target.
func TestRouteCalledByTwoServices(t *testing.T) {
	o := newOriginTracker(fleetShares)
	for range minServiceRequests {
		o.record("check", "returns")
	}
	test.Eq(t, wire.OriginService, o.record("check", "returns"))
	test.Eq(t, wire.OriginCallers, o.record("check", "desk"), test.Sprint("too few requests to tell"))
	var got wire.Origin
	for i := range 60 {
		got = o.record("check", []string{"returns", "desk"}[i%2])
	}
	test.Eq(t, wire.OriginService, got)
	test.Eq(t, wire.OriginCallers, o.record("check", "field"))
	for range 1000 {
		got = o.record("check", "returns")
	}
	test.Eq(t, wire.OriginCallers, got, test.Sprint("requests have begun on VMs of all services"))
}

// TestExternalRequestsAreNotTakenForServiceCalls: they begin on VMs of all services, in
// proportion to their number.
func TestExternalRequestsAreNotTakenForServiceCalls(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	wrong := 0
	for range 1000 {
		o := newOriginTracker(fleetShares)
		last := wire.OriginUnknown
		for range 200 {
			service := "field"
			switch at := random.Float64(); {
			case at < 0.52:
				service = "desk"
			case at < 0.86:
				service = "returns"
			}
			last = o.record("load", service)
			if last == wire.OriginService {
				wrong++
			}
		}
		test.Eq(t, wire.OriginCallers, last)
	}
	test.Less(t, 200, wrong, test.Sprint("of 200,000 requests"))
}

func TestTrackedServicesPerRouteAreLimited(t *testing.T) {
	o := newOriginTracker(func([]string) float64 { return 0.5 })
	for i := range 3 * maxServicesPerRoute {
		o.record("check", string(rune('a'+i)))
	}
	for range 100 {
		test.Eq(t, wire.OriginCallers, o.record("check", "a"))
	}
	test.SliceLen(t, maxServicesPerRoute, o.routes["check"].services)
}

// TestExternalCallersOfFleetWithUnequalServices: a route of external callers is rarely
// taken for one that services call, even if the services differ much in size.
func TestExternalCallersOfFleetWithUnequalServices(t *testing.T) {
	vms := map[string]float64{"a": 15, "b": 5, "c": 1}
	random := rand.New(rand.NewPCG(1, 2))
	wrong, runs := 0, 0
	for range 300 {
		o := newOriginTracker(func(services []string) float64 {
			sum := 0.0
			for _, s := range services {
				sum += vms[s]
			}
			return sum / 21
		})
		for range 60 {
			service := "a"
			if at := random.IntN(21_000); at < 1000 {
				service = "c"
			} else if at < 6000 {
				service = "b"
			}
			runs++
			if o.record("r", service) == wire.OriginService {
				wrong++
			}
		}
	}
	test.Less(t, runs/100, wrong, test.Sprint("of ", runs))
}

// TestUnknownVMShareClassifiesNoRoute until the share becomes known.
func TestUnknownVMShareClassifiesNoRoute(t *testing.T) {
	share := 0.0
	o := newOriginTracker(func([]string) float64 { return share })
	for range 3 * minServiceRequests {
		test.Eq(t, wire.OriginUnknown, o.record("r", "a"))
	}
	share = 0.1
	test.Eq(t, wire.OriginService, o.record("r", "a"))
}
