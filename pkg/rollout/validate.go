package rollout

// Bounds on what peers and the store say, so that a damaged word fills no memory.
// They are some ten times what the largest known deployments need.
const (
	mostServices = 256
	mostVersions = 16
	mostCanaries = 64
	mostRoutes   = 64
	mostName     = 256
	mostCause    = 1024
)

func isName(s string) bool { return s != "" && len(s) <= mostName }

func areNames(list []string, most int) bool {
	if len(list) > most {
		return false
	}
	for _, s := range list {
		if !isName(s) {
			return false
		}
	}
	return true
}

func (o *Order) valid() bool {
	return isName(o.Service) && isName(o.Version) && o.Revision > 0 && o.Duration > 0
}

// valid is true for a set within bounds whose services are in order, each once.
func (o Orders) valid() bool {
	if len(o.List) > mostServices {
		return false
	}
	for i := range o.List {
		if !o.List[i].valid() || i > 0 && o.List[i-1].Service >= o.List[i].Service {
			return false
		}
	}
	return true
}

// valid is true for a plan within bounds that stands in the store.
func (p *Plan) valid() bool {
	return isName(p.Service) && isName(p.Target) && p.Order > 0 && p.Revision > 0 &&
		p.Phase <= RolledBack && p.PerMille <= 1000 && len(p.Cause) <= mostCause &&
		areNames(p.Old, mostVersions) && areNames(p.Barred, mostVersions) && areNames(p.Canaries, mostCanaries)
}

func (s *Stop) valid() bool {
	return isName(s.Service) && s.Order > 0 && len(s.Cause) <= mostCause
}

// shortened cuts a cause to what peers accept.
func shortened(cause string) string { return cause[:min(len(cause), mostCause)] }
