package runner

import (
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/rushramp/rushramp/pkg/errkind"
	"github.com/rushramp/rushramp/pkg/placement"
	"github.com/rushramp/rushramp/pkg/routing"
)

// setPlacement places the runner in data centre n1 of region north, with a placement
// version in force that restricts a route to regions and data centres.
func setPlacement(r *Runner, version uint64, regions, dataCentres []string) {
	r.Settings.VM.DataCentre, r.Settings.VM.Region = "n1", "north"
	compiled := placement.Compile(&placement.Document{Version: version, Routes: []routing.Route{{
		Name: "route", Host: "h", Prefix: "/bound/", Parts: []routing.Part{{Service: "s", Weight: 1}}, Regions: regions, DataCentres: dataCentres,
	}}})
	r.findRoute = func(host, path string) (*routing.CompiledRoute, uint64) {
		return compiled.Routes.Match(host, path), version
	}
}

func TestExecutorRefusesDisallowedRegions(t *testing.T) {
	north, south := []string{"north"}, []string{"south"}
	for _, s := range []struct {
		name         string
		regions      []string
		dataCentres  []string
		uri          string
		entryVersion uint64
		runs         bool
	}{
		{"the own region", north, []string{"n1"}, "/bound/x?y=/", 5, true},
		{"another region", south, []string{"s1"}, "/bound/x?y=/", 5, false},
		{"a target in absolute form", south, []string{"s1"}, "http://h/bound/x?y=/", 5, false},
		{"a target in absolute form of another route", south, []string{"s1"}, "http://h/free/bound/x", 5, true},
		{"a path that begins with two slashes", south, []string{"s1"}, "//bound/x", 5, true},
		{"nowhere", []string{"west"}, []string{routing.NoDataCentre}, "/bound/x", 5, false},
		{"data centres that do not match the regions", south, []string{"n1", "s1"}, "/bound/x", 5, false},
		{"data centres without regions", nil, []string{"s1"}, "/bound/x", 5, false},
		{"an entry with an older version", south, []string{"s1"}, "/bound/x", 4, false},
		{"an entry with a newer version", south, []string{"s1"}, "/bound/x", 6, true},
		{"another route", south, []string{"s1"}, "/free/x", 5, true},
	} {
		h := newHoldingServer()
		r, _ := newTestRunner(t, h, 2)
		setPlacement(r, 5, s.regions, s.dataCentres)
		h.proceed <- struct{}{}
		c := routedCall("a")
		c.URI, c.Placement = s.uri, s.entryVersion
		results, _ := execute(r, c)
		got := <-results
		if s.runs {
			test.NotNil(t, got.Answer, test.Sprint(s.name))
			continue
		}
		must.NotNil(t, got.Refusal, must.Sprint(s.name))
		test.Eq(t, errkind.PlacementStale, got.Refusal.Kind)
		test.Eq(t, errkind.RanNo, got.Refusal.Ran)
		test.False(t, got.Offered)
		test.True(t, got.Refusal.RetryElsewhere(), test.Sprint("another executor may run it"))
		test.Eq(t, 0, len(h.arrived), test.Sprint(s.name))
	}
}

func TestPlacementChangeAppliesToWaitingRequests(t *testing.T) {
	h := newHoldingServer()
	r, _ := newTestRunner(t, h, 1)
	setPlacement(r, 5, []string{"north"}, []string{"n1"})
	bound := routedCall("first")
	bound.URI, bound.Placement = "/bound/1", 5
	first, _ := execute(r, bound)
	test.Eq(t, "first", <-h.arrived)
	next := *bound
	next.Routed.ID = "second"
	second, _ := execute(r, &next)
	setPlacement(r, 6, []string{"south"}, []string{"s1"})
	h.proceed <- struct{}{}
	must.NotNil(t, (<-first).Answer, must.Sprint("the run under way ends"))
	got := <-second
	must.NotNil(t, got.Refusal)
	test.Eq(t, errkind.PlacementStale, got.Refusal.Kind)
	test.False(t, got.Offered)
	test.Eq(t, 0, len(h.arrived))
}
