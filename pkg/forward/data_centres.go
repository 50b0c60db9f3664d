package forward

import (
	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/errkind"
	"github.com/rushramp/rushramp/pkg/routing"
	"github.com/rushramp/rushramp/pkg/tables"
)

// dataCentreRule holds the data centres in which a request may be handled, according to
// one version of the placement. An empty list allows all of them.
type dataCentreRule struct {
	version uint64
	allowed []string
}

// updateRule takes the rule of the newest placement that this entry knows, so that a
// request that began under an older one is not sent where it is no longer allowed. Where
// the newest placement has no route for the request, the request keeps its last rule.
func (a *attempts) updateRule() {
	newest := a.forwarder.view.Placement()
	if newest == nil || newest.Version <= a.rule.version {
		return
	}
	if route := newest.Routes.Match(a.req.Host, a.req.Path); route != nil {
		a.rule = dataCentreRule{newest.Version, route.DataCentres}
	}
}

// isAllowed reports whether the request may be sent to a candidate's data centre: the
// rule allows it, and it is not evacuated.
func (a *attempts) isAllowed(candidate *tables.Candidate) bool {
	dataCentre := candidate.Endpoint.DataCentre
	return !a.forwarder.view.Evacuation().Has(dataCentre) && routing.AllowsDataCentre(a.rule.allowed, dataCentre)
}

// noCandidate returns the refusal of a request for which no candidate is known.
func (a *attempts) noCandidate() call.Result {
	if len(a.rule.allowed) == 0 {
		return call.Refused(errkind.NoBackendServer, "no backend server of service %s is known", a.service)
	}
	return call.Refused(errkind.NoBackendServer, "no backend server of service %s is known in the data centres %q, which placement version %d allows for route %s",
		a.service, a.rule.allowed, a.rule.version, a.route.Name)
}
