package wire

import (
	"math"
	"time"
)

// Stamp is a gate's report of its load. It is sent in answers and refusals.
type Stamp struct {
	_ struct{} `cbor:",toarray"`
	// Seq increases with each stamp of one daemon process, so that a receiver can ignore
	// stamps that arrive late. 0: no stamp.
	Seq uint64
	// Running and Queued count the calls at the gate when the stamp was made.
	Running uint32
	Queued  uint32
	// Limit is how many calls the gate currently runs at a time.
	Limit uint32
	// ServiceUS is the estimated time of one run, in microseconds.
	ServiceUS uint32
	// Slowdown is the current run time at the backend server in percent of its usual run
	// time; 0: not known.
	Slowdown uint32
	// NormalSlowdown is the Slowdown to expect outside slow periods, in percent. It is above
	// 100 while the backend server is cold, for example. 0: 100 percent.
	NormalSlowdown uint32
	// LinkDelayMS is by how much the link of the executor's VM delays calls, in milliseconds.
	LinkDelayMS uint32
	// BodyWaitMS is how long a body that is offered now waits behind the bodies that are
	// granted before it, in milliseconds.
	BodyWaitMS uint32
	// LinkRateKB is the rate at which granted bodies arrive, in units of 1,000 bytes per
	// second; 0: not known, or so high that it does not matter.
	LinkRateKB uint32
	// StartRateMilli is the limit on the rate at which the gate starts calls of all entries,
	// in thousandths of a call per second; 0: no limit.
	StartRateMilli uint32
	// StartTokensMilli is how many calls more than those that wait the gate could start at
	// once under that limit, in thousandths. It is negative if some of those must wait longer.
	StartTokensMilli int32
}

// MilliPerUnit is the number of thousandths in one: fields whose names end in Milli are in
// thousandths.
const MilliPerUnit = 1000

// SetStartRate sets StartRateMilli and StartTokensMilli.
func (s *Stamp) SetStartRate(perSecond, tokens float64) {
	s.StartRateMilli = uint32(min(max(perSecond*MilliPerUnit, 1), math.MaxUint32))
	s.StartTokensMilli = int32(min(max(tokens*MilliPerUnit, math.MinInt32), math.MaxInt32))
}

// StartRate returns StartRateMilli in calls per second and StartTokensMilli in calls.
func (s *Stamp) StartRate() (perSecond, tokens float64) {
	return float64(s.StartRateMilli) / MilliPerUnit, float64(s.StartTokensMilli) / MilliPerUnit
}

// LinkDelay returns LinkDelayMS as a duration.
func (s *Stamp) LinkDelay() time.Duration { return time.Duration(s.LinkDelayMS) * time.Millisecond }

// BodyWait returns BodyWaitMS as a duration.
func (s *Stamp) BodyWait() time.Duration { return time.Duration(s.BodyWaitMS) * time.Millisecond }

// LinkRate returns LinkRateKB in bytes per second.
func (s *Stamp) LinkRate() int64 { return int64(s.LinkRateKB) * 1000 }

// Size returns the size of the encoded stamp in bytes.
func (s *Stamp) Size() int {
	const arrayHead = 1
	return arrayHead + uintSize(s.Seq) + uintSize(uint64(s.Running)) + uintSize(uint64(s.Queued)) +
		uintSize(uint64(s.Limit)) + uintSize(uint64(s.ServiceUS)) + uintSize(uint64(s.Slowdown)) + uintSize(uint64(s.NormalSlowdown)) +
		uintSize(uint64(s.LinkDelayMS)) + uintSize(uint64(s.BodyWaitMS)) + uintSize(uint64(s.LinkRateKB)) +
		uintSize(uint64(s.StartRateMilli)) + intSize(int64(s.StartTokensMilli))
}

// intSize returns the size of an integer in CBOR (RFC 8949, section 3), in bytes: a negative
// n is encoded as -1-n.
func intSize(n int64) int {
	if n < 0 {
		n = -1 - n
	}
	return uintSize(uint64(n))
}

// uintSize returns the size of an unsigned integer in CBOR (RFC 8949, section 3), in bytes.
func uintSize(n uint64) int {
	switch {
	case n < 24:
		return 1
	case n < 1<<8:
		return 2
	case n < 1<<16:
		return 3
	case n < 1<<32:
		return 5
	}
	return 9
}
