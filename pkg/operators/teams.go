package operators

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	api "github.com/rushramp/rushramp/pkg/operatorsapi"
	"github.com/rushramp/rushramp/pkg/quota"
)

// GetTeams implements the call of the schema.
func (se *Server) GetTeams(context.Context, *api.GetTeamsRequest) (*api.TeamsResponse, error) {
	current := se.World.View.Placement()
	if current == nil {
		return nil, status.Error(codes.Unavailable, "this daemon has no placement yet; ask another one, or come back later")
	}
	out := &api.TeamsResponse{Version: current.Version, ProofAgeMs: -1}
	if at := se.World.View.PlacementProvenAt(); at > 0 {
		out.ProofAgeMs = time.Duration(se.Now() - at).Milliseconds()
	}
	for _, team := range current.Teams.All() {
		out.Teams = append(out.Teams, &api.Team{
			Name: team.Name, Priority: uint32(team.Priority), Keys: uint32(len(team.Keys)),
			Rate: team.Limit.Rate, Burst: team.Limit.Burst,
		})
	}
	if se.Quota != nil {
		se.fillCounts(out)
	}
	return out, nil
}

// fillCounts adds what this daemon knows of the teams' requests.
func (se *Server) fillCounts(out *api.TeamsResponse) {
	stats := se.Quota.Stats()
	out.Granted, out.Refused, out.Unsure = stats.Granted, stats.Refused, stats.Unsure
	counted := map[string]quota.Usage{}
	for _, use := range se.Quota.Usages(se.Now()) {
		counted[use.Team] = use
	}
	counters := se.Quota.CounterProcesses()
	for _, team := range out.Teams {
		team.Counter = counters[quota.GroupOf(team.Name)]
		team.Part, team.Tokens = counted[team.Name].Share, counted[team.Name].Tokens
	}
}
