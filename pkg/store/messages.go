package store

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// The paths of the HTTP form. Bodies are CBOR.
const (
	PathGet      = "/table/get"
	PathScan     = "/table/scan"
	PathBatch    = "/table/batch"
	PathTransact = "/table/transact"
	PathPut      = "/object/put"
	PathObject   = "/object/get"
	PathVMs      = "/vms"
)

// GetRequest asks for one row.
type GetRequest struct {
	Key string `cbor:"key"`
}

// ScanRequest asks for rows in the order of their keys.
type ScanRequest struct {
	Prefix string `cbor:"prefix"`
	After  string `cbor:"after"`
	Limit  int    `cbor:"limit"`
}

// VMsRequest asks for the list of VMs.
type VMsRequest struct {
	DataCentre string `cbor:"dc"`
}

// WriteRequest carries the writes of a batch or a transaction.
type WriteRequest struct {
	Writes []Write `cbor:"writes"`
}

// ObjectRequest names an object, with its data for a put.
type ObjectRequest struct {
	Name string `cbor:"name"`
	Data []byte `cbor:"data"`
}

// Response is the one answer of all paths; each fills its own field.
type Response struct {
	Rows    []Row    `cbor:"rows,omitempty"`
	Results []Result `cbor:"results,omitempty"`
	Data    []byte   `cbor:"data,omitempty"`
	VMs     []VM     `cbor:"vms,omitempty"`
}

// Encode turns a message into CBOR.
func Encode(msg any) ([]byte, error) {
	out, err := cbor.Marshal(msg)
	return out, errors.Wrap(err, "encode for the platform")
}

// Decode reads CBOR into msg.
func Decode(data []byte, msg any) error {
	return errors.Wrap(cbor.Unmarshal(data, msg), "decode from the platform")
}
