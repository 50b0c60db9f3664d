package systems

import (
	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/placement"
	"github.com/rushramp/rushramp/pkg/tables"
	"github.com/rushramp/rushramp/pkg/utils"
)

// maxRedirects is how many addresses a redirect or refusal names at most.
const maxRedirects = 3

// viewPublisher gives the hot path a new view of each service that changed.
type viewPublisher struct {
	*Env
	// members are the changes of the table of members that were published.
	members uint64
}

// Tick implements System.
func (p *viewPublisher) Tick(_ int64, _ *tables.Mail) {
	p.World.View.SetMemberCount(p.World.Members.Len())
	if changes := p.World.Members.ChangeCount(); changes != p.members {
		p.members = changes
		p.World.View.SetVMsByService(p.World.Members.VMsByService())
	}
	p.becomeReady()
	if len(p.World.DirtyServices) == 0 {
		return
	}
	current := p.World.View.Placement()
	for service := range p.World.DirtyServices {
		_, wanted := p.World.RequestedServices[service]
		if !wanted || current == nil {
			continue
		}
		p.World.View.SetService(service, p.serviceView(current, service))
	}
	clear(p.World.DirtyServices)
}

func (p *viewPublisher) becomeReady() {
	if p.World.View.Ready() || p.World.Placement == nil || p.World.Members.Len() == 0 {
		return
	}
	p.World.View.SetReady()
	p.Log.Event(events.DaemonReady, events.F("placement", p.World.PlacementVersion()), events.F("members", p.World.Members.Len()))
}

func (p *viewPublisher) serviceView(current *placement.Compiled, name string) *tables.ServiceView {
	service := current.Service(name)
	if service == nil {
		return nil
	}
	kinds := make([]*tables.KindView, 0, len(service.Kinds))
	for _, kind := range service.Kinds {
		kinds = append(kinds, p.kindView(kind))
	}
	return tables.NewServiceView(service, kinds)
}

func (p *viewPublisher) kindView(kind *placement.CompiledKind) *tables.KindView {
	out := &tables.KindView{Kind: kind}
	for _, route := range p.subset(kind) {
		if route.Runner() == nil {
			out.UnlinkedEndpoints = append(out.UnlinkedEndpoints, route)
			continue
		}
		out.LinkedCandidates = append(out.LinkedCandidates, tables.Candidate{Endpoint: route, Load: route.Load})
	}
	if !kind.Allows(p.World.DataCentre) {
		out.RedirectAddresses = p.redirects(kind)
	}
	return out
}

// redirects returns daemons in allowed data centres where callers from outside
// may enter, a few of them, in an order of this daemon's own.
func (p *viewPublisher) redirects(kind *placement.CompiledKind) []string {
	type weighed struct {
		address string
		weight  uint64
	}
	var best []weighed
	evacuated := p.World.View.Evacuation()
	p.World.Members.EachRow(func(row int) {
		route := p.World.Members.Endpoint[row]
		if p.World.Members.Leaving(row) || !kind.Allows(route.DataCentre) || evacuated.Has(route.DataCentre) || route.CallerAddress == "" {
			return
		}
		best = append(best, weighed{route.CallerAddress, utils.Rendezvous(p.World.VM, route.VM)})
		for i := len(best) - 1; i > 0 && best[i].weight > best[i-1].weight; i-- {
			best[i], best[i-1] = best[i-1], best[i]
		}
		best = best[:min(len(best), maxRedirects)]
	})
	out := make([]string, 0, len(best))
	for _, b := range best {
		out = append(out, b.address)
	}
	return out
}
