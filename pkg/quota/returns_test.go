package quota

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/rushramp/rushramp/pkg/teams"
)

// grantReturns answers the outstanding requests for tokens of team red: none is granted,
// and count return times are reserved, the first after 100 ms, then one every 20 ms.
func (n *recordingNode) grantReturns(now int64, process string, count uint32) {
	n.HandleGrant(now, process, &Grant{Group: uint8(GroupOf("red")), CounterTime: now, TokenGrants: []TokenGrant{{
		Team: "red", Requested: uint32(n.requestedTokens()), AskedAt: now, WaitMS: 50, Returns: count, ReturnMS: 100, ReturnStepUS: 20000,
	}}})
}

// refusedNode returns a node with a request refused at second, and count return times.
func refusedNode(t *testing.T, count uint32) *recordingNode {
	t.Helper()
	n := newRecordingNode()
	n.opts.ScheduleReturns = true
	n.tick(second, 3, "link")
	w, _ := n.takeOrWait(second, "red")
	must.NotNil(t, w)
	n.grantReturns(second, "b/1", count)
	return n
}

// granted reports whether a request gets a token at once.
func (n *recordingNode) granted(now int64) bool {
	_, verdict := n.takeOrWait(now, "red")
	return verdict.Granted
}

// callerWith returns a refused caller for which every time that it honours is useful.
func callerWith(honoured, nextToken time.Duration) RefusedCaller {
	return RefusedCaller{Honoured: honoured, Useful: time.Hour, NextToken: nextToken}
}

func TestEachRefusedCallerGetsItsOwnReturnTime(t *testing.T) {
	n := refusedNode(t, 3)
	for _, want := range []time.Duration{100, 120, 140} {
		after, cause := n.ReturnTime(second, "red", callerWith(200*time.Millisecond, 50*time.Millisecond))
		test.Eq(t, want*time.Millisecond, after)
		test.Eq(t, ReturnReserved, cause)
	}
	after, cause := n.ReturnTime(second, "red", callerWith(200*time.Millisecond, 50*time.Millisecond))
	test.Eq(t, 200*time.Millisecond, after)
	test.Eq(t, ReturnLongest, cause)
}

// TestCallersThatDoNotHonourTheNextReturnTimeGetTheLongest: it stays for the next caller.
func TestCallersThatDoNotHonourTheNextReturnTimeGetTheLongest(t *testing.T) {
	n := refusedNode(t, 1)
	after, cause := n.ReturnTime(second, "red", callerWith(90*time.Millisecond, 50*time.Millisecond))
	test.Eq(t, 90*time.Millisecond, after)
	test.Eq(t, ReturnLongest, cause)
	_, cause = n.ReturnTime(second, "red", callerWith(time.Second, 50*time.Millisecond))
	test.Eq(t, ReturnReserved, cause)
}

// TestReturnTimesAreUseful: a caller must not be sent away for so long that it is answered
// after its target, also when it is refused a second time.
func TestReturnTimesAreUseful(t *testing.T) {
	n := refusedNode(t, 1)
	c := RefusedCaller{Honoured: 1280 * time.Millisecond, Useful: 300 * time.Millisecond, NextToken: 50 * time.Millisecond}
	after, cause := n.ReturnTime(second, "red", c)
	test.Eq(t, 96*time.Millisecond, after)
	test.Eq(t, ReturnLongest, cause)
	c.Useful = 320 * time.Millisecond
	after, cause = n.ReturnTime(second, "red", c)
	test.Eq(t, 100*time.Millisecond, after)
	test.Eq(t, ReturnReserved, cause)
}

// TestCallersThatCannotMeetTheirTargetGetTheTimeOfTheNextToken, and take no return time
// from those that can.
func TestCallersThatCannotMeetTheirTargetGetTheTimeOfTheNextToken(t *testing.T) {
	n := refusedNode(t, 1)
	for _, useful := range []time.Duration{-time.Second, 0, 62 * time.Millisecond} {
		after, cause := n.ReturnTime(second, "red", RefusedCaller{Honoured: time.Second, Useful: useful, NextToken: 50 * time.Millisecond})
		test.Eq(t, 50*time.Millisecond, after)
		test.Eq(t, ReturnUnreachable, cause)
	}
	test.Eq(t, 3, n.Stats().ReturnsUnreachable)
	test.Eq(t, 0, n.accountOf("red").returnTimes.unmet)
	_, cause := n.ReturnTime(second, "red", callerWith(time.Second, 50*time.Millisecond))
	test.Eq(t, ReturnReserved, cause)
}

