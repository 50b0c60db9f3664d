// Package placement defines the operators' rules: which data centres may handle
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

// Class is the priority class of a call that waits in a gate's queue.
type Class uint8

// The classes. Normal is the default.
const (
	Normal Class = iota
	Urgent
	Background
)

// KeyRule defines whether calls of a never-repeat kind need an Idempotency-Key.
type KeyRule uint8

const (
	// KeyRequired refuses calls without an Idempotency-Key.
	KeyRequired KeyRule = iota
	// KeyOptional sends a call without an Idempotency-Key only once, to one executor.
	KeyOptional
)

// Kind is a kind of request to a service, selected by method and path.
type Kind struct {
	Name string `cbor:"1,keyasint" yaml:"name" validate:"required"`
	// Method is the HTTP method, or empty for any.
	Method string `cbor:"2,keyasint,omitempty" yaml:"method,omitempty"`
	// Path is matched exactly, or as a prefix if it ends in "*".
	Path string `cbor:"3,keyasint" yaml:"path" validate:"required,startswith=/"`
	// DataCentres lists where calls of this kind may be handled.
	DataCentres []string `cbor:"4,keyasint" yaml:"data_centres" validate:"required,min=1,dive,required"`
	// NeverRepeat marks kinds that must run at most once.
	NeverRepeat bool `cbor:"5,keyasint,omitempty" yaml:"never_repeat,omitempty"`
	// Key says whether a never-repeat call needs an Idempotency-Key.
	Key KeyRule `cbor:"6,keyasint,omitempty" yaml:"key,omitempty"`
	// HedgeSafe allows a second copy of a slow call to be sent.
	HedgeSafe bool `cbor:"7,keyasint,omitempty" yaml:"hedge_safe,omitempty"`
	// Class is the priority class of the calls in a gate's queue.
	Class Class `cbor:"8,keyasint,omitempty" yaml:"class,omitempty"`
	// Strict is true if a daemon refuses calls of this kind while it cannot tell
	// whether its placement is still in force.
	Strict bool `cbor:"9,keyasint,omitempty" yaml:"strict,omitempty"`
	// Timeout is used if the caller gives none; 0 means the daemon's default.
	Timeout time.Duration `cbor:"10,keyasint,omitempty" yaml:"timeout,omitempty" validate:"min=0"`
}

// Service holds the rules of one service, by kind of request.
type Service struct {
	Name  string `cbor:"1,keyasint" yaml:"name" validate:"required"`
	Kinds []Kind `cbor:"2,keyasint" yaml:"kinds" validate:"required,min=1,dive"`
}

// Document is one version of all rules.
type Document struct {
	Version  uint64    `cbor:"1,keyasint" yaml:"version"`
	Services []Service `cbor:"2,keyasint" yaml:"services" validate:"dive"`
	// Routes map requests to services by host and path. A service that is named only
	// in routes may be handled anywhere its route allows.
	Routes []routing.Route `cbor:"3,keyasint,omitempty" yaml:"routes,omitempty" validate:"dive"`
	// BackendServices holds the settings of the services' backend servers.
	BackendServices []routing.Service `cbor:"4,keyasint,omitempty" yaml:"backend_services,omitempty" validate:"dive"`
	// Limits bound the routed requests of callers.
	Limits routing.Limits `cbor:"5,keyasint,omitempty" yaml:"limits,omitempty"`
	// Teams are the teams whose requests are accepted. If there are none, requests need
	// no key.
	Teams []teams.Team `cbor:"6,keyasint,omitempty" yaml:"teams,omitempty" validate:"dive"`
}

// Hash returns the hexadecimal SHA-256 of the encoded document. It does not depend on the
// order of services.
func (d *Document) Hash() (string, error) {
	data, err := d.Encode()
	if err != nil {
		return "", err
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:]), nil
}

// Encode encodes the document in canonical CBOR, with services sorted by name.
func (d *Document) Encode() ([]byte, error) {
	mode, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		return nil, errors.Wrap(err, "create placement encoder")
	}
	sorted := d.Clone()
	sort.Slice(sorted.Services, func(i, j int) bool { return sorted.Services[i].Name < sorted.Services[j].Name })
	data, err := mode.Marshal(sorted)
	return data, errors.Wrap(err, "encode placement")
}

// Decode decodes a document. It returns an error if its hash differs from want.
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

// Clone returns a copy with its own list of services. All else is shared with the
// original, also the lists of kinds, because they are never modified in place.
func (d *Document) Clone() *Document {
	out := *d
	out.Services = append([]Service(nil), d.Services...)
	return &out
}

// Service returns the rules of one service, and false if it has none.
func (d *Document) Service(name string) (Service, bool) {
	for _, s := range d.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}
