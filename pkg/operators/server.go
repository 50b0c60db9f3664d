// Package operators implements the gRPC service for operators, which
// api/operators/operators.proto defines.
package operators

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"

	"github.com/rushramp/rushramp/pkg/choose"
	"github.com/rushramp/rushramp/pkg/common"
	"github.com/rushramp/rushramp/pkg/evacuation"
	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/executor"
	api "github.com/rushramp/rushramp/pkg/operatorsapi"
	"github.com/rushramp/rushramp/pkg/placement"
	"github.com/rushramp/rushramp/pkg/rollout"
	"github.com/rushramp/rushramp/pkg/store"
	"github.com/rushramp/rushramp/pkg/tables"
)

// drainProgressInterval is the time between two progress messages of a drain.
const drainProgressInterval = 100 * time.Millisecond

// Server implements the operators' gRPC service at one daemon.
type Server struct {
	api.UnimplementedOperatorsServer
	*common.Common
	World  *tables.World
	Store  *placement.Store
	Policy choose.Policy
	// Executor is nil on a daemon without a backend server.
	Executor *executor.Executor
	// Evacuation is nil where operators write evacuations to the platform's store themselves.
	Evacuation *evacuation.Register
	// Orders is nil where operators write orders of roll-outs to the platform's store
	// themselves. StoreClock returns the time by the clock of roll-out deadlines; nil where
	// this daemon cannot read that clock.
	Orders     *rollout.OrderStore
	StoreClock func() time.Duration
	// Leave begins to drain the daemon; InFlight returns the number of calls that have not
	// ended.
	Leave    func()
	InFlight func() int64
}

// Start listens at settings listen.operators and serves until stop is called. conf is nil
// for a listener without TLS.
func Start(s *Server, conf *tls.Config) (stop func(), err error) {
	listener, err := net.Listen("tcp", s.Settings.Listen.Operators)
	if err != nil {
		return nil, errors.Errorf("cannot listen on %s: %v. Choose an address of this VM that no other process uses.", s.Settings.Listen.Operators, err)
	}
	creds := insecure.NewCredentials()
	if conf != nil {
		creds = credentials.NewTLS(conf)
	}
	server := grpc.NewServer(grpc.Creds(creds))
	api.RegisterOperatorsServer(server, s)
	go func() { _ = server.Serve(listener) }()
	return server.Stop, nil
}

// currentDocument returns the placement in force.
func (se *Server) currentDocument() (*placement.Document, error) {
	if p := se.World.View.Placement(); p != nil {
		return p.Document, nil
	}
	return nil, status.Error(codes.Unavailable, "this daemon has no placement yet; try again shortly or ask another daemon")
}

// GetPlacement implements api.OperatorsServer.
func (se *Server) GetPlacement(context.Context, *api.GetPlacementRequest) (*api.GetPlacementResponse, error) {
	doc, err := se.currentDocument()
	if err != nil {
		return nil, err
	}
	hash, err := doc.Hash()
	if err != nil {
		return nil, err
	}
	return &api.GetPlacementResponse{Version: doc.Version, Hash: hash, Services: DocumentToAPI(doc)}, nil
}

// ApplyPlacement implements api.OperatorsServer.
func (se *Server) ApplyPlacement(ctx context.Context, in *api.ApplyPlacementRequest) (*api.ApplyPlacementResponse, error) {
	changes, err := ChangesFromAPI(in.GetChanges())
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	base, err := se.baseDocument(ctx, in.GetBaseVersion())
	if err != nil {
		return nil, err
	}
	return se.commitChange(ctx, placement.Proposal{
		Base: base, ChangeID: in.GetChangeId(), Author: in.GetAuthor(), Changes: changes, At: time.Now(),
	})
}

// Apply commits changes of the placement in force here and returns the new version.
func (se *Server) Apply(ctx context.Context, changeID, author string, changes []placement.Change) (uint64, error) {
	base, err := se.currentDocument()
	if err != nil {
		return 0, err
	}
	out, err := se.commitChange(ctx, placement.Proposal{Base: base, ChangeID: changeID, Author: author, Changes: changes, At: time.Now()})
	return out.GetVersion(), err
}

// Rollback implements api.OperatorsServer.
func (se *Server) Rollback(ctx context.Context, in *api.RollbackRequest) (*api.ApplyPlacementResponse, error) {
	base, err := se.baseDocument(ctx, in.GetBaseVersion())
	if err != nil {
		return nil, err
	}
	to, err := se.Store.Version(ctx, in.GetToVersion())
	if err != nil {
		return nil, status.Errorf(codes.NotFound, "%v; `rushramp placement history` lists the versions", err)
	}
	return se.commitChange(ctx, placement.Proposal{
		Base: base, ChangeID: in.GetChangeId(), Author: in.GetAuthor(),
		Changes: placement.Diff(base, to), RollbackOf: in.GetToVersion(), At: time.Now(),
	})
}

// baseDocument returns the placement version that an operator's change is based on, which may be
// older or newer than the one in force here.
func (se *Server) baseDocument(ctx context.Context, version uint64) (*placement.Document, error) {
	doc, err := se.currentDocument()
	if err == nil && doc.Version == version {
		return doc, nil
	}
	doc, err = se.Store.Version(ctx, version)
	if errors.Is(err, store.ErrNotFound) {
		return nil, status.Errorf(codes.NotFound, "there is no version %d to base a change on; read the placement again", version)
	}
	if err != nil {
		return nil, status.Errorf(codes.Unavailable, "the platform's store did not answer: %v. Nothing was changed; try again.", err)
	}
	return doc, nil
}

