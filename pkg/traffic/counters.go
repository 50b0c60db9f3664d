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

// frameCounters count the frames of one type that are sent to one proximity.
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
		for kind := range wire.Type(wire.TypeCount) {
			if kind == 0 {
				continue
			}
			labels := fmt.Sprintf(`{kind=%q,place=%q}`, kind, to)
			counters.sent[to][kind] = frameCounters{
				frames: set.NewCounter("rushramp_link_frames_total" + labels),
				bytes:  set.NewCounter("rushramp_link_bytes_total" + labels),
			}
		}
	}
	return counters
}

// CountSent counts one frame. size is in bytes.
func (c *Counters) CountSent(to proximity.Level, kind wire.Type, size int) {
	sent := &c.sent[to][kind]
	sent.frames.Inc()
	sent.bytes.Add(size)
}

// Total is the number of frames of one type, and of their bytes, sent to one proximity.
type Total struct {
	To     proximity.Level
	Kind   wire.Type
	Frames uint64
	Bytes  uint64
}

// Totals returns the totals so far, without those of zero frames.
func (c *Counters) Totals() []Total {
	var out []Total
	for to := range c.sent {
		for kind, sent := range c.sent[to] {
			if sent.frames == nil || sent.frames.Get() == 0 {
				continue
			}
			out = append(out, Total{To: proximity.Level(to), Kind: wire.Type(kind), Frames: sent.frames.Get(), Bytes: sent.bytes.Get()})
		}
	}
	return out
}
