package placement

import (
	"reflect"
	"strings"

	"github.com/pkg/errors"
)

// Op is the operation of a change.
type Op uint8

// The operations.
const (
	// PutKind adds a kind or replaces the one of the same name.
	PutKind Op = iota + 1
	// RemoveKind removes a kind, and the service with its last kind.
	RemoveKind
)

// Change is one operation on a kind of request. RemoveKind uses only the kind's name.
type Change struct {
	Op      Op     `cbor:"1,keyasint"`
	Service string `cbor:"2,keyasint"`
	Kind    Kind   `cbor:"3,keyasint"`
}

// Apply returns the next version of the document, with the changes applied. It does not
// modify doc. It returns an error if there are no changes or one is invalid.
func Apply(doc *Document, changes []Change) (*Document, error) {
	if len(changes) == 0 {
		return nil, errors.New("there is nothing to change")
	}
	out := doc.Clone()
	out.Version++
	for _, c := range changes {
		if err := out.apply(c); err != nil {
			return nil, err
		}
	}
	return out, nil
}

func (d *Document) apply(c Change) error {
	if c.Service == "" || c.Kind.Name == "" {
		return errors.New("a change needs the name of a service and of a kind")
	}
	index := d.indexOf(c.Service)
	switch c.Op {
	case PutKind:
		return d.putKind(index, c)
	case RemoveKind:
		return d.removeKind(index, c)
	}
	return errors.Errorf("unknown operation %d in a change", c.Op)
}

// indexOf returns the index of a service in Services, or -1.
func (d *Document) indexOf(service string) int {
	for i, s := range d.Services {
		if s.Name == service {
			return i
		}
	}
	return -1
}

// putKind adds or replaces a kind of the service at an index; -1 adds the service.
func (d *Document) putKind(index int, c Change) error {
	if err := validateKind(c.Kind); err != nil {
		return errors.Wrapf(err, "service %s, kind %s", c.Service, c.Kind.Name)
	}
	if index < 0 {
		d.Services = append(d.Services, Service{Name: c.Service, Kinds: []Kind{c.Kind}})
		return nil
	}
	kinds := withoutKind(d.Services[index].Kinds, c.Kind.Name)
	d.Services[index].Kinds = append(kinds, c.Kind)
	return nil
}

func (d *Document) removeKind(index int, c Change) error {
	if index < 0 {
		return errors.Errorf("service %s is not placed, so its kind %s cannot be removed", c.Service, c.Kind.Name)
	}
	kinds := withoutKind(d.Services[index].Kinds, c.Kind.Name)
	if len(kinds) == len(d.Services[index].Kinds) {
		return errors.Errorf("service %s has no kind %s", c.Service, c.Kind.Name)
	}
	if len(kinds) == 0 {
		d.Services = append(d.Services[:index:index], d.Services[index+1:]...)
		return nil
	}
	d.Services[index].Kinds = kinds
	return nil
}

func withoutKind(kinds []Kind, name string) []Kind {
	out := make([]Kind, 0, len(kinds)+1)
	for _, k := range kinds {
		if k.Name != name {
			out = append(out, k)
		}
	}
	return out
}

func validateKind(k Kind) error {
	switch {
	case !strings.HasPrefix(k.Path, "/"):
		return errors.New("the path must begin with /")
	case len(k.DataCentres) == 0:
		return errors.New("name at least one data centre")
	case k.NeverRepeat && k.HedgeSafe:
		return errors.New("a kind that may never be repeated cannot be safe to hedge")
	case k.Timeout < 0:
		return errors.New("the timeout must not be negative")
	}
	return nil
}

// Diff returns the changes that turn the services of one document into those of another.
func Diff(from, to *Document) []Change {
	var out []Change
	for _, s := range to.Services {
		old, _ := from.Service(s.Name)
		for _, k := range s.Kinds {
			if !containsKind(old.Kinds, k) {
				out = append(out, Change{Op: PutKind, Service: s.Name, Kind: k})
			}
		}
	}
	for _, s := range from.Services {
		current, _ := to.Service(s.Name)
		for _, k := range s.Kinds {
			if !containsKindName(current.Kinds, k.Name) {
				out = append(out, Change{Op: RemoveKind, Service: s.Name, Kind: Kind{Name: k.Name}})
			}
		}
	}
	return out
}

// containsKind reports whether the list holds a kind equal to k in all fields.
func containsKind(kinds []Kind, k Kind) bool {
	for _, other := range kinds {
		if reflect.DeepEqual(other, k) {
			return true
		}
	}
	return false
}

func containsKindName(kinds []Kind, name string) bool {
	for _, other := range kinds {
		if other.Name == name {
			return true
		}
	}
	return false
}

// Replay applies the entries' changes to base, in order. It returns an error if a version
// is missing or the result does not have the wanted hash.
func Replay(base *Document, entries []LogEntry, want string) (*Document, error) {
	if base == nil {
		return nil, errors.New("there is no version to apply the changes to")
	}
	doc := base
	for _, e := range entries {
		if e.Version != doc.Version+1 {
			return nil, errors.Errorf("change %d does not follow version %d", e.Version, doc.Version)
		}
		next, err := Apply(doc, e.Changes)
		if err != nil {
			return nil, err
		}
		doc = next
	}
	got, err := doc.Hash()
	if err != nil {
		return nil, err
	}
	if got != want {
		return nil, errors.Errorf("version %d does not match its hash after its changes", doc.Version)
	}
	return doc, nil
}
