// Package tables holds the state that the systems of a daemon (package systems) read and
// change at each tick: the members (VMs with their daemons and backend servers), the
// links to other daemons, the placement in force and the load of each backend server.
// Source: docs/DESIGN.md, "Tables and systems".
package tables

import (
	"sync/atomic"
	"time"

	"github.com/rushramp/rushramp/pkg/wire"
)

// failureWeightShift gives the newest answer a weight of 1/8 in the failure share.
const failureWeightShift = 3

// failureShareOne is a failure share of 1 as a fixed-point number.
const failureShareOne = 1 << 16

// Load is the load of one backend server as this entry knows it. Requests update it by
// atomic operations, without waiting for a tick. Its values are fields of one struct, not
// columns of a table: a decision reads all values of a few servers, and adjacent values
// cause fewer cache misses.
type Load struct {
	// incarnation numbers the daemon process that the load belongs to.
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
	minRTT          atomic.Int64
	slowdown        atomic.Int64
	normalSlowdown  atomic.Int64
	// linkDelay, bodyWait and linkRate are those of the newest stamp. bodyBytesSinceStamp
	// counts the bytes of granted bodies that were offered since.
	linkDelay           atomic.Int64
	bodyWait            atomic.Int64
	linkRate            atomic.Int64
	bodyBytesSinceStamp atomic.Int64
	// startRateMilli and startTokensMilli are those of the newest stamp. rateLimitMilli is
	// the rate limit that the newest stamp with one states; a restart of the daemon does not
	// reset it.
	startRateMilli   atomic.Int64
	startTokensMilli atomic.Int64
	rateLimitMilli   atomic.Int64
	// unresponsiveAt is when the daemon was found unresponsive; 0: never, or it has sent a
	// stamp since.
	unresponsiveAt atomic.Int64
}

// NewLoad returns the load of a backend server that has sent no stamp yet. slots is its
// concurrency limit until then.
func NewLoad(slots int) *Load {
	l := &Load{}
	l.limit.Store(int64(max(slots, 1)))
	return l
}

// RecordSent counts a call that is sent to the backend server. now is in nanoseconds of
// the daemon's clock, here and in the other methods.
func (l *Load) RecordSent(now int64) {
	if l.outstanding.Add(1) == 1 {
		l.noAnswerSince.Store(now)
	}
	l.sentSinceStamp.Add(1)
}

// RecordOffered counts the bytes of a body that the backend server's daemon grants.
func (l *Load) RecordOffered(size int64) { l.bodyBytesSinceStamp.Add(size) }

// RecordEnded counts a call as no longer outstanding, however it ended.
func (l *Load) RecordEnded(now int64) {
	l.outstanding.Add(-1)
	l.noAnswerSince.Store(now)
}

// MarkUnresponsive records that the daemon shows no sign of life while a call waits for
// it.
func (l *Load) MarkUnresponsive(now int64) { l.unresponsiveAt.Store(now) }

// RecordAnswer updates the failure share with the result of a call.
func (l *Load) RecordAnswer(failed bool) {
	old := l.failureShare.Load()
	target := int64(0)
	if failed {
		target = failureShareOne
	}
	// Two answers that race may lose one update, which shifts the share by an eighth at
	// most.
	l.failureShare.Store(old + (target-old)>>failureWeightShift)
}

// ApplyStamp takes over the load in a stamp (wire.Stamp, a gate's report of its load),
// unless a newer stamp was applied.
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
	l.normalSlowdown.Store(int64(stamp.NormalSlowdown))
	l.storeLink(stamp)
	l.storeStartRate(stamp)
	l.unresponsiveAt.Store(0)
	l.stampReceivedAt.Store(now)
	l.sentSinceStamp.Store(0)
}

// storeLink takes over what a stamp says of the link of the backend server's VM.
func (l *Load) storeLink(stamp wire.Stamp) {
	l.linkDelay.Store(int64(stamp.LinkDelay()))
	l.bodyWait.Store(int64(stamp.BodyWait()))
	l.linkRate.Store(stamp.LinkRate())
	l.bodyBytesSinceStamp.Store(0)
}

// storeStartRate takes over what a stamp says of the rate of starts.
func (l *Load) storeStartRate(stamp wire.Stamp) {
	l.startRateMilli.Store(int64(stamp.StartRateMilli))
	l.startTokensMilli.Store(int64(stamp.StartTokensMilli))
	if stamp.StartRateMilli > 0 {
		l.rateLimitMilli.Store(int64(stamp.StartRateMilli))
	}
}

// RateLimitMilli returns the rate limit of the backend server that this entry knows, in
// thousandths of a request per second; 0: it knows none.
func (l *Load) RateLimitMilli() uint32 { return uint32(l.rateLimitMilli.Load()) }

// ForgetRateLimit records that the backend server has answered without a rate limit. A stamp
// without one does not tell this: a restarted daemon makes such stamps until its backend
// server has answered.
func (l *Load) ForgetRateLimit() { l.rateLimitMilli.Store(0) }

// BeginIncarnation records which process of the daemon a new link leads to, and resets
// the load if it is another process than before. Each process numbers its stamps from the
// beginning, and ApplyStamp would otherwise ignore them as
// older than those of the old process.
func (l *Load) BeginIncarnation(incarnation uint64, slots int) {
	if l.incarnation.Swap(incarnation) != incarnation {
		l.Reset(slots)
	}
}

