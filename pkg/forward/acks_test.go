package forward

import (
	"bytes"
	"context"
	"regexp"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/rushramp/rushramp/pkg/acks"
	"github.com/rushramp/rushramp/pkg/call"
	"github.com/rushramp/rushramp/pkg/errkind"
	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/settings"
	"github.com/rushramp/rushramp/pkg/wire"
)

const (
	// never is a delay after which nothing follows.
	never = time.Duration(-1)
	// testPing is the round-trip time of pings on the links of the tests.
	testPing = 4 * time.Millisecond
)

// TestAnUnacknowledgedCallIsAnsweredElsewhere also checks that the call takes one retry from the
// budget, and that the first executor's run is cancelled.
func TestAnUnacknowledgedCallIsAnsweredElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slow := &ackRunner{ackAfter: never, endAfter: never}
		quick := &ackRunner{ackAfter: testPing, endAfter: 30 * time.Millisecond, result: answered(200)}
		f := newAckForwarder(slow, quick)
		var log bytes.Buffer
		f.Log = events.NewLog(&log, events.Debug)
		f.budgets.forService("s").addRequest()
		startedAt := time.Now()
		got := f.Forward(t.Context(), newRequest("/read/"))
		must.NotNil(t, got.Answer)
		test.Eq(t, "b", got.Server)
		test.Less(t, 400*time.Millisecond, time.Since(startedAt))
		test.Len(t, 1, slow.calls)
		test.Len(t, 1, quick.calls)
		test.Eq(t, 1, slow.cancelled)
		test.Eq(t, 0, quick.cancelled)
		test.Eq(t, 1, quick.calls[0].Claim.Generation, test.Sprint("the first attempt counts as offered"))
		test.Eq(t, 1, spent(f))
		test.StrContains(t, log.String(), "a soft load=")
		test.StrContains(t, log.String(), "-> unacknowledged")
		// The next request avoids the executor.
		f.Forward(t.Context(), newRequest("/read/"))
		test.Len(t, 1, slow.calls)
		test.Len(t, 2, quick.calls)
	})
}

// TestTheFirstAnswerIsUsed checks calls whose ack is lost or late and whose runs both end.
func TestTheFirstAnswerIsUsed(t *testing.T) {
	ok := answered(200)
	scenarios := []struct {
		name          string
		first, second *ackRunner
		server        string
		// cancelledFirst and cancelledSecond count the cancelled runs of each.
		cancelledFirst, cancelledSecond int
	}{
		{"the first executor answers first", &ackRunner{ackAfter: never, endAfter: 300 * time.Millisecond, result: ok}, &ackRunner{ackAfter: testPing, endAfter: 500 * time.Millisecond, result: ok}, "a", 0, 1},
		{"the second executor answers first", &ackRunner{ackAfter: 350 * time.Millisecond, endAfter: 600 * time.Millisecond, result: ok}, &ackRunner{ackAfter: testPing, endAfter: 100 * time.Millisecond, result: ok}, "b", 1, 0},
		{"the second executor refuses", &ackRunner{ackAfter: never, endAfter: 800 * time.Millisecond, result: ok}, &ackRunner{endAfter: testPing, result: call.Refused(errkind.Overloaded, "")}, "a", 0, 0},
		{"the second executor fails", &ackRunner{ackAfter: never, endAfter: 800 * time.Millisecond, result: ok}, &ackRunner{endAfter: testPing, result: answered(500)}, "a", 0, 0},
		{"the first executor fails while the second runs", &ackRunner{ackAfter: never, endAfter: 300 * time.Millisecond, result: answered(500)}, &ackRunner{endAfter: 500 * time.Millisecond, result: ok}, "b", 0, 0},
		{"the link of the first executor ends", &ackRunner{ackAfter: never, endAfter: 300 * time.Millisecond, result: call.Refused(errkind.LinkLost, "")}, &ackRunner{endAfter: 500 * time.Millisecond, result: ok}, "b", 0, 0},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newAckForwarder(s.first, s.second)
				f.budgets.forService("s").addRequest()
				got := f.Forward(t.Context(), newRequest("/read/"))
				must.NotNil(t, got.Answer)
				test.Eq(t, 200, got.Answer.Status)
				test.Eq(t, s.server, got.Server)
				test.Len(t, 1, s.first.calls)
				test.Eq(t, s.cancelledFirst, s.first.cancelled)
				test.Eq(t, s.cancelledSecond, s.second.cancelled)
				test.Eq(t, 1, spent(f))
				time.Sleep(2 * time.Second)
			})
		})
	}
}

