package proximity

import (
	"testing"

	"github.com/shoenig/test"
)

func TestLevelBetweenLocations(t *testing.T) {
	here := Location{DataCentre: "n-a", Region: "north"}
	test.Eq(t, SameDataCentre, here.LevelTo("n-a", "north"))
	test.Eq(t, SameDataCentre, here.LevelTo("n-a", ""), test.Sprint("the region does not matter in the same data centre"))
	test.Eq(t, Region, here.LevelTo("n-b", "north"))
	test.Eq(t, OtherRegion, here.LevelTo("s-a", "south"))
	test.Eq(t, OtherRegion, here.LevelTo("s-a", ""), test.Sprint("a VM of unknown region"))
	withoutRegion := Location{DataCentre: "a"}
	test.Eq(t, Region, withoutRegion.LevelTo("b", ""), test.Sprint("a deployment without regions counts as one region"))
	test.Eq(t, "region", Region.String())
	test.Eq(t, "count", Level(99).String())
}
