package traffic

import (
	"bytes"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/shoenig/test"

	"github.com/rushramp/rushramp/pkg/place"
	"github.com/rushramp/rushramp/pkg/wire"
)

func TestFramesAreCountedByKindAndPlace(t *testing.T) {
	set := metrics.NewSet()
	a := NewAccount(set)
	a.Sent(place.Other, wire.TypeMembers, 100)
	a.Sent(place.Other, wire.TypeMembers, 50)
	a.Sent(place.Near, wire.TypeState, 7)
	test.Eq(t, []Line{
		{To: place.Near, Kind: wire.TypeState, Frames: 1, Bytes: 7},
		{To: place.Other, Kind: wire.TypeMembers, Frames: 2, Bytes: 150},
	}, a.Lines())
	var out bytes.Buffer
	set.WritePrometheus(&out)
	test.StrContains(t, out.String(), `rushramp_link_bytes_total{kind="members",place="other"} 150`)
}