// TestNoAnswerOfEitherExecutor: the result says what is known about both runs.
func TestNoAnswerOfEitherExecutor(t *testing.T) {
	notRun := call.Refused(errkind.Overloaded, "")
	scenarios := []struct {
		name          string
		first, second *ackRunner
		kind          errkind.Kind
		ran           errkind.Ran
	}{
		{"both refuse", &ackRunner{ackAfter: never, endAfter: 300 * time.Millisecond, result: notRun}, &ackRunner{endAfter: testPing, result: notRun}, errkind.Overloaded, errkind.RanNo},
		{"the first may run", &ackRunner{ackAfter: never, endAfter: never}, &ackRunner{endAfter: testPing, result: notRun}, errkind.DeadlineWhileRunning, errkind.RanMaybe},
		{"both may run", &ackRunner{ackAfter: never, endAfter: never}, &ackRunner{ackAfter: testPing, endAfter: never}, errkind.DeadlineWhileRunning, errkind.RanMaybe},
		{"the first link ends", &ackRunner{ackAfter: never, endAfter: 300 * time.Millisecond, result: call.Refused(errkind.LinkLost, "")}, &ackRunner{endAfter: testPing, result: notRun}, errkind.LinkLost, errkind.RanMaybe},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newAckForwarder(s.first, s.second)
				got := f.Forward(t.Context(), newRequest("/read/"))
				must.NotNil(t, got.Refusal)
				test.Eq(t, s.kind, got.Refusal.Kind)
				test.Eq(t, s.ran, got.Refusal.Ran)
				test.Len(t, 1, s.first.calls)
				time.Sleep(2 * time.Second)
			})
		})
	}
}

// TestACallThatMayNotLeaveIsWaitedFor checks that the result of an executor that has not
// acknowledged the call is used where the call may not go elsewhere.
func TestACallThatMayNotLeaveIsWaitedFor(t *testing.T) {
	scenarios := []struct {
		name    string
		path    string
		prepare func(f *Forwarder, first *ackRunner)
		// asked is how many acks are asked for.
		asked int
	}{
		{"it may not run twice", "/post/", func(*Forwarder, *ackRunner) {}, 0},
		{"the peer is of the previous release", "/read/", func(_ *Forwarder, first *ackRunner) { first.oldRelease = true }, 0},
		{"the setting is off", "/read/", func(f *Forwarder, _ *ackRunner) { f.Settings.Routing.AcknowledgeCalls = false }, 0},
		{"no backend server makes the request", "/read/", func(f *Forwarder, _ *ackRunner) { f.calledRoutes.record("read", wire.OriginCallers) }, 0},
		{"the budget is empty", "/read/", func(f *Forwarder, _ *ackRunner) {
			f.budgets.forService("s").addRequest()
			for f.budgets.take(t.Context(), "s") == "" {
			}
		}, 1},
		{"no other candidate is left", "/read/", func(f *Forwarder, _ *ackRunner) {
			kind := f.view.Service("s").Match("GET", "/")
			kind.LinkedCandidates = kind.LinkedCandidates[:1]
		}, 1},
		{"a run elsewhere takes too long", "/read/", func(f *Forwarder, _ *ackRunner) { f.work.Record("read", 900*time.Millisecond, 100) }, 1},
		{"it is acknowledged", "/read/", func(_ *Forwarder, first *ackRunner) { first.ackAfter = testPing }, 1},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				first := &ackRunner{ackAfter: never, endAfter: 950 * time.Millisecond, result: answered(200)}
				second := &ackRunner{endAfter: testPing, result: answered(200)}
				f := newAckForwarder(first, second)
				s.prepare(f, first)
				got := f.Forward(t.Context(), newRequest(s.path))
				must.NotNil(t, got.Answer)
				test.Eq(t, "a", got.Server)
				test.Len(t, 0, second.calls)
				test.Eq(t, 0, first.cancelled)
				test.Eq(t, s.asked, first.asked)
			})
		})
	}
}

// TestARequestThatMayNotRunTwiceIsSentOnce guards against a second run of a request that is not
// repeatable.
func TestARequestThatMayNotRunTwiceIsSentOnce(t *testing.T) {
	for _, first := range []*ackRunner{
		{ackAfter: never, endAfter: never},
		{ackAfter: never, endAfter: 300 * time.Millisecond, result: call.Refused(errkind.LinkLost, "")},
		{ackAfter: never, endAfter: 300 * time.Millisecond, result: answered(500)},
	} {
		synctest.Test(t, func(t *testing.T) {
			second := &ackRunner{endAfter: testPing, result: answered(200)}
			f := newAckForwarder(first, second)
			f.Forward(t.Context(), newRequest("/post/"))
			test.Eq(t, 1, len(first.calls)+len(second.calls))
			test.Eq(t, 0, first.asked)
		})
	}
}

