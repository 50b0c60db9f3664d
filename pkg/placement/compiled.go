package placement

import (
	"slices"
	"sort"
	"strings"

	"github.com/rushramp/rushramp/pkg/routing"
	"github.com/rushramp/rushramp/pkg/teams"
)

// Compiled is a placement version prepared for fast lookups. It is immutable.
type Compiled struct {
	Version uint64
	// Document is the source document.
	Document *Document
	// Routes finds the route of a host and path; it is empty if the version has none.
	Routes *routing.Table
	// Teams finds the team that holds a key.
	Teams    *teams.Directory
	services map[string]*CompiledService
}

// CompiledService is one service with its kinds, the most specific first.
type CompiledService struct {
	Name  string
	Kinds []*CompiledKind
}

// CompiledKind is a kind of request prepared for matching.
type CompiledKind struct {
	Kind
	// Service is the name of the service, Version the version of the placement.
	Service string
	Version uint64
	// prefix is the path without a final "*"; a path without one must match exactly.
	prefix  string
	isExact bool
	// allowed is the set of DataCentres.
	allowed map[string]struct{}
	// anywhere is true if the service appears only in routes: the kind is then allowed in
	// all data centres. Otherwise a kind with an empty list of data centres is allowed in
	// none.
	anywhere bool
	// RouteDataCentres holds the distinct lists of data centres in the service's routes,
	// each sorted. Entries must know enough backend servers for each list.
	RouteDataCentres [][]string
}

// Compile prepares a placement version for fast lookups.
func Compile(doc *Document) *Compiled {
	out := &Compiled{Version: doc.Version, Document: doc, services: make(map[string]*CompiledService, len(doc.Services))}
	for _, s := range doc.Services {
		out.services[s.Name] = compileService(doc.Version, s)
	}
	out.Teams = teams.NewDirectory(doc.Teams)
	out.Routes = routing.Compile(doc.Routes, doc.BackendServices, doc.Limits)
	out.addRoutedServices()
	return out
}

// anyKind is the name of the only kind of a service that appears only in routes.
const anyKind = "any"

// addRoutedServices adds the services that appear only in routes. Each has one kind, which
// allows all data centres; its routes may restrict them.
func (c *Compiled) addRoutedServices() {
	for _, name := range c.RoutedServices() {
		if c.services[name] == nil {
			service := compileService(c.Version, Service{Name: name, Kinds: []Kind{{Name: anyKind, Path: "/*"}}})
			service.Kinds[0].anywhere = true
			c.services[name] = service
		}
	}
	c.addRouteDataCentres()
}

// addRouteDataCentres collects the distinct data centre lists of each service's routes.
func (c *Compiled) addRouteDataCentres() {
	for _, r := range c.Document.Routes {
		if len(r.DataCentres) == 0 {
			continue
		}
		for _, p := range r.Parts {
			for _, kind := range c.services[p.Service].Kinds {
				kind.addDataCentreList(r.DataCentres)
			}
		}
	}
}

func (c *CompiledKind) addDataCentreList(list []string) {
	list = slices.Sorted(slices.Values(list))
	if !slices.ContainsFunc(c.RouteDataCentres, func(other []string) bool { return slices.Equal(other, list) }) {
		c.RouteDataCentres = append(c.RouteDataCentres, list)
	}
}

// RoutedServices returns the names of the services in routes, each once.
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
	out := &CompiledKind{Kind: k, Service: service, Version: version, prefix: prefix, isExact: !isPrefix, allowed: map[string]struct{}{}}
	for _, dc := range k.DataCentres {
		out.allowed[dc] = struct{}{}
	}
	return out
}

// moreSpecific reports whether a is to be matched before b: exact paths come before prefixes,
// long paths before short ones, and a certain method before any method.
func moreSpecific(a, b *CompiledKind) bool {
	if a.isExact != b.isExact {
		return a.isExact
	}
	if len(a.prefix) != len(b.prefix) {
		return len(a.prefix) > len(b.prefix)
	}
	return a.Method != "" && b.Method == ""
}

// Service returns the compiled service, or nil.
func (c *Compiled) Service(name string) *CompiledService { return c.services[name] }

// ServiceCount returns the number of services.
func (c *Compiled) ServiceCount() int { return len(c.services) }

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
	if c.isExact {
		return path == c.prefix
	}
	return strings.HasPrefix(path, c.prefix)
}

// Allows reports whether calls of this kind may be handled in the data centre.
func (c *CompiledKind) Allows(dataCentre string) bool {
	if c.anywhere {
		return true
	}
	_, ok := c.allowed[dataCentre]
	return ok
}
