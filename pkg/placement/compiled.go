package placement

import (
	"slices"
	"sort"
	"strings"

	"github.com/rushramp/rushramp/pkg/routing"
	"github.com/rushramp/rushramp/pkg/teams"
)

// Compiled is a version made ready for the hot path. It never changes.
type Compiled struct {
	Version uint64
	// Document is what was compiled.
	Document *Document
	// Routes are the routes by host and path; empty where a version has none.
	Routes *routing.Table
	// Teams finds the team of a request's key.
	Teams    *teams.Directory
	services map[string]*CompiledService
}

// CompiledService is one service, its kinds with the most specific first.
type CompiledService struct {
	Name  string
	Kinds []*CompiledKind
}

// CompiledKind is one kind with its set of data centres.
type CompiledKind struct {
	Kind
	// Service is the name of the service, Version that of the placement.
	Service string
	Version uint64
	prefix  string
	isWhole bool
	allowed map[string]struct{}
	// anywhere is set for services that only routes name; a kind whose list of
	// data centres is empty is allowed nowhere.
	anywhere bool
	// RouteDataCentres are the lists of data centres that routes of the service name, each
	// once: entries must know enough backend servers of each.
	RouteDataCentres [][]string
}

// Compile makes a version ready for the hot path.
func Compile(doc *Document) *Compiled {
	out := &Compiled{Version: doc.Version, Document: doc, services: make(map[string]*CompiledService, len(doc.Services))}
	for _, s := range doc.Services {
		out.services[s.Name] = compileService(doc.Version, s)
	}
	out.Teams = teams.NewDirectory(doc.Teams)
	out.Routes = routing.Compile(doc.Routes, doc.BackendServices, doc.Limits)
	out.addRouted()
	return out
}

// anyKind is the kind of all requests of a service that only routes name.
const anyKind = "any"

// addRouted adds the services that only routes name: their requests may be
// handled anywhere.
func (c *Compiled) addRouted() {
	for _, name := range c.RoutedServices() {
		if c.services[name] == nil {
			service := compileService(c.Version, Service{Name: name, Kinds: []Kind{{Name: anyKind, Path: "/*"}}})
			service.Kinds[0].anywhere = true
			c.services[name] = service
		}
	}
	c.addLimits()
}

// addLimits notes the distinct lists of data centres of each service's routes.
func (c *Compiled) addLimits() {
	for _, r := range c.Document.Routes {
		if len(r.DataCentres) == 0 {
			continue
		}
		for _, p := range r.Parts {
			for _, kind := range c.services[p.Service].Kinds {
				kind.addLimit(r.DataCentres)
			}
		}
	}
}

func (c *CompiledKind) addLimit(list []string) {
	list = slices.Sorted(slices.Values(list))
	if !slices.ContainsFunc(c.RouteDataCentres, func(known []string) bool { return slices.Equal(known, list) }) {
		c.RouteDataCentres = append(c.RouteDataCentres, list)
	}
}

// RoutedServices lists the services that routes name, each once.
func (c *Compiled) RoutedServices() []string {
	seen := map[string]struct{}{}
	var out []string
	for _, r := range c.Document.Routes {
		for _, p := range r.Parts {
			if _, ok := seen[p.Service]; !ok {
				seen[p.Service] = struct{}{}
				out = append(out, p.Service)
			}
		}
	}
	return out
}

func compileService(version uint64, s Service) *CompiledService {
	out := &CompiledService{Name: s.Name}
	for _, k := range s.Kinds {
		out.Kinds = append(out.Kinds, compileKind(version, s.Name, k))
	}
	sort.SliceStable(out.Kinds, func(i, j int) bool { return moreSpecific(out.Kinds[i], out.Kinds[j]) })
	return out
}

func compileKind(version uint64, service string, k Kind) *CompiledKind {
	prefix, isPrefix := strings.CutSuffix(k.Path, "*")
	out := &CompiledKind{Kind: k, Service: service, Version: version, prefix: prefix, isWhole: !isPrefix, allowed: map[string]struct{}{}}
	for _, dc := range k.DataCentres {
		out.allowed[dc] = struct{}{}
	}
	return out
}

// moreSpecific puts whole paths before prefixes, long ones before short ones,
// and a named method before any method.
func moreSpecific(a, b *CompiledKind) bool {
	if a.isWhole != b.isWhole {
		return a.isWhole
	}
	if len(a.prefix) != len(b.prefix) {
		return len(a.prefix) > len(b.prefix)
	}
	return a.Method != "" && b.Method == ""
}

// Service returns the compiled service, or nil.
func (c *Compiled) Service(name string) *CompiledService { return c.services[name] }

// Services returns how many services are placed.
func (c *Compiled) Services() int { return len(c.services) }

// Match returns the most specific kind for a method and path, or nil.
func (c *CompiledService) Match(method, path string) *CompiledKind {
	for _, k := range c.Kinds {
		if k.matches(method, path) {
			return k
		}
	}
	return nil
}

func (c *CompiledKind) matches(method, path string) bool {
	if c.Method != "" && c.Method != method {
		return false
	}
	if c.isWhole {
		return path == c.prefix
	}
	return strings.HasPrefix(path, c.prefix)
}

// Allows is true when calls of this kind may be handled in the data centre.
func (c *CompiledKind) Allows(dataCentre string) bool {
	if c.anywhere {
		return true
	}
	_, ok := c.allowed[dataCentre]
	return ok
}
