// Package store defines the interfaces to the operators' platform: a transactional table,
// an object store and a list of VMs. Operators connect their own platform by implementing
// them. HTTPClient implements them for the stand-in platform.
// Source: brief, "What the platform gives".
package store

import (
	"context"

	"github.com/pkg/errors"
)

// ErrNotFound is returned for a row or an object that does not exist.
var ErrNotFound = errors.New("not found in the platform's store")

// ErrConflict is returned when a condition of a transaction does not hold.
var ErrConflict = errors.New("another writer has changed the row")

// ErrHistoryGone is returned when the store no longer has the changes that a reader asked
// for. The reader must read the current rows instead.
var ErrHistoryGone = errors.New("the store no longer has these changes")

// Row is one row of the table.
type Row struct {
	_     struct{} `cbor:",toarray"`
	Key   string
	Value []byte
	// Version increases with each write of the row. It is 0 if the row does not exist.
	Version uint64
}

// Write is a write of one row on a condition.
type Write struct {
	_   struct{} `cbor:",toarray"`
	Key string
	// IfVersion is the version that the row must have; 0 if the row must not exist.
	IfVersion uint64
	Value     []byte
	// Delete is true if the row is deleted instead of written.
	Delete bool
}

// Result is the result of one write of a batch.
type Result struct {
	_ struct{} `cbor:",toarray"`
	// Applied is true when the condition held and the write took effect.
	Applied bool
	// Row is the row after the attempt: the written one, or the one that did not meet the
	// condition.
	Row Row
}

// Table is the transactional table service. After an error other than ErrNotFound and
// ErrConflict, it is unknown whether a write took effect.
type Table interface {
	// Get returns one row, or ErrNotFound.
	Get(ctx context.Context, key string) (Row, error)
	// Scan returns up to limit rows, sorted by key, whose keys begin with prefix and sort
	// after the key after.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Batch sends the writes in one request. Each write succeeds or fails on its own.
	Batch(ctx context.Context, writes []Write) ([]Result, error)
	// Transact applies all writes, or none if a condition does not hold; it then returns
	// ErrConflict.
	Transact(ctx context.Context, writes []Write) error
}

// Objects is the object store.
type Objects interface {
	// PutObject writes the whole object.
	PutObject(ctx context.Context, name string, data []byte) error
	// Object returns the whole object, or ErrNotFound.
	Object(ctx context.Context, name string) ([]byte, error)
}

// VMState is the state of a VM in the platform's list.
type VMState string

// The states of a VM. A VM that has failed is not in the list.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is an entry of the platform's list, which may be out of date.
type VM struct {
	ID         string  `cbor:"id" yaml:"id" json:"id"`
	Region     string  `cbor:"region" yaml:"region" json:"region"`
	DataCentre string  `cbor:"dc" yaml:"data_centre" json:"data_centre"`
	Service    string  `cbor:"service" yaml:"service" json:"service"`
	State      VMState `cbor:"state" yaml:"state" json:"state"`
	// Links is the address to which other daemons open links.
	Links string `cbor:"links" yaml:"links" json:"links"`
	// Callers is the address to which callers send requests.
	Callers string `cbor:"callers" yaml:"callers" json:"callers"`
	// Slots is the number of requests that the backend server runs at once.
	Slots int `cbor:"slots" yaml:"slots" json:"slots"`
	// Started distinguishes VMs with the same ID: each VM that is started has a greater
	// value than those before it.
	Started uint64 `cbor:"started" yaml:"started" json:"started"`
}

// VMs is the list of VMs.
type VMs interface {
	// VMs returns the VMs of a data centre, or of all if dataCentre is empty.
	VMs(ctx context.Context, dataCentre string) ([]VM, error)
}

// Platform combines all interfaces to the platform.
type Platform interface {
	Table
	Objects
	VMs
}

// Registrar is implemented by a platform whose list of VMs the daemons write themselves:
// each daemon registers its own VM when it starts.
type Registrar interface {
	// Register writes the entry of vm, and replaces any earlier entry with its ID.
	Register(ctx context.Context, vm VM) error
}
