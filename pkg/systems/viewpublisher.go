package systems

import (
	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/placement"
	"github.com/rushramp/rushramp/pkg/tables"
	"github.com/rushramp/rushramp/pkg/utils"
)

// maxRedirects is the maximum number of addresses in a redirect or refusal.
const maxRedirects = 3

// viewPublisher publishes a new view of each service that changed to the request path.
type viewPublisher struct {
	*Env
	// publishedChangeCount is the ChangeCount of the table of members when the VM counts
	// were last published.
	publishedChangeCount uint64
}

// Tick implements System.
func (p *viewPublisher) Tick(_ int64, _ *tables.Mail) {
	p.World.View.SetMemberCount(p.World.Members.Len())
	if changeCount := p.World.Members.ChangeCount(); changeCount != p.publishedChangeCount {
		p.publishedChangeCount = changeCount
		p.World.View.SetVMsByService(p.World.Members.VMsByService())
	}
	p.updateReady()
	if len(p.World.DirtyServices) == 0 {
		return
	}
	current := p.World.View.Placement()
	for service := range p.World.DirtyServices {
		_, requested := p.World.RequestedServices[service]
		if !requested || current == nil {
			continue
		}
		p.World.View.SetService(service, p.serviceView(current, service))
	}
	clear(p.World.DirtyServices)
}

func (p *viewPublisher) updateReady() {
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
	for _, endpoint := range p.subset(kind) {
		if endpoint.Runner() == nil {
			out.UnlinkedEndpoints = append(out.UnlinkedEndpoints, endpoint)
			continue
		}
		out.LinkedCandidates = append(out.LinkedCandidates, tables.Candidate{Endpoint: endpoint, Load: endpoint.Load})
	}
	if !kind.Allows(p.World.DataCentre) {
		out.RedirectAddresses = p.redirectAddresses(kind)
	}
	return out
}

// redirectAddresses returns the caller addresses of a few daemons in data centres that
// the kind allows and that are not evacuated, ordered by rendezvous hash on this daemon's
// name.
func (p *viewPublisher) redirectAddresses(kind *placement.CompiledKind) []string {
	type rankedAddress struct {
		address string
		weight  uint64
	}
	var best []rankedAddress
	evacuated := p.World.View.Evacuation()
	p.World.Members.EachRow(func(row int) {
		endpoint := p.World.Members.Endpoint[row]
		if p.World.Members.Leaving(row) || !kind.Allows(endpoint.DataCentre) || evacuated.Has(endpoint.DataCentre) || endpoint.CallerAddress == "" {
			return
		}
		best = append(best, rankedAddress{endpoint.CallerAddress, utils.RendezvousWeight(p.World.VM, endpoint.VM)})
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
