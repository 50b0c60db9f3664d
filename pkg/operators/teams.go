package operators

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	api "github.com/rushramp/rushramp/pkg/operatorsapi"
	"github.com/rushramp/rushramp/pkg/quota"
)

// GetTeams implements api.OperatorsServer.
func (se *Server) GetTeams(context.Context, *api.GetTeamsRequest) (*api.TeamsResponse, error) {
	current := se.World.View.Placement()
	if current == nil {
		return nil, status.Error(codes.Unavailable, "this daemon has no placement yet; ask another daemon, or try again later")
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
		se.fillUsage(out)
	}
	return out, nil
}

// fillUsage adds the numbers of granted and refused requests and, for each team, the process
// that counts its requests, this daemon's share of its limit, and the tokens held here.
func (se *Server) fillUsage(out *api.TeamsResponse) {
	stats := se.Quota.Stats()
	out.Granted, out.Refused, out.Unsure = stats.Granted, stats.Refused, stats.Unsure
	usages := map[string]quota.Usage{}
	for _, usage := range se.Quota.Usages(se.Now()) {
		usages[usage.Team] = usage
	}
	counters := se.Quota.CounterProcesses()
	for _, team := range out.Teams {
		team.Counter = counters[quota.GroupOf(team.Name)]
		team.Part, team.Tokens = usages[team.Name].Share, usages[team.Name].Tokens
	}
}
