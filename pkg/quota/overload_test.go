package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/rushramp/rushramp/pkg/teams"
)

const (
	// overload is the load of a team far over its limit, as a multiple of the limit.
	overload = 5
	// overloadRate is the limit in requests per second.
	overloadRate = 200
	// promptRefusal is the longest wait of a request that is refused at once: a round trip
	// to the counter and two rounds of the model.
	promptRefusal = 50 * time.Millisecond
)

// waitsOver returns how many of the durations are longer than limit, and the longest.
func waitsOver(limit time.Duration, waits []time.Duration) (count int, longest time.Duration) {
	for _, wait := range waits {
		longest = max(longest, wait)
		if wait > limit {
			count++
		}
	}
	return count, longest
}

// overloadedAnswers are the answers to a team far over its limit within some time.
type overloadedAnswers struct {
	granted, unsure int
	// waits holds the waits of the requests that were not granted.
	waits []time.Duration
}

// overloadFor sends the team's requests for a time.
func (w *world) overloadFor(duration time.Duration) overloadedAnswers {
	granted, unsure, waits := w.granted, w.unsure, len(w.refusedAfter)
	w.run(overload*overloadRate, duration, nil)
	return overloadedAnswers{granted: w.granted - granted, unsure: w.unsure - unsure, waits: w.refusedAfter[waits:]}
}

// overloadedFleet returns a fleet that a team far over its limit has used for a second.
func overloadedFleet(n int) *world {
	w := newFleet(n, overloadRate, 1)
	w.overloadFor(time.Second)
	return w
}

// TestOverloadIsRefusedPromptlyWhileOneDaemonIsDown: the share of one VM that is down must
// not hold up the refusals of a team far over its limit.
func TestOverloadIsRefusedPromptlyWhileOneDaemonIsDown(t *testing.T) {
	for _, n := range []int{12, 62} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			w := overloadedFleet(n)
			w.kill((w.counterOf(w.team)+1)%n, 5*time.Second)
			out := w.overloadFor(5 * time.Second)
			late, longest := waitsOver(promptRefusal, out.waits)
			t.Logf("%s: %d granted, %d unsure, %d not granted, %d of these after more than %v, longest %v", t.Name(), out.granted, out.unsure, len(out.waits), late, promptRefusal, longest)
			test.Eq(t, 0, out.unsure)
			test.LessEq(t, len(out.waits)/100, late)
		})
	}
}

// TestOverloadIsNotHeldUp: once missing shares are not expected any more, and after the
// history of shares was lost, no more requests wait than the limit could serve.
func TestOverloadIsNotHeldUp(t *testing.T) {
	const (
		// notExpectedAfter covers the end of a lease and the time for which missing shares
		// are expected after it.
		notExpectedAfter = 2 * time.Second
		measured         = 3 * time.Second
		// trimmed is the longest wait of requests that are answered in the next round,
		// because more wait than can be served.
		trimmed = shareRetryInterval + promptRefusal
	)
	for _, c := range []struct {
		name string
		// oneCounter is true if all daemons still have the same counter.
		oneCounter bool
		fault      func(w *world)
	}{
		{"half are cut off", false, func(w *world) {
			for i := range w.daemons {
				w.partition[i] = 1 + i%2
			}
		}},
		{"the counter restarts", true, func(w *world) { w.restart(w.counterOf(w.team)) }},
		{"the counter is down", true, func(w *world) { w.kill(w.counterOf(w.team), 5*time.Second) }},
		{"a quarter is down", true, func(w *world) {
			counter := w.counterOf(w.team)
			for i := range w.daemons {
				if i != counter && i%4 == 0 {
					w.kill(i, 5*time.Second)
				}
			}
		}},
	} {
		for _, n := range []int{12, 62} {
			t.Run(fmt.Sprint(n, "/", c.name), func(t *testing.T) {
				t.Parallel()
				w := overloadedFleet(n)
				c.fault(w)
				first, then := w.overloadFor(notExpectedAfter), w.overloadFor(measured)
				lateFirst, _ := waitsOver(trimmed, first.waits)
				late, longest := waitsOver(trimmed, then.waits)
				t.Logf("%s: %d granted, %d unsure, %d not granted, %d of these after more than %v; then %d, %d, %d, %d, longest %v", t.Name(),
					first.granted, first.unsure, len(first.waits), lateFirst, trimmed, then.granted, then.unsure, len(then.waits), late, longest)
				test.LessEq(t, maxTokenWait, longest)
				test.LessEq(t, int(overloadRate*measured.Seconds()), late)
				if c.oneCounter {
					test.LessEq(t, int(overloadRate*notExpectedAfter.Seconds()), lateFirst)
				}
			})
		}
	}
}