// TestAReservedTokenIsGivenOnceAndNotBeforeItIsDue: a caller that ignores its return time
// is one more request, and the token stays reserved for the daemon.
func TestAReservedTokenIsGivenOnceAndNotBeforeItIsDue(t *testing.T) {
	n := refusedNode(t, 1)
	n.ReturnTime(second, "red", callerWith(time.Second, 0))
	test.False(t, n.granted(second+40*millisecond))
	test.False(t, n.granted(second+99*millisecond))
	test.True(t, n.granted(second+100*millisecond))
	test.False(t, n.granted(second+101*millisecond))
}

// returnedTokens returns the number of tokens returned by the Asks sent since the last call.
func (n *recordingNode) returnedTokens() (count uint32) {
	for _, ask := range n.sent {
		for _, request := range ask.TokenRequests {
			count += request.Returned
		}
	}
	n.sent = nil
	return count
}

// TestUnusedReservedTokensGoBack: one that a caller was told of once it has expired, one
// that nobody was told of once it is due.
func TestUnusedReservedTokensGoBack(t *testing.T) {
	n := refusedNode(t, 2)
	n.ReturnTime(second, "red", callerWith(time.Second, 0))
	n.tick(second+100*millisecond, 3, "link")
	test.Eq(t, 0, n.returnedTokens())
	n.tick(second+300*millisecond, 3, "link")
	test.Eq(t, 1, n.returnedTokens())
	n.HandleGrant(second+300*millisecond, "b/1", &Grant{CounterTime: 2})
	n.tick(second+(100+300)*millisecond+int64(askInterval), 3, "link")
	test.Eq(t, 1, n.returnedTokens())
	test.False(t, n.granted(second+600*millisecond))
	test.Eq(t, 2, n.Stats().ReturnsUnused)
}

// TestReservedTokensOfALateGrantAreUsableForAShorterTime, and never before they are due at
// the counter.
func TestReservedTokensOfALateGrantAreUsableForAShorterTime(t *testing.T) {
	n := newRecordingNode()
	n.opts.ScheduleReturns = true
	n.tick(second, 3, "link")
	n.takeOrWait(second, "red")
	late := TokenGrant{Team: "red", Requested: uint32(n.requestedTokens()), AskedAt: second, Returns: 1, ReturnMS: 100, ReturnStepUS: 20000}
	n.HandleGrant(second+250*millisecond, "b/1", &Grant{Group: uint8(GroupOf("red")), CounterTime: 1, TokenGrants: []TokenGrant{late}})
	test.False(t, n.granted(second+349*millisecond))
	test.True(t, n.granted(second+350*millisecond))
	late.AskedAt -= 50 * millisecond
	n.HandleGrant(second+250*millisecond, "b/1", &Grant{Group: uint8(GroupOf("red")), CounterTime: 1, TokenGrants: []TokenGrant{late}})
	test.False(t, n.granted(second+350*millisecond))
}

// TestReturnTimesEndWithTheirCounter: no daemon keeps those of a lost counter, and the
// next one starts a new schedule.
func TestReturnTimesEndWithTheirCounter(t *testing.T) {
	n := refusedNode(t, 3)
	var ranked [Groups][]Peer
	for g := range ranked {
		ranked[g] = []Peer{{Process: "c/1", Send: func(*Ask) {}}}
	}
	n.Tick(second+10*millisecond, 3, &ranked)
	after, cause := n.ReturnTime(second+10*millisecond, "red", callerWith(time.Second, 50*time.Millisecond))
	test.Eq(t, 50*time.Millisecond, after)
	test.Eq(t, ReturnNextToken, cause)
	test.False(t, n.granted(second+200*millisecond))
	n.grantReturns(second+20*millisecond, "b/1", 3)
	test.False(t, n.granted(second+200*millisecond), test.Sprint("a late grant of the lost counter"))
}

// TestReturnTimesSurviveANewLinkToTheSameCounter: its process still holds the schedule.
func TestReturnTimesSurviveANewLinkToTheSameCounter(t *testing.T) {
	n := refusedNode(t, 1)
	n.tick(second+10*millisecond, 3, "second")
	test.True(t, n.granted(second+100*millisecond))
}

