package daemon

import (
	"testing"

	"github.com/shoenig/test"

	"github.com/rushramp/rushramp/pkg/settings"
)

// TestPlatformBoundsOverrideSettings checks that daemons use a share of each platform bound
// in place of the setting, and keep the settings without bounds.
func TestPlatformBoundsOverrideSettings(t *testing.T) {
	r := settings.Default().Routing
	before := r
	Bounds{}.apply(&r)
	test.Eq(t, before, r)
	Bounds{RetryRatio: 0.5, RetrySlack: 630, ChecksPerSecond: 100}.apply(&r)
	test.Eq(t, 0.4, r.RetryRatio)
	test.Eq(t, 504, r.RetrySlack)
	test.Eq(t, 65, r.LooksPerSecond)
	Bounds{ColdFactor: 1.5, ColdSlack: 8}.apply(&r)
	test.Eq(t, 30, r.ColdFactor*16+r.ColdSlack)
}
