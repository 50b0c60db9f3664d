package teams

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/pkg/errors"
)

// digestSize is the length of a key digest in bytes: SHA-256 truncated to 128 bits. That
// still rules out finding a second key for one of 100,000 digests, and halves the memory
// of their table.
const digestSize = 16

// KeyDigest identifies a key. Daemons store and send digests only. The time of a look-up
// reveals nothing about a key, since nobody can choose the digest of a key.
type KeyDigest [digestSize]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) KeyDigest {
	sum := sha256.Sum256([]byte(key))
	return KeyDigest(sum[:digestSize])
}

// String returns the digest in hexadecimal digits.
func (d KeyDigest) String() string { return hex.EncodeToString(d[:]) }

// MarshalText returns the same digits as String.
func (d KeyDigest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText parses the hexadecimal digits of a digest. It fails on any other text.
func (d *KeyDigest) UnmarshalText(text []byte) error {
	sum, err := hex.DecodeString(string(text))
	if err != nil || len(sum) != digestSize {
		return errors.Errorf("a text of %d characters is not a key digest. Give the %d hexadecimal digits that \"rushramp key\" prints, never the key itself.", len(text), 2*digestSize)
	}
	*d = KeyDigest(sum)
	return nil
}