// TestACounterOfThePreviousReleaseGivesTheTimeOfTheNextToken: it leaves the fields zero.
func TestACounterOfThePreviousReleaseGivesTheTimeOfTheNextToken(t *testing.T) {
	n := newRecordingNode()
	n.opts.ScheduleReturns = true
	n.tick(second, 3, "link")
	n.takeOrWait(second, "red")
	n.HandleGrant(second, "b/1", &Grant{Group: uint8(GroupOf("red")), TokenGrants: []TokenGrant{{Team: "red", Requested: uint32(n.requestedTokens()), AskedAt: second, WaitMS: 50}}})
	_, verdict := n.takeOrWait(second, "red")
	after, cause := n.ReturnTime(second, "red", callerWith(10*time.Millisecond, verdict.RetryAfter))
	test.Eq(t, 50*time.Millisecond, after)
	test.Eq(t, ReturnNextToken, cause)
}

// countingNode returns a node that counts all groups and holds all shares until the end of
// a lease at second+minLease.
func countingNode(limit teams.Limit, schedule bool) *Node {
	n := NewNode(Options{VM: "c", ScheduleReturns: schedule, Limit: func(string) (teams.Limit, bool) { return limit, true }})
	n.HandleAsk(second, "a", &Ask{Group: uint8(GroupOf("red")), Members: 1, CounterTime: second, LeaseMS: uint32(minLease.Milliseconds())})
	return n
}

// ask requests tokens and return times of team red and returns the grant.
func (n *Node) ask(now int64, request TokenRequest) TokenGrant {
	request.Team, request.AskedAt = "red", now
	out := n.HandleAsk(now, "a", &Ask{Group: uint8(GroupOf("red")), TokenRequests: []TokenRequest{request}})
	return out.TokenGrants[0]
}

// TestADaemonOfThePreviousReleaseGetsNoReturnTimes: it leaves Refused zero. Neither does
// any where return times are turned off, nor a team within its limit.
func TestADaemonOfThePreviousReleaseGetsNoReturnTimes(t *testing.T) {
	limit := teams.Limit{Rate: 100, Burst: 20}
	for _, grant := range []TokenGrant{
		countingNode(limit, true).ask(second, TokenRequest{Count: 5}),
		countingNode(limit, false).ask(second, TokenRequest{Count: 5, Refused: 5}),
		countingNode(limit, true).ask(second+100*millisecond, TokenRequest{Count: 5, Refused: 5}),
	} {
		test.Eq(t, 0, grant.Returns+grant.ReturnMS+grant.ReturnStepUS)
	}
}

// TestReturnTimesStayWithinTheirShareAndTheLease: another counter may earn from a share
// once its lease here has expired.
func TestReturnTimesStayWithinTheirShareAndTheLease(t *testing.T) {
	n := countingNode(teams.Limit{Rate: 100, Burst: 5}, true)
	first := n.ask(second, TokenRequest{Count: 1, Refused: 1000})
	// 250 ms hold 12 tokens of half the rate; the first is due with the next token.
	test.Between(t, 12, first.Returns, 13)
	test.Eq(t, 20000, first.ReturnStepUS)
	again := n.ask(second, TokenRequest{Count: 1, Refused: 1000})
	test.Eq(t, 0, again.Returns)
	test.Positive(t, again.ReturnStepUS, test.Sprint("this counter schedules return times"))
	atEnd := n.ask(second+400*millisecond, TokenRequest{Count: 1000, Refused: 2000})
	must.Between(t, 1, atEnd.Returns, 5)
	lastMS := atEnd.ReturnMS + (atEnd.Returns-1)*atEnd.ReturnStepUS/1000
	test.LessEq(t, 100, lastMS)
}

// TestReservedTokensAreTakenFromTheRate: what is granted at once and what becomes due come
// to what the team earns, and new requests get at least the share that is not reserved.
func TestReservedTokensAreTakenFromTheRate(t *testing.T) {
	const rate = 100
	n := countingNode(teams.Limit{Rate: rate, Burst: 5}, true)
	granted, reserved := 0, 0
	for ms := int64(0); ms < 2000; ms += 5 {
		now := second + ms*millisecond
		if ms%100 == 0 {
			n.HandleAsk(now, "a", &Ask{Group: uint8(GroupOf("red")), Members: 1, CounterTime: now, LeaseMS: uint32(minLease.Milliseconds())})
		}
		grant := n.ask(now, TokenRequest{Count: 20, Refused: 40})
		granted += int(grant.Count)
		reserved += int(grant.Returns)
	}
	// Those due after the end are not earned yet.
	const dueLater = 13
	test.LessEq(t, 2*rate+dueLater, granted+reserved)
	test.GreaterEq(t, 2*rate-1, granted+reserved)
	test.GreaterEq(t, (1-returnShare)*2*rate-1, float64(granted))
	test.GreaterEq(t, returnShare*2*rate, float64(reserved))
}

