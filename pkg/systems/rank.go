package systems

import (
	"cmp"
	"slices"

	"github.com/rushramp/rushramp/pkg/tables"
	"github.com/rushramp/rushramp/pkg/utils"
)

// weighed is a route with its weight by rendezvous hash.
type weighed struct {
	route  *tables.Route
	weight uint64
}

// highest returns the first routes by rendezvous hash on a name, highest first.
// Each route is hashed once. The order hangs on the names alone.
func highest(name string, routes []*tables.Route, most int) []*tables.Route {
	ranked := make([]weighed, len(routes))
	for i, route := range routes {
		ranked[i] = weighed{route, utils.Rendezvous(name, route.VM)}
	}
	slices.SortFunc(ranked, func(a, b weighed) int { return cmp.Compare(b.weight, a.weight) })
	out := make([]*tables.Route, 0, min(most, len(ranked)))
	for _, r := range ranked[:min(most, len(ranked))] {
		out = append(out, r.route)
	}
	return out
}
