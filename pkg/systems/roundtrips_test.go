package systems

import (
	"testing"
	"time"

	"github.com/shoenig/test"

	"github.com/rushramp/rushramp/pkg/proximity"
	"github.com/rushramp/rushramp/pkg/tables"
)

func TestTheRegionShareIsThatOfTheLeastRoundTrips(t *testing.T) {
	const ms = time.Millisecond
	var d leastRoundTrips
	d.note(proximity.Region, 3*ms)
	d.note(proximity.Region, 9*ms)
	_, ok := d.regionShare()
	test.False(t, ok, test.Sprint("no link to another region"))
	d.note(proximity.OtherRegion, 0)
	_, ok = d.regionShare()
	test.False(t, ok, test.Sprint("a link that was not measured yet"))
	d.note(proximity.OtherRegion, 40*ms)
	d.note(proximity.OtherRegion, 24*ms)
	share, ok := d.regionShare()
	test.True(t, ok)
	test.Eq(t, 0.125, share)
	d.note(proximity.OtherRegion, ms)
	share, _ = d.regionShare()
	test.Eq(t, 1, share, test.Sprint("another region is never cheaper"))
}

// TestInOneRegionACrossingCostsAllOfIt, as before there were regions.
func TestInOneRegionACrossingCostsAllOfIt(t *testing.T) {
	view := &tables.View{}
	test.Eq(t, 1, view.RegionShare())
	view.SetRegionShare(0.125)
	test.Eq(t, 0.125, view.RegionShare())
}
