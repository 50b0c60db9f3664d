package traffic

import (
	"bytes"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/shoenig/test"

	"github.com/rushramp/rushramp/pkg/proximity"
	"github.com/rushramp/rushramp/pkg/wire"
)

func TestFramesAreCountedByTypeAndProximity(t *testing.T) {
	set := metrics.NewSet()
	counters := NewCounters(set)
	counters.CountSent(proximity.OtherRegion, wire.TypeMembers, 100)
	counters.CountSent(proximity.OtherRegion, wire.TypeMembers, 50)
	counters.CountSent(proximity.SameDataCentre, wire.TypeState, 7)
	test.Eq(t, []Total{
		{To: proximity.SameDataCentre, Type: wire.TypeState, Frames: 1, Bytes: 7},
		{To: proximity.OtherRegion, Type: wire.TypeMembers, Frames: 2, Bytes: 150},
	}, counters.Totals())
	var out bytes.Buffer
	set.WritePrometheus(&out)
	test.StrContains(t, out.String(), `rushramp_link_bytes_total{kind="members",place="other"} 150`)
}
