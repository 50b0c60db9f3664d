package routing

import (
	"math/rand/v2"
	"sort"
	"strings"
	"sync/atomic"
)

// Table is a set of routes made ready for the hot path. It never changes, but
// for the turn counters of its routes.
type Table struct {
	byHost   map[string][]*CompiledRoute
	services map[string]Service
	limits   Limits
	routes   int
}

// CompiledRoute is one route of a Table.
type CompiledRoute struct {
	Route
	total uint64
	// turn counts the requests of this route; it spreads them over the parts.
	turn atomic.Uint64
}

// Compile makes a table of routes and services.
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
	for _, ofHost := range out.byHost {
		sort.SliceStable(ofHost, func(i, j int) bool { return len(ofHost[i].Prefix) > len(ofHost[j].Prefix) })
	}
	for _, s := range services {
		out.services[s.Name] = s
	}
	return out
}

func compileRoute(r Route) *CompiledRoute {
	out := &CompiledRoute{Route: r}
	if len(r.Regions) > 0 && len(r.DataCentres) == 0 {
		// Entries go by data centres: none would be no rule for them.
		out.DataCentres = []string{NoDataCentre}
	}
	out.Attempts = max(r.Attempts, 1)
	for _, p := range r.Parts {
		out.total += uint64(p.Weight)
	}
	// Each daemon starts elsewhere in the sequence, so that many daemons with
	// few requests each still keep the weights in sum.
	out.turn.Store(rand.Uint64())
	return out
}

// Len counts the routes.
func (t *Table) Len() int { return t.routes }

// Limits returns the bounds on what callers may send.
func (t *Table) Limits() Limits { return t.limits }

// Service returns what is said of a service; ok is false when nothing is.
func (t *Table) Service(name string) (s Service, ok bool) {
	s, ok = t.services[name]
	return s, ok
}

// Match returns the route with the longest prefix that begins the path, or nil.
// host may carry a port.
func (t *Table) Match(host, path string) *CompiledRoute {
	for _, r := range t.byHost[hostName(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// hostName is a Host header without its port, in lower case.
func hostName(host string) string {
	if at := strings.LastIndexByte(host, ':'); at >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:at]
	}
	return strings.ToLower(host)
}

// golden is 2^64 divided by the golden ratio. Multiples of it fill the range of
// 64 bits evenly, whatever their number (Weyl's sequence), so that each part
// has its share of few requests already, which independent draws would miss.
const golden = 0x9e3779b97f4a7c15

// NextService picks the service of the next request by weight.
func (c *CompiledRoute) NextService() string {
	if len(c.Parts) == 1 || c.total == 0 {
		return c.Parts[0].Service
	}
	place := (c.turn.Add(1) * golden) >> 32
	at := place * c.total >> 32
	for _, p := range c.Parts {
		if at < uint64(p.Weight) {
			return p.Service
		}
		at -= uint64(p.Weight)
	}
	return c.Parts[len(c.Parts)-1].Service
}
