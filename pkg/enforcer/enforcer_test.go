package enforcer

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test"

	"github.com/rushramp/rushramp/pkg/backend"
	"github.com/rushramp/rushramp/pkg/common"
	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/rollout"
	"github.com/rushramp/rushramp/pkg/settings"
)

// TestRecordDoesNothingUnlessRecorderCounts checks that Record then allocates nothing and
// adds no metric, and that it does once the recorder has begun to count.
func TestRecordDoesNothingUnlessRecorderCounts(t *testing.T) {
	s := settings.Default()
	s.BackendServer.Service = "s"
	c := common.NewCommon(events.Discard(), &s)
	recorder := rollout.NewRecorder("vm", "s", 1)
	e := New(c, backend.NewLifecycle(true, nil), recorder)
	replica := rollout.NewReplica()
	replica.Merge(rollout.Update{Plans: []rollout.Plan{{Service: "s", Target: "v2", Old: []string{"v1"}, Order: 5, Revision: 6, Phase: rollout.Completed}}})
	e.SetGuard(&rollout.Guard{Traffic: replica.Traffic("s")})
	run := func() { e.Record(rollout.Outcome{Route: "r", Duration: time.Millisecond}) }
	counted := func() bool {
		var out bytes.Buffer
		c.Metrics.WritePrometheus(&out)
		return strings.Contains(out.String(), "rushramp_rollout_runs_total")
	}
	test.Eq(t, 0, testing.AllocsPerRun(100, run))
	test.False(t, counted())
	recorder.Begin(5, "v2")
	run()
	test.True(t, counted(), test.Sprint("while the recorder counts"))
}
