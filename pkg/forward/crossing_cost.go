package forward

import (
	"time"

	"github.com/rushramp/rushramp/pkg/choose"
	"github.com/rushramp/rushramp/pkg/proximity"
	"github.com/rushramp/rushramp/pkg/tables"
)

// leaveCost is what crossing to each place costs the request, as a time: of a request
// of mean size routing.leave_cost, of others by their bytes, so that what crosses first
// is what is worth most a byte. Source:
// docs/design/regions.md, "Regions as prices".
func (a *attempts) leaveCost() choose.CrossingCosts {
	routing := &a.owner.Settings.Routing
	dearest := routing.LeaveCost * float64(a.target) * a.owner.sizes.share(a.route.Name, len(a.req.Body))
	share := routing.RegionShare
	if share == 0 {
		share = a.owner.view.RegionShare()
	}
	return choose.CrossingCosts{proximity.Region: time.Duration(share * dearest), proximity.OtherRegion: time.Duration(dearest)}
}

// placeOf is how far a candidate is.
func (a *attempts) placeOf(to *tables.Candidate) proximity.Level {
	return a.owner.Here().To(to.Endpoint.DataCentre, to.Endpoint.Region)
}