// Reset forgets the stamps and answers of a former daemon process. Outstanding calls
// stay counted.
func (l *Load) Reset(slots int) {
	l.stampSeq.Store(0)
	l.stampReceivedAt.Store(0)
	l.inFlight.Store(0)
	l.serviceTime.Store(0)
	l.sentSinceStamp.Store(0)
	l.failureShare.Store(0)
	l.slowdown.Store(0)
	l.normalSlowdown.Store(0)
	l.storeLink(wire.Stamp{})
	l.storeStartRate(wire.Stamp{})
	l.unresponsiveAt.Store(0)
	l.limit.Store(int64(max(slots, 1)))
}

// LoadSnapshot is a copy of a Load. Each field is read atomically, but an update may
// fall between the reads of two fields.
type LoadSnapshot struct {
	// StampReceivedAt is when the newest stamp was received, in nanoseconds; 0: never.
	StampReceivedAt int64
	// InFlight counts the calls at the gate, running and queued, by the newest stamp.
	InFlight int64
	// Limit is how many calls the gate runs at once.
	Limit int64
	// ServiceTime is the estimated time of one run; 0: not known.
	ServiceTime time.Duration
	// Outstanding counts this entry's calls that have not ended.
	Outstanding int64
	// SentSinceStamp counts the calls that this entry has sent since the newest stamp
	// arrived.
	SentSinceStamp int64
	// NoAnswerFor is how long outstanding calls have waited since the last call ended;
	// 0: none is outstanding.
	NoAnswerFor time.Duration
	// MinRTT is the shortest round-trip time measured on the link to the daemon.
	MinRTT time.Duration
	// Slowdown is the run time in percent of that at normal speed, as last reported by
	// the backend server; 0: not known.
	Slowdown int64
	// NormalSlowdown is the slowdown outside slow periods, in percent; 0 stands for 100.
	NormalSlowdown int64
	// LinkDelay is by how much the VM's link delayed calls when the newest stamp was made,
	// BodyWait how long a further body then waited for those before it.
	LinkDelay time.Duration
	BodyWait  time.Duration
	// LinkRate is the rate at which granted bodies arrive, in bytes per second; 0: not known,
	// or too high to matter.
	LinkRate int64
	// BodyBytesSinceStamp counts the bytes of granted bodies that this entry has offered
	// since the newest stamp arrived.
	BodyBytesSinceStamp int64
	// StartRate is the limit on the rate at which the gate starts calls of all entries, in
	// calls per second; 0: no limit. StartTokens is how many further calls it could start at
	// once under that limit when the newest stamp was made; below 0: some calls waited longer.
	StartRate   float64
	StartTokens float64
	// UnresponsiveFor is how long ago the daemon was found unresponsive; 0: it was not,
	// or has sent a stamp since.
	UnresponsiveFor time.Duration
	// FailureShare is the share of failures among recent answers, from 0 to 1; newer
	// answers have more weight.
	FailureShare float64
}

// Snapshot returns the load at time now.
func (l *Load) Snapshot(now int64) LoadSnapshot {
	var out LoadSnapshot
	l.SnapshotInto(now, &out)
	return out
}

// SnapshotInto writes the load at time now to out. It saves a copy of the struct, since
// a decision reads each candidate of each call.
func (l *Load) SnapshotInto(now int64, out *LoadSnapshot) {
	out.StampReceivedAt = l.stampReceivedAt.Load()
	out.InFlight = l.inFlight.Load()
	out.Limit = l.limit.Load()
	out.ServiceTime = time.Duration(l.serviceTime.Load())
	out.Outstanding = l.outstanding.Load()
	out.SentSinceStamp = l.sentSinceStamp.Load()
	out.MinRTT = time.Duration(l.minRTT.Load())
	out.Slowdown = l.slowdown.Load()
	out.NormalSlowdown = l.normalSlowdown.Load()
	out.LinkDelay = time.Duration(l.linkDelay.Load())
	out.BodyWait = time.Duration(l.bodyWait.Load())
	out.LinkRate = l.linkRate.Load()
	out.BodyBytesSinceStamp = l.bodyBytesSinceStamp.Load()
	out.StartRate = float64(l.startRateMilli.Load()) / wire.MilliPerUnit
	out.StartTokens = float64(l.startTokensMilli.Load()) / wire.MilliPerUnit
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

// maxRateLimitAge is the age up to which a stamp tells how long the rate limit delays a call.
// The limit may have ended since, which a further call shows.
const maxRateLimitAge = 500 * time.Millisecond

// maxStartWait is the longest wait that StartWait returns: all deadlines are earlier.
const maxStartWait = time.Hour

// StartWait returns how long the rate limit of the backend server delays the start of a call
// that is sent now; 0: not at all, or it has no limit.
func (s *LoadSnapshot) StartWait(now int64) time.Duration {
	age := time.Duration(max(now-s.StampReceivedAt, 0))
	if s.StartRate == 0 || s.StampReceivedAt == 0 || age > maxRateLimitAge {
		return 0
	}
	missing := 1 + float64(s.SentSinceStamp) - s.StartTokens - s.StartRate*age.Seconds()
	return time.Duration(min(max(missing, 0)/s.StartRate, maxStartWait.Seconds()) * float64(time.Second))
}

// Outstanding returns how many of this entry's calls have not ended.
func (l *Load) Outstanding() int64 { return l.outstanding.Load() }

// StampReceivedAt returns when the newest stamp was received, in nanoseconds; 0: never.
func (l *Load) StampReceivedAt() int64 { return l.stampReceivedAt.Load() }

// SetMinRTT sets the shortest round-trip time measured on the link to the daemon.
func (l *Load) SetMinRTT(d time.Duration) { l.minRTT.Store(int64(d)) }

// MinRTT returns the shortest round-trip time measured on the link to the daemon; 0: it
// is this daemon, or not known.
func (l *Load) MinRTT() time.Duration { return time.Duration(l.minRTT.Load()) }
