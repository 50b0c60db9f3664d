package routing

import (
	"testing"

	"github.com/shoenig/test"
)

var testRegions = map[string]string{"n2": "north", "n1": "north", "s1": "south", "lost": ""}

func TestDataCentresInRegions(t *testing.T) {
	for _, s := range []struct {
		name    string
		regions []string
		want    []string
	}{
		{"no regions", nil, nil},
		{"an empty list of regions", []string{}, nil},
		{"all data centres of a region", []string{"north"}, []string{"n1", "n2"}},
		{"two regions", []string{"south", "north"}, []string{"n1", "n2", "s1"}},
		{"an existing and a missing region", []string{"south", "west"}, []string{"s1"}},
		{"a region without data centres", []string{"west"}, []string{NoDataCentre}},
		{"an empty region does not match data centres without one", []string{""}, []string{NoDataCentre}},
	} {
		test.Eq(t, s.want, DataCentresInRegions(s.regions, testRegions), test.Sprint(s.name))
	}
}

func TestNoDataCentreAllowsNone(t *testing.T) {
	test.True(t, AllowsDataCentre(nil, "n1"))
	test.True(t, AllowsDataCentre([]string{"n1"}, "n1"))
	test.False(t, AllowsDataCentre([]string{"n1"}, "s1"))
	test.False(t, AllowsDataCentre([]string{NoDataCentre}, "n1"))
	test.False(t, AllowsDataCentre([]string{NoDataCentre}, ""), test.Sprint("an unknown data centre is not allowed"))
}

// TestAllowsLocationChecksTheDaemonsOwnRegion: DataCentres may have been derived from an
// outdated map.
func TestAllowsLocationChecksTheDaemonsOwnRegion(t *testing.T) {
	withRegions := Route{Regions: []string{"north"}, DataCentres: []string{"n1", "s1"}}
	test.True(t, withRegions.AllowsLocation("n1", "north"))
	test.False(t, withRegions.AllowsLocation("s1", "south"), test.Sprint("DataCentres wrongly contains s1, which is in the south"))
	test.False(t, withRegions.AllowsLocation("n3", "north"), test.Sprint("DataCentres lacks n3, which is in the north"))
	test.False(t, withRegions.AllowsLocation("n1", ""), test.Sprint("the daemon does not know its region"))
	withoutRegions := Route{DataCentres: []string{"n1"}}
	test.True(t, withoutRegions.AllowsLocation("n1", ""))
	unrestricted := Route{}
	test.True(t, unrestricted.AllowsLocation("n1", ""))
}
