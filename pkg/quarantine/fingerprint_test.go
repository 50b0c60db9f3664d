package quarantine

import (
	"testing"

	"github.com/shoenig/test"
)

// TestEachPartOfTheContentCounts and nothing else does.
func TestEachPartOfTheContentCounts(t *testing.T) {
	base := Content{Method: "GET", Host: "h", Target: "/a?b", Credentials: "c", Body: []byte("d")}
	seen := map[Fingerprint]string{base.Fingerprint(): "base"}
	for name, change := range map[string]func(*Content){
		"method": func(c *Content) { c.Method = "PUT" },
		"host":   func(c *Content) { c.Host = "i" },
		"target": func(c *Content) { c.Target = "/a?c" },
		"caller": func(c *Content) { c.Credentials = "" },
		"body":   func(c *Content) { c.Body = nil },
		// The same bytes in other places.
		"border": func(c *Content) { c.Host, c.Target = "h/", "a?b" },
	} {
		other := base
		change(&other)
		before, twice := seen[other.Fingerprint()]
		test.False(t, twice, test.Sprintf("%s and %s", name, before))
		seen[other.Fingerprint()] = name
	}
	again := base
	test.Eq(t, base.Fingerprint(), again.Fingerprint())
	test.Eq(t, "000000000000002a", Fingerprint(42).String())
}
