package routing

import (
	"testing"

	"github.com/shoenig/test"
)

var regionOf = map[string]string{"n2": "north", "n1": "north", "s1": "south", "lost": ""}

func TestRegionsBecomeDataCentres(t *testing.T) {
	for _, s := range []struct {
		name    string
		regions []string
		want    []string
	}{
		{"no rule", nil, nil},
		{"an empty list is no rule", []string{}, nil},
		{"all data centres of a region", []string{"north"}, []string{"n1", "n2"}},
		{"two regions", []string{"south", "north"}, []string{"n1", "n2", "s1"}},
		{"one that exists and one that does not", []string{"south", "west"}, []string{"s1"}},
		{"a region without data centres is nowhere", []string{"west"}, []string{Nowhere}},
		{"an unknown region's name is no region", []string{""}, []string{Nowhere}},
	} {
		test.Eq(t, s.want, DataCentresOf(s.regions, regionOf), test.Sprint(s.name))
	}
}

func TestNowhereAllowsNobody(t *testing.T) {
	test.True(t, Allows(nil, "n1"))
	test.True(t, Allows([]string{"n1"}, "n1"))
	test.False(t, Allows([]string{"n1"}, "s1"))
	test.False(t, Allows([]string{Nowhere}, "n1"))
	test.False(t, Allows([]string{Nowhere}, ""), test.Sprint("a data centre that is not known is none"))
}

// TestAnExecutorGoesByItsOwnRegion, whatever map the document was translated with.
func TestAnExecutorGoesByItsOwnRegion(t *testing.T) {
	bound := Route{Regions: []string{"north"}, DataCentres: []string{"n1", "s1"}}
	test.True(t, bound.AllowsHere("n1", "north"))
	test.False(t, bound.AllowsHere("s1", "south"), test.Sprint("a map that puts s1 into the north"))
	test.False(t, bound.AllowsHere("n3", "north"), test.Sprint("a map that lacks n3"))
	test.False(t, bound.AllowsHere("n1", ""), test.Sprint("a daemon that does not know its region"))
	ownPlacement := Route{DataCentres: []string{"n1"}}
	test.True(t, ownPlacement.AllowsHere("n1", ""))
	free := Route{}
	test.True(t, free.AllowsHere("n1", ""))
}
