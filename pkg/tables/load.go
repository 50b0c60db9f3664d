// Package tables holds the entities that the systems work on: members (VMs and
// their backend servers), data centres, placements, and what is known of each
// backend server's load. Source: docs/DESIGN.md, "Tables and systems".
package tables

import (
	"sync/atomic"
	"time"

	"github.com/rushramp/rushramp/pkg/wire"
)

// failureWeightShift sets the weight of one answer in the failure share: 1/8.
const failureWeightShift = 3

// failureShareOne is the fixed-point form of a failure share of 1.
const failureShareOne = 1 << 16

// Load is what this entry knows of one backend server's load. The hot path
// updates it with atomics and waits for no tick. It is one struct a row rather
// than a column a field: choosing reads all fields of a few rows, so a row in
// one cache line costs one miss.
type Load struct {
	// incarnation is that of the daemon that the row is about.
	incarnation     atomic.Uint64
	stampSeq        atomic.Uint64
	stampReceivedAt atomic.Int64
	inFlight        atomic.Int64
	limit           atomic.Int64
	serviceTime     atomic.Int64
	outstanding     atomic.Int64
	sentSinceStamp  atomic.Int64
	noAnswerSince   atomic.Int64
	failureShare    atomic.Int64
	roundTrip       atomic.Int64
	slowdown        atomic.Int64
	usualSlowdown   atomic.Int64
	// unresponsiveAt is when the daemon was found silent; 0: it was heard since.
	unresponsiveAt atomic.Int64
}

// NewLoad makes the row of a backend server that has not been heard of.
func NewLoad(slots int) *Load {
	l := &Load{}
	l.limit.Store(int64(max(slots, 1)))
	return l
}

// RecordSent notes a call on its way to the backend server. now is in nanoseconds.
func (l *Load) RecordSent(now int64) {
	if l.outstanding.Add(1) == 1 {
		l.noAnswerSince.Store(now)
	}
	l.sentSinceStamp.Add(1)
}

// RecordEnded notes that a call is no longer outstanding, whatever came of it.
func (l *Load) RecordEnded(now int64) {
	l.outstanding.Add(-1)
	l.noAnswerSince.Store(now)
}

// MarkUnresponsive notes that the daemon gives no sign of life.
func (l *Load) MarkUnresponsive(now int64) { l.unresponsiveAt.Store(now) }

// RecordAnswer notes how a call that the backend server answered ended.
func (l *Load) RecordAnswer(failed bool) {
	old := l.failureShare.Load()
	target := int64(0)
	if failed {
		target = failureShareOne
	}
	// A lost update of two racing answers costs an eighth of one answer.
	l.failureShare.Store(old + (target-old)>>failureWeightShift)
}

// ApplyStamp takes a stamp over, unless a newer one is known.
func (l *Load) ApplyStamp(now int64, stamp wire.Stamp) {
	for {
		newest := l.stampSeq.Load()
		if stamp.Seq <= newest {
			return
		}
		if l.stampSeq.CompareAndSwap(newest, stamp.Seq) {
			break
		}
	}
	l.inFlight.Store(int64(stamp.Running) + int64(stamp.Queued))
	l.limit.Store(max(int64(stamp.Limit), 1))
	l.serviceTime.Store(int64(stamp.ServiceUS) * int64(time.Microsecond))
	l.slowdown.Store(int64(stamp.Slowdown))
	l.usualSlowdown.Store(int64(stamp.Usual))
	l.unresponsiveAt.Store(0)
	l.stampReceivedAt.Store(now)
	l.sentSinceStamp.Store(0)
}

// BeginIncarnation notes which process of the daemon a new link leads to. What was known of
// another one is forgotten: its stamps are numbered anew, and those of the old
// one would keep them out.
func (l *Load) BeginIncarnation(incarnation uint64, slots int) {
	if l.incarnation.Swap(incarnation) != incarnation {
		l.Reset(slots)
	}
}

