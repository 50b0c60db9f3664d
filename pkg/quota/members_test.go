package quota

import (
	"testing"
	"time"

	"github.com/shoenig/test"

	"github.com/rushramp/rushramp/pkg/teams"
)

// TestTheCountOfMembersFallsWithTheFleet: daemons that tell each other how many there are
// do not hold each other at what there once were.
func TestTheCountOfMembersFallsWithTheFleet(t *testing.T) {
	w := newWorld(4, teams.Limit{Rate: 10, Burst: 10}, 1)
	const before, now = 10, 4
	// They hear of it one after the other.
	heardBy := time.Duration(0)
	w.members = func(daemon int) uint32 {
		if time.Duration(w.now) > 2*time.Second+time.Duration(daemon)*heardBy && heardBy > 0 {
			return now
		}
		return before
	}
	w.play(0, 2*time.Second, nil)
	heardBy = membersFor / 3
	w.play(0, 4*membersFor, nil)
	for _, d := range w.daemons {
		test.Eq(t, now, d.node.members.count)
	}
}
