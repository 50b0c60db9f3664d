package store

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// The paths of the platform's HTTP interface. Bodies are CBOR.
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

// ScanRequest asks for rows in the order of their keys; see Table.Scan.
type ScanRequest struct {
	Prefix string `cbor:"prefix"`
	After  string `cbor:"after"`
	Limit  int    `cbor:"limit"`
}

// VMsRequest asks for the VMs of a data centre, or for all if DataCentre is empty.
type VMsRequest struct {
	DataCentre string `cbor:"dc"`
}

// WriteRequest carries the writes of a batch or a transaction.
type WriteRequest struct {
	Writes []Write `cbor:"writes"`
}

// ObjectRequest names an object to read, or to write with Data.
type ObjectRequest struct {
	Name string `cbor:"name"`
	Data []byte `cbor:"data"`
}

// Response is the body of the responses of all paths. Each path fills at most one field.
type Response struct {
	Rows    []Row    `cbor:"rows,omitempty"`
	Results []Result `cbor:"results,omitempty"`
	Data    []byte   `cbor:"data,omitempty"`
	VMs     []VM     `cbor:"vms,omitempty"`
}

// Encode encodes a message as CBOR.
func Encode(msg any) ([]byte, error) {
	out, err := cbor.Marshal(msg)
	return out, errors.Wrap(err, "encode a message for the platform")
}

// Decode decodes CBOR into msg, a pointer.
func Decode(data []byte, msg any) error {
	return errors.Wrap(cbor.Unmarshal(data, msg), "decode a message from the platform")
}
