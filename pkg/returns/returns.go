// Package returns decides when callers that were refused because a service is short of
// capacity should return. The entry keeps one Schedule per service: it learns at what
// rate the service answers requests of this entry, and gives each refused caller a return
// time of its own along that rate, so that callers do not return in bursts. Its decisions
// use neither the network nor a clock. Source: docs/design/return-times.md.
package returns

import (
	"sync"
	"time"
)

const (
	// slotWidth is the resolution of return times, slotCount the number of slots. No return
	// time is longer than their product.
	slotWidth = 20 * time.Millisecond
	slotCount = 256
	// Ranks is the number of ranks that a schedule distinguishes; 0 is the most urgent.
	Ranks = 8
	// returnShare is the share of the rate of answers for which return times are given. The
	// rest is for new requests, which take capacity without one.
	returnShare = 0.5
	// minDelay is the least return time: a caller that returns at once is refused again.
	minDelay = slotWidth
	// maxDefault is the largest default return time, as a multiple of the configured one,
	// minDefault the smallest, as a fraction of the largest.
	maxDefault = 1.25
	minDefault = 0.6
	// minExpected is the number of answers that must be expected, beyond those for callers
	// with earlier return times, by the time at which a caller returns.
	minExpected = 0.5
)

// Cause says how a return time was determined.
type Cause string

// The causes of return times, as they stand in the log and in metrics.
const (
	// Scheduled is a return time of the caller's own, at which capacity is expected.
	Scheduled Cause = "capacity_expected"
	// Longest is the longest useful time that the caller honours: no capacity is expected
	// before.
	Longest Cause = "no_capacity_expected"
	// Unreachable is the configured time with a random spread, because no return can be
	// answered within the caller's target.
	Unreachable Cause = "target_unreachable"
	// Default is the configured time with a random spread, because there is too little data.
	Default Cause = "default"
)

// Refused describes a refused caller.
type Refused struct {
	// Rank is the urgency of its request, 0 for the most urgent.
	Rank int
	// Honoured is the longest return time that the caller honours.
	Honoured time.Duration
	// Useful is the longest return time after which its request can still be answered
	// within its target.
	Useful time.Duration
	// Default is the return time for a caller about whose service too little is known, or
	// whose target cannot be met.
	Default time.Duration
}

// Schedule holds the return times given for one service at one entry. Its memory is
// constant. It is safe for concurrent use. Times are nanoseconds of the daemon's clock.
type Schedule struct {
	// random returns a number in [0, 1).
	random func() float64

	mu       sync.Mutex
	outcomes outcomeWindow
	// booked counts the return times given within each slot by rank. The slot of a time is
	// its number of slotWidths modulo slotCount; firstSlot is the number of the slot of
	// the newest time seen, and earlier ones are empty.
	booked    [slotCount][Ranks]uint32
	firstSlot int64
}

// NewSchedule returns an empty schedule. random returns a number in [0, 1).
func NewSchedule(random func() float64) *Schedule { return &Schedule{random: random} }

// RecordAnswer records that a request to the service was answered.
func (s *Schedule) RecordAnswer(now int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outcomes.record(now, true)
}

// Refuse records a refusal and returns when the caller should return.
func (s *Schedule) Refuse(now int64, r Refused) (after time.Duration, cause Cause) {
	// Outcomes of one second must not delay callers with long timeouts by minutes.
	r.Honoured = min(r.Honoured, slotWidth*slotCount)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outcomes.record(now, false)
	if r.Useful < minDelay {
		return s.defaultTime(r), Unreachable
	}
	r.Honoured = min(r.Honoured, r.Useful)
	perSecond, ok := s.outcomes.capacity(now)
	if !ok {
		return s.defaultTime(r), Default
	}
	s.advance(now)
	if slot, ok := s.firstFree(now, perSecond, r); ok {
		return s.book(now, slot, r), Scheduled
	}
	return max(r.Honoured, 0), Longest
}

// defaultTime returns a random time around the configured one that the caller honours.
// Callers that were refused together do not return together.
func (s *Schedule) defaultTime(r Refused) time.Duration {
	largest := min(maxDefault*float64(r.Default), float64(max(r.Honoured, 0)))
	return time.Duration(largest * (minDefault + (1-minDefault)*s.random()))
}

// advance empties the slots that have passed.
func (s *Schedule) advance(now int64) {
	current := now / int64(slotWidth)
	for passed := max(s.firstSlot, current-slotCount); passed < current; passed++ {
		s.booked[passed%slotCount] = [Ranks]uint32{}
	}
	s.firstSlot = max(s.firstSlot, current)
}

// firstFree returns the first slot, counted from the present one, in which capacity is free for
// a caller, at a number of answers per second. Capacity booked for less urgent callers counts
// as free.
func (s *Schedule) firstFree(now int64, perSecond float64, r Refused) (slot int64, ok bool) {
	perSlot := returnShare * perSecond * slotWidth.Seconds()
	rank, booked := clampRank(r.Rank), 0.0
	first := now / int64(slotWidth)
	last := min((now+int64(r.Honoured))/int64(slotWidth)-first, slotCount-1)
	for slot = 0; slot <= last; slot++ {
		for _, count := range s.booked[(first+slot)%slotCount][:rank+1] {
			booked += float64(count)
		}
		if slot > 0 && booked+minExpected <= perSlot*float64(slot) {
			return slot, true
		}
	}
	return 0, false
}

// book gives the caller a random time within a slot.
func (s *Schedule) book(now int64, slot int64, r Refused) time.Duration {
	first := now / int64(slotWidth)
	s.booked[(first+slot)%slotCount][clampRank(r.Rank)]++
	at := (first + slot) * int64(slotWidth)
	at += int64(s.random() * float64(slotWidth))
	return min(max(time.Duration(at-now), minDelay), r.Honoured)
}

func clampRank(rank int) int { return min(max(rank, 0), Ranks-1) }
