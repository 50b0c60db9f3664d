package operators

import (
	"time"

	"github.com/pkg/errors"

	api "github.com/rushramp/rushramp/pkg/operatorsapi"
	"github.com/rushramp/rushramp/pkg/placement"
)

// KindToAPI turns a kind into its message.
func KindToAPI(k placement.Kind) *api.Kind {
	return &api.Kind{
		Name: k.Name, Method: k.Method, Path: k.Path, DataCentres: k.DataCentres,
		NeverRepeat: k.NeverRepeat, KeyOptional: k.Key == placement.KeyOptional,
		HedgeSafe: k.HedgeSafe, Class: k.Class.String(), Strict: k.Strict,
		TimeoutMs: k.Timeout.Milliseconds(),
	}
}

// KindFromAPI turns a message into a kind.
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

// DocumentToAPI turns services into messages.
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

// DocumentFromAPI turns an answer into a document.
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

// ChangesToAPI turns changes into messages.
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

// ChangesFromAPI turns messages into changes.
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