// Reset forgets what was known, for a new incarnation at the same address.
func (l *Load) Reset(slots int) {
	l.stampSeq.Store(0)
	l.stampReceivedAt.Store(0)
	l.inFlight.Store(0)
	l.serviceTime.Store(0)
	l.sentSinceStamp.Store(0)
	l.failureShare.Store(0)
	l.slowdown.Store(0)
	l.usualSlowdown.Store(0)
	l.unresponsiveAt.Store(0)
	l.limit.Store(int64(max(slots, 1)))
}

// LoadSnapshot is a consistent enough reading of a Load: each field by itself is
// right, and two fields may be some nanoseconds apart.
type LoadSnapshot struct {
	// StampReceivedAt is when the stamp was received; 0: never.
	StampReceivedAt int64
	// InFlight counts calls at the gate in the stamp, running and queued.
	InFlight int64
	// Limit is how many calls the gate runs at once.
	Limit int64
	// ServiceTime is the estimated time of one run; 0: not known.
	ServiceTime time.Duration
	// Outstanding counts this entry's own calls without an answer.
	Outstanding int64
	// SentSinceStamp counts this entry's own calls sent after the stamp arrived.
	SentSinceStamp int64
	// NoAnswerFor is how long calls have been outstanding without any answer.
	NoAnswerFor time.Duration
	// RoundTrip is the time of a round trip to the daemon.
	RoundTrip time.Duration
	// Slowdown is how long work takes there, in percent of what is usual; 0: not
	// known.
	Slowdown int64
	// UsualSlowdown is the slowdown there outside of slow spells, in percent; 0: none.
	UsualSlowdown int64
	// UnresponsiveFor is how long ago the daemon was found silent; 0: it was not, or
	// was heard since.
	UnresponsiveFor time.Duration
	// FailureShare is the weighted share of recent answers that were failures.
	FailureShare float64
}

// Snapshot reads the row at time now.
func (l *Load) Snapshot(now int64) LoadSnapshot {
	var out LoadSnapshot
	l.SnapshotInto(now, &out)
	return out
}

// SnapshotInto reads the row at time now into out, in place: choosing does it for each
// candidate of each call.
func (l *Load) SnapshotInto(now int64, out *LoadSnapshot) {
	out.StampReceivedAt = l.stampReceivedAt.Load()
	out.InFlight = l.inFlight.Load()
	out.Limit = l.limit.Load()
	out.ServiceTime = time.Duration(l.serviceTime.Load())
	out.Outstanding = l.outstanding.Load()
	out.SentSinceStamp = l.sentSinceStamp.Load()
	out.RoundTrip = time.Duration(l.roundTrip.Load())
	out.Slowdown = l.slowdown.Load()
	out.UsualSlowdown = l.usualSlowdown.Load()
	out.UnresponsiveFor = 0
	if at := l.unresponsiveAt.Load(); at > 0 {
		out.UnresponsiveFor = time.Duration(max(now-at, 1))
	}
	out.NoAnswerFor = 0
	if out.Outstanding > 0 {
		out.NoAnswerFor = time.Duration(max(now-l.noAnswerSince.Load(), 0))
	}
	out.FailureShare = 0
	if share := l.failureShare.Load(); share > 0 {
		out.FailureShare = float64(share) / failureShareOne
	}
}

// Outstanding counts this entry's own calls without an answer.
func (l *Load) Outstanding() int64 { return l.outstanding.Load() }

// StampReceivedAt is when the newest stamp was received; 0: never.
func (l *Load) StampReceivedAt() int64 { return l.stampReceivedAt.Load() }

// SetRoundTrip notes the time of a round trip to the daemon.
func (l *Load) SetRoundTrip(d time.Duration) { l.roundTrip.Store(int64(d)) }

// RoundTrip is the time of a round trip to the daemon; 0 for this daemon itself
// and while it is not known.
func (l *Load) RoundTrip() time.Duration { return time.Duration(l.roundTrip.Load()) }