// commitChange checks the operator's right to a change, commits the change to the store and
// puts the new version in force.
func (se *Server) commitChange(ctx context.Context, p placement.Proposal) (*api.ApplyPlacementResponse, error) {
	author, err := se.author(ctx, p.Author)
	if err != nil {
		return nil, err
	}
	p.Author = author
	if err := se.checkPlacementRight(author, p.Changes); err != nil {
		return nil, err
	}
	if p.ChangeID == "" {
		return nil, status.Error(codes.InvalidArgument, "a change needs a change id, so that a lost answer can be resolved")
	}
	doc, err := se.Store.Commit(ctx, p)
	if err != nil {
		return nil, commitStatus(err)
	}
	if err := se.putInForce(p, doc); err != nil {
		return nil, err
	}
	se.Log.Event(events.PlacementChanged, events.F("version", doc.Version), events.F("author", author), events.F("changes", len(p.Changes)))
	return &api.ApplyPlacementResponse{Version: doc.Version}, nil
}

// putInForce puts a committed version in force at this daemon, which sends it to others.
func (se *Server) putInForce(p placement.Proposal, doc *placement.Document) error {
	hash, err := doc.Hash()
	if err != nil {
		return err
	}
	received := tables.ReceivedPlacement{Document: doc, Hash: hash, FromStore: true}
	if doc.Version == p.Base.Version+1 {
		received.Entries = []placement.LogEntry{{
			Version: doc.Version, ChangeID: p.ChangeID, Author: p.Author, At: p.At,
			Changes: p.Changes, Hash: hash, RollbackOf: p.RollbackOf,
		}}
	}
	se.World.Inbox.Post(true, func(m *tables.Mail) { m.StorePlacements = append(m.StorePlacements, received) })
	return nil
}

// commitStatus turns an error of Store.Commit into a gRPC status. The operators' command
// line derives its exit code from the status code.
func commitStatus(err error) error {
	var conflict *placement.ConflictError
	var unknown *placement.UnknownOutcomeError
	var notSent *placement.NotSentError
	switch {
	case errors.As(err, &notSent):
		return status.Error(codes.Unavailable, err.Error())
	case errors.As(err, &conflict):
		return status.Error(codes.FailedPrecondition, err.Error())
	case errors.As(err, &unknown):
		return status.Error(codes.Unknown, err.Error())
	}
	return status.Error(codes.InvalidArgument, err.Error())
}

// author returns the common name of the operator's certificate or, without TLS, the name
// that the operator claims.
func (se *Server) author(ctx context.Context, claimed string) (string, error) {
	p, ok := peer.FromContext(ctx)
	if ok {
		if info, isTLS := p.AuthInfo.(credentials.TLSInfo); isTLS && len(info.State.PeerCertificates) > 0 {
			return info.State.PeerCertificates[0].Subject.CommonName, nil
		}
	}
	if claimed == "" {
		return "", status.Error(codes.InvalidArgument, "a change needs an author; name one with --author")
	}
	return claimed, nil
}

// checkPlacementRight refuses changes to services that the author has no right to change.
func (se *Server) checkPlacementRight(author string, changes []placement.Change) error {
	if len(se.Settings.Operators) == 0 {
		return nil
	}
	for _, c := range changes {
		if !se.hasRight(author, c.Service) {
			return status.Errorf(codes.PermissionDenied, "%s may not change the placement of %s; ask an operator who may, or add the right under operators in the settings", author, c.Service)
		}
	}
	return nil
}

// hasRight reports whether the settings give an operator the right to change a service.
func (se *Server) hasRight(author, service string) bool {
	for _, o := range se.Settings.Operators {
		if o.Name != author {
			continue
		}
		for _, s := range o.Services {
			if s == allServices || s == service {
				return true
			}
		}
	}
	return false
}

// History implements api.OperatorsServer.
func (se *Server) History(ctx context.Context, in *api.HistoryRequest) (*api.HistoryResponse, error) {
	const maxEntries = 1000
	limit := int(in.GetLimit())
	if limit == 0 || limit > maxEntries {
		limit = maxEntries
	}
	entries, err := se.Store.History(ctx, in.GetAfterVersion(), limit)
	if err != nil {
		return nil, status.Errorf(codes.Unavailable, "the platform's store did not answer: %v", err)
	}
	out := &api.HistoryResponse{}
	for _, e := range entries {
		out.Entries = append(out.Entries, &api.HistoryEntry{
			Version: e.Version, ChangeId: e.ChangeID, Author: e.Author, AtUnixMs: e.At.UnixMilli(),
			Changes: ChangesToAPI(e.Changes), RollbackOf: e.RollbackOf,
		})
	}
	return out, nil
}

// Drain implements api.OperatorsServer.
func (se *Server) Drain(_ *api.DrainRequest, stream grpc.ServerStreamingServer[api.DrainProgress]) error {
	se.Leave()
	ticker := time.NewTicker(drainProgressInterval)
	defer ticker.Stop()
	for {
		inFlight := se.InFlight()
		if err := stream.Send(&api.DrainProgress{CallsInFlight: inFlight, Done: inFlight == 0}); err != nil {
			return err
		}
		if inFlight == 0 {
			return nil
		}
		select {
		case <-stream.Context().Done():
			return nil
		case <-ticker.C:
		}
	}
}