// TestALateLeaseShortensReturnTimes: a lease that arrives late ends earlier than those
// known before.
func TestALateLeaseShortensReturnTimes(t *testing.T) {
	n := countingNode(teams.Limit{Rate: 100, Burst: 5}, true)
	n.ask(second, TokenRequest{Count: 1, Refused: 1})
	n.HandleAsk(second, "b", &Ask{Group: uint8(GroupOf("red")), Members: 2, CounterTime: second - 400*millisecond, LeaseMS: uint32(minLease.Milliseconds())})
	grant := n.ask(second, TokenRequest{Count: 1, Refused: 1000})
	must.Positive(t, grant.Returns)
	test.Less(t, 100, grant.ReturnMS+(grant.Returns-1)*grant.ReturnStepUS/1000)
}

// TestAGrantWithoutReturnTimesKeepsThoseInHand: a daemon that holds return times that
// nobody was told of requests none, and the counter's refusal then states no step.
func TestAGrantWithoutReturnTimesKeepsThoseInHand(t *testing.T) {
	n := refusedNode(t, 3)
	n.sent = nil
	later := second + 60*millisecond
	w, _ := n.takeOrWait(later, "red")
	must.NotNil(t, w)
	must.Len(t, 1, n.sent)
	request := n.sent[0].TokenRequests[0]
	test.Eq(t, 0, request.Refused)
	refusal := TokenGrant{Team: "red", Requested: request.Count, AskedAt: later, WaitMS: 30}
	n.HandleGrant(later, "b/1", &Grant{Group: uint8(GroupOf("red")), CounterTime: later, TokenGrants: []TokenGrant{refusal}})
	after, cause := n.ReturnTime(later, "red", callerWith(200*time.Millisecond, 30*time.Millisecond))
	test.Eq(t, 40*time.Millisecond, after)
	test.Eq(t, ReturnReserved, cause)
}

// TestTheLongestTimeIsBounded: callers with a long timeout must not be sent away for
// minutes because a daemon holds no reserved token at the moment.
func TestTheLongestTimeIsBounded(t *testing.T) {
	n := refusedNode(t, 0)
	after, cause := n.ReturnTime(second, "red", callerWith(time.Minute, 50*time.Millisecond))
	test.Eq(t, maxRetryAfter, after)
	test.Eq(t, ReturnLongest, cause)
}

// TestADaemonWithReturnTimesOffRequestsNone: its counter may have them on.
func TestADaemonWithReturnTimesOffRequestsNone(t *testing.T) {
	for _, schedule := range []bool{true, false} {
		n := newRecordingNode()
		n.opts.ScheduleReturns = schedule
		n.tick(second, 3, "link")
		n.sent = nil
		n.takeOrWait(second, "red")
		must.Len(t, 1, n.sent)
		must.Positive(t, n.sent[0].TokenRequests[0].Count)
		test.Eq(t, schedule, n.sent[0].TokenRequests[0].Refused > 0)
	}
}

// TestReturnTimesOfAVeryLowRate: the step in nanoseconds must not overflow, because tokens
// that are not earned would then be reserved with each request.
func TestReturnTimesOfAVeryLowRate(t *testing.T) {
	for _, rate := range []float64{1e-4, 1e-10, 1e-11, 1e-13, 1e-20} {
		n := countingNode(teams.Limit{Rate: rate, Burst: 1}, true)
		for i := range int64(10) {
			grant := n.ask(second+i*millisecond, TokenRequest{Count: 1, Refused: 10})
			test.Eq(t, 0, grant.Count+grant.Returns, test.Sprintf("rate %g", rate))
			test.Positive(t, grant.ReturnStepUS)
			test.GreaterEq(t, uint32(askInterval.Milliseconds()), grant.WaitMS)
		}
	}
}
