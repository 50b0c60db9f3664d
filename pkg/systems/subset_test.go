package systems

import (
	"fmt"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/rushramp/rushramp/pkg/placement"
	"github.com/rushramp/rushramp/pkg/proximity"
	"github.com/rushramp/rushramp/pkg/routing"
	"github.com/rushramp/rushramp/pkg/settings"
	"github.com/rushramp/rushramp/pkg/tables"
	"github.com/rushramp/rushramp/pkg/wire"
)

// newSubsetWorld returns the tables of the daemon "vm" in data centre a, and the kind k of
// service s. each holds the number of backend servers in the data centres a, b, c and so
// on.
func newSubsetWorld(each ...int) (*tables.World, *placement.CompiledKind) {
	w := tables.NewWorld("vm", "a")
	for i, n := range each {
		for k := range n {
			dataCentre := string(rune('a' + i))
			w.Members.Merge(1, nil, wire.Member{VM: fmt.Sprint(dataCentre, k), DataCentre: dataCentre, Service: "s", Slots: 1})
		}
	}
	kind := placement.Compile(&placement.Document{Services: []placement.Service{{
		Name: "s", Kinds: []placement.Kind{{Name: "k", Path: "/*", DataCentres: []string{"a", "b", "c"}}},
	}}}).Service("s").Kinds[0]
	return w, kind
}

// countByLocation counts the endpoints in data centre a and in all others.
func countByLocation(endpoints []*tables.Endpoint) (near, far int) {
	for _, endpoint := range endpoints {
		if endpoint.DataCentre == "a" {
			near++
		} else {
			far++
		}
	}
	return near, far
}

func TestSubsetOfALargeServicePrefersTheOwnDataCentre(t *testing.T) {
	choosing := settings.Default().Choosing
	for _, tc := range []struct {
		name      string
		each      []int
		near, far int
	}{
		{"all of a small service", []int{4, 6, 6}, 4, 12},
		{"all of the own data centre, and a few others", []int{29, 58, 57}, 29, choosing.Far},
		{"no more than the setting near of the own data centre", []int{100, 58, 57}, choosing.Near, choosing.Far},
		{"more others if the own data centre has few", []int{2, 20, 20}, 2, choosing.Subset/2 - 2},
		{"only others if the own data centre has none", []int{0, 20, 20}, 0, choosing.Subset / 2},
	} {
		w, kind := newSubsetWorld(tc.each...)
		near, far := countByLocation(Subset(w, choosing, kind))
		test.Eq(t, tc.near, near, test.Sprint(tc.name))
		test.Eq(t, tc.far, far, test.Sprint(tc.name))
	}
}

// TestSubsetPrefersTheOwnRegion: the data centres a and b are in one region, c is in
// another.
func TestSubsetPrefersTheOwnRegion(t *testing.T) {
	choosing := settings.Default().Choosing
	for _, tc := range []struct {
		name                string
		each                []int
		near, region, other int
	}{
		{"all of a small service", []int{4, 6, 6}, 4, 6, 6},
		{"few of the region, fewer of others", []int{29, 58, 57}, 29, choosing.Far, maxOtherRegionEndpoints},
		{"more of the region if the own data centre has few", []int{2, 20, 20}, 2, choosing.Subset/2 - 2, maxOtherRegionEndpoints},
		{"the region has none", []int{0, 0, 40}, 0, 0, choosing.Subset / 2},
		{"the region has few", []int{1, 2, 40}, 1, 2, choosing.Subset/2 - 3},
	} {
		w, kind := newSubsetWorld(tc.each...)
		w.Region = "r"
		w.Members.EachRow(func(row int) {
			if endpoint := w.Members.Endpoint[row]; endpoint.DataCentre != "c" {
				endpoint.Region = "r"
			}
		})
		var counts [proximity.Count]int
		for _, endpoint := range Subset(w, choosing, kind) {
			counts[w.Here().LevelTo(endpoint.DataCentre, endpoint.Region)]++
		}
		test.Eq(t, [proximity.Count]int{proximity.SameDataCentre: tc.near, proximity.Region: tc.region, proximity.OtherRegion: tc.other}, counts, test.Sprint(tc.name))
	}
}

// TestSubsetHasEnoughOfEachRoutesDataCentres, also if a route excludes the own data
// centre.
func TestSubsetHasEnoughOfEachRoutesDataCentres(t *testing.T) {
	choosing := settings.Default().Choosing
	for _, tc := range []struct {
		name  string
		each  []int
		lists [][]string
		// held is the least number of endpoints in data centre c, most the largest size of
		// the subset.
		held, most int
	}{
		{"no list", []int{29, 58, 57}, nil, 0, 29 + choosing.Far},
		{"the own data centre only", []int{29, 58, 57}, [][]string{{"a"}}, 0, 29 + choosing.Far},
		{"another data centre", []int{29, 58, 57}, [][]string{{"c"}}, choosing.Subset, 29 + choosing.Far + choosing.Subset},
		{"a data centre with few", []int{29, 58, 5}, [][]string{{"c"}}, 5, 29 + choosing.Far + 5},
		{"no data centre", []int{29, 58, 57}, [][]string{{routing.NoDataCentre}}, 0, 29 + choosing.Far},
		{"several lists share the free places", []int{100, 58, 57}, [][]string{{"b"}, {"b", "c"}, {"c"}, {"a", "c"}}, 7, maxSubset},
		{"all of a small service", []int{4, 6, 6}, [][]string{{"c"}}, 6, 16},
	} {
		w, _ := newSubsetWorld(tc.each...)
		doc := &placement.Document{}
		for i, list := range tc.lists {
			doc.Routes = append(doc.Routes, routing.Route{Host: "h", Prefix: fmt.Sprint("/", i, "/"), DataCentres: list, Parts: []routing.Part{{Service: "s"}}})
		}
		doc.Routes = append(doc.Routes, routing.Route{Host: "h", Prefix: "/free/", Parts: []routing.Part{{Service: "s"}}})
		subset := Subset(w, choosing, placement.Compile(doc).Service("s").Kinds[0])
		held, seen := 0, map[string]struct{}{}
		for _, endpoint := range subset {
			seen[endpoint.VM] = struct{}{}
			if endpoint.DataCentre == "c" {
				held++
			}
		}
		test.GreaterEq(t, tc.held, held, test.Sprint(tc.name))
		test.LessEq(t, tc.most, len(subset), test.Sprint(tc.name))
		test.MapLen(t, len(subset), seen, test.Sprint("each endpoint once: ", tc.name))
	}
}

