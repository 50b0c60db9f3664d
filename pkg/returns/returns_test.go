package returns

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

const (
	second      = int64(time.Second)
	millisecond = int64(time.Millisecond)
	retryAfter  = 300 * time.Millisecond
)

// newTestSchedule returns a schedule with a repeatable random source.
func newTestSchedule() *Schedule { return NewSchedule(rand.New(rand.NewPCG(1, 1)).Float64) }

// shortService records a second of a service that answers perSecond requests, and refuses
// as many that a caller without any honoured time makes. It returns the time after it.
func shortService(s *Schedule, perSecond int) (now int64) {
	for i := range perSecond {
		now = second + int64(i)*second/int64(perSecond)
		s.RecordAnswer(now)
		s.Refuse(now, Refused{})
	}
	return 2 * second
}

// refuseMany refuses count callers at one time and returns their return times.
func refuseMany(s *Schedule, now int64, count int, r Refused) (out []time.Duration, causes map[Cause]int) {
	causes = map[Cause]int{}
	for range count {
		after, cause := s.Refuse(now, r)
		out = append(out, after)
		causes[cause]++
	}
	return out, causes
}

// TestReturnTimesFollowTheRateOfAnswers, at half of it: the other half is for new requests.
func TestReturnTimesFollowTheRateOfAnswers(t *testing.T) {
	s := newTestSchedule()
	now := shortService(s, 100)
	const honoured = 300 * time.Millisecond
	times, causes := refuseMany(s, now, 200, Refused{Honoured: honoured, Useful: honoured})
	var perTenth [4]int
	for _, after := range times {
		test.Between(t, minDelay, after, honoured)
		perTenth[after/(100*time.Millisecond)]++
	}
	for _, count := range perTenth[:3] {
		test.Between(t, 4, count, 6)
	}
	test.Between(t, 13, causes[Scheduled], 15)
	test.Eq(t, 200, causes[Scheduled]+causes[Longest])
}

// TestCallersWithoutExpectedCapacityGetTheLongestTime: a service that answers nothing.
func TestCallersWithoutExpectedCapacityGetTheLongestTime(t *testing.T) {
	s := newTestSchedule()
	for i := range int64(100) {
		s.Refuse(second+i*10*millisecond, Refused{Honoured: time.Second, Useful: time.Second, Default: retryAfter})
	}
	after, cause := s.Refuse(2*second, Refused{Honoured: 200 * time.Millisecond, Useful: 200 * time.Millisecond, Default: retryAfter})
	test.Eq(t, Longest, cause)
	test.Eq(t, 200*time.Millisecond, after)
}

// TestReturnTimesAreUseful: a caller must not be sent away for so long that it is answered
// after its target, whether a time is scheduled, the longest or the default.
func TestReturnTimesAreUseful(t *testing.T) {
	const useful = 60 * time.Millisecond
	s := newTestSchedule()
	now := shortService(s, 100)
	times, causes := refuseMany(s, now, 20, Refused{Honoured: time.Second, Useful: useful, Default: retryAfter})
	for _, after := range times {
		test.Between(t, minDelay, after, useful)
	}
	test.Positive(t, causes[Scheduled])
	test.Positive(t, causes[Longest])
	after, cause := newTestSchedule().Refuse(now, Refused{Honoured: time.Second, Useful: useful, Default: retryAfter})
	test.Eq(t, Default, cause)
	test.Between(t, minDelay, after, useful)
}

// TestCallersThatCannotMeetTheirTargetGetTheDefault, within what they honour, and take no
// capacity from those that can.
func TestCallersThatCannotMeetTheirTargetGetTheDefault(t *testing.T) {
	s := newTestSchedule()
	now := shortService(s, 100)
	booked := s.booked
	for _, honoured := range []time.Duration{time.Second, 100 * time.Millisecond} {
		for _, useful := range []time.Duration{-time.Second, 0, minDelay - 1} {
			times, causes := refuseMany(s, now, 20, Refused{Honoured: honoured, Useful: useful, Default: retryAfter})
			test.Eq(t, 20, causes[Unreachable])
			for _, after := range times {
				test.Between(t, 50*time.Millisecond, after, min(honoured, 375*time.Millisecond))
			}
		}
	}
	test.Eq(t, booked, s.booked)
}

// TestTheLongestTimeIsBounded: callers with a long timeout must not be sent away for
// minutes on the data of one second.
func TestTheLongestTimeIsBounded(t *testing.T) {
	s := newTestSchedule()
	for i := range int64(10) {
		s.Refuse(second+i*30*millisecond, Refused{Honoured: time.Minute, Useful: time.Minute, Default: retryAfter})
	}
	after, cause := s.Refuse(second+300*millisecond, Refused{Honoured: time.Minute, Useful: time.Minute, Default: retryAfter})
	test.Eq(t, Longest, cause)
	test.Eq(t, slotWidth*slotCount, after)
}

