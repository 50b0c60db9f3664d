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

// StartRollout implements the call of the schema.
func (se *Server) StartRollout(ctx context.Context, in *api.StartRolloutRequest) (*api.RolloutsResponse, error) {
	asked := rollout.OrderRequest{
		ID: in.GetChangeId(), Service: in.GetService(), Version: in.GetVersion(),
		Duration: time.Duration(in.GetDurationMs()) * time.Millisecond,
	}
	if asked.Version == "" {
		return nil, status.Error(codes.InvalidArgument, "a roll-out needs the version to move to; name one")
	}
	author, err := se.mayRollOut(ctx, in.GetAuthor(), asked)
	if err != nil {
		return nil, err
	}
	if err := se.isRun(ctx, asked.Service); err != nil {
		return nil, err
	}
	return se.changeOrders(ctx, author, asked)
}

// CancelRollout implements the call of the schema.
func (se *Server) CancelRollout(ctx context.Context, in *api.CancelRolloutRequest) (*api.RolloutsResponse, error) {
	asked := rollout.OrderRequest{ID: in.GetChangeId(), Service: in.GetService()}
	author, err := se.mayRollOut(ctx, in.GetAuthor(), asked)
	if err != nil {
		return nil, err
	}
	return se.changeOrders(ctx, author, asked)
}

// GetRollouts implements the call of the schema.
func (se *Server) GetRollouts(ctx context.Context, in *api.GetRolloutsRequest) (*api.RolloutsResponse, error) {
	out := &api.RolloutsResponse{}
	asked := se.World.Inbox.RunQuery(ctx.Done(), func(w *tables.World) {
		out.Revision = w.Rollouts.Snapshot().Orders.Revision
		for _, r := range se.rollouts(w) {
			if in.GetService() == "" || r.Service == in.GetService() {
				out.Rollouts = append(out.Rollouts, r)
			}
		}
	})
	if !asked {
		return nil, status.Error(codes.DeadlineExceeded, "the daemon did not answer in time")
	}
	return out, nil
}

// mayRollOut checks an operator's change, and the right to change the service.
func (se *Server) mayRollOut(ctx context.Context, claimed string, asked rollout.OrderRequest) (author string, err error) {
	if se.Orders == nil {
		return "", status.Error(codes.Unimplemented, "operators of this platform order roll-outs in its store; see docs/operators/rollout.md")
	}
	if author, err = se.author(ctx, claimed); err != nil {
		return "", err
	}
	if err := asked.Check(); err != nil {
		return "", status.Error(codes.InvalidArgument, err.Error())
	}
	if len(se.Settings.Operators) > 0 && !se.hasRight(author, asked.Service) {
		return "", status.Errorf(codes.PermissionDenied, "%s may not roll out versions of %s; ask an operator who may, or add the right under operators in the settings", author, asked.Service)
	}
	return author, nil
}

// isRun refuses a service of which no backend server is known, or none that says its
// version: nobody could carry the order out.
func (se *Server) isRun(ctx context.Context, service string) error {
	var members, versioned int
	services := map[string]bool{}
	asked := se.World.Inbox.RunQuery(ctx.Done(), func(w *tables.World) {
		w.Members.EachRow(func(row int) {
			m := &w.Members.Record[row]
			services[m.Service] = true
			if m.Service == service {
				members++
				versioned += asInt(m.Version != "")
			}
		})
	})
	delete(services, "")
	switch {
	case !asked:
		return status.Error(codes.DeadlineExceeded, "the daemon did not answer in time; nothing was ordered")
	case members == 0:
		return status.Errorf(codes.NotFound, "no VM runs service %q; those that this daemon knows run: %s. Correct the name, or start the service's backend servers first.", service, strings.Join(slices.Sorted(maps.Keys(services)), ", "))
	case versioned == 0:
		return status.Errorf(codes.NotFound, "no backend server of service %q has said its version, so nothing could be moved. Set backend_server.version in the settings of their daemons.", service)
	}
	return nil
}

func asInt(is bool) int {
	if is {
		return 1
	}
	return 0
}

// changeOrders makes the change and puts it in force here.
func (se *Server) changeOrders(ctx context.Context, author string, asked rollout.OrderRequest) (*api.RolloutsResponse, error) {
	orders, err := se.Orders.Apply(ctx, asked)
	if err != nil {
		return nil, explainOrder(asked, err)
	}
	se.World.Inbox.Post(true, func(m *tables.Mail) { m.KeepNewestOrders(orders) })
	se.Log.Event(events.RolloutOrderWritten, events.F("service", asked.Service), events.F("version", asked.Version), events.F("duration", asked.Duration),
		events.F("author", author), events.F("change", asked.ID), events.F("revision", orders.Revision))
	out, err := se.GetRollouts(ctx, &api.GetRolloutsRequest{Service: asked.Service})
	if err != nil {
		// The order stands, and is in force with the daemon's next tick.
		return &api.RolloutsResponse{Revision: orders.Revision}, nil
	}
	return out, nil
}

func explainOrder(asked rollout.OrderRequest, err error) error {
	var unknown *store.UnknownOutcomeError
	switch {
	case errors.Is(err, rollout.ErrNoOrder):
		return status.Errorf(codes.NotFound, "no roll-out of service %q is ordered, so there is nothing to cancel. `rushramp rollout status` lists those that are.", asked.Service)
	case errors.As(err, &unknown):
		return status.Errorf(codes.Unknown, "%v. Send it again with --change-id %s, which harms nothing.", err, asked.ID)
	}
	return status.Errorf(codes.Unavailable, "%v; nothing was ordered", err)
}

// rollouts is what this daemon knows of roll-outs, by the services' names.
func (se *Server) rollouts(w *tables.World) []*api.Rollout {
	services := map[string]bool{}
	news := w.Rollouts.Snapshot()
	for _, o := range news.Orders.List {
		services[o.Service] = true
	}
	for i := range news.Plans {
		services[news.Plans[i].Service] = true
	}
	var out []*api.Rollout
	for _, service := range slices.Sorted(maps.Keys(services)) {
		out = append(out, se.rollout(w, service))
	}
	return out
}

// The phases of a roll-out that no plan tells of.
const (
	phaseOrdered   = "ordered"
	phaseCancelled = "cancelled"
)

// rollout is what this daemon knows of the roll-out of a service; nil: of none.
func (se *Server) rollout(w *tables.World, service string) *api.Rollout {
	order, ordered := w.Rollouts.Order(service)
	plan, planned := w.Rollouts.Plan(service)
	if !ordered && !planned {
		return nil
	}
	out := &api.Rollout{Service: service, Order: max(order.Revision, plan.Order), Plan: plan.Revision, DurationMs: order.Duration.Milliseconds()}
	switch {
	case order.Revision > plan.Order:
		out.Target, out.Phase, out.Cause = order.Version, phaseOrdered, "no plan of this order was written yet"
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

func (se *Server) fillPlan(out *api.Rollout, plan *rollout.Plan) {
	out.Target, out.Phase, out.Cause, out.Old = plan.Target, plan.Phase.String(), plan.Cause, plan.Old
	if plan.Phase == rollout.Canary {
		out.Canaries, out.PerMille = plan.Canaries, plan.PerMille
	}
	if se.StoreClock != nil && !plan.Phase.Ended() {
		out.DeadlineKnown, out.DeadlineLeftMs = true, (plan.Deadline - se.StoreClock()).Milliseconds()
	}
}

// countServers counts the live backend servers of the version and of others.
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
