package runner

import (
	"testing"
	"time"

	"github.com/shoenig/test"

	"github.com/rushramp/rushramp/pkg/backend"
	"github.com/rushramp/rushramp/pkg/routing"
)

// testColdRate is how many starts a second the services below bear while they are cold.
const testColdRate = 20

func withColdRate(r *Runner) (most int) {
	r.service = func() (routing.Service, bool) {
		return routing.Service{ColdFor: 3 * time.Second, ColdRate: testColdRate}, true
	}
	return int(r.Settings.Routing.ColdFactor*testColdRate + r.Settings.Routing.ColdSlack)
}

// executeMany hands requests over that go on until the test ends.
func executeMany(t *testing.T, r *Runner, n int) {
	for range n {
		_, cancel := execute(r, routedCall("a"))
		t.Cleanup(cancel)
	}
}

// TestAHeartbeatHeldBackCountsWhatStartedMeanwhile: a backend server becomes cold, and
// a few requests start on its last warm word, too few for the next question. Its first
// heartbeat of the cold time comes late.
func TestAHeartbeatHeldBackCountsWhatStartedMeanwhile(t *testing.T) {
	r, lifecycle := newTestRunner(t, newHoldingServer(), 100)
	most := withColdRate(r)
	const longerThanSlack = 2 * time.Duration(coldReportSlack)
	time.Sleep(longerThanSlack) // what the process before started is out of the question
	lifecycle.RecordCold(r.Now(), r.Now(), "i-1", 0)
	r.UpdateCold()
	executeMany(t, r, most/2)
	time.Sleep(longerThanSlack)
	lifecycle.RecordHeartbeat(r.Now(), backend.Heartbeat{InstanceID: "i-1", Sequence: 1, ColdFor: 3 * time.Second})
	r.UpdateCold()
	executeMany(t, r, 3*most)
	test.Eq(t, uint32(most), r.gate.Stamp(r.Now()).Running)
}

// TestStartsOfTheProcessBeforeCountWhateverComesFirst: a daemon that was started again
// hears the cold word after another one, as of a request that came before any word.
func TestStartsOfTheProcessBeforeCountWhateverComesFirst(t *testing.T) {
	for _, early := range []int{0, 1} {
		r, lifecycle := newTestRunner(t, newHoldingServer(), 100)
		withColdRate(r)
		executeMany(t, r, early) // it takes over that nothing was said yet
		lifecycle.RecordCold(r.Now(), r.Now(), "i-1", 2*time.Second)
		r.UpdateCold()
		executeMany(t, r, 100)
		test.LessEq(t, uint32(early), r.gate.Stamp(r.Now()).Running, test.Sprint("the process before may have started all that a second bears"))
	}
}
