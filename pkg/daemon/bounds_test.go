package daemon

import (
	"testing"
	"time"

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

// TestDrainEndsWithinTheGraceTime: with a fixed bound, daemons cut requests long before the
// platform would have killed them, or lived longer than that.
func TestDrainEndsWithinTheGraceTime(t *testing.T) {
	d := settings.Drain{Bound: 5600 * time.Millisecond}
	Bounds{}.applyDrain(&d)
	test.Eq(t, 5600*time.Millisecond, d.Bound)
	for grace, want := range map[time.Duration]time.Duration{
		3 * time.Second: 2800 * time.Millisecond, 6 * time.Second: 5600 * time.Millisecond, 15 * time.Second: 14 * time.Second,
	} {
		Bounds{StopGrace: grace}.applyDrain(&d)
		test.Eq(t, want, d.Bound.Round(time.Millisecond))
	}
}

func TestLingerLeavesTimeToDrain(t *testing.T) {
	test.Eq(t, 2500*time.Millisecond, lingerOf(2500*time.Millisecond, 5600*time.Millisecond))
	test.Eq(t, 1400*time.Millisecond, lingerOf(2500*time.Millisecond, 2800*time.Millisecond))
}
