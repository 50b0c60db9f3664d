package forward

import (
	"time"

	"github.com/rushramp/rushramp/pkg/choose"
	"github.com/rushramp/rushramp/pkg/place"
	"github.com/rushramp/rushramp/pkg/tables"
)

// leastPart is the least that any crossing costs of routing.leave_cost, however few
// bytes it moves and however cheap they are: 0.24 of the target with the usual setting.
// What an entry knows of gates farther away is older, and more entries follow the same
// knowledge there. Where bytes cost next to nothing, requests were served worse the more
// a crossing cost less than that (docs/MEASUREMENTS.md, "on the users' platform").
const leastPart = 0.3

// leaveCost is what crossing to each place costs the request, as a time: of a request
// of mean size routing.leave_cost, of others by their bytes, so that what crosses first
// is what is worth most a byte. Source: docs/design/regions.md, "Regions as prices".
func (a *attempts) leaveCost() choose.Costs {
	routing := &a.owner.Settings.Routing
	dearest := routing.LeaveCost * float64(a.target)
	region := routing.RegionShare
	if region == 0 {
		region = a.owner.view.RegionShare()
	}
	bytes := a.owner.sizes.share(a.route.Name, len(a.req.Body))
	part := func(of float64) time.Duration { return time.Duration(dearest * max(of*bytes, leastPart)) }
	return choose.Costs{place.Region: part(region), place.Other: part(1)}
}

// placeOf is how far a candidate is.
func (a *attempts) placeOf(to *tables.Candidate) place.Place {
	return a.owner.Here().Of(to.Route.DataCentre, to.Route.Region)
}