// slowFleetCalls is how many calls each entry of a slow fleet makes.
const slowFleetCalls = 2000

// extraAttemptsOfSlowFleet returns how many attempts beyond the first of each call the given
// number of entries make while all their links are slow. retryRatio is that of the budget,
// whose slack is one retry.
func extraAttemptsOfSlowFleet(t *testing.T, entries int, retryRatio float64) (extra int) {
	for range entries {
		runners := make([]*ackRunner, 6)
		all := make([]call.Runner, len(runners))
		for i := range runners {
			runners[i] = &ackRunner{ackAfter: 250 * time.Millisecond, endAfter: 300 * time.Millisecond, result: answered(200)}
			all[i] = runners[i]
		}
		f := newAckForwarder(all...)
		f.Settings.Routing.RetryRatio, f.Settings.Routing.RetrySlack = retryRatio, 1
		var running sync.WaitGroup
		for range slowFleetCalls {
			running.Go(func() { test.NotNil(t, f.Forward(t.Context(), newRequest("/read/")).Answer) })
			time.Sleep(10 * time.Millisecond)
		}
		running.Wait()
		for _, r := range runners {
			extra += len(r.calls)
		}
		extra -= slowFleetCalls
	}
	return extra
}

// TestAFleetWhoseLinksAreAllSlowSendsFewCallsTwice: the budget limits extra attempts, also if
// it is small, and the widening of bounds keeps their share within that of the default budget
// where the budget would allow to send every call twice.
func TestAFleetWhoseLinksAreAllSlowSendsFewCallsTwice(t *testing.T) {
	const entries, smallRatio = 4, 0.004
	synctest.Test(t, func(t *testing.T) {
		extra := extraAttemptsOfSlowFleet(t, entries, smallRatio)
		t.Logf("small budget: %d extra attempts for %d calls", extra, entries*slowFleetCalls)
		// Each entry may also spend the retry that a budget holds from the start.
		test.LessEq(t, entries*(smallRatio*slowFleetCalls+1), float64(extra))
		test.Positive(t, extra, test.Sprint("calls are sent twice"))

		extra = extraAttemptsOfSlowFleet(t, entries, 1)
		t.Logf("large budget: %d extra attempts for %d calls", extra, entries*slowFleetCalls)
		test.LessEq(t, settings.Default().Routing.RetryRatio*entries*slowFleetCalls, float64(extra))
		test.Positive(t, extra, test.Sprint("calls are sent twice"))
	})
}

// TestMostCallsLateIsLoggedOnce: the event tells that bounds are widened, not that a call was
// late. The bound then covers the time that acks take.
func TestMostCallsLateIsLoggedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slow := &ackRunner{ackAfter: 250 * time.Millisecond, endAfter: 300 * time.Millisecond, result: answered(200)}
		f := newAckForwarder(slow)
		var log bytes.Buffer
		f.Log = events.NewLog(&log, events.Warn)
		for range 50 {
			f.Forward(t.Context(), newRequest("/read/"))
		}
		test.Eq(t, 1, strings.Count(log.String(), "event=522"))
		test.Greater(t, slow.ackAfter, f.acks.Bound(slow.AckEstimate(), time.Second, 0).Late)
	})
}

// TestTheLogShowsWhatALeftAttemptLedTo: the record of the attempt that was left names its own
// end, where it came first.
func TestTheLogShowsWhatALeftAttemptLedTo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first := &ackRunner{ackAfter: never, endAfter: 300 * time.Millisecond, result: answered(200)}
		second := &ackRunner{ackAfter: testPing, endAfter: 900 * time.Millisecond, result: answered(200)}
		f := newAckForwarder(first, second)
		var log bytes.Buffer
		f.Log = events.NewLog(&log, events.Debug)
		f.Forward(t.Context(), newRequest("/read/"))
		time.Sleep(time.Second)
		test.RegexMatch(t, regexp.MustCompile(`attempts="a [^;]*-> unacknowledged [0-9.]+ms then 200 300\.0ms; b [^;]*-> not_needed [0-9.]+ms"`), log.String())
	})
}

// TestAPauseOfTheEntryIsNotALateAck: an ack that arrived during the pause is read first.
func TestAPauseOfTheEntryIsNotALateAck(t *testing.T) {
	for _, arrived := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			runner := &ackRunner{ackAfter: never, endAfter: never}
			f := newAckForwarder(runner)
			w := &ackWatch{forwarder: f, runner: runner, acknowledger: runner, bound: acks.Bound{Late: 50 * time.Millisecond}}
			w.execute(&wire.Call{}, nil, func(call.Result) {})
			defer w.stop()
			time.Sleep(10 * w.bound.Late)
			<-w.due()
			test.False(t, w.checkLate(), test.Sprint("the check came late itself"))
			if arrived {
				w.acknowledge()
			}
			<-w.due()
			test.Eq(t, !arrived, w.checkLate())
		})
	}
}

