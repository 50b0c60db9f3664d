// Package utils holds small helpers that several packages use.
package utils

import "github.com/cespare/xxhash/v2"

// RendezvousWeight returns the weight of a candidate for a key in rendezvous hashing
// (highest random weight, Thaler and Ravishankar). Daemons that rank the same candidates
// by it agree without communication, and removing a candidate does not change the order
// of the others.
func RendezvousWeight(key, candidate string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(key)
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(candidate)
	return digest.Sum64()
}
