package quarantine

import (
	"testing"

	"github.com/shoenig/test"
)

// TestFingerprintDependsOnEachPart: equal contents have the same fingerprint, and a change
// of any part gives another.
func TestFingerprintDependsOnEachPart(t *testing.T) {
	base := Content{Method: "GET", Host: "h", Target: "/a?b", Credentials: "c", Body: []byte("d")}
	seen := map[Fingerprint]string{base.Fingerprint(): "base"}
	for name, change := range map[string]func(*Content){
		"method": func(c *Content) { c.Method = "PUT" },
		"host":   func(c *Content) { c.Host = "i" },
		"target": func(c *Content) { c.Target = "/a?c" },
		"caller": func(c *Content) { c.Credentials = "" },
		"body":   func(c *Content) { c.Body = nil },
		// The same bytes, split differently.
		"border": func(c *Content) { c.Host, c.Target = "h/", "a?b" },
	} {
		other := base
		change(&other)
		same, collides := seen[other.Fingerprint()]
		test.False(t, collides, test.Sprintf("%s and %s have the same fingerprint", name, same))
		seen[other.Fingerprint()] = name
	}
	equal := base
	test.Eq(t, base.Fingerprint(), equal.Fingerprint())
	test.Eq(t, "000000000000002a", Fingerprint(42).String())
}
