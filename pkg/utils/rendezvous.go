// Package utils holds small general helpers that belong to no one concern.
package utils

import "github.com/cespare/xxhash/v2"

// RendezvousWeight is the weight of a candidate for a key, after Thaler and
// Ravishankar's highest random weight hashing: those who rank candidates by it
// agree without talking, and a candidate that leaves moves nobody else.
func RendezvousWeight(key, candidate string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(key)
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(candidate)
	return digest.Sum64()
}