// TestCounterThatLacksFewSharesKnowsTheUse: one VM of ten that is down must not make a
// counter unsure.
func TestCounterThatLacksFewSharesKnowsTheUse(t *testing.T) {
	for _, c := range []struct {
		members, held int
		knows         bool
	}{{10, 10, true}, {10, 9, true}, {62, 56, true}, {10, 8, false}, {62, 55, false}} {
		p := newPool(0)
		for i := range c.held {
			p.addShare(second, shareOffer{vm: fmt.Sprint(i), size: 1 / float64(c.members), counterTime: second, lease: minLease})
		}
		test.Eq(t, c.knows, p.knowsUse(second, teams.Limit{Rate: 1}, 5*time.Second), test.Sprint(c))
	}
}

// TestRequestsWaitWithinWhatCanBeEarned: over all daemons together, also once the missing
// shares are not expected any more.
func TestRequestsWaitWithinWhatCanBeEarned(t *testing.T) {
	limit := teams.Limit{Rate: 100, Burst: 100}
	p := newPool(0)
	now := second
	p.addShare(now, shareOffer{vm: "a", size: 0.5, counterTime: now, lease: maxLease})
	_, _ = p.take(now, "red", limit, TokenRequest{Count: 1000})
	allowWaiting := func(count uint32) uint32 { return p.allowWaiting(now, "red", limit, minLease, count) }
	test.Eq(t, 40, allowWaiting(1), test.Sprint("a single daemon may let all wait"))
	test.Eq(t, 29+10*29/30, allowWaiting(29), test.Sprint("two divide the rest"))
	test.Eq(t, 10, allowWaiting(1000))
	test.Eq(t, 0, allowWaiting(1))
	now += int64(shareRetryInterval)
	test.Eq(t, 10, allowWaiting(10), test.Sprint("none is left for requests that are still to arrive"))
	now += 2 * int64(shareRetryInterval)
	test.Eq(t, 40, allowWaiting(10))
	now = second + int64(minLease+maxTokenWait)
	test.Eq(t, 40, allowWaiting(1))
	now++
	test.Eq(t, 1+18/2, allowWaiting(1), test.Sprint("the missing share is not expected any more"))
	now += int64(minLease+maxTokenWait) + 1
	test.Eq(t, 40, allowWaiting(1), test.Sprint("requests begin to wait again"))
}

// TestLatestRequestsBeyondTheLimitOfWaitingAreAnswered: those that were requested and not
// answered yet, or whose counter states no limit, keep waiting.
func TestLatestRequestsBeyondTheLimitOfWaitingAreAnswered(t *testing.T) {
	var waiters []*waiter
	for range 5 {
		waiters = append(waiters, &waiter{verdict: make(chan Verdict, 1)})
	}
	a := &account{requested: 4, waiters: waiters}
	a.applyGrant(1, &TokenGrant{Requested: 3, NoShareYet: true}, true)
	test.SliceLen(t, 5, a.waiters, test.Sprint("a counter that states no limit"))
	a.applyGrant(1, &TokenGrant{NoShareYet: true, MaxWaiting: 3}, true)
	test.SliceLen(t, 3, a.waiters)
	test.Eq(t, 0, len(waiters[2].verdict))
	must.Eq(t, 1, len(waiters[3].verdict))
	test.Eq(t, Verdict{Unsure: true}, <-waiters[3].verdict)
}

// TestRequestIsNotHeldIfTooManyWait: it is answered without a question to the counter, and
// only until the tokens are requested again.
func TestRequestIsNotHeldIfTooManyWait(t *testing.T) {
	n := newRecordingNode()
	n.tick(second, 3, "link")
	first, _ := n.takeOrWait(second, "red")
	must.NotNil(t, first)
	n.HandleGrant(second, "b/1", &Grant{Group: uint8(GroupOf("red")), CounterTime: 1, TokenGrants: []TokenGrant{{Team: "red", Requested: 1, NoShareYet: true, MaxWaiting: 2}}})
	n.requestedTokens()
	w, verdict := n.takeOrWait(second+1, "red")
	test.Nil(t, w)
	test.Eq(t, Verdict{Unsure: true}, verdict)
	test.Eq(t, 0, n.requestedTokens())
	w, _ = n.takeOrWait(second+int64(shareRetryInterval), "red")
	test.NotNil(t, w)
	test.Eq(t, 2, n.requestedTokens())
}

// TestDeferredTokensAreNotRequestedEarly: the counter counts each waiting request once in
// an interval.
func TestDeferredTokensAreNotRequestedEarly(t *testing.T) {
	n := newRecordingNode()
	n.tick(second, 3, "link")
	w, _ := n.takeOrWait(second, "red")
	must.NotNil(t, w)
	n.askAt = second + 10*millisecond
	n.HandleGrant(second, "b/1", &Grant{Group: uint8(GroupOf("red")), CounterTime: 1, TokenGrants: []TokenGrant{{Team: "red", Requested: 1, NoShareYet: true}}})
	n.requestedTokens()
	n.tick(second+10*millisecond, 3, "link")
	test.Eq(t, 0, n.requestedTokens())
	n.tick(second+int64(shareRetryInterval), 3, "link")
	test.Eq(t, 1, n.requestedTokens())
}
