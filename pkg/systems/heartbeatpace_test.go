package systems

import (
	"testing"
	"time"

	"github.com/shoenig/test"

	"github.com/rushramp/rushramp/pkg/link"
)

// TestHeartbeatIntervalGrowsWithTheFleet checks that a small fleet uses the interval in
// the settings, and that no interval exceeds maxPace.
func TestHeartbeatIntervalGrowsWithTheFleet(t *testing.T) {
	for members, want := range map[int]time.Duration{1: paceUnit, 13: paceUnit, 61: 61, 295: maxPace, 21_000: maxPace} {
		interval, silence := heartbeatPace{}.intervals(1, members, false)
		test.Eq(t, want, interval)
		test.Eq(t, link.MaxMissedHeartbeats*want, silence)
	}
}

// TestFirstStartUsesTheIntervalOfALargeFleet: the size of the fleet is not known yet.
func TestFirstStartUsesTheIntervalOfALargeFleet(t *testing.T) {
	interval, silence := heartbeatPace{}.intervals(1, 1, true)
	test.Eq(t, maxPace, interval)
	test.Eq(t, link.MaxMissedHeartbeats*maxPace, silence)
	interval, _ = heartbeatPace{}.intervals(int64(firstStartPaceTime), 13, true)
	test.Eq(t, paceUnit, interval)
}
