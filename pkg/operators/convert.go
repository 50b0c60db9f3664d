package operators

import (
	"time"

	"github.com/pkg/errors"

	api "github.com/rushramp/rushramp/pkg/operatorsapi"
	"github.com/rushramp/rushramp/pkg/placement"
)

// KindToAPI converts a kind to its message.
func KindToAPI(k placement.Kind) *api.Kind {
	return &api.Kind{
		Name: k.Name, Method: k.Method, Path: k.Path, DataCentres: k.DataCentres,
		NeverRepeat: k.NeverRepeat, KeyOptional: k.Key == placement.KeyOptional,
		HedgeSafe: k.HedgeSafe, Class: k.Class.String(), Strict: k.Strict,
		TimeoutMs: k.Timeout.Milliseconds(),
	}
}

// KindFromAPI converts a message to a kind. It returns an error if the class is unknown.
func KindFromAPI(k *api.Kind) (placement.Kind, error) {
	out := placement.Kind{
		Name: k.GetName(), Method: k.GetMethod(), Path: k.GetPath(), DataCentres: k.GetDataCentres(),
		NeverRepeat: k.GetNeverRepeat(), HedgeSafe: k.GetHedgeSafe(), Strict: k.GetStrict(),
		Timeout: time.Duration(k.GetTimeoutMs()) * time.Millisecond,
	}
	if k.GetKeyOptional() {
		out.Key = placement.KeyOptional
	}
	if k.GetClass() == "" {
		return out, nil
	}
	return out, out.Class.UnmarshalText([]byte(k.GetClass()))
}

// DocumentToAPI converts the services of a placement to messages.
func DocumentToAPI(doc *placement.Document) []*api.Service {
	var out []*api.Service
	for _, s := range doc.Services {
		msg := &api.Service{Name: s.Name}
		for _, k := range s.Kinds {
			msg.Kinds = append(msg.Kinds, KindToAPI(k))
		}
		out = append(out, msg)
	}
	return out
}

// DocumentFromAPI converts a response to a placement. It returns an error if the class of a
// kind is unknown.
func DocumentFromAPI(in *api.GetPlacementResponse) (*placement.Document, error) {
	out := &placement.Document{Version: in.GetVersion()}
	for _, s := range in.GetServices() {
		service := placement.Service{Name: s.GetName()}
		for _, k := range s.GetKinds() {
			kind, err := KindFromAPI(k)
			if err != nil {
				return nil, err
			}
			service.Kinds = append(service.Kinds, kind)
		}
		out.Services = append(out.Services, service)
	}
	return out, nil
}

// ChangesToAPI converts changes of a placement to messages.
func ChangesToAPI(changes []placement.Change) []*api.Change {
	var out []*api.Change
	for _, c := range changes {
		if c.Op == placement.RemoveKind {
			out = append(out, &api.Change{Change: &api.Change_RemoveKind{RemoveKind: &api.RemoveKind{Service: c.Service, Kind: c.Kind.Name}}})
			continue
		}
		out = append(out, &api.Change{Change: &api.Change_PutKind{PutKind: &api.PutKind{Service: c.Service, Kind: KindToAPI(c.Kind)}}})
	}
	return out
}

// ChangesFromAPI converts messages to changes of a placement. It returns an error if a
// message is empty or the class of a kind is unknown.
func ChangesFromAPI(in []*api.Change) ([]placement.Change, error) {
	var out []placement.Change
	for _, c := range in {
		switch change := c.GetChange().(type) {
		case *api.Change_PutKind:
			kind, err := KindFromAPI(change.PutKind.GetKind())
			if err != nil {
				return nil, err
			}
			out = append(out, placement.Change{Op: placement.PutKind, Service: change.PutKind.GetService(), Kind: kind})
		case *api.Change_RemoveKind:
			out = append(out, placement.Change{
				Op: placement.RemoveKind, Service: change.RemoveKind.GetService(),
				Kind: placement.Kind{Name: change.RemoveKind.GetKind()},
			})
		default:
			return nil, errors.New("a change is empty")
		}
	}
	return out, nil
}