// TestNearBackendsAreInAllSubsets: by hashing alone, the busiest of 29 backend servers was
// in 1.3 times as many subsets as the average one.
func TestNearBackendsAreInAllSubsets(t *testing.T) {
	counts := map[string]int{}
	const entries = 59
	for e := range entries {
		w, kind := newSubsetWorld(29, 58, 57)
		w.VM = fmt.Sprint("entry", e)
		for _, endpoint := range Subset(w, settings.Default().Choosing, kind) {
			if endpoint.DataCentre == "a" {
				counts[endpoint.VM]++
			}
		}
	}
	must.MapLen(t, 29, counts)
	for _, n := range counts {
		test.Eq(t, entries, n)
	}
}

// TestUnreachedMemberIsReplaced: a VM that has lost its power stays in the table of
// members, since nothing reports that it is gone.
func TestUnreachedMemberIsReplaced(t *testing.T) {
	env := testEnv()
	w, kind := newSubsetWorld(2, 20, 20)
	env.World = w
	before := env.subset(kind)
	var dead *tables.Endpoint
	for _, endpoint := range before {
		if endpoint.DataCentre != "a" {
			dead = endpoint
		}
	}
	u := newUnreachedEndpoints(w)
	u.add(dead, 100)
	after := env.subset(kind)
	must.Len(t, len(before), after)
	test.False(t, contains(after, dead))
	u.expire(99)
	test.False(t, contains(env.subset(kind), dead))
	u.expire(100)
	test.Eq(t, names(before), names(env.subset(kind)), test.Sprint("it returns after its time among the unreached"))
}

// TestSubsetIsCached until a member of its service changes.
func TestSubsetIsCached(t *testing.T) {
	env := testEnv()
	w, kind := newSubsetWorld(29, 58, 57)
	env.World = w
	first := env.subset(kind)
	w.Members.Merge(2, nil, wire.Member{VM: "x", DataCentre: "a", Service: "other"})
	test.True(t, &first[0] == &env.subset(kind)[0])
	w.Members.Merge(2, nil, wire.Member{VM: "y", DataCentre: "a", Service: "s"})
	test.Len(t, len(first)+1, env.subset(kind))
}

func BenchmarkSubset(b *testing.B) {
	for _, members := range []int{300, 3_000, 21_000} {
		env := testEnv()
		w, kind := newSubsetWorld(members/5, 2*members/5, 2*members/5)
		env.World = w
		b.Run(fmt.Sprint("unchanged/", members), func(b *testing.B) {
			for b.Loop() {
				env.subset(kind)
			}
		})
		b.Run(fmt.Sprint("changed/", members), func(b *testing.B) {
			for b.Loop() {
				Subset(w, env.Settings.Choosing, kind)
			}
		})
	}
}

// TestSubsetHasRoomForRoutesWithAnyNear: a high value of the setting near could leave no
// room for endpoints in the data centre that a route requires.
func TestSubsetHasRoomForRoutesWithAnyNear(t *testing.T) {
	for _, near := range []int{32, 60, 62, 64, 100, 1000} {
		choosing := settings.Default().Choosing
		choosing.Near = near
		w, kind := newSubsetWorld(100, 100, 100)
		kind.RouteDataCentres = [][]string{{"c"}}
		subset := Subset(w, choosing, kind)
		test.GreaterEq(t, 8, countAllowed(subset, kind.RouteDataCentres[0]), test.Sprintf("near %d", near))
		test.LessEq(t, maxSubset, len(subset))
	}
}

// TestEachOfManyListsHasAnEndpoint: each list allows one other data centre.
func TestEachOfManyListsHasAnEndpoint(t *testing.T) {
	for _, lists := range []int{25, 30, 38} {
		each := []int{32}
		doc := &placement.Document{}
		for i := range lists {
			each = append(each, 1)
			dataCentre := string(rune('a' + i + 1))
			doc.Routes = append(doc.Routes, routing.Route{Host: "h", Prefix: fmt.Sprintf("/%d/", i), Parts: []routing.Part{{Service: "s", Weight: 1}}, DataCentres: []string{dataCentre}})
		}
		w, _ := newSubsetWorld(each...)
		kind := placement.Compile(doc).Service("s").Kinds[0]
		must.Len(t, lists, kind.RouteDataCentres)
		subset := Subset(w, settings.Default().Choosing, kind)
		for _, list := range kind.RouteDataCentres {
			test.Positive(t, countAllowed(subset, list), test.Sprint(lists, " lists: ", list))
		}
	}
}

// countAllowed counts the endpoints of a subset that a list of data centres allows.
func countAllowed(subset []*tables.Endpoint, list []string) int {
	allowed := 0
	for _, endpoint := range subset {
		if routing.AllowsDataCentre(list, endpoint.DataCentre) {
			allowed++
		}
	}
	return allowed
}
