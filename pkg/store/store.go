// Package store is what rushramp asks of the operators' platform: a
// transactional table, an object store and a list of VMs. Operators fit their
// own service by implementing these few methods; HTTP speaks to the stand-in.
// Source: brief, "What the platform gives".
package store

import (
	"context"

	"github.com/pkg/errors"
)

// ErrNotFound is returned for a row or an object that does not exist.
var ErrNotFound = errors.New("not found in the platform's store")

// ErrConflict is returned when a condition of a transaction does not hold.
var ErrConflict = errors.New("another writer was first")

// ErrHistoryGone is returned when the store has forgotten the changes that a
// reader asked for; it reads the rows as they are instead.
var ErrHistoryGone = errors.New("the store has forgotten these changes")

// Row is one row of the table.
type Row struct {
	_     struct{} `cbor:",toarray"`
	Key   string
	Value []byte
	// Version grows with each write of the row. A row that does not exist has
	// version 0.
	Version uint64
}

// Write is one conditional write.
type Write struct {
	_   struct{} `cbor:",toarray"`
	Key string
	// IfVersion is the version that the row must have; 0: it must not exist.
	IfVersion uint64
	Value     []byte
	// Delete removes the row instead of writing Value.
	Delete bool
}

// Result says how one write of a batch ended.
type Result struct {
	_ struct{} `cbor:",toarray"`
	// Applied is true when the condition held and the write took effect.
	Applied bool
	// Row is the row after the attempt: the own one, or the winner's.
	Row Row
}

// Table is the transactional table service. An error other than ErrNotFound
// and ErrConflict leaves open whether a write took effect.
type Table interface {
	// Get reads one row, or ErrNotFound.
	Get(ctx context.Context, key string) (Row, error)
	// Scan reads up to limit rows whose key begins with prefix and sorts after
	// the key after.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Batch does each write on its own, in one request.
	Batch(ctx context.Context, writes []Write) ([]Result, error)
	// Transact does all writes or none; ErrConflict when a condition fails.
	Transact(ctx context.Context, writes []Write) error
}

// Objects is the object store.
type Objects interface {
	// PutObject writes the whole object.
	PutObject(ctx context.Context, name string, data []byte) error
	// Object reads the whole object, or ErrNotFound.
	Object(ctx context.Context, name string) ([]byte, error)
}

// VMState is the platform's word on a VM.
type VMState string

// The states that the platform's list knows. A VM that failed is not listed.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one entry of the platform's list. The list lags.
type VM struct {
	ID         string  `cbor:"id" yaml:"id" json:"id"`
	Region     string  `cbor:"region" yaml:"region" json:"region"`
	DataCentre string  `cbor:"dc" yaml:"data_centre" json:"data_centre"`
	Service    string  `cbor:"service" yaml:"service" json:"service"`
	State      VMState `cbor:"state" yaml:"state" json:"state"`
	// Links is the address for links from other daemons.
	Links string `cbor:"links" yaml:"links" json:"links"`
	// Callers is the address for callers.
	Callers string `cbor:"callers" yaml:"callers" json:"callers"`
	// Slots is the size of the backend server.
	Slots int `cbor:"slots" yaml:"slots" json:"slots"`
	// Started tells the VMs that one name stood for apart: it grows with each
	// that is started under the name.
	Started uint64 `cbor:"started" yaml:"started" json:"started"`
}

// VMs is the list of VMs.
type VMs interface {
	// VMs reads the list of one data centre, or of all when it is empty.
	VMs(ctx context.Context, dataCentre string) ([]VM, error)
}

// Platform is all of the platform.
type Platform interface {
	Table
	Objects
	VMs
}

// Registrar is a platform whose list of VMs is written by the daemons
// themselves: each puts its own entry there when it starts.
type Registrar interface {
	// Register writes this VM's entry, whatever stood there.
	Register(ctx context.Context, vm VM) error
}
