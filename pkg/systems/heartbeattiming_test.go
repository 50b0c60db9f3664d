package systems

import (
	"testing"
	"time"

	"github.com/shoenig/test"

	"github.com/rushramp/rushramp/pkg/link"
)

// TestHeartbeatIntervalGrowsWithTheFleet checks that a small fleet uses the interval in
// the settings, and that no interval exceeds maxHeartbeatInterval.
func TestHeartbeatIntervalGrowsWithTheFleet(t *testing.T) {
	for members, want := range map[int]time.Duration{1: unitsPerHeartbeat, 13: unitsPerHeartbeat, 61: 61, 295: maxHeartbeatInterval, 21_000: maxHeartbeatInterval} {
		interval, silence := heartbeatTiming{}.intervals(1, members, false)
		test.Eq(t, want, interval)
		test.Eq(t, link.MaxMissedHeartbeats*want, silence)
	}
}

// TestFirstStartUsesTheIntervalOfALargeFleet: the size of the fleet is not known yet.
func TestFirstStartUsesTheIntervalOfALargeFleet(t *testing.T) {
	interval, silence := heartbeatTiming{}.intervals(1, 1, true)
	test.Eq(t, maxHeartbeatInterval, interval)
	test.Eq(t, link.MaxMissedHeartbeats*maxHeartbeatInterval, silence)
	interval, _ = heartbeatTiming{}.intervals(int64(largeFleetAssumedFor), 13, true)
	test.Eq(t, unitsPerHeartbeat, interval)
}
