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
	"github.com/rushramp/rushramp/pkg/retries"
	"github.com/rushramp/rushramp/pkg/settings"
	"github.com/rushramp/rushramp/pkg/wire"
)

// TestTheRetryBudgetHoldsInEachWindow while all requests of a service fail.
func TestTheRetryBudgetHoldsInEachWindow(t *testing.T) {
	const daemons, requests = 13, 40_000
	s := settings.Default().Routing
	b := newRetryBudgets(testCommon(s), func() int { return daemons }).forService("s")
	second := int64(time.Second)
	var taken []int64
	for i := range requests {
		now := int64(i) * second / 100
		b.addRequest()
		if b.take() {
			taken = append(taken, now)
		}
	}
	window := 10 * second
	allowed := s.RetryRatio*float64(window)/float64(second/100) + float64(s.RetrySlack)/daemons
	for i := range taken {
		inWindow := 0
		for _, at := range taken[i:] {
			if at >= taken[i]+window {
				break
			}
			inWindow++
		}
		must.LessEq(t, allowed+1, float64(inWindow))
	}
	test.Greater(t, 3000, len(taken))
}

// testCommon returns the shared dependencies with the given routing settings.
func testCommon(routing settings.Routing) *common.Common {
	s := settings.Default()
	s.Routing = routing
	// A restarted daemon has no slack in its first window.
	s.Platform.FirstStart = true
	return common.NewCommon(events.Discard(), &s)
}

// TestAnEmptyBudgetIsLoggedOnce: the event says that the budget became empty, not that a
// request failed.
func TestAnEmptyBudgetIsLoggedOnce(t *testing.T) {
	var out bytes.Buffer
	c := testCommon(settings.Routing{RetrySlack: 1})
	c.Log = events.NewLog(&out, events.Info)
	b := newRetryBudgets(c, func() int { return 1 })
	b.forService("s").addRequest()
	test.True(t, b.take(t.Context(), "s") == "")
	test.False(t, b.take(t.Context(), "s") == "")
	test.False(t, b.take(t.Context(), "s") == "")
	test.Eq(t, 1, strings.Count(out.String(), "event=512"))
}

func TestTheBudgetHasRetriesFromTheStart(t *testing.T) {
	b := newRetryBudgets(testCommon(settings.Default().Routing), func() int { return 13 }).forService("s")
	b.addRequest()
	test.True(t, b.take())
	test.True(t, b.take())
}

// repeatingRuns is the share of the local runs that repeat a run elsewhere.
type repeatingRuns float64

func (r repeatingRuns) RepeatShare() float64 { return float64(r) }
func (r repeatingRuns) RecordFailedCall()    {}

// TestCallsOfRepeatedRunsAreChargedToTheBudget: a run that repeats another makes the same
// calls again, which are retries at the called service. When they were not charged, the
// called service got its own retries in addition.
func TestCallsOfRepeatedRunsAreChargedToTheBudget(t *testing.T) {
	backend := &fakeRunner{answer: answers(200)}
	f := newForwarder(backend)
	send := func(count int) float64 {
		before := f.budgets.forService("s").balance()
		for range count {
			f.Forward(t.Context(), newRequest("/read/"))
		}
		return f.budgets.forService("s").balance() - before
	}
	send(1)
	f.localRuns = repeatingRuns(1)
	test.GreaterEq(t, 0, send(3), test.Sprint("requests from callers are not charged"))
	f.calledRoutes.record("read", wire.OriginService)
	test.Less(t, 0, send(3), test.Sprint("all runs repeat others, so their calls are charged"))
	f.localRuns = repeatingRuns(0)
	test.GreaterEq(t, 0, send(3))
	f.localRuns = repeatingRuns(1)
	send(1000)
	test.Eq(t, -retries.MaxDebt, f.budgets.forService("s").balance())
}

// TestRepeatsAtACalledServiceStayWithinItsBudget: runs of the first service make calls to
// the called service, and all those calls fail. Repeats at the called service are its own
// retries and the calls of repeated runs. Their number stays within what the platform
// allows for the calls that runs make the first time, also where only some runs make calls.
func TestRepeatsAtACalledServiceStayWithinItsBudget(t *testing.T) {
	for _, callingRuns := range []int{10, 7, 3} {
		const (
			daemons, requests, callsPerRun = 30, 6000, 2
			allowedRatio, allowedSlack     = 0.2, 60
		)
		s := settings.Default().Routing
		s.RetryRatio, s.RetrySlack = 0.8*allowedRatio, 0.8*allowedSlack
		failures := rand.New(rand.NewPCG(1, uint64(callingRuns)))
		repeats, firstCalls := 0.0, 0.0
		for range daemons {
			all := newRetryBudgets(testCommon(s), func() int { return daemons })
			first, called := all.forService("first"), all.forService("called")
			runs, repeated := 0.0, 0.0
			run := func(makesCalls, again bool) {
				runs++
				if again {
					repeated++
				}
				for range callsPerRun {
					if !makesCalls {
						continue
					}
					if again {
						repeats++
					} else {
						firstCalls++
					}
					called.addCall(repeated / runs)
					if called.take() {
						repeats++
					}
				}
			}
			for n := range requests / daemons {
				first.addRequest()
				makesCalls := n%10 < callingRuns
				run(makesCalls, false)
				// A run whose calls failed is not repeated, but one run in four fails before
				// it makes any call.
				if failures.IntN(4) == 0 && first.take() {
					run(makesCalls, true)
				}
			}
		}
		test.LessEq(t, allowedRatio*firstCalls+allowedSlack, repeats, test.Sprintf("%d runs in ten make calls", callingRuns))
		test.Greater(t, 0, repeats)
	}
}

// TestSavedRetriesOfAllDaemonsStayWithinTheSlack: all requests of a service fail in one window,
// after a time in which every daemon has saved what it may. 16 requests a window and daemon are
// those of a service on the largest site, one is a service that is rarely called.
func TestSavedRetriesOfAllDaemonsStayWithinTheSlack(t *testing.T) {
	t.Run("usual", func(t *testing.T) { checkSavedRetries(t, 16) })
	t.Run("rarely called", func(t *testing.T) { checkSavedRetries(t, 1) })
}

func checkSavedRetries(t *testing.T, requestsEach int) {
	const (
		daemons                    = 984
		allowedRatio, allowedSlack = 0.2, 58
	)
	s := settings.Default().Routing
	s.RetryRatio, s.RetrySlack = 0.8*allowedRatio, 46
	retries := 0
	for range daemons {
		b := newRetryBudgets(testCommon(s), func() int { return daemons }).forService("s")
		for range 100 {
			b.addRequest()
		}
		for range requestsEach {
			b.addRequest()
			if b.take() {
				retries++
			}
		}
	}
	test.LessEq(t, allowedRatio*daemons*float64(requestsEach)+allowedSlack, float64(retries))
}
