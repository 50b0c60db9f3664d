package operators

import (
	"context"
	"sort"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/rushramp/rushramp/pkg/choose"
	"github.com/rushramp/rushramp/pkg/link"
	api "github.com/rushramp/rushramp/pkg/operatorsapi"
	"github.com/rushramp/rushramp/pkg/placement"
	"github.com/rushramp/rushramp/pkg/rollout"
	"github.com/rushramp/rushramp/pkg/systems"
	"github.com/rushramp/rushramp/pkg/tables"
	"github.com/rushramp/rushramp/pkg/wire"
)

// Status implements api.OperatorsServer.
func (se *Server) Status(ctx context.Context, _ *api.StatusRequest) (*api.StatusResponse, error) {
	out := &api.StatusResponse{
		Vm: se.Settings.VM.ID, DataCentre: se.Settings.VM.DataCentre, Service: se.Settings.BackendServer.Service,
		Ready: se.World.View.Ready(), Leaving: se.World.View.Leaving(), Unsure: se.World.View.PlacementUnsure(),
		StoreAgeMs: -1,
	}
	budget := se.Measure.Usage()
	out.MeasureBytesAgreed = budget.MaxBytesPerSecond
	out.MeasureBytesPerS = float64(budget.Bytes) / (float64(se.Now()) / float64(time.Second))
	if se.Executor != nil {
		stamp := se.Executor.Stamp()
		out.Running, out.Queued, out.Limit = stamp.Running, stamp.Queued, stamp.Limit
		out.Slots = uint32(se.Executor.Gate().Slots())
	}
	answered := se.World.Inbox.RunQuery(ctx.Done(), func(w *tables.World) { se.fillStatus(w, out) })
	if !answered {
		return nil, status.Error(codes.DeadlineExceeded, "the daemon did not answer in time")
	}
	return out, nil
}

// fillStatus adds what the tables hold to the response.
func (se *Server) fillStatus(w *tables.World, out *api.StatusResponse) {
	out.Placement = w.PlacementVersion()
	evacuated := w.View.Evacuation()
	out.Evacuated, out.EvacuationRevision = evacuated.DataCentres, evacuated.Revision
	out.Rollouts = se.rollouts(w)
	if age, ok := w.StoreReadAge(se.Now()); ok {
		out.StoreAgeMs = age.Milliseconds()
	}
	versions := map[string]uint64{w.VM: w.PlacementVersion()}
	w.Peers.EachRow(func(peer *link.Peer, row *tables.PeerRow) {
		versions[peer.Hello.VM] = max(versions[peer.Hello.VM], row.PlacementVersion)
	})
	w.Members.EachRow(func(row int) {
		vm := &w.Members.Record[row]
		_, linked := versions[vm.VM]
		out.Members = append(out.Members, &api.Member{
			Vm: vm.VM, DataCentre: vm.DataCentre, Service: vm.Service,
			Leaving: w.Members.Leaving(row), Linked: linked, Placement: versions[vm.VM],
		})
	})
	sort.Slice(out.Members, func(i, j int) bool { return out.Members[i].Vm < out.Members[j].Vm })
}

// costEstimator is a choose.Policy that can estimate the time of a call at a candidate.
type costEstimator interface {
	Cost(req *choose.Request, i int) time.Duration
}

// Explain implements api.OperatorsServer.
func (se *Server) Explain(ctx context.Context, in *api.ExplainRequest) (*api.ExplainResponse, error) {
	current := se.World.View.Placement()
	if current == nil {
		return nil, status.Error(codes.Unavailable, "this daemon has no placement yet")
	}
	service := current.Service(in.GetService())
	if service == nil {
		return &api.ExplainResponse{Verdict: "unknown_service: the placement does not name this service, so calls are refused as not run"}, nil
	}
	kind := service.Match(in.GetMethod(), in.GetPath())
	if kind == nil {
		return &api.ExplainResponse{Verdict: "unknown_request_kind: no kind of the service matches this method and path, so calls are refused as not run"}, nil
	}
	out := &api.ExplainResponse{Kind: kind.Name, DataCentres: kind.DataCentres}
	if !se.World.Inbox.RunQuery(ctx.Done(), func(w *tables.World) { se.fillExplain(w, kind, out) }) {
		return nil, status.Error(codes.DeadlineExceeded, "the daemon did not answer in time")
	}
	return out, nil
}

