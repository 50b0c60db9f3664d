package operators

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/rushramp/rushramp/pkg/events"
	api "github.com/rushramp/rushramp/pkg/operatorsapi"
	"github.com/rushramp/rushramp/pkg/rollout"
	"github.com/rushramp/rushramp/pkg/store"
	"github.com/rushramp/rushramp/pkg/tables"
	"github.com/rushramp/rushramp/pkg/wire"
)

// StartRollout implements api.OperatorsServer.
func (se *Server) StartRollout(ctx context.Context, in *api.StartRolloutRequest) (*api.RolloutsResponse, error) {
	request := rollout.OrderRequest{
		ID: in.GetChangeId(), Service: in.GetService(), Version: in.GetVersion(),
		Duration: time.Duration(in.GetDurationMs()) * time.Millisecond,
	}
	if request.Version == "" {
		return nil, status.Error(codes.InvalidArgument, "a roll-out needs the version to move to; name one")
	}
	author, err := se.checkRolloutRight(ctx, in.GetAuthor(), request)
	if err != nil {
		return nil, err
	}
	if err := se.checkServers(ctx, request.Service); err != nil {
		return nil, err
	}
	return se.changeOrders(ctx, author, request)
}

// CancelRollout implements api.OperatorsServer.
func (se *Server) CancelRollout(ctx context.Context, in *api.CancelRolloutRequest) (*api.RolloutsResponse, error) {
	request := rollout.OrderRequest{ID: in.GetChangeId(), Service: in.GetService()}
	author, err := se.checkRolloutRight(ctx, in.GetAuthor(), request)
	if err != nil {
		return nil, err
	}
	return se.changeOrders(ctx, author, request)
}

// GetRollouts implements api.OperatorsServer.
func (se *Server) GetRollouts(ctx context.Context, in *api.GetRolloutsRequest) (*api.RolloutsResponse, error) {
	out := &api.RolloutsResponse{}
	answered := se.World.Inbox.RunQuery(ctx.Done(), func(w *tables.World) {
		out.Revision = w.Rollouts.Snapshot().Orders.Revision
		for _, r := range se.rollouts(w) {
			if in.GetService() == "" || r.Service == in.GetService() {
				out.Rollouts = append(out.Rollouts, r)
			}
		}
	})
	if !answered {
		return nil, status.Error(codes.DeadlineExceeded, "the daemon did not answer in time")
	}
	return out, nil
}

// checkRolloutRight validates an operator's request and checks the right to change the
// service.
func (se *Server) checkRolloutRight(ctx context.Context, claimed string, request rollout.OrderRequest) (author string, err error) {
	if se.Orders == nil {
		return "", status.Error(codes.Unimplemented, "operators of this platform order roll-outs in its store; see docs/operators/rollout.md")
	}
	if author, err = se.author(ctx, claimed); err != nil {
		return "", err
	}
	if err := request.Check(); err != nil {
		return "", status.Error(codes.InvalidArgument, err.Error())
	}
	if len(se.Settings.Operators) > 0 && !se.hasRight(author, request.Service) {
		return "", status.Errorf(codes.PermissionDenied, "%s may not roll out versions of %s; ask an operator who may, or add the right under operators in the settings", author, request.Service)
	}
	return author, nil
}