// TestTheCallerLeavesWhileBothRunsAreAwaited: both are cancelled.
func TestTheCallerLeavesWhileBothRunsAreAwaited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, second := &ackRunner{ackAfter: never, endAfter: never}, &ackRunner{ackAfter: testPing, endAfter: never}
		ctx, cancel := context.WithTimeout(t.Context(), 400*time.Millisecond)
		defer cancel()
		got := newAckForwarder(first, second).Forward(ctx, newRequest("/read/"))
		must.NotNil(t, got.Refusal)
		test.Eq(t, errkind.CallerGone, got.Refusal.Kind)
		test.Eq(t, errkind.RanMaybe, got.Refusal.Ran)
		test.Eq(t, 1, first.cancelled)
		test.Eq(t, 1, second.cancelled)
	})
}

// TestALeftAttemptDoesNotHideAnEarlierRun: a refusal that says "not run" would be false if
// any attempt has run, in whichever order the attempts end.
func TestALeftAttemptDoesNotHideAnEarlierRun(t *testing.T) {
	notRun := call.Refused(errkind.Overloaded, "")
	refuses := func(after time.Duration) *ackRunner {
		return &ackRunner{ackAfter: never, endAfter: after, result: notRun}
	}
	fails := func(after time.Duration) *ackRunner {
		return &ackRunner{ackAfter: never, endAfter: after, result: answered(500)}
	}
	scenarios := []struct {
		name    string
		runners []call.Runner
	}{
		{"the first fails, the second is left", []call.Runner{fails(testPing), refuses(600 * time.Millisecond), refuses(testPing)}},
		{"both are left, the first fails before the second ends", []call.Runner{fails(600 * time.Millisecond), refuses(700 * time.Millisecond), refuses(testPing)}},
		{"both are left, the first fails after the second ends", []call.Runner{fails(700 * time.Millisecond), refuses(600 * time.Millisecond), refuses(testPing)}},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newAckForwarder(s.runners...)
				match := f.Match(newRequest("/read/"))
				match.route.Attempts = len(s.runners)
				f.budgets.forService("s").addRequest()
				got := f.ForwardMatched(t.Context(), match, newRequest("/read/"))
				for _, runner := range s.runners {
					test.Len(t, 1, runner.(*ackRunner).calls)
				}
				must.NotNil(t, got.Answer)
				test.Eq(t, 500, got.Answer.Status)
				time.Sleep(2 * time.Second)
			})
		})
	}
}

// TestALeftAttemptThatCannotGoElsewhereEndsWithItsOwnResult: the time or the budget may end
// between the decision to go elsewhere and the next attempt.
func TestALeftAttemptThatCannotGoElsewhereEndsWithItsOwnResult(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newAckForwarder(&ackRunner{})
		req := newRequest("/read/")
		match := f.Match(req)
		a := f.newAttempts(t.Context(), req, match.route, match.placement.Version, f.Now())
		a.loadCandidates()
		a.tries = 1
		a.records = []attemptRecord{{}}
		a.softLeft = 0
		result := a.leave(&a.candidates[0], func() {})
		for f.budgets.take(t.Context(), "s") == "" {
		}
		must.True(t, a.isLast(0, &result))
		a.ends <- &attemptEnd{1, call.Refused(errkind.Overloaded, "")}
		got := a.finalResult(result)
		must.NotNil(t, got.Refusal)
		test.Eq(t, errkind.Overloaded, got.Refusal.Kind)
		test.Eq(t, errkind.RanNo, got.Refusal.Ran)
	})
}

// TestARequestWithTimeLeftIsNotEndedByAnExecutorsDeadline: the executor's estimate of the
// transit delay may be wrong after a pause of this VM.
func TestARequestWithTimeLeftIsNotEndedByAnExecutorsDeadline(t *testing.T) {
	for _, path := range []string{"/read/", "/post/"} {
		for _, s := range []struct {
			after time.Duration
			calls int
		}{{testPing, 1}, {time.Second - minRetryTime + 1, 0}} {
			synctest.Test(t, func(t *testing.T) {
				first := &ackRunner{ackAfter: testPing, endAfter: s.after, result: call.Refused(errkind.DeadlineBeforeRun, "")}
				second := &ackRunner{endAfter: testPing, result: answered(200)}
				got := newAckForwarder(first, second).Forward(t.Context(), newRequest(path))
				test.Len(t, s.calls, second.calls)
				test.Eq(t, s.calls == 1, got.Answer != nil)
			})
		}
	}
}
