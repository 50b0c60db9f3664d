package forward

import (
	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/errkind"
	"github.com/rushramp/rushramp/pkg/routing"
	"github.com/rushramp/rushramp/pkg/tables"
)

// rules say in which data centres a request may be handled, by one version.
type rules struct {
	version uint64
	allowed []string
}

// renewRules takes the rules of the newest version that this entry knows, so that
// a request that began under an older one is not sent where it may not go now. A
// route that the newest version does not have any more keeps its last rules.
func (a *attempts) renewRules() {
	newest := a.owner.view.Placement()
	if newest == nil || newest.Version <= a.rules.version {
		return
	}
	if route := newest.Routes.Match(a.req.Host, a.req.Path); route != nil {
		a.rules = rules{newest.Version, route.DataCentres}
	}
}

// mayTake is true when the rules allow a candidate's data centre.
func (a *attempts) mayTake(to *tables.Candidate) bool {
	dataCentre := to.Endpoint.DataCentre
	return !a.owner.view.Evacuation().Has(dataCentre) && routing.AllowsDataCentre(a.rules.allowed, dataCentre)
}

// nobody is the refusal of a request for which no candidate is known at all.
func (a *attempts) nobody() call.Result {
	if len(a.rules.allowed) == 0 {
		return call.Refused(errkind.NoBackendServer, "no backend server of service %s is known", a.service)
	}
	return call.Refused(errkind.NoBackendServer, "no backend server of service %s is known in %q, where version %d lets route %s be handled",
		a.service, a.rules.allowed, a.rules.version, a.route.Name)
}
