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

// allServices is the right to change the placement of any service.
const allServices = "*"

// Evacuate implements the call of the schema.
func (se *Server) Evacuate(ctx context.Context, in *api.EvacuateRequest) (*api.EvacuateResponse, error) {
	if se.Evacuation == nil {
		return nil, status.Error(codes.Unimplemented, "operators of this platform evacuate a data centre in its store; see docs/operators/evacuation.md")
	}
	author, err := se.author(ctx, in.GetAuthor())
	if err != nil {
		return nil, err
	}
	if err := se.mayEvacuate(author, in.GetDataCentre()); err != nil {
		return nil, err
	}
	set, err := se.Evacuation.Change(ctx, evacuation.Change{DataCentre: in.GetDataCentre(), Evacuated: !in.GetBack()})
	if err != nil {
		return nil, status.Errorf(codes.Unavailable, "the platform's store did not answer: %v. The change may have been made; send it again, which harms nothing.", err)
	}
	se.World.Inbox.Post(true, func(m *tables.Mail) { m.Evacuation = &set })
	// In force here before the operator is answered. Where the daemon is too busy for
	// that, it is in force with its next tick.
	se.World.Inbox.RunQuery(ctx.Done(), func(*tables.World) {})
	se.Log.Event(events.EvacuationOrdered, events.F("data_centre", in.GetDataCentre()), events.F("back", in.GetBack()), events.F("author", author), events.F("revision", set.Revision))
	return &api.EvacuateResponse{Evacuated: set.DataCentres, Revision: set.Revision}, nil
}

// mayEvacuate refuses operators without a right to all services, whose backend
// servers an evacuation concerns.
func (se *Server) mayEvacuate(author, dataCentre string) error {
	if dataCentre == "" {
		return status.Error(codes.InvalidArgument, "an evacuation needs a data centre; name one")
	}
	if len(se.Settings.Operators) > 0 && !se.hasRight(author, allServices) {
		return status.Errorf(codes.PermissionDenied, "%s may not evacuate %s; ask an operator with the right %q, or add it under operators in the settings", author, dataCentre, allServices)
	}
	return nil
}
