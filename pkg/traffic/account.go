// Package traffic accounts for what a daemon sends to other daemons: frames and
// bytes by the kind of frame, and by whether they leave the data centre, where
// bytes have a price. Source: docs/operators/metrics.md.
package traffic

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/rushramp/rushramp/pkg/wire"
)

// Place says where the daemon at the other end of a link stands.
type Place uint32

// The places. A link's place is not known until its peer has greeted.
const (
	Unknown Place = iota
	OwnDataCentre
	OtherDataCentre
	places
)

// String returns the place's label in metrics.
func (p Place) String() string { return [...]string{"unknown", "own", "other"}[p] }

// counters are those of one kind of frame in one place.
type counters struct {
	frames *metrics.Counter
	bytes  *metrics.Counter
}

// Account is one daemon's account. It is safe for concurrent use.
type Account struct {
	sent [places][wire.TypeCount]counters
}

// NewAccount makes an account whose counters stand in a set of metrics.
func NewAccount(set *metrics.Set) *Account {
	a := &Account{}
	for place := range places {
		for kind := range wire.Type(wire.TypeCount) {
			if kind == 0 {
				continue
			}
			labels := fmt.Sprintf(`{kind=%q,data_centre=%q}`, kind, place)
			a.sent[place][kind] = counters{
				frames: set.NewCounter("rushramp_link_frames_total" + labels),
				bytes:  set.NewCounter("rushramp_link_bytes_total" + labels),
			}
		}
	}
	return a
}

// Sent counts one frame of a kind and its size in bytes.
func (a *Account) Sent(to Place, kind wire.Type, size int) {
	c := &a.sent[to][kind]
	c.frames.Inc()
	c.bytes.Add(size)
}

// Line is what was sent of one kind of frame to one place.
type Line struct {
	To     Place
	Kind   wire.Type
	Frames uint64
	Bytes  uint64
}

// Lines returns what was sent so far, without the kinds that were not.
func (a *Account) Lines() []Line {
	var out []Line
	for place := range a.sent {
		for kind, c := range a.sent[place] {
			if c.frames == nil || c.frames.Get() == 0 {
				continue
			}
			out = append(out, Line{To: Place(place), Kind: wire.Type(kind), Frames: c.frames.Get(), Bytes: c.bytes.Get()})
		}
	}
	return out
}
