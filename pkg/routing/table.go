package routing

import (
	"math/bits"
	"math/rand/v2"
	"sort"
	"strings"
	"sync/atomic"
)

// Table is a set of routes prepared for fast lookups. It is immutable except for the
// request counters of its routes.
type Table struct {
	// byHost holds the routes of each host, longest prefix first.
	byHost   map[string][]*CompiledRoute
	services map[string]Service
	limits   Limits
	routes   int
}

// CompiledRoute is one route of a Table.
type CompiledRoute struct {
	Route
	totalWeight uint64
	// requests counts the route's requests from a random start; NextService derives the
	// part from it.
	requests atomic.Uint64
}

// Compile builds a table of routes and services.
func Compile(routes []Route, services []Service, limits Limits) *Table {
	out := &Table{
		byHost:   make(map[string][]*CompiledRoute, len(routes)),
		services: make(map[string]Service, len(services)),
		limits:   limits,
		routes:   len(routes),
	}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		out.byHost[host] = append(out.byHost[host], compileRoute(r))
	}
	for _, hostRoutes := range out.byHost {
		sort.SliceStable(hostRoutes, func(i, j int) bool { return len(hostRoutes[i].Prefix) > len(hostRoutes[j].Prefix) })
	}
	for _, s := range services {
		out.services[s.Name] = s
	}
	return out
}

func compileRoute(r Route) *CompiledRoute {
	out := &CompiledRoute{Route: r}
	if len(r.Regions) > 0 && len(r.DataCentres) == 0 {
		// Entries check only DataCentres, and an empty list would allow all.
		out.DataCentres = []string{NoDataCentre}
	}
	out.Attempts = max(r.Attempts, 1)
	for _, p := range r.Parts {
		out.totalWeight += uint64(p.Weight)
	}
	// Each daemon starts at a random point of the sequence, so that many daemons with
	// few requests each still keep to the weights together.
	out.requests.Store(rand.Uint64())
	return out
}

// Len returns the number of routes.
func (t *Table) Len() int { return t.routes }

// Limits returns the bounds on what callers may send.
func (t *Table) Limits() Limits { return t.limits }

// Service returns the settings of a service; ok is false if there are none.
func (t *Table) Service(name string) (s Service, ok bool) {
	s, ok = t.services[name]
	return s, ok
}

// Match returns the route of the host with the longest prefix of the path, or nil.
// host may include a port.
func (t *Table) Match(host, path string) *CompiledRoute {
	for _, r := range t.byHost[hostName(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// hostName returns a Host header without its port, in lower case.
func hostName(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return strings.ToLower(host)
}

// weylIncrement is 2^64 divided by the golden ratio. Its multiples modulo 2^64 are evenly
// distributed for any number of terms (a Weyl sequence), so that a few requests already
// match the weights. Independent random choices would need many.
const weylIncrement = 0x9e3779b97f4a7c15

// NextService returns the service for the next request, chosen by weight.
func (c *CompiledRoute) NextService() string {
	if len(c.Parts) == 1 || c.totalWeight == 0 {
		return c.Parts[0].Service
	}
	// The high half of the product is the fraction of the weights that the sequence has reached.
	point, _ := bits.Mul64(c.requests.Add(1)*weylIncrement, c.totalWeight)
	for _, p := range c.Parts {
		if point < uint64(p.Weight) {
			return p.Service
		}
		point -= uint64(p.Weight)
	}
	return c.Parts[len(c.Parts)-1].Service
}
