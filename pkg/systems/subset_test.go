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

// subsetWorld is what the daemon "vm" in the data centre a knows of a
// service with so many backend servers in each of the data centres a, b, c.
func subsetWorld(each ...int) (*tables.World, *placement.CompiledKind) {
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

func countNear(routes []*tables.Endpoint) (near, far int) {
	for _, route := range routes {
		if route.DataCentre == "a" {
			near++
		} else {
			far++
		}
	}
	return near, far
}

func TestALargeServicesSubsetPrefersTheOwnDataCentre(t *testing.T) {
	choosing := settings.Default().Choosing
	for _, tc := range []struct {
		name      string
		each      []int
		near, far int
	}{
		{"a small service is used whole", []int{4, 6, 6}, 4, 12},
		{"all of the own data centre, and a few others", []int{29, 58, 57}, 29, choosing.Far},
		{"no more than a bound of the own one", []int{100, 58, 57}, choosing.Near, choosing.Far},
		{"more others where the own one has few", []int{2, 20, 20}, 2, choosing.Subset/2 - 2},
		{"others alone where the own one has none", []int{0, 20, 20}, 0, choosing.Subset / 2},
	} {
		w, kind := subsetWorld(tc.each...)
		near, far := countNear(Subset(w, choosing, kind))
		test.Eq(t, tc.near, near, test.Sprint(tc.name))
		test.Eq(t, tc.far, far, test.Sprint(tc.name))
	}
}

// TestASubsetPrefersTheOwnRegion: the data centres a and b are of one region, c is of
// another.
func TestASubsetPrefersTheOwnRegion(t *testing.T) {
	choosing := settings.Default().Choosing
	for _, tc := range []struct {
		name                string
		each                []int
		near, region, other int
	}{
		{"a small service is used whole", []int{4, 6, 6}, 4, 6, 6},
		{"few of the region, fewer of others", []int{29, 58, 57}, 29, choosing.Far, otherRegions},
		{"more of the region where the own data centre has few", []int{2, 20, 20}, 2, choosing.Subset/2 - 2, otherRegions},
		{"the region has none left", []int{0, 0, 40}, 0, 0, choosing.Subset / 2},
		{"the region has few", []int{1, 2, 40}, 1, 2, choosing.Subset/2 - 3},
	} {
		w, kind := subsetWorld(tc.each...)
		w.Region = "r"
		w.Members.EachRow(func(row int) {
			if route := w.Members.Endpoint[row]; route.DataCentre != "c" {
				route.Region = "r"
			}
		})
		var counts [proximity.Count]int
		for _, route := range Subset(w, choosing, kind) {
			counts[w.Here().To(route.DataCentre, route.Region)]++
		}
		test.Eq(t, [proximity.Count]int{proximity.SameDataCentre: tc.near, proximity.Region: tc.region, proximity.OtherRegion: tc.other}, counts, test.Sprint(tc.name))
	}
}

// TestASubsetHoldsEnoughOfTheAllowedDataCentres of a large service, also where
// the own one is not among them.
func TestASubsetHoldsEnoughOfTheAllowedDataCentres(t *testing.T) {
	choosing := settings.Default().Choosing
	for _, tc := range []struct {
		name  string
		each  []int
		lists [][]string
		// held is how many of the data centre c are known at least, most all.
		held, most int
	}{
		{"no list", []int{29, 58, 57}, nil, 0, 29 + choosing.Far},
		{"the own one alone needs no more", []int{29, 58, 57}, [][]string{{"a"}}, 0, 29 + choosing.Far},
		{"another one", []int{29, 58, 57}, [][]string{{"c"}}, choosing.Subset, 29 + choosing.Far + choosing.Subset},
		{"one with few", []int{29, 58, 5}, [][]string{{"c"}}, 5, 29 + choosing.Far + 5},
		{"nowhere", []int{29, 58, 57}, [][]string{{routing.NoDataCentre}}, 0, 29 + choosing.Far},
		{"many lists share the room", []int{100, 58, 57}, [][]string{{"b"}, {"b", "c"}, {"c"}, {"a", "c"}}, 7, subsetMost},
		{"a small service is known whole", []int{4, 6, 6}, [][]string{{"c"}}, 6, 16},
	} {
		w, _ := subsetWorld(tc.each...)
		doc := &placement.Document{}
		for i, list := range tc.lists {
			doc.Routes = append(doc.Routes, routing.Route{Host: "h", Prefix: fmt.Sprint("/", i, "/"), DataCentres: list, Parts: []routing.Part{{Service: "s"}}})
		}
		doc.Routes = append(doc.Routes, routing.Route{Host: "h", Prefix: "/free/", Parts: []routing.Part{{Service: "s"}}})
		subset := Subset(w, choosing, placement.Compile(doc).Service("s").Kinds[0])
		held, seen := 0, map[string]struct{}{}
		for _, route := range subset {
			seen[route.VM] = struct{}{}
			if route.DataCentre == "c" {
				held++
			}
		}
		test.GreaterEq(t, tc.held, held, test.Sprint(tc.name))
		test.LessEq(t, tc.most, len(subset), test.Sprint(tc.name))
		test.MapLen(t, len(subset), seen, test.Sprint("each once: ", tc.name))
	}
}

// TestEachServerOfADataCentreHasTheSameEntries: by hashing alone the busiest of
// 29 backend servers stood in 1.3 times as many subsets as the mean.
func TestEachServerOfADataCentreHasTheSameEntries(t *testing.T) {
	counts := map[string]int{}
	const entries = 59
	for e := range entries {
		w, kind := subsetWorld(29, 58, 57)
		w.VM = fmt.Sprint("entry", e)
		for _, route := range Subset(w, settings.Default().Choosing, kind) {
			if route.DataCentre == "a" {
				counts[route.VM]++
			}
		}
	}
	must.MapLen(t, 29, counts)
	for _, n := range counts {
		test.Eq(t, entries, n)
	}
}

// TestAMemberThatCannotBeReachedIsReplaced: a VM without power stays in the
// table of members, where nothing says that it is gone.
func TestAMemberThatCannotBeReachedIsReplaced(t *testing.T) {
	env := testEnv()
	w, kind := subsetWorld(2, 20, 20)
	env.World = w
	before := env.subset(kind)
	var dead *tables.Endpoint
	for _, route := range before {
		if route.DataCentre != "a" {
			dead = route
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
	test.Eq(t, names(before), names(env.subset(kind)), test.Sprint("it is dialled again after its rest"))
}

// TestASubsetIsWorkedOutAgainOnlyAfterAChange of its own service's members.
func TestASubsetIsWorkedOutAgainOnlyAfterAChange(t *testing.T) {
	env := testEnv()
	w, kind := subsetWorld(29, 58, 57)
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
		w, kind := subsetWorld(members/5, 2*members/5, 2*members/5)
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

// TestAllowedOnesAreKnownWhateverNearIs: operators may raise it so far that no room
// would be left for the data centre that a route is bound to.
func TestAllowedOnesAreKnownWhateverNearIs(t *testing.T) {
	for _, near := range []int{32, 60, 62, 64, 100, 1000} {
		choosing := settings.Default().Choosing
		choosing.Near = near
		w, kind := subsetWorld(100, 100, 100)
		kind.RouteDataCentres = [][]string{{"c"}}
		subset := Subset(w, choosing, kind)
		test.GreaterEq(t, 8, allowedIn(subset, kind.RouteDataCentres[0]), test.Sprintf("near %d", near))
		test.LessEq(t, subsetMost, len(subset))
	}
}

// TestEachOfManyListsHasSomebody, while there is room: each list allows one data centre
// besides the own one.
func TestEachOfManyListsHasSomebody(t *testing.T) {
	for _, lists := range []int{25, 30, 38} {
		each := []int{32}
		doc := &placement.Document{}
		for i := range lists {
			each = append(each, 1)
			dataCentre := string(rune('a' + i + 1))
			doc.Routes = append(doc.Routes, routing.Route{Host: "h", Prefix: fmt.Sprintf("/%d/", i), Parts: []routing.Part{{Service: "s", Weight: 1}}, DataCentres: []string{dataCentre}})
		}
		w, _ := subsetWorld(each...)
		kind := placement.Compile(doc).Service("s").Kinds[0]
		must.Len(t, lists, kind.RouteDataCentres)
		subset := Subset(w, settings.Default().Choosing, kind)
		for _, list := range kind.RouteDataCentres {
			test.Positive(t, allowedIn(subset, list), test.Sprint(lists, " lists: ", list))
		}
	}
}

// allowedIn counts the backend servers of a subset that a list of data centres allows.
func allowedIn(subset []*tables.Endpoint, list []string) int {
	allowed := 0
	for _, route := range subset {
		if routing.AllowsDataCentre(list, route.DataCentre) {
			allowed++
		}
	}
	return allowed
}
