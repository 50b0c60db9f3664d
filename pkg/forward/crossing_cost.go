package forward

import (
	"time"

	"github.com/rushramp/rushramp/pkg/choose"
	"github.com/rushramp/rushramp/pkg/proximity"
	"github.com/rushramp/rushramp/pkg/tables"
)

// crossingCosts returns what it costs the request, as a time, to leave its data centre:
// for another one of the region, and for another region. To another region, a request of
// mean size costs the share routing.leave_cost of its target, and any other request in
// proportion to its bytes, so that requests with few bytes cross first. relativeSize is the
// number of its bytes as a multiple of the mean. Source: docs/design/regions.md, "Regions as
// prices".
func (a *attempts) crossingCosts(relativeSize float64) choose.CrossingCosts {
	routing := &a.forwarder.Settings.Routing
	otherRegion := routing.LeaveCost * float64(a.target) * relativeSize
	regionShare := routing.RegionShare
	if regionShare == 0 {
		regionShare = a.forwarder.view.RegionShare()
	}
	return choose.CrossingCosts{proximity.Region: time.Duration(regionShare * otherRegion), proximity.OtherRegion: time.Duration(otherRegion)}
}

// proximityOf returns how far a candidate is from this entry.
func (a *attempts) proximityOf(candidate *tables.Candidate) proximity.Level {
	return a.forwarder.Location().LevelTo(candidate.Endpoint.DataCentre, candidate.Endpoint.Region)
}
