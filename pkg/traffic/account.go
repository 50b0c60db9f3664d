// Package traffic accounts for what a daemon sends to other daemons: frames and
// bytes by the kind of frame, and by how far they go, since bytes between data
// centres have a price, and between regions a higher one. Source: docs/operators/metrics.md.
package traffic

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/rushramp/rushramp/pkg/place"
	"github.com/rushramp/rushramp/pkg/wire"
)

// counters are those of one kind of frame in one place.
type counters struct {
	frames *metrics.Counter
	bytes  *metrics.Counter
}

// Account is one daemon's account. It is safe for concurrent use.
type Account struct {
	sent [place.Count][wire.TypeCount]counters
}

// NewAccount makes an account whose counters stand in a set of metrics.
func NewAccount(set *metrics.Set) *Account {
	a := &Account{}
	for to := range place.Count {
		for kind := range wire.Type(wire.TypeCount) {
			if kind == 0 {
				continue
			}
			labels := fmt.Sprintf(`{kind=%q,place=%q}`, kind, to)
			a.sent[to][kind] = counters{
				frames: set.NewCounter("rushramp_link_frames_total" + labels),
				bytes:  set.NewCounter("rushramp_link_bytes_total" + labels),
			}
		}
	}
	return a
}

// Sent counts one frame of a kind and its size in bytes.
func (a *Account) Sent(to place.Place, kind wire.Type, size int) {
	c := &a.sent[to][kind]
	c.frames.Inc()
	c.bytes.Add(size)
}

// Line is what was sent of one kind of frame to one place.
type Line struct {
	To     place.Place
	Kind   wire.Type
	Frames uint64
	Bytes  uint64
}

// Lines returns what was sent so far, without the kinds that were not.
func (a *Account) Lines() []Line {
	var out []Line
	for to := range a.sent {
		for kind, c := range a.sent[to] {
			if c.frames == nil || c.frames.Get() == 0 {
				continue
			}
			out = append(out, Line{To: place.Place(to), Kind: wire.Type(kind), Frames: c.frames.Get(), Bytes: c.bytes.Get()})
		}
	}
	return out
}
