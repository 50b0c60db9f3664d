package rollout

// Bounds on what daemons accept from peers and from the store, so that damaged data
// cannot fill the memory. They are about ten times what the largest known deployments
// need.
const (
	maxServices   = 256
	maxVersions   = 16
	maxCanaries   = 64
	maxRoutes     = 64
	maxNameBytes  = 256
	maxCauseBytes = 1024
)

func isValidName(s string) bool { return s != "" && len(s) <= maxNameBytes }

func areValidNames(list []string, maxCount int) bool {
	if len(list) > maxCount {
		return false
	}
	for _, s := range list {
		if !isValidName(s) {
			return false
		}
	}
	return true
}

func (o *Order) valid() bool {
	return isValidName(o.Service) && isValidName(o.Version) && o.Revision > 0 && o.Duration > 0
}

// valid also requires that the list is sorted by service and holds each service once.
func (o Orders) valid() bool {
	if len(o.List) > maxServices {
		return false
	}
	for i := range o.List {
		if !o.List[i].valid() || i > 0 && o.List[i-1].Service >= o.List[i].Service {
			return false
		}
	}
	return true
}

// valid requires a revision, so a plan that was not written to the store is not valid.
func (p *Plan) valid() bool {
	return isValidName(p.Service) && isValidName(p.Target) && p.Order > 0 && p.Revision > 0 &&
		p.Phase <= RolledBack && p.PerMille <= 1000 && len(p.Cause) <= maxCauseBytes &&
		areValidNames(p.Old, maxVersions) && areValidNames(p.Barred, maxVersions) && areValidNames(p.Canaries, maxCanaries)
}

func (s *Stop) valid() bool {
	return isValidName(s.Service) && s.Order > 0 && len(s.Cause) <= maxCauseBytes
}

func truncateCause(cause string) string { return cause[:min(len(cause), maxCauseBytes)] }
