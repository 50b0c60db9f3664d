package operators

import (
	"context"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/rushramp/rushramp/pkg/evacuation"
	"github.com/rushramp/rushramp/pkg/events"
	api "github.com/rushramp/rushramp/pkg/operatorsapi"
	"github.com/rushramp/rushramp/pkg/tables"
)

// allServices stands for all services in the rights of an operator.
const allServices = "*"

// Evacuate implements api.OperatorsServer.
func (se *Server) Evacuate(ctx context.Context, in *api.EvacuateRequest) (*api.EvacuateResponse, error) {
	if se.Evacuation == nil {
		return nil, status.Error(codes.Unimplemented, "operators of this platform evacuate a data centre in its store; see docs/operators/evacuation.md")
	}
	author, err := se.author(ctx, in.GetAuthor())
	if err != nil {
		return nil, err
	}
	if err := se.checkEvacuationRight(author, in.GetDataCentre()); err != nil {
		return nil, err
	}
	set, err := se.Evacuation.Change(ctx, evacuation.Change{DataCentre: in.GetDataCentre(), Evacuated: !in.GetBack()})
	if err != nil {
		return nil, status.Errorf(codes.Unavailable, "the platform's store did not answer: %v. The change may have been made; it is safe to send it again.", err)
	}
	se.World.Inbox.Post(true, func(m *tables.Mail) { m.Evacuation = &set })
	// The query runs after the systems have processed the change, so that it is in force
	// here before the operator gets the response. If ctx ends first, it comes into force
	// with the next tick.
	se.World.Inbox.RunQuery(ctx.Done(), func(*tables.World) {})
	se.Log.Event(events.EvacuationOrdered, events.F("data_centre", in.GetDataCentre()), events.F("back", in.GetBack()), events.F("author", author), events.F("revision", set.Revision))
	return &api.EvacuateResponse{Evacuated: set.DataCentres, Revision: set.Revision}, nil
}

// checkEvacuationRight refuses operators without the right to all services: an evacuation
// affects the backend servers of all of them.
func (se *Server) checkEvacuationRight(author, dataCentre string) error {
	if dataCentre == "" {
		return status.Error(codes.InvalidArgument, "an evacuation needs a data centre; name one")
	}
	if len(se.Settings.Operators) > 0 && !se.hasRight(author, allServices) {
		return status.Errorf(codes.PermissionDenied, "%s may not evacuate %s; ask an operator with the right %q, or add it under operators in the settings", author, dataCentre, allServices)
	}
	return nil
}
