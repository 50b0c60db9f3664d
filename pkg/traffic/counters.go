// Package traffic accounts for what a daemon sends to other daemons: frames and
// bytes by the kind of frame, and by how far they go, since bytes between data
// centres have a price, and between regions a higher one. Source: docs/operators/metrics.md.
package traffic

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/rushramp/rushramp/pkg/proximity"
	"github.com/rushramp/rushramp/pkg/wire"
)

// frameCounters are those of one kind of frame in one place.
type frameCounters struct {
	frames *metrics.Counter
	bytes  *metrics.Counter
}

// Counters is one daemon's account. It is safe for concurrent use.
type Counters struct {
	sent [proximity.Count][wire.TypeCount]frameCounters
}

// NewCounters makes an account whose counters stand in a set of metrics.
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

// CountSent counts one frame of a kind and its size in bytes.
func (c *Counters) CountSent(to proximity.Level, kind wire.Type, size int) {
	sent := &c.sent[to][kind]
	sent.frames.Inc()
	sent.bytes.Add(size)
}

// Total is what was sent of one kind of frame to one place.
type Total struct {
	To     proximity.Level
	Kind   wire.Type
	Frames uint64
	Bytes  uint64
}

// Totals returns what was sent so far, without the kinds that were not.
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
