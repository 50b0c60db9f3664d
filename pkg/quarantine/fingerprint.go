// Package quarantine refuses, for some time, requests that crash the backend servers that
// run them. It identifies the contents of these requests among the contents that ran at
// the time of crashes. Source: docs/design/quarantine.md.
package quarantine

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint is a hash of a request's content. Requests with the same fingerprint ask
// for the same work, whatever their ids and entries. The hash is not cryptographic: with a
// collision, a caller can cause another caller's request to be refused as not run.
type Fingerprint uint64

// String returns the fingerprint as 16 hexadecimal digits, as in the log and store keys.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

// Content holds the parts of a request that determine a backend server's work on it.
type Content struct {
	Method string
	Host   string
	// Target is the path and query, as sent by the caller.
	Target string
	// Credentials identifies the caller, as in its authorisation headers; empty if there
	// are none.
	Credentials string
	Body        []byte
}

// Fingerprint returns the fingerprint of the content.
func (c *Content) Fingerprint() Fingerprint {
	var digest xxhash.Digest
	digest.Reset()
	for _, part := range [...]string{c.Method, c.Host, c.Target, c.Credentials} {
		writeLength(&digest, len(part))
		_, _ = digest.WriteString(part)
	}
	writeLength(&digest, len(c.Body))
	_, _ = digest.Write(c.Body)
	return Fingerprint(digest.Sum64())
}

// writeLength writes the length of the next part, so that the same bytes split differently
// give another fingerprint. Writes to a digest do not fail.
func writeLength(digest *xxhash.Digest, n int) {
	var buf [8]byte
	binary.LittleEndian.PutUint64(buf[:], uint64(n))
	_, _ = digest.Write(buf[:])
}
