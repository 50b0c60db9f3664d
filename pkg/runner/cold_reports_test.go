package runner

import (
	"testing"
	"time"

	"github.com/shoenig/test"

	"github.com/rushramp/rushramp/pkg/backend"
	"github.com/rushramp/rushramp/pkg/routing"
)

// testColdRate is how many starts a second a cold backend server tolerates in these tests.
const testColdRate = 20

// withColdRate sets a placement with testColdRate and returns how many starts the gate
// allows in a second.
func withColdRate(r *Runner) (maxStarts int) {
	r.service = func() (routing.Service, bool) {
		return routing.Service{ColdFor: 3 * time.Second, ColdRate: testColdRate}, true
	}
	return int(r.Settings.Routing.ColdFactor*testColdRate + r.Settings.Routing.ColdSlack)
}

// executeMany executes n requests, which run or wait until the test ends.
func executeMany(t *testing.T, r *Runner, n int) {
	for range n {
		_, cancel := execute(r, routedCall("a"))
		t.Cleanup(cancel)
	}
}

// TestDelayedColdHeartbeatCountsEarlierStarts: a backend server becomes cold, and a few
// requests start because it was last reported warm, too few to cause a health check. The
// first heartbeat that reports it cold arrives late: the gate must count these starts.
func TestDelayedColdHeartbeatCountsEarlierStarts(t *testing.T) {
	r, lifecycle := newTestRunner(t, newHoldingServer(), 100)
	maxStarts := withColdRate(r)
	const longerThanSlack = 2 * time.Duration(coldReportSlack)
	time.Sleep(longerThanSlack) // so that starts of a previous process do not count
	lifecycle.RecordCold(r.Now(), r.Now(), "i-1", 0)
	r.UpdateColdState()
	executeMany(t, r, maxStarts/2)
	time.Sleep(longerThanSlack)
	lifecycle.RecordHeartbeat(r.Now(), backend.Heartbeat{InstanceID: "i-1", Sequence: 1, ColdFor: 3 * time.Second})
	r.UpdateColdState()
	executeMany(t, r, 3*maxStarts)
	test.Eq(t, uint32(maxStarts), r.gate.Stamp(r.Now()).Running)
}

// TestStartsOfPreviousProcessCount: a restarted daemon learns that the backend server is
// cold, before or after its first request. The previous process may have used up the
// starts of this second.
func TestStartsOfPreviousProcessCount(t *testing.T) {
	for _, early := range []int{0, 1} {
		r, lifecycle := newTestRunner(t, newHoldingServer(), 100)
		withColdRate(r)
		executeMany(t, r, early) // sets the gate's limit without any report
		lifecycle.RecordCold(r.Now(), r.Now(), "i-1", 2*time.Second)
		r.UpdateColdState()
		executeMany(t, r, 100)
		test.LessEq(t, uint32(early), r.gate.Stamp(r.Now()).Running, test.Sprint("the previous process may have made all starts of this second"))
	}
}
