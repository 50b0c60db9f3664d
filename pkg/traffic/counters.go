// Package traffic counts the frames and bytes that a daemon sends to other daemons, by
// type of frame and by proximity: bytes between data centres have a price, and bytes
// between regions a higher one. Source: docs/operators/metrics.md.
package traffic

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/rushramp/rushramp/pkg/proximity"
	"github.com/rushramp/rushramp/pkg/wire"
)

// frameCounters count the frames of one type that are sent to daemons at one proximity
// level, and their bytes.
type frameCounters struct {
	frames *metrics.Counter
	bytes  *metrics.Counter
}

// Counters count what one daemon has sent. They are safe for concurrent use.
type Counters struct {
	sent [proximity.Count][wire.TypeCount]frameCounters
}

// NewCounters returns counters that are registered in a set of metrics.
func NewCounters(set *metrics.Set) *Counters {
	counters := &Counters{}
	for to := range proximity.Count {
		for frameType := range wire.Type(wire.TypeCount) {
			if frameType == 0 {
				continue
			}
			labels := fmt.Sprintf(`{kind=%q,place=%q}`, frameType, to)
			counters.sent[to][frameType] = frameCounters{
				frames: set.NewCounter("rushramp_link_frames_total" + labels),
				bytes:  set.NewCounter("rushramp_link_bytes_total" + labels),
			}
		}
	}
	return counters
}

// CountSent counts one frame. size is in bytes.
func (c *Counters) CountSent(to proximity.Level, frameType wire.Type, size int) {
	sent := &c.sent[to][frameType]
	sent.frames.Inc()
	sent.bytes.Add(size)
}

// Total holds the number of frames of one type sent to daemons at one proximity level, and
// the number of their bytes.
type Total struct {
	To     proximity.Level
	Type   wire.Type
	Frames uint64
	Bytes  uint64
}

// Totals returns the totals so far, except those with no frames.
func (c *Counters) Totals() []Total {
	var out []Total
	for to := range c.sent {
		for frameType, sent := range c.sent[to] {
			if sent.frames == nil || sent.frames.Get() == 0 {
				continue
			}
			out = append(out, Total{To: proximity.Level(to), Type: wire.Type(frameType), Frames: sent.frames.Get(), Bytes: sent.bytes.Get()})
		}
	}
	return out
}