// checkServers refuses an order if no backend server of the service is known, or none that
// reports its version: the roll-out could never begin.
func (se *Server) checkServers(ctx context.Context, service string) error {
	var members, versioned int
	services := map[string]bool{}
	answered := se.World.Inbox.RunQuery(ctx.Done(), func(w *tables.World) {
		w.Members.EachRow(func(row int) {
			m := &w.Members.Record[row]
			services[m.Service] = true
			if m.Service == service {
				members++
				versioned += boolToInt(m.Version != "")
			}
		})
	})
	delete(services, "")
	switch {
	case !answered:
		return status.Error(codes.DeadlineExceeded, "the daemon did not answer in time; nothing was ordered")
	case members == 0:
		return status.Errorf(codes.NotFound, "no VM runs service %q; those that this daemon knows run: %s. Correct the name, or start the service's backend servers first.", service, strings.Join(slices.Sorted(maps.Keys(services)), ", "))
	case versioned == 0:
		return status.Errorf(codes.NotFound, "no backend server of service %q reports its version, so there is nothing to roll out. Set backend_server.version in the settings of their daemons.", service)
	}
	return nil
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// changeOrders writes an operator's order or cancellation to the store and puts it in force
// at this daemon.
func (se *Server) changeOrders(ctx context.Context, author string, request rollout.OrderRequest) (*api.RolloutsResponse, error) {
	orders, err := se.Orders.Apply(ctx, request)
	if err != nil {
		return nil, orderStatus(request, err)
	}
	se.World.Inbox.Post(true, func(m *tables.Mail) { m.KeepNewestOrders(orders) })
	se.Log.Event(events.RolloutOrderWritten, events.F("service", request.Service), events.F("version", request.Version), events.F("duration", request.Duration),
		events.F("author", author), events.F("change", request.ID), events.F("revision", orders.Revision))
	out, err := se.GetRollouts(ctx, &api.GetRolloutsRequest{Service: request.Service})
	if err != nil {
		// The order is stored and comes into force with the daemon's next tick.
		return &api.RolloutsResponse{Revision: orders.Revision}, nil
	}
	return out, nil
}

// orderStatus turns an error of OrderStore.Apply into a gRPC status that says what to do.
func orderStatus(request rollout.OrderRequest, err error) error {
	var unknown *store.UnknownOutcomeError
	switch {
	case errors.Is(err, rollout.ErrNoOrder):
		return status.Errorf(codes.NotFound, "no roll-out of service %q is ordered, so there is nothing to cancel. `rushramp rollout status` lists those that are.", request.Service)
	case errors.As(err, &unknown):
		return status.Errorf(codes.Unknown, "%v. Send it again with --change-id %s, which is safe.", err, request.ID)
	}
	return status.Errorf(codes.Unavailable, "%v; nothing was ordered", err)
}

// rollouts returns the roll-outs that this daemon knows of, ordered by service.
func (se *Server) rollouts(w *tables.World) []*api.Rollout {
	services := map[string]bool{}
	state := w.Rollouts.Snapshot()
	for _, o := range state.Orders.List {
		services[o.Service] = true
	}
	for i := range state.Plans {
		services[state.Plans[i].Service] = true
	}
	var out []*api.Rollout
	for _, service := range slices.Sorted(maps.Keys(services)) {
		out = append(out, se.rollout(w, service))
	}
	return out
}

// The phases of a roll-out whose newest order is not yet reflected in a plan.
const (
	phaseOrdered   = "ordered"
	phaseCancelled = "cancelled"
)

// rollout returns what this daemon knows of the roll-out of a service, or nil if it knows
// of none.
func (se *Server) rollout(w *tables.World, service string) *api.Rollout {
	order, ordered := w.Rollouts.Order(service)
	plan, planned := w.Rollouts.Plan(service)
	if !ordered && !planned {
		return nil
	}
	out := &api.Rollout{Service: service, Order: max(order.Revision, plan.Order), Plan: plan.Revision, DurationMs: order.Duration.Milliseconds()}
	switch {
	case order.Revision > plan.Order:
		out.Target, out.Phase, out.Cause = order.Version, phaseOrdered, "no plan for this order has been written yet"
		out.Plan = 0
	default:
		se.fillPlan(out, &plan)
		if !ordered && !plan.Phase.Ended() && w.Rollouts.Snapshot().Orders.Revision >= plan.Order {
			out.Phase, out.Cause = phaseCancelled, "the order was taken away; the version gets nothing more"
			out.Canaries, out.PerMille, out.DeadlineKnown, out.DeadlineLeftMs = nil, 0, false, 0
		}
	}
	if stop, stopped := w.Rollouts.Stopped(service); stopped {
		out.Stopped, out.StopCause = true, stop.Cause
		out.Canaries, out.PerMille = nil, 0
	}
	countServers(w, out)
	return out
}

// fillPlan adds the plan of a roll-out to the response.
func (se *Server) fillPlan(out *api.Rollout, plan *rollout.Plan) {
	out.Target, out.Phase, out.Cause, out.Old = plan.Target, plan.Phase.String(), plan.Cause, plan.Old
	if plan.Phase == rollout.Canary {
		out.Canaries, out.PerMille = plan.Canaries, plan.PerMille
	}
	if se.StoreClock != nil && !plan.Phase.Ended() {
		out.DeadlineKnown, out.DeadlineLeftMs = true, (plan.Deadline - se.StoreClock()).Milliseconds()
	}
}

// countServers counts the live backend servers with the target version and with others.
func countServers(w *tables.World, out *api.Rollout) {
	w.Members.EachRowOfService(out.Service, func(row int) {
		m := &w.Members.Record[row]
		switch {
		case m.State != wire.MemberLive || m.Backend != wire.BackendLive:
		case m.Version == out.Target:
			out.TargetServers++
		default:
			out.OtherServers++
		}
	})
}
