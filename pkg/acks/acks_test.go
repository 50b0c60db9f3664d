package acks

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

const ms = time.Millisecond

// estimateOf returns the estimate of a link with the given round-trip time, without
// variation.
func estimateOf(roundTrip time.Duration) Estimate { return Estimate{RoundTrip: roundTrip} }

// TestTheBoundFollowsFromTheLinkAndTheTimeLeft: the same code serves links of microseconds
// and of seconds, and calls with little and with much time.
func TestTheBoundFollowsFromTheLinkAndTheTimeLeft(t *testing.T) {
	needed := func(roundTrip time.Duration) time.Duration { return roundTrip + SchedulingAllowance + MaxDelay }
	scenarios := []struct {
		name     string
		link     Estimate
		timeLeft time.Duration
		run      time.Duration
		late     time.Duration
		mayLeave bool
	}{
		{"a quarter of the spare time", estimateOf(8 * ms), 260 * ms, 40 * ms, 53 * ms, true},
		{"little spare time: what the link requires", estimateOf(8 * ms), 80 * ms, 40 * ms, needed(8 * ms), true},
		{"no time for a run elsewhere", estimateOf(8 * ms), 60 * ms, 40 * ms, needed(8 * ms), false},
		{"much time: a multiple of what the link requires", estimateOf(8 * ms), time.Hour, 40 * ms, maxSpareFactor * needed(8*ms), true},
		{"a long link", estimateOf(300 * ms), 2 * time.Second, 40 * ms, 415 * ms, true},
		{"a link that varies", Estimate{RoundTrip: 8 * ms, Variation: 20 * ms}, 200 * ms, 40 * ms, 8*ms + 80*ms + MaxDelay, true},
		{"a link whose round-trip time is not known", Estimate{}, time.Second, 40 * ms, 0, false},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			bound := NewEntry().Bound(s.link, s.timeLeft, s.run)
			test.Eq(t, s.late, bound.Late)
			test.Eq(t, s.mayLeave, bound.MayLeave)
		})
	}
}

// TestABoundLeavesTimeForARun checks random links and calls.
func TestABoundLeavesTimeForARun(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	upTo := func(limit time.Duration) time.Duration { return time.Duration(random.Int64N(int64(limit))) }
	e := NewEntry()
	for range 10_000 {
		link := Estimate{RoundTrip: 1 + upTo(time.Second), Variation: upTo(200 * ms)}
		timeLeft, run := upTo(5*time.Second), upTo(time.Second)
		bound := e.Bound(link, timeLeft, run)
		must.GreaterEq(t, link.RoundTrip+MaxDelay, bound.Late)
		if bound.MayLeave {
			must.True(t, HasTimeForRun(timeLeft-bound.Late, run, link))
		}
	}
}

func TestALinkLearnsFromAcksInTime(t *testing.T) {
	var l Link
	test.Eq(t, Estimate{}, l.Estimate(0))
	test.Eq(t, Estimate{RoundTrip: 8 * ms, Variation: 4 * ms}, l.Estimate(8*ms), test.Sprint("the ping comes first"))
	for range 100 {
		l.Record(0, 20*ms, false)
	}
	got := l.Estimate(8 * ms)
	test.Between(t, 19*ms, got.RoundTrip, 20*ms)
	test.Less(t, ms, got.Variation)
}

// TestASlowLinkDoesNotRaiseItsOwnBound: no call on it would then be sent elsewhere.
func TestASlowLinkDoesNotRaiseItsOwnBound(t *testing.T) {
	var l Link
	before := l.Estimate(8 * ms)
	for i := range 50 {
		l.Record(int64(i)*int64(ms), 300*ms, true)
	}
	test.Eq(t, before, l.Estimate(8*ms))
}

// TestALinkThatHasBecomeLongerIsLearnt: otherwise all acks would stay late after the round-trip
// time has grown.
func TestALinkThatHasBecomeLongerIsLearnt(t *testing.T) {
	var l Link
	l.Estimate(2 * ms)
	for i := range minLateAcks + 1 {
		l.Record(int64(i)*int64(lateFor)/minLateAcks, 80*ms+time.Duration(i), true)
	}
	test.Eq(t, 80*ms, l.Estimate(2*ms).RoundTrip)
	// An ack in time shows that the link is only slow at times.
	var varying Link
	varying.Estimate(2 * ms)
	for i := range 2 * minLateAcks {
		varying.Record(int64(i)*int64(lateFor)/minLateAcks, 80*ms, i%2 == 0)
		if i%2 == 1 {
			varying.Record(int64(i)*int64(lateFor)/minLateAcks, 2*ms, false)
		}
	}
	test.Less(t, 80*ms, varying.Estimate(2*ms).RoundTrip)
}