func TestMoreUrgentCallersReturnFirst(t *testing.T) {
	s := newTestSchedule()
	now := shortService(s, 50)
	_, causes := refuseMany(s, now, 100, Refused{Rank: 2, Honoured: 400 * time.Millisecond, Useful: 400 * time.Millisecond})
	must.Positive(t, causes[Longest])
	after, cause := s.Refuse(now, Refused{Rank: 1, Honoured: 400 * time.Millisecond, Useful: 400 * time.Millisecond})
	test.Eq(t, Scheduled, cause)
	test.Less(t, 100*time.Millisecond, after)
	_, cause = s.Refuse(now, Refused{Rank: Ranks + 5, Honoured: 400 * time.Millisecond, Useful: 400 * time.Millisecond})
	test.Eq(t, Longest, cause)
}

// TestWithoutDataTheDefaultIsSpread: callers refused together must not return together.
func TestWithoutDataTheDefaultIsSpread(t *testing.T) {
	for _, honoured := range []time.Duration{time.Second, 100 * time.Millisecond} {
		distinct := map[time.Duration]bool{}
		for range 100 {
			after, cause := newTestScheduleWith(rand.Float64).Refuse(second, Refused{Honoured: honoured, Useful: honoured, Default: retryAfter})
			test.Eq(t, Default, cause)
			test.Between(t, 50*time.Millisecond, after, min(honoured, 375*time.Millisecond))
			distinct[after] = true
		}
		test.Greater(t, 50, len(distinct))
	}
}

func newTestScheduleWith(random func() float64) *Schedule { return NewSchedule(random) }

// TestALowRateEntryDoesNotConcludeFromThinData: three requests a second, of which any
// number may have been refused.
func TestALowRateEntryDoesNotConcludeFromThinData(t *testing.T) {
	random := rand.New(rand.NewPCG(2, 2))
	s := newTestSchedule()
	for i := range int64(300) {
		now := second + i*second/3
		if random.Float64() < 0.3 {
			s.RecordAnswer(now)
			continue
		}
		after, cause := s.Refuse(now, Refused{Honoured: 320 * time.Millisecond, Useful: 320 * time.Millisecond, Default: retryAfter})
		test.Eq(t, Default, cause)
		test.Positive(t, after)
	}
}

// TestABurstAfterALowLoadIsNotTakenForAShortage: the few answers before the burst say
// nothing about the capacity, so that callers must not be kept away from free capacity.
func TestABurstAfterALowLoadIsNotTakenForAShortage(t *testing.T) {
	s := newTestSchedule()
	for i := range int64(5) {
		s.RecordAnswer(second + i*200*millisecond)
	}
	_, causes := refuseMany(s, 2*second, 100, Refused{Honoured: 320 * time.Millisecond, Useful: 320 * time.Millisecond, Default: retryAfter})
	test.Eq(t, 100, causes[Default])
}

// TestOldDataIsForgotten: an entry whose service was short more than a second ago.
func TestOldDataIsForgotten(t *testing.T) {
	s := newTestSchedule()
	now := shortService(s, 100)
	_, cause := s.Refuse(now+2*second, Refused{Honoured: 320 * time.Millisecond, Useful: 320 * time.Millisecond, Default: retryAfter})
	test.Eq(t, Default, cause)
}

// TestReturnTimesThatHavePassedAreForgotten: callers that ignored them or never returned
// must not take capacity from later ones.
func TestReturnTimesThatHavePassedAreForgotten(t *testing.T) {
	s := newTestSchedule()
	now := shortService(s, 100)
	for i := range int64(20) {
		s.RecordAnswer(now + i*10*millisecond)
	}
	_, causes := refuseMany(s, now, 100, Refused{Honoured: 100 * time.Millisecond, Useful: 100 * time.Millisecond})
	must.Positive(t, causes[Longest])
	_, cause := s.Refuse(now+200*millisecond, Refused{Honoured: 100 * time.Millisecond, Useful: 100 * time.Millisecond})
	test.Eq(t, Scheduled, cause)
}

func TestAScheduleIsSafeForConcurrentUse(t *testing.T) {
	set := NewSchedules(rand.Float64)
	var wg sync.WaitGroup
	for g := range 8 {
		wg.Go(func() {
			for i := range int64(1000) {
				s := set.ForService("s")
				s.RecordAnswer(second + i*millisecond)
				after, _ := s.Refuse(second+i*millisecond, Refused{Rank: g, Honoured: 320 * time.Millisecond, Useful: 320 * time.Millisecond, Default: retryAfter})
				test.Between(t, 0, after, 320*time.Millisecond)
			}
		})
	}
	wg.Wait()
	test.MapLen(t, 1, set.byService)
}

// BenchmarkRefuse is the cost of one refusal while most callers get the longest time.
func BenchmarkRefuse(b *testing.B) {
	s := newTestSchedule()
	now := shortService(s, 200)
	for b.Loop() {
		s.Refuse(now, Refused{Rank: 1, Honoured: 640 * time.Millisecond, Useful: 640 * time.Millisecond})
	}
}
