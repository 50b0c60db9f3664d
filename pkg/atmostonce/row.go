// Package atmostonce makes sure that a call of a kind that may never be repeated runs at
// most once. Each Idempotency-Key has a row in the platform's table. An executor claims the
// key by a conditional write to the row before it sends the call to the backend server. An
// entry that does not learn the outcome of a call seals the key by such a write. Only one
// of the two writes succeeds in each generation of the key.
// Source: docs/design/at-most-once.md.
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

// RowPrefix is the prefix of the table keys of all rows of this package.
const RowPrefix = "once/"

// State is the state of the newest generation of a key.
type State uint8

// The states of a generation. In the states Claimed and Finished, a backend server may have
// received the call.
const (
	// Claimed means that an executor may run the call.
	Claimed State = iota + 1
	// Finished means that the call ran. Its answer is stored if it is small enough.
	Finished
	// Sealed means that the call did not run in this generation and never will.
	Sealed
)

var stateNames = [...]string{"", "claimed", "finished", "sealed"}

// String returns the name of the state.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "unknown"
}

// Row is the content of the row of one Idempotency-Key.
type Row struct {
	Generation uint32 `cbor:"1,keyasint"`
	State      State  `cbor:"2,keyasint"`
	// Executor is the VM that claimed the key. Nonce is unique to the claim: with it, the
	// executor recognises its own claim.
	Executor string `cbor:"3,keyasint,omitempty"`
	Nonce    string `cbor:"4,keyasint,omitempty"`
	// RequestDigest is the digest of the request. A different request with the same key is
	// refused.
	RequestDigest string `cbor:"5,keyasint,omitempty"`
	// At is the time of the write by the writer's wall clock. It is used only for expiry,
	// which is counted in days.
	At time.Time `cbor:"6,keyasint"`
	// Answer is nil if there is no answer or it was too large to store.
	Answer *StoredAnswer `cbor:"7,keyasint,omitempty"`
	// Service is for operators who list the claimed keys.
	Service string `cbor:"8,keyasint,omitempty"`
}

// StoredAnswer is the answer of a finished call, returned to later calls with its key.
type StoredAnswer struct {
	Status  int           `cbor:"1,keyasint"`
	Headers []wire.Header `cbor:"2,keyasint"`
	Body    []byte        `cbor:"3,keyasint"`
}

func (s *StoredAnswer) toAnswer() *call.Answer {
	return &call.Answer{Status: s.Status, Headers: s.Headers, Body: s.Body}
}

// RowKey returns the table key of the row for an Idempotency-Key of a service. It holds a
// hash, because the keys of callers are not stored.
func RowKey(service, key string) string {
	sum := sha256.Sum256([]byte(service + "\x00" + key))
	return RowPrefix + hex.EncodeToString(sum[:])
}

// digestOf returns a digest of the method, URI and body of a call.
func digestOf(c *wire.Call, body []byte) string {
	h := sha256.New()
	h.Write([]byte(c.Method + "\x00" + c.URI + "\x00"))
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil)[:16])
}

func encode(row Row) ([]byte, error) {
	data, err := cbor.Marshal(row)
	return data, errors.Wrap(err, "encode the row of a key")
}

// Decode decodes the value of a row of this package.
func Decode(row store.Row) (Row, error) {
	var out Row
	err := cbor.Unmarshal(row.Value, &out)
	return out, errors.Wrap(err, "decode the row of a key")
}