// recordAll records count outcomes and returns how often bounds began to be widened.
func recordAll(e *Entry, now time.Duration, count int, late func(i int) bool) int {
	began := 0
	for i := range count {
		if e.Record(int64(now), late(i)) {
			began++
		}
	}
	return began
}

func always(int) bool { return true }
func never(int) bool  { return false }

// TestBoundsAreWidenedWhileMostCallsAreLate also checks that one slow executor widens no bounds.
func TestBoundsAreWidenedWhileMostCallsAreLate(t *testing.T) {
	e := NewEntry()
	recordAll(e, 0, 100, func(i int) bool { return i%3 == 0 })
	test.Eq(t, 1, e.Widening(), test.Sprint("a third of the calls is late"))
	link := estimateOf(8 * ms)
	before := e.Bound(link, 260*ms, 40*ms)
	test.Eq(t, 1, recordAll(e, 0, 2*recentCalls, always), test.Sprint("it begins once"))
	test.Greater(t, 1, e.Widening())
	test.Greater(t, before.Late, e.Bound(link, 260*ms, 40*ms).Late)
	recordAll(e, 0, 100*recentCalls, always)
	test.Eq(t, maxWidening, e.Widening())
	test.False(t, e.Bound(link, 260*ms, 40*ms).MayLeave)
	recordAll(e, 0, 100*recentCalls, never)
	test.Eq(t, 1, e.Widening())
	test.Eq(t, before, e.Bound(link, 260*ms, 40*ms))
}

// TestOldOutcomesDoNotCount: calls that were late long ago tell nothing about the links now.
func TestOldOutcomesDoNotCount(t *testing.T) {
	e := NewEntry()
	recordAll(e, time.Second, minRecentCalls-1, always)
	recordAll(e, time.Second+recentFor+1, 1, always)
	test.Eq(t, 1, e.Widening())
}

// sentAt returns Call.SentUS for a time on the sender's clock.
func sentAt(at time.Duration) uint64 { return uint64(at/time.Microsecond) + 1 }

// TestTheTransitDelayIsThatBeyondTheFastestCall checks clocks with different offsets.
func TestTheTransitDelayIsThatBeyondTheFastestCall(t *testing.T) {
	for _, offset := range []time.Duration{-time.Hour, 0, time.Hour} {
		var transit Transit
		start := 2 * time.Hour
		delayOf := func(sent, took time.Duration) time.Duration {
			return transit.Delay(int64(start+sent+took+offset), sentAt(start+sent))
		}
		test.Eq(t, 0, delayOf(0, 4*ms), test.Sprint("the first call has nothing to compare with"))
		test.Eq(t, 0, delayOf(time.Second, 3*ms))
		test.Eq(t, 200*ms, delayOf(2*time.Second, 203*ms))
		test.Eq(t, 0, transit.Delay(int64(start), 0), test.Sprint("not stated"))
		test.Eq(t, 0, transit.Delay(int64(start), 1<<63), test.Sprint("invalid"))
	}
}

// TestAClockThatJumpsIsForgotten: all calls seem to be delayed while the smallest difference is
// one from before the jump.
func TestAClockThatJumpsIsForgotten(t *testing.T) {
	var transit Transit
	jump := 80 * ms
	test.Eq(t, 0, transit.Delay(int64(time.Hour), sentAt(time.Hour)))
	for at := time.Hour; at < time.Hour+2*TransitWindow; at += time.Second {
		delay := transit.Delay(int64(at+jump), sentAt(at))
		if at < time.Hour+TransitWindow-bucketLength {
			must.Eq(t, jump, delay)
		}
		if at >= time.Hour+TransitWindow {
			must.Eq(t, 0, delay)
		}
	}
}

// TestAfterAnIdleTimeNothingIsRemembered: buckets of an earlier round are not read again.
func TestAfterAnIdleTimeNothingIsRemembered(t *testing.T) {
	var transit Transit
	test.Eq(t, 0, transit.Delay(int64(time.Hour), sentAt(time.Hour)))
	later := time.Hour + TransitWindow
	test.Eq(t, 0, transit.Delay(int64(later+time.Second), sentAt(later)))
}
