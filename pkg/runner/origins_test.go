package runner

import (
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test"

	"github.com/rushramp/rushramp/pkg/wire"
)

// fleetShares are the fleetShares of the VMs beside the services of a fleet.
func fleetShares(services []string) float64 {
	of := map[string]float64{"desk": 0.52, "returns": 0.34, "field": 0.14}
	share := 0.0
	for _, name := range services {
		share += of[name]
	}
	return share
}

// TestARouteThatTwoServicesCall: a version lets two services handle the requests whose
// runs make the calls. They were taken for requests of callers from then on, which go
// behind others and are refused where they would end after their target.
func TestARouteThatTwoServicesCall(t *testing.T) {
	o := newOriginTracker(fleetShares)
	for range minServiceRequests {
		o.record("check", "returns")
	}
	test.Eq(t, wire.OriginService, o.record("check", "returns"))
	test.Eq(t, wire.OriginCallers, o.record("check", "desk"), test.Sprint("not clear yet"))
	var got wire.Origin
	for i := range 60 {
		got = o.record("check", []string{"returns", "desk"}[i%2])
	}
	test.Eq(t, wire.OriginService, got)
	test.Eq(t, wire.OriginCallers, o.record("check", "field"))
	for range 1000 {
		got = o.record("check", "returns")
	}
	test.Eq(t, wire.OriginCallers, got, test.Sprint("all services have made some"))
}

// TestRequestsOfCallersAreNotTakenForCalls: they begin beside all services alike.
func TestRequestsOfCallersAreNotTakenForCalls(t *testing.T) {
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

// TestServicesThatCallARouteAreBounded.
func TestServicesThatCallARouteAreBounded(t *testing.T) {
	o := newOriginTracker(func([]string) float64 { return 0.5 })
	for i := range 3 * maxServicesPerRoute {
		o.record("check", string(rune('a'+i)))
	}
	for range 100 {
		test.Eq(t, wire.OriginCallers, o.record("check", "a"))
	}
	test.SliceLen(t, maxServicesPerRoute, o.routes["check"].services)
}

// TestOutsideCallersOfALargeFleet: its services differ much in size, and a route that
// callers from outside use alike is rarely taken for a called one.
func TestOutsideCallersOfALargeFleet(t *testing.T) {
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

// TestAShareThatIsNotKnownMakesNoRouteCalled, and once it is known, it counts.
func TestAShareThatIsNotKnownMakesNoRouteCalled(t *testing.T) {
	share := 0.0
	o := newOriginTracker(func([]string) float64 { return share })
	for range 3 * minServiceRequests {
		test.Eq(t, wire.OriginUnknown, o.record("r", "a"))
	}
	share = 0.1
	test.Eq(t, wire.OriginService, o.record("r", "a"))
}
