package systems

import (
	"cmp"
	"slices"

	"github.com/rushramp/rushramp/pkg/tables"
	"github.com/rushramp/rushramp/pkg/utils"
)

// rankedEndpoint is an endpoint with its rendezvous hash weight.
type rankedEndpoint struct {
	endpoint *tables.Endpoint
	weight   uint64
}

// highestByRendezvous returns up to limit endpoints: those with the highest rendezvous
// hash weights for a name, highest first. The order depends only on the name and the VMs'
// names.
func highestByRendezvous(name string, endpoints []*tables.Endpoint, limit int) []*tables.Endpoint {
	ranked := make([]rankedEndpoint, len(endpoints))
	for i, endpoint := range endpoints {
		ranked[i] = rankedEndpoint{endpoint, utils.RendezvousWeight(name, endpoint.VM)}
	}
	slices.SortFunc(ranked, func(a, b rankedEndpoint) int { return cmp.Compare(b.weight, a.weight) })
	out := make([]*tables.Endpoint, 0, min(limit, len(ranked)))
	for _, r := range ranked[:min(limit, len(ranked))] {
		out = append(out, r.endpoint)
	}
	return out
}
