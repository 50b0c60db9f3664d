package returns

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test"
)

// simulation simulates callers of a service that starts perSecond requests a second and
// lets at most maxQueue wait. Callers have a second, and retry twice as told.
type simulation struct {
	schedule  *Schedule
	perSecond int
	// returns holds the callers that are to come back, by millisecond.
	returns map[int64][]simulatedCaller
	queue   []simulatedCaller

	served, notServed, refusals int
	// mostReturns is the largest number of callers that returned within a millisecond.
	mostReturns int
}

type simulatedCaller struct {
	deadline int64
	retries  int
}

const (
	maxQueue      = 10
	callerTimeout = time.Second
	honouredShare = 0.32
)

// send sends a caller's request at a time in milliseconds.
func (s *simulation) send(ms int64, c simulatedCaller) {
	if len(s.queue) < maxQueue {
		s.queue = append(s.queue, c)
		return
	}
	s.refusals++
	honoured := time.Duration(honouredShare * float64(c.deadline-ms*millisecond))
	after := min(retryAfter, honoured)
	if s.schedule != nil {
		after, _ = s.schedule.Refuse(ms*millisecond, Refused{Honoured: honoured, Useful: honoured, Default: retryAfter})
	}
	if c.retries == 2 {
		s.notServed++
		return
	}
	c.retries++
	at := ms + max(after.Milliseconds(), 1)
	s.returns[at] = append(s.returns[at], c)
}

// run runs the simulation for a time; arrivals returns the new requests of a millisecond.
func (s *simulation) run(duration time.Duration, arrivals func(ms int64) int) {
	s.returns = map[int64][]simulatedCaller{}
	interval := int64(1000 / s.perSecond)
	for ms := int64(1000); ms < 1000+duration.Milliseconds(); ms++ {
		if ms%interval == 0 && len(s.queue) > 0 {
			s.queue = s.queue[1:]
			s.served++
			if s.schedule != nil {
				s.schedule.RecordAnswer(ms * millisecond)
			}
		}
		for range arrivals(ms) {
			s.send(ms, simulatedCaller{deadline: (ms + callerTimeout.Milliseconds()) * millisecond})
		}
		s.mostReturns = max(s.mostReturns, len(s.returns[ms]))
		for _, c := range s.returns[ms] {
			s.send(ms, c)
		}
		delete(s.returns, ms)
	}
}

// compare runs the same load with fixed and with scheduled return times.
func compare(perSecond int, arrivals func(random *rand.Rand) func(ms int64) int) (fixed, scheduled simulation) {
	fixed, scheduled = simulation{perSecond: perSecond}, simulation{perSecond: perSecond, schedule: newTestSchedule()}
	for _, s := range []*simulation{&fixed, &scheduled} {
		s.run(10*time.Second, arrivals(rand.New(rand.NewPCG(3, 3))))
	}
	return fixed, scheduled
}

// TestScheduledReturnsServeMoreOfABurst: callers refused together return in turn instead
// of together.
func TestScheduledReturnsServeMoreOfABurst(t *testing.T) {
	const burst, burstEveryMS = 90, 1000
	fixed, scheduled := compare(100, func(*rand.Rand) func(int64) int {
		return func(ms int64) int {
			if ms%burstEveryMS == 0 {
				return burst
			}
			return 0
		}
	})
	t.Logf("fixed %d served, %d refusals, %d returned together; scheduled %d, %d, %d", fixed.served, fixed.refusals, fixed.mostReturns, scheduled.served, scheduled.refusals, scheduled.mostReturns)
	test.Greater(t, fixed.served, scheduled.served)
	test.Less(t, fixed.refusals, scheduled.refusals)
	test.Less(t, fixed.mostReturns, scheduled.mostReturns)
}

// TestScheduledReturnsLeaveNoCapacityUnused: at loads around the capacity, at least as many
// requests are served as with fixed return times, within one in a hundred.
func TestScheduledReturnsLeaveNoCapacityUnused(t *testing.T) {
	for _, load := range []float64{0.9, 1.1, 1.5, 3} {
		for _, perSecond := range []int{5, 100} {
			fixed, scheduled := compare(perSecond, func(random *rand.Rand) func(int64) int {
				return func(int64) int {
					if random.Float64() < load*float64(perSecond)/1000 {
						return 1
					}
					return 0
				}
			})
			t.Logf("load %g of %d/s: fixed %d served, %d refusals; scheduled %d, %d", load, perSecond, fixed.served, fixed.refusals, scheduled.served, scheduled.refusals)
			test.GreaterEq(t, 0.99*float64(fixed.served), float64(scheduled.served))
		}
	}
}

// shortageCase sums the callers that stay unserved over several runs of one load.
type shortageCase struct {
	load             float64
	name             string
	fixed, scheduled int
}

// runShortages runs a service of 20, 100 and 500 answers a second with shortages of several
// lengths and loads.
func runShortages() (cases []shortageCase) {
	const seeds = 5
	for _, load := range []float64{1.3, 2, 3} {
		for _, perSecond := range []int{20, 100, 500} {
			for _, shortageMS := range []int64{200, 500, 1000, 2000} {
				c := shortageCase{load: load, name: fmt.Sprintf("%d/s, %d ms at load %g", perSecond, shortageMS, load)}
				for seed := range uint64(seeds) {
					fixed, scheduled := compare(perSecond, func(*rand.Rand) func(int64) int {
						return shortages(rand.New(rand.NewPCG(seed, 3)), perSecond, load, shortageMS)
					})
					c.fixed += fixed.notServed
					c.scheduled += scheduled.notServed
				}
				cases = append(cases, c)
			}
		}
	}
	return cases
}

// TestShortShortagesLeaveNoMoreUnserved, in sum at each load: callers that return too early
// use up their retries within the shortage.
func TestShortShortagesLeaveNoMoreUnserved(t *testing.T) {
	fixed, scheduled := map[float64]int{}, map[float64]int{}
	for _, c := range runShortages() {
		fixed[c.load] += c.fixed
		scheduled[c.load] += c.scheduled
	}
	for load := range fixed {
		t.Logf("load %g: fixed %d unserved, scheduled %d", load, fixed[load], scheduled[load])
		test.LessEq(t, fixed[load], scheduled[load], test.Sprintf("load %g", load))
	}
}

// shortages returns the new requests of each millisecond at half of the capacity, and at
// load times the capacity for shortageMS every 3 s.
func shortages(random *rand.Rand, perSecond int, load float64, shortageMS int64) func(ms int64) int {
	const everyMS, loadBetween = 3000, 0.5
	return func(ms int64) (count int) {
		share := loadBetween
		if ms%everyMS < shortageMS {
			share = load
		}
		for expected := share * float64(perSecond) / 1000; expected > 0; expected-- {
			if random.Float64() < expected {
				count++
			}
		}
		return count
	}
}
