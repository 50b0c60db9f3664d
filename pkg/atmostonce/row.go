// Package atmostonce makes sure that a call that may never be repeated runs at most
// once: the executor claims its key with one conditional write right before it
// hands the call over, and an entry that does not learn the outcome seals the
// key. Source: docs/design/at-most-once.md.
package atmostonce

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/store"
	"github.com/rushramp/rushramp/pkg/wire"
)

// RowPrefix begins the keys of claim rows.
const RowPrefix = "once/"

// State is what is known of a key's newest generation.
type State uint8

// The states. Only Claimed and Finished mean that a backend server may have
// seen the call.
const (
	// Claimed: an executor won the right to run the call.
	Claimed State = iota + 1
	// Finished: the call ran, and its answer is stored when it was small.
	Finished
	// Sealed: the call was not run in this generation and never will be.
	Sealed
)

var stateWords = [...]string{"", "claimed", "finished", "sealed"}

// String returns the state's word for operators.
func (s State) String() string {
	if int(s) < len(stateWords) {
		return stateWords[s]
	}
	return "unknown"
}

// Row is the row of one key.
type Row struct {
	Generation uint32 `cbor:"1,keyasint"`
	State      State  `cbor:"2,keyasint"`
	// Executor is the VM that claimed, Nonce its proof after a lost answer.
	Executor string `cbor:"3,keyasint,omitempty"`
	Nonce    string `cbor:"4,keyasint,omitempty"`
	// RequestDigest is a digest of the request: a key used again for another one is
	// refused.
	RequestDigest string `cbor:"5,keyasint,omitempty"`
	// At is when the row was written, by the writer's wall clock. Only expiry,
	// in days, looks at it.
	At time.Time `cbor:"6,keyasint"`
	// Answer is the stored answer; nil when it was too large or not known.
	Answer *StoredAnswer `cbor:"7,keyasint,omitempty"`
	// Service is for operators who list what is open.
	Service string `cbor:"8,keyasint,omitempty"`
}

// StoredAnswer is an answer that a repeat receives.
type StoredAnswer struct {
	Status  int           `cbor:"1,keyasint"`
	Headers []wire.Header `cbor:"2,keyasint"`
	Body    []byte        `cbor:"3,keyasint"`
}

func (s *StoredAnswer) answer() *call.Answer {
	return &call.Answer{Status: s.Status, Headers: s.Headers, Body: s.Body}
}

// RowKey returns the key of the row for a service's Idempotency-Key. The key
// itself is the caller's and is not written down.
func RowKey(service, key string) string {
	sum := sha256.Sum256([]byte(service + "\x00" + key))
	return RowPrefix + hex.EncodeToString(sum[:])
}

func digest(c *wire.Call, body []byte) string {
	h := sha256.New()
	h.Write([]byte(c.Method + "\x00" + c.URI + "\x00"))
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil)[:16])
}

func encode(row Row) ([]byte, error) {
	data, err := cbor.Marshal(row)
	return data, errors.Wrap(err, "encode claim")
}

// Decode reads a claim row.
func Decode(row store.Row) (Row, error) {
	var out Row
	err := cbor.Unmarshal(row.Value, &out)
	return out, errors.Wrap(err, "decode claim")
}
