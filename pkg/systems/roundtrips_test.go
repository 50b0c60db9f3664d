package systems

import (
	"testing"
	"time"

	"github.com/shoenig/test"

	"github.com/rushramp/rushramp/pkg/proximity"
	"github.com/rushramp/rushramp/pkg/tables"
)

func TestRegionShareUsesTheLeastRoundTrips(t *testing.T) {
	const ms = time.Millisecond
	var d leastRoundTrips
	d.record(proximity.Region, 3*ms)
	d.record(proximity.Region, 9*ms)
	_, ok := d.regionShare()
	test.False(t, ok, test.Sprint("no link to another region"))
	d.record(proximity.OtherRegion, 0)
	_, ok = d.regionShare()
	test.False(t, ok, test.Sprint("a link that was not measured yet"))
	d.record(proximity.OtherRegion, 40*ms)
	d.record(proximity.OtherRegion, 24*ms)
	share, ok := d.regionShare()
	test.True(t, ok)
	test.Eq(t, 0.125, share)
	d.record(proximity.OtherRegion, ms)
	share, _ = d.regionShare()
	test.Eq(t, 1, share, test.Sprint("another region is never cheaper"))
}

// TestRegionShareIsOneInADeploymentWithOneRegion: no other region was ever measured.
func TestRegionShareIsOneInADeploymentWithOneRegion(t *testing.T) {
	view := &tables.View{}
	test.Eq(t, 1, view.RegionShare())
	view.SetRegionShare(0.125)
	test.Eq(t, 0.125, view.RegionShare())
}
