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
		{"a region without data centres is nowhere", []string{"west"}, []string{NoDataCentre}},
		{"an unknown region's name is no region", []string{""}, []string{NoDataCentre}},
	} {
		test.Eq(t, s.want, DataCentresInRegions(s.regions, regionOf), test.Sprint(s.name))
	}
}

func TestNowhereAllowsNobody(t *testing.T) {
	test.True(t, AllowsDataCentre(nil, "n1"))
	test.True(t, AllowsDataCentre([]string{"n1"}, "n1"))
	test.False(t, AllowsDataCentre([]string{"n1"}, "s1"))
	test.False(t, AllowsDataCentre([]string{NoDataCentre}, "n1"))
	test.False(t, AllowsDataCentre([]string{NoDataCentre}, ""), test.Sprint("a data centre that is not known is none"))
}

// TestAnExecutorGoesByItsOwnRegion, whatever map the document was translated with.
func TestAnExecutorGoesByItsOwnRegion(t *testing.T) {
	bound := Route{Regions: []string{"north"}, DataCentres: []string{"n1", "s1"}}
	test.True(t, bound.AllowsLocation("n1", "north"))
	test.False(t, bound.AllowsLocation("s1", "south"), test.Sprint("a map that puts s1 into the north"))
	test.False(t, bound.AllowsLocation("n3", "north"), test.Sprint("a map that lacks n3"))
	test.False(t, bound.AllowsLocation("n1", ""), test.Sprint("a daemon that does not know its region"))
	ownPlacement := Route{DataCentres: []string{"n1"}}
	test.True(t, ownPlacement.AllowsLocation("n1", ""))
	free := Route{}
	test.True(t, free.AllowsLocation("n1", ""))
}
