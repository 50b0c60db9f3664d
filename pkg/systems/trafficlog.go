package systems

import (
	"fmt"
	"strings"
	"time"

	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/link"
	"github.com/rushramp/rushramp/pkg/proximity"
	"github.com/rushramp/rushramp/pkg/store"
	"github.com/rushramp/rushramp/pkg/tables"
	"github.com/rushramp/rushramp/pkg/traffic"
)

// trafficLogInterval keeps the two lines per interval below 0.1 % of
// log.bytes_per_second.
const trafficLogInterval = 10 * time.Second

// trafficLog logs the frames sent to other daemons and the calls made to the store since
// its last lines. The metrics contain the same figures.
type trafficLog struct {
	*Env
	timer      intervalTimer
	lastTotals map[traffic.Total]traffic.Total
	lastCalls  map[string]uint64
}

// Tick implements System.
func (t *trafficLog) Tick(now int64, _ *tables.Mail) {
	if !t.timer.fires(now, trafficLogInterval) {
		return
	}
	t.logTraffic()
	t.logStoreCalls()
}

func (t *trafficLog) logTraffic() {
	if t.lastTotals == nil {
		t.lastTotals = map[traffic.Total]traffic.Total{}
	}
	var frames []string
	for _, total := range t.Traffic.Totals() {
		key := traffic.Total{To: total.To, Type: total.Type}
		last := t.lastTotals[key]
		t.lastTotals[key] = total
		if total.Frames > last.Frames {
			frames = append(frames, fmt.Sprintf("%s/%s:%d/%d", total.Type, total.To, total.Frames-last.Frames, total.Bytes-last.Bytes))
		}
	}
	opened, byLevel := 0, [proximity.Count]int{}
	t.World.Peers.EachRow(func(peer *link.Peer, _ *tables.PeerRow) {
		if peer.Outgoing {
			opened++
		}
		byLevel[t.proximityOf(peer)]++
	})
	t.Log.Event(events.LinkTraffic, events.F("links", t.World.Peers.Len()), events.F("opened", opened), events.F("near", byLevel[proximity.SameDataCentre]), events.F("region", byLevel[proximity.Region]), events.F("other", byLevel[proximity.OtherRegion]),
		events.F("members", t.World.Members.Len()), events.F("frames_and_bytes", strings.Join(frames, " ")))
}

func (t *trafficLog) logStoreCalls() {
	if t.lastCalls == nil {
		t.lastCalls = map[string]uint64{}
	}
	var calls []string
	for _, c := range store.CallCounts(t.Metrics) {
		if n := c.Count - t.lastCalls[c.Name]; n > 0 {
			calls = append(calls, fmt.Sprintf("%s:%d", c.Name, n))
		}
		t.lastCalls[c.Name] = c.Count
	}
	if len(calls) > 0 {
		t.Log.Event(events.StoreCalls, events.F("calls", strings.Join(calls, " ")))
	}
}
