package forward

import (
	"bytes"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/rushramp/rushramp/pkg/common"
	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/settings"
	"github.com/rushramp/rushramp/pkg/wire"
)

// TestTheRetryBudgetHoldsInEachWindow has each request of a service fail.
func TestTheRetryBudgetHoldsInEachWindow(t *testing.T) {
	const daemons, requests = 13, 40_000
	s := settings.Default().Routing
	b := newBudgets(testCommon(s), func() int { return daemons }).of("s")
	second := int64(time.Second)
	var taken []int64
	for i := range requests {
		now := int64(i) * second / 100
		b.request()
		if b.take() {
			taken = append(taken, now)
		}
	}
	window := 10 * second
	allowed := s.RetryRatio*float64(window)/float64(second/100) + float64(s.RetrySlack)/daemons
	for i := range taken {
		in := 0
		for _, at := range taken[i:] {
			if at >= taken[i]+window {
				break
			}
			in++
		}
		must.LessEq(t, allowed+1, float64(in))
	}
	test.Greater(t, 3000, len(taken))
}

// testCommon makes the shared dependencies with routing settings.
func testCommon(routing settings.Routing) *common.Common {
	s := settings.Default()
	s.Routing = routing
	return common.NewCommon(events.Discard(), &s)
}

// TestAnEmptyBudgetIsToldOnce: the line says that a belief changed, not that a
// request failed.
func TestAnEmptyBudgetIsToldOnce(t *testing.T) {
	var out bytes.Buffer
	c := testCommon(settings.Routing{RetrySlack: 1})
	c.Log = events.NewLog(&out, events.Info)
	b := newBudgets(c, func() int { return 1 })
	b.of("s").request()
	test.True(t, b.take("s"))
	test.False(t, b.take("s"))
	test.False(t, b.take("s"))
	test.Eq(t, 1, strings.Count(out.String(), "event=512"))
}

func TestAFewRetriesAreThereFromTheStart(t *testing.T) {
	b := newBudgets(testCommon(settings.Default().Routing), func() int { return 13 }).of("s")
	b.request()
	test.True(t, b.take())
	test.True(t, b.take())
}

// repeatingRuns are runs of which a share repeats others.
type repeatingRuns float64

func (r repeatingRuns) RepeatShare() float64 { return float64(r) }
func (r repeatingRuns) CallFailed()          {}

// TestCallsOfRepeatedRunsAreChargedToTheBudget: a run that repeats one makes its
// calls again, and at the called service they count as repeats. Without the
// charge a service that is called spent its own retries beside those.
func TestCallsOfRepeatedRunsAreChargedToTheBudget(t *testing.T) {
	backend := &fakeRunner{answer: answers(200)}
	f := newForwarder(backend)
	send := func(count int) float64 {
		before := f.budgets.of("s").left()
		for range count {
			f.Forward(t.Context(), request("/read/"))
		}
		return f.budgets.of("s").left() - before
	}
	send(1)
	f.runs = repeatingRuns(1)
	test.GreaterEq(t, 0, send(3), test.Sprint("callers' requests are charged nothing"))
	f.called.note("read", wire.OriginService)
	test.Less(t, 0, send(3), test.Sprint("calls of runs that all repeat others"))
	f.runs = repeatingRuns(0)
	test.GreaterEq(t, 0, send(3))
	f.runs = repeatingRuns(1)
	send(1000)
	test.Eq(t, -mostDebt, f.budgets.of("s").left())
}

// TestAChainOfServicesKeepsTheBudgetOfTheCalledOne: each call fails, and with it each
// run of the first service that makes calls; as many runs fail for reasons of their own.
// What repeats at the called service, its own retries and the calls of repeated runs,
// stays within what the platform allows of the calls that runs make the first time, also
// where only some runs make calls.
func TestAChainOfServicesKeepsTheBudgetOfTheCalledOne(t *testing.T) {
	for _, calling := range []int{10, 7, 3} {
		const (
			daemons, requests, callsARun = 30, 6000, 2
			allowedRatio, allowedSlack   = 0.2, 60
		)
		s := settings.Default().Routing
		s.RetryRatio, s.RetrySlack = 0.8*allowedRatio, 0.8*allowedSlack
		plan := rand.New(rand.NewPCG(1, uint64(calling)))
		repeats, firstCalls := 0.0, 0.0
		for range daemons {
			all := newBudgets(testCommon(s), func() int { return daemons })
			first, called := all.of("first"), all.of("called")
			runs, repeated := 0.0, 0.0
			run := func(calls, again bool) {
				runs++
				if again {
					repeated++
				}
				for range callsARun {
					if !calls {
						continue
					}
					if again {
						repeats++
					} else {
						firstCalls++
					}
					called.call(repeated / runs)
					if called.take() {
						repeats++
					}
				}
			}
			for n := range requests / daemons {
				first.request()
				calls := n%10 < calling
				run(calls, false)
				// A run whose calls failed is not repeated; one in four fails before it
				// made any.
				if plan.IntN(4) == 0 && first.take() {
					run(calls, true)
				}
			}
		}
		test.LessEq(t, allowedRatio*firstCalls+allowedSlack, repeats, test.Sprintf("%d runs in ten make calls", calling))
		test.Greater(t, 0, repeats)
	}
}
