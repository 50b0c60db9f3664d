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

// accountEvery is the time between two lines of the account: two short lines
// each ten seconds are under a tenth of a percent of log.bytes_per_second.
const accountEvery = 10 * time.Second

// trafficLog logs what this daemon has sent to others and asked of the store. The
// same figures stand in the metrics.
type trafficLog struct {
	*Env
	due   intervalTimer
	sent  map[traffic.Total]traffic.Total
	calls map[string]uint64
}

// Tick implements System.
func (a *trafficLog) Tick(now int64, _ *tables.Mail) {
	if !a.due.fires(now, accountEvery) {
		return
	}
	a.logTraffic()
	a.logStore()
}

func (a *trafficLog) logTraffic() {
	if a.sent == nil {
		a.sent = map[traffic.Total]traffic.Total{}
	}
	var frames []string
	for _, line := range a.Traffic.Totals() {
		key := traffic.Total{To: line.To, Kind: line.Kind}
		before := a.sent[key]
		a.sent[key] = line
		if line.Frames > before.Frames {
			frames = append(frames, fmt.Sprintf("%s/%s:%d/%d", line.Kind, line.To, line.Frames-before.Frames, line.Bytes-before.Bytes))
		}
	}
	opened, at := 0, [proximity.Count]int{}
	a.World.Peers.EachRow(func(peer *link.Peer, _ *tables.PeerRow) {
		if peer.Outgoing {
			opened++
		}
		at[a.proximityOf(peer)]++
	})
	a.Log.Event(events.LinkTraffic, events.F("links", a.World.Peers.Len()), events.F("opened", opened), events.F("near", at[proximity.SameDataCentre]), events.F("region", at[proximity.Region]), events.F("other", at[proximity.OtherRegion]),
		events.F("members", a.World.Members.Len()), events.F("frames_and_bytes", strings.Join(frames, " ")))
}

func (a *trafficLog) logStore() {
	if a.calls == nil {
		a.calls = map[string]uint64{}
	}
	var calls []string
	for _, c := range store.CallCounts(a.Metrics) {
		if n := c.Count - a.calls[c.Name]; n > 0 {
			calls = append(calls, fmt.Sprintf("%s:%d", c.Name, n))
		}
		a.calls[c.Name] = c.Count
	}
	if len(calls) > 0 {
		a.Log.Event(events.StoreCalls, events.F("calls", strings.Join(calls, " ")))
	}
}
