package place

import (
	"testing"

	"github.com/shoenig/test"
)

func TestPlaces(t *testing.T) {
	here := Here{DataCentre: "n-a", Region: "north"}
	test.Eq(t, Near, here.Of("n-a", "north"))
	test.Eq(t, Near, here.Of("n-a", ""), test.Sprint("the data centre says it all"))
	test.Eq(t, Region, here.Of("n-b", "north"))
	test.Eq(t, Other, here.Of("s-a", "south"))
	test.Eq(t, Other, here.Of("s-a", ""), test.Sprint("a daemon that does not say its region"))
	without := Here{DataCentre: "a"}
	test.Eq(t, Region, without.Of("b", ""), test.Sprint("a deployment without regions is one"))
	test.Eq(t, "region", Region.String())
	test.Eq(t, "count", Place(99).String())
}
