package systems

import (
	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/placement"
	"github.com/rushramp/rushramp/pkg/tables"
	"github.com/rushramp/rushramp/pkg/utils"
)

// maxRedirects is how many addresses a redirect or refusal names at most.
const maxRedirects = 3

// publish gives the hot path a new view of each service that changed.
type publish struct{ *Env }

// Tick implements System.
func (self *publish) Tick(_ int64, _ *tables.Mail) {
	self.World.View.SetMembers(self.World.Members.Len())
	self.becomeReady()
	if len(self.World.Dirty) == 0 {
		return
	}
	current := self.World.View.Placement()
	for service := range self.World.Dirty {
		_, wanted := self.World.Wanted[service]
		if !wanted || current == nil {
			continue
		}
		self.World.View.SetService(service, self.serviceView(current, service))
	}
	clear(self.World.Dirty)
}

func (self *publish) becomeReady() {
	if self.World.View.Ready() || self.World.Placement == nil || self.World.Members.Len() == 0 {
		return
	}
	self.World.View.SetReady()
	self.Log.Event(events.DaemonReady, events.F("placement", self.World.Version()), events.F("members", self.World.Members.Len()))
}

func (self *publish) serviceView(current *placement.Compiled, name string) *tables.ServiceView {
	service := current.Service(name)
	if service == nil {
		return nil
	}
	kinds := make([]*tables.KindView, 0, len(service.Kinds))
	for _, kind := range service.Kinds {
		kinds = append(kinds, self.kindView(kind))
	}
	return tables.NewServiceView(service, kinds)
}

func (self *publish) kindView(kind *placement.CompiledKind) *tables.KindView {
	out := &tables.KindView{Kind: kind}
	for _, route := range Subset(self.World, self.Settings.Choosing.Subset, kind) {
		if route.Runner() == nil {
			out.Unlinked = append(out.Unlinked, route)
			continue
		}
		out.Ready = append(out.Ready, tables.Candidate{Route: route, Load: route.Load})
	}
	if !kind.Allows(self.World.DataCentre) {
		out.Redirect = self.redirects(kind)
	}
	return out
}

// redirects returns daemons in allowed data centres where callers from outside
// may enter, a few of them, in an order of this daemon's own.
func (self *publish) redirects(kind *placement.CompiledKind) []string {
	type weighed struct {
		address string
		weight  uint64
	}
	var best []weighed
	self.World.Members.Rows(func(row int) {
		route := self.World.Members.Route[row]
		if self.World.Members.Leaving(row) || !kind.Allows(route.DataCentre) || route.Callers == "" {
			return
		}
		best = append(best, weighed{route.Callers, utils.Rendezvous(self.World.VM, route.VM)})
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