// fillExplain adds the members that run the kind's service to the response, each with the
// reason why it is a candidate or not.
func (se *Server) fillExplain(w *tables.World, kind *placement.CompiledKind, out *api.ExplainResponse) {
	inSubset := map[string]bool{}
	req := &choose.Request{Now: se.Now()}
	for _, route := range systems.Subset(w, se.Settings.Choosing, kind) {
		inSubset[route.VM] = true
		if route.Runner() != nil {
			req.CandidateSet = append(req.CandidateSet, tables.Candidate{Endpoint: route, Load: route.Load})
		}
	}
	estimates := se.estimateCosts(req)
	out.Rollout = se.rollout(w, kind.Service)
	w.Members.EachRowOfService(kind.Service, func(row int) {
		vm := &w.Members.Record[row]
		c := &api.Candidate{Vm: vm.VM, DataCentre: vm.DataCentre, ExpectedUs: -1, Version: vm.Version}
		c.Reason = candidateReason(w, row, kind, inSubset[vm.VM])
		c.Eligible = c.Reason == reasonEligible || c.Reason == reasonCanary
		load := w.Members.Endpoint[row].Load.Snapshot(req.Now)
		c.InFlight, c.Outstanding, c.ServiceTimeUs = load.InFlight, load.Outstanding, load.ServiceTime.Microseconds()
		if cost, ok := estimates[vm.VM]; ok {
			c.ExpectedUs = cost
		}
		out.Candidates = append(out.Candidates, c)
	})
	sort.Slice(out.Candidates, func(i, j int) bool { return out.Candidates[i].Vm < out.Candidates[j].Vm })
	out.Verdict = verdict(out.Candidates, kind)
}

// estimateCosts returns the expected time of a call at each candidate in microseconds, by
// VM. It is empty if the policy estimates none.
func (se *Server) estimateCosts(req *choose.Request) map[string]int64 {
	out := map[string]int64{}
	policy, ok := se.Policy.(costEstimator)
	if !ok {
		return out
	}
	for i, c := range req.CandidateSet {
		out[c.Endpoint.VM] = policy.Cost(req, i).Microseconds()
	}
	return out
}

// The reasons that candidateReason returns for members that may get a call.
const (
	reasonEligible = "a candidate"
	reasonCanary   = "a candidate for the few calls that try its version"
)

// candidateReason returns why a member may get calls of a kind, or why it may not.
func candidateReason(w *tables.World, row int, kind *placement.CompiledKind, inSubset bool) string {
	traffic, version := w.View.RolloutTraffic(kind.Service), w.Members.Record[row].Version
	runsOld := traffic.Permits(rollout.LaneOld, version, w.Members.Record[row].VM)
	runsTarget := !runsOld && traffic.Permits(rollout.LaneTarget, version, w.Members.Record[row].VM)
	switch {
	case w.View.Evacuation().Has(w.Members.Record[row].DataCentre):
		return "its data centre is evacuated"
	case !kind.Allows(w.Members.Record[row].DataCentre):
		return "the placement does not allow its data centre"
	case w.Members.Leaving(row):
		return "it is leaving"
	case w.Members.Record[row].Backend != wire.BackendLive:
		return "its backend server accepts no requests now"
	case !runsOld && !runsTarget:
		return "a roll-out lets its version " + version + " run nothing"
	case !inSubset:
		return "it is outside the subset of this entry (choosing.subset)"
	case w.Members.Endpoint[row].Runner() == nil:
		return "there is no link to it yet"
	case runsTarget:
		return reasonCanary
	}
	return reasonEligible
}

// verdict says what happens to calls of a kind that has these candidates.
func verdict(candidates []*api.Candidate, kind *placement.CompiledKind) string {
	count := 0
	for _, c := range candidates {
		if c.Eligible {
			count++
		}
	}
	switch {
	case count > 0 && kind.NeverRepeat:
		return "calls go to the candidate with the least expected time, and run at most once per Idempotency-Key"
	case count > 0:
		return "calls go to the candidate with the least expected time"
	}
	return "no_backend_server: no member is a candidate now, so calls are refused as not run"
}
