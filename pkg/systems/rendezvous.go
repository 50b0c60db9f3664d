package systems

import (
	"cmp"
	"slices"

	"github.com/rushramp/rushramp/pkg/tables"
	"github.com/rushramp/rushramp/pkg/utils"
)

// rankedEndpoint is a route with its weight by rendezvous hash.
type rankedEndpoint struct {
	route  *tables.Endpoint
	weight uint64
}

// highestByRendezvous returns the first routes by rendezvous hash on a name, highestByRendezvous first.
// Each route is hashed once. The order hangs on the names alone.
func highestByRendezvous(name string, routes []*tables.Endpoint, most int) []*tables.Endpoint {
	ranked := make([]rankedEndpoint, len(routes))
	for i, route := range routes {
		ranked[i] = rankedEndpoint{route, utils.Rendezvous(name, route.VM)}
	}
	slices.SortFunc(ranked, func(a, b rankedEndpoint) int { return cmp.Compare(b.weight, a.weight) })
	out := make([]*tables.Endpoint, 0, min(most, len(ranked)))
	for _, r := range ranked[:min(most, len(ranked))] {
		out = append(out, r.route)
	}
	return out
}
