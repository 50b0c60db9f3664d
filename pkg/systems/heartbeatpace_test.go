package systems

import (
	"testing"
	"time"

	"github.com/shoenig/test"

	"github.com/rushramp/rushramp/pkg/link"
)

// TestHeartbeatsGetRarerWithTheFleet: those of a small one come as the settings say,
// and none waits longer than paceMost.
func TestHeartbeatsGetRarerWithTheFleet(t *testing.T) {
	for members, want := range map[int]time.Duration{1: paceUnit, 13: paceUnit, 61: 61, 295: paceMost, 21_000: paceMost} {
		every, bound := heartbeatPace{}.of(1, members, false)
		test.Eq(t, want, every)
		test.Eq(t, link.MissedHeartbeats*want, bound)
	}
}

// TestTheFirstStartCountsAsThatOfALargeFleet: nobody knows its size yet.
func TestTheFirstStartCountsAsThatOfALargeFleet(t *testing.T) {
	every, bound := heartbeatPace{}.of(1, 1, true)
	test.Eq(t, paceMost, every)
	test.Eq(t, link.MissedHeartbeats*paceMost, bound)
	every, _ = heartbeatPace{}.of(int64(paceStart), 13, true)
	test.Eq(t, paceUnit, every)
}
