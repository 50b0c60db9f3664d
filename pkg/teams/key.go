package teams

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/pkg/errors"
)

// digestSize is the length of a key's digest in bytes: SHA-256, cut to 128 bits. Nobody
// finds a second key for one of a hundred thousand digests, and the table of that many
// takes half of what it would with whole digests.
const digestSize = 16

// KeyDigest stands for a key. Daemons hold and hand on digests only; the time that a
// look-up takes tells nothing of a key, as nobody can choose its digest.
type KeyDigest [digestSize]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) KeyDigest {
	sum := sha256.Sum256([]byte(key))
	return KeyDigest(sum[:digestSize])
}

// String returns the digest in hexadecimal digits.
func (d KeyDigest) String() string { return hex.EncodeToString(d[:]) }

// MarshalText writes the digest as String does.
func (d KeyDigest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText reads what MarshalText wrote.
func (d *KeyDigest) UnmarshalText(text []byte) error {
	sum, err := hex.DecodeString(string(text))
	if err != nil || len(sum) != digestSize {
		return errors.Errorf("%d characters are no key's digest. Give the %d hexadecimal digits that \"rushramp key\" prints, never the key itself.", len(text), 2*digestSize)
	}
	*d = KeyDigest(sum)
	return nil
}
