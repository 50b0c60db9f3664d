// Package quarantine holds back requests that end the process of each backend server
// that runs them. Source: docs/design/quarantine.md.
package quarantine

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint stands for the content of a request: two requests with the same one ask
// for the same work, whatever their ids and wherever they entered. It is no proof
// against callers that search for a collision: what they could reach is that a request
// of another caller is refused as not run.
type Fingerprint uint64

// String is the fingerprint as it stands in log lines and keys of the store.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

// Content is what a backend server's work on a request hangs on.
type Content struct {
	Method string
	Host   string
	// Target is the path with its query, as it was sent.
	Target string
	// Credentials is what the caller proves itself by; empty: nothing.
	Credentials string
	Body        []byte
}

// Fingerprint returns the content's fingerprint.
func (c *Content) Fingerprint() Fingerprint {
	var digest xxhash.Digest
	digest.Reset()
	for _, text := range [...]string{c.Method, c.Host, c.Target, c.Credentials} {
		writeLength(&digest, len(text))
		_, _ = digest.WriteString(text)
	}
	writeLength(&digest, len(c.Body))
	_, _ = digest.Write(c.Body)
	return Fingerprint(digest.Sum64())
}

// writeLength keeps two neighbouring parts from being taken for others with the same
// bytes. A digest takes everything.
func writeLength(digest *xxhash.Digest, n int) {
	var buf [8]byte
	binary.LittleEndian.PutUint64(buf[:], uint64(n))
	_, _ = digest.Write(buf[:])
}
