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
	var r leastRoundTrips
	r.record(proximity.Region, 3*ms)
	r.record(proximity.Region, 9*ms)
	_, ok := r.regionShare()
	test.False(t, ok, test.Sprint("no link to another region"))
	r.record(proximity.OtherRegion, 0)
	_, ok = r.regionShare()
	test.False(t, ok, test.Sprint("a link that was not measured yet"))
	r.record(proximity.OtherRegion, 40*ms)
	r.record(proximity.OtherRegion, 24*ms)
	share, ok := r.regionShare()
	test.True(t, ok)
	test.Eq(t, 0.125, share)
	r.record(proximity.OtherRegion, ms)
	share, _ = r.regionShare()
	test.Eq(t, 1, share, test.Sprint("another region is never cheaper"))
}

// TestRegionShareIsOneInADeploymentWithOneRegion: it is 1 until a share is set.
func TestRegionShareIsOneInADeploymentWithOneRegion(t *testing.T) {
	view := &tables.View{}
	test.Eq(t, 1, view.RegionShare())
	view.SetRegionShare(0.125)
	test.Eq(t, 0.125, view.RegionShare())
}
