package systems

import (
	"testing"
	"time"

	"github.com/shoenig/test"

	"github.com/rushramp/rushramp/pkg/link"
)

func TestASmallFleetKeepsTheHeartbeatOfItsSettings(t *testing.T) {
	var p pace
	for now := range 20 {
		every, bound := p.of(int64(time.Duration(now)*time.Second), 13)
		test.Eq(t, paceUnit, every)
		test.Eq(t, link.MissedHeartbeats*paceUnit, bound)
	}
}

// TestHeartbeatsGetRarerAfterTheirBound: a daemon that has just heard of a large
// fleet is patient at once, and sends more rarely only when its peers have had
// the time to hear of it, too.
func TestHeartbeatsGetRarerAfterTheirBound(t *testing.T) {
	var p pace
	at := func(d time.Duration, members int) (every, bound time.Duration) { return p.of(1+int64(d), members) }
	at(0, 1)
	every, bound := at(time.Second, 295)
	test.Eq(t, paceUnit, every)
	test.Eq(t, link.MissedHeartbeats*paceMost, bound)
	every, _ = at(paceLag, 295)
	test.Eq(t, paceUnit, every, test.Sprint("the window still holds a small fleet"))
	every, _ = at(2*paceLag, 295)
	test.Eq(t, paceMost, every)
	every, _ = at(2*paceLag+time.Second, 13)
	test.Eq(t, paceUnit, every, test.Sprint("a fleet that shrank: sooner at once"))
}

func TestAMiddlingFleetIsInBetween(t *testing.T) {
	var p pace
	for now := range 20 {
		p.of(int64(time.Duration(now)*time.Second), 61)
	}
	every, bound := p.of(int64(20*time.Second), 61)
	test.Eq(t, 61, every)
	test.Eq(t, link.MissedHeartbeats*61, bound)
}
