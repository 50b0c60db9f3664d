// Package placement holds the operators' rules: which data centres may handle
// each service and kind of request, and which kinds may never be repeated. It
// also keeps the versions of these rules in the platform's store.
// Source: docs/design/placement.md.
package placement

import (
	"crypto/sha256"
	"encoding/hex"
	"sort"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/rushramp/rushramp/pkg/routing"
	"github.com/rushramp/rushramp/pkg/teams"
)

// Class orders the calls that wait at a gate.
type Class uint8

// The classes. Normal is what a kind has that names none.
const (
	Normal Class = iota
	Urgent
	Background
)

// KeyRule says whether a never-repeat kind needs an Idempotency-Key.
type KeyRule uint8

const (
	// KeyRequired refuses calls without a key.
	KeyRequired KeyRule = iota
	// KeyOptional sends a call without a key to one executor once.
	KeyOptional
)

// Kind is one kind of request of a service.
type Kind struct {
	Name string `cbor:"1,keyasint" yaml:"name" validate:"required"`
	// Method is the HTTP method, or empty for any.
	Method string `cbor:"2,keyasint,omitempty" yaml:"method,omitempty"`
	// Path is matched whole, or as a prefix when it ends in "*".
	Path string `cbor:"3,keyasint" yaml:"path" validate:"required,startswith=/"`
	// DataCentres lists where calls of this kind may be handled.
	DataCentres []string `cbor:"4,keyasint" yaml:"data_centres" validate:"required,min=1,dive,required"`
	// NeverRepeat marks kinds that must run at most once.
	NeverRepeat bool `cbor:"5,keyasint,omitempty" yaml:"never_repeat,omitempty"`
	// Key says whether a never-repeat call needs an Idempotency-Key.
	Key KeyRule `cbor:"6,keyasint,omitempty" yaml:"key,omitempty"`
	// HedgeSafe allows a second copy of a slow call.
	HedgeSafe bool `cbor:"7,keyasint,omitempty" yaml:"hedge_safe,omitempty"`
	// Class orders calls at the gate.
	Class Class `cbor:"8,keyasint,omitempty" yaml:"class,omitempty"`
	// Strict kinds are refused while a daemon cannot tell whether its placement
	// is still in force.
	Strict bool `cbor:"9,keyasint,omitempty" yaml:"strict,omitempty"`
	// Timeout is used when the caller names none; 0 takes the daemon's default.
	Timeout time.Duration `cbor:"10,keyasint,omitempty" yaml:"timeout,omitempty" validate:"min=0"`
}

// Service is the placement of one service.
type Service struct {
	Name  string `cbor:"1,keyasint" yaml:"name" validate:"required"`
	Kinds []Kind `cbor:"2,keyasint" yaml:"kinds" validate:"required,min=1,dive"`
}

// Document is one version of all rules.
type Document struct {
	Version  uint64    `cbor:"1,keyasint" yaml:"version"`
	Services []Service `cbor:"2,keyasint" yaml:"services" validate:"dive"`
	// Routes send requests to services by host and path. A service that only
	// routes name may be handled anywhere, unless its route says where.
	Routes []routing.Route `cbor:"3,keyasint,omitempty" yaml:"routes,omitempty" validate:"dive"`
	// BackendServices says how the backend servers of services are spoken to.
	BackendServices []routing.Service `cbor:"4,keyasint,omitempty" yaml:"backend_services,omitempty" validate:"dive"`
	// Limits bound what callers of routed requests may send.
	Limits routing.Limits `cbor:"5,keyasint,omitempty" yaml:"limits,omitempty"`
	// Teams are those whose requests are let in; none: requests carry no key.
	Teams []teams.Team `cbor:"6,keyasint,omitempty" yaml:"teams,omitempty" validate:"dive"`
}

// Hash returns a digest of the content. Two documents with the same services
// and version have the same hash, whatever the order of services.
func (d *Document) Hash() (string, error) {
	data, err := d.Encode()
	if err != nil {
		return "", err
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:]), nil
}

// Encode writes the document in canonical CBOR, with services in the order of
// their names.
func (d *Document) Encode() ([]byte, error) {
	mode, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		return nil, errors.Wrap(err, "placement encoder")
	}
	sorted := d.Clone()
	sort.Slice(sorted.Services, func(i, j int) bool { return sorted.Services[i].Name < sorted.Services[j].Name })
	data, err := mode.Marshal(sorted)
	return data, errors.Wrap(err, "encode placement")
}

// Decode reads a document and refuses it when its hash differs from want.
func Decode(data []byte, want string) (*Document, error) {
	out := &Document{}
	if err := cbor.Unmarshal(data, out); err != nil {
		return nil, errors.Wrap(err, "decode placement")
	}
	got, err := out.Hash()
	if err != nil {
		return nil, err
	}
	if got != want {
		return nil, errors.Errorf("placement version %d does not match its hash", out.Version)
	}
	return out, nil
}

// Clone returns a copy that shares no slice with the original's list of
// services. Kinds are never changed in place, so they may be shared.
func (d *Document) Clone() *Document {
	out := *d
	out.Services = append([]Service(nil), d.Services...)
	return &out
}

// Service returns the rules of one service.
func (d *Document) Service(name string) (Service, bool) {
	for _, s := range d.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}
