package quota

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/rushramp/rushramp/pkg/teams"
)

const millisecond = int64(time.Millisecond)

// restartedNode is a restarted daemon with one peer, b, in a fleet that has leases of 5 s.
type restartedNode struct {
	*Node
	sent   []*Ask
	ranked [Groups][]Peer
}

const (
	largeFleet     = 640
	restartedAfter = 300 * time.Millisecond
)

func newRestartedNode(start ProcessStart) *restartedNode {
	out := &restartedNode{}
	out.Node = NewNode(Options{
		VM: "a", Window: 5 * time.Second, Restarted: true, RestartAfter: restartedAfter,
		Limit: func(string) (teams.Limit, bool) { return teams.Limit{Rate: 1}, true },
	})
	for g := range out.ranked {
		out.ranked[g] = []Peer{{Process: "b/1", VM: "b", Link: "link", Start: start, Send: func(ask *Ask) {
			copied := *ask
			out.sent = append(out.sent, &copied)
		}}}
	}
	return out
}

// leased returns how many Asks since the last call leased the share.
func (n *restartedNode) leased() (count int) {
	for _, ask := range n.sent {
		if ask.Members > 0 && ask.CounterTime > 0 {
			count++
		}
	}
	n.sent = nil
	return count
}

// exchange ticks, delivers a grant for each group, and ticks again.
func (n *restartedNode) exchange(now int64, grant Grant) {
	n.Tick(now, largeFleet, &n.ranked)
	for g := range Groups {
		grant.Group, grant.CounterTime = uint8(g), 1
		n.HandleGrant(now+millisecond, "b/1", &grant)
	}
	n.Tick(now+2*millisecond, largeFleet, &n.ranked)
}

// TestUptimeThatIsNotStatedIsUnknown: a peer of the previous release may hold a lease.
func TestUptimeThatIsNotStatedIsUnknown(t *testing.T) {
	test.False(t, StartOf(second, 0).Known)
	test.False(t, StartOf(second, ^uint64(0)).Known)
	test.Eq(t, ProcessStart{Known: true, After: second - 250*millisecond}, StartOf(second, 250))
}

// TestOldestStartNeedsAllMembers: one member that is not known may hold a lease.
func TestOldestStartNeedsAllMembers(t *testing.T) {
	var s processStarts
	s.observe("b", ProcessStart{Known: true, After: -100 * millisecond})
	test.False(t, s.oldestStart().Known, test.Sprint("the list of members may lack one"))
	s.setVMs([]string{"b", "c"}, true)
	test.False(t, s.oldestStart().Known)
	s.observe("c", ProcessStart{})
	test.False(t, s.oldestStart().Known)
	s.observe("c", ProcessStart{Known: true, After: second})
	test.Eq(t, ProcessStart{Known: true, After: -100 * millisecond}, s.oldestStart())
	s.observe("b", ProcessStart{Known: true, After: 2 * second})
	test.Eq(t, ProcessStart{Known: true}, s.oldestStart(), test.Sprint("this daemon's own process is a member too"))
	s.setVMs([]string{"b", "c"}, false)
	test.False(t, s.oldestStart().Known)
}

// TestStatedAgeIsNeverTooYoung: rounding must not turn an older process into a newer one.
func TestStatedAgeIsNeverTooYoung(t *testing.T) {
	counter := ProcessStart{Known: true, After: -5 * millisecond}
	for _, after := range []int64{0, -1, -millisecond, -millisecond - 1, -3 * second} {
		out := startFromAge(counter, statedAge(ProcessStart{Known: true, After: after}))
		must.True(t, out.Known)
		test.LessEq(t, counter.After+after, out.After)
		test.Greater(t, counter.After+after-millisecond, out.After)
	}
	test.False(t, startFromAge(counter, statedAge(ProcessStart{})).Known)
	test.False(t, startFromAge(ProcessStart{}, 1).Known)
}

// TestShareIsLeasedAtOnceIfAllProcessesAreNewer also checks that it is not if one process may
// be older than the end of the previous one.
func TestShareIsLeasedAtOnceIfAllProcessesAreNewer(t *testing.T) {
	newer, older := ProcessStart{Known: true, After: -int64(restartedAfter)}, ProcessStart{Known: true, After: -int64(restartedAfter) - 1}
	for _, c := range []struct {
		name   string
		start  ProcessStart
		grant  Grant
		leases bool
	}{
		{"all are newer", newer, Grant{OldestMS: 1}, true},
		{"the counter is older", older, Grant{OldestMS: 1}, false},
		{"another is older", newer, Grant{OldestMS: 2}, false},
		{"the counter does not know", newer, Grant{}, false},
		{"the counter's start is unknown", ProcessStart{}, Grant{OldestMS: 1}, false},
	} {
		n := newRestartedNode(c.start)
		n.exchange(10*millisecond, c.grant)
		test.Eq(t, c.leases, n.leased() > 0, test.Sprint(c.name))
		ended, known := n.PreviousLease(20 * millisecond)
		test.Eq(t, c.leases, ended, test.Sprint(c.name))
		test.Eq(t, c.leases, known, test.Sprint(c.name))
	}
}

// TestOwnLinksShowThatAllProcessesAreNewer checks a daemon to which no counter states an age.
func TestOwnLinksShowThatAllProcessesAreNewer(t *testing.T) {
	n := newRestartedNode(ProcessStart{})
	n.SetVMs([]string{"b"}, true)
	n.exchange(10*millisecond, Grant{})
	test.Eq(t, 0, n.leased())
	n.ObserveStart("b", ProcessStart{Known: true, After: 0})
	n.Tick(20*millisecond, largeFleet, &n.ranked)
	test.Eq(t, Groups, n.leased(), test.Sprint("the share is leased without waiting for a renewal"))
}

// TestShareThatTheCounterHoldsIsRenewed: a share has one holder, which the daemon did not
// know after its restart.
func TestShareThatTheCounterHoldsIsRenewed(t *testing.T) {
	n := newRestartedNode(ProcessStart{})
	n.exchange(10*millisecond, Grant{HoldsShare: true})
	test.GreaterEq(t, Groups, n.leased())
}

// TestShareHeldElsewhereIsReleasedFirst: a daemon that has adopted a lease leases the share
// to another counter only after the holder has released it.
func TestShareHeldElsewhereIsReleasedFirst(t *testing.T) {
	n := newRestartedNode(ProcessStart{})
	var toBest []*Ask
	holder := n.ranked[0][0]
	n.ranked[0] = []Peer{{Process: "c/1", VM: "c", Send: func(ask *Ask) { copied := *ask; toBest = append(toBest, &copied) }}, holder}
	n.Tick(10*millisecond, largeFleet, &n.ranked)
	n.HandleGrant(11*millisecond, "c/1", &Grant{CounterTime: 1})
	n.HandleGrant(12*millisecond, "b/1", &Grant{CounterTime: 1, HoldsShare: true})
	toBest = nil
	n.HandleGrant(13*millisecond, "c/1", &Grant{CounterTime: 2})
	n.Tick(20*millisecond, largeFleet, &n.ranked)
	for _, ask := range toBest {
		test.Eq(t, 0, ask.Members)
	}
	must.Positive(t, n.sent[len(n.sent)-1].ReleaseAskedAt)
}

// TestLeaseEndsWithTheProcessOfItsHolder: a VM runs one process at a time.
func TestLeaseEndsWithTheProcessOfItsHolder(t *testing.T) {
	l := &shareLease{holder: "b/1", holderVM: "b"}
	l.renew(second, maxLease)
	var s processStarts
	s.observe("b", ProcessStart{Known: true, After: second})
	l.endIfReplaced(2*second, &s, restartedAfter)
	test.Eq(t, second+int64(maxLease), l.until, test.Sprint("the process may be the holder"))
	s.observe("b", ProcessStart{Known: true, After: second + startTolerance})
	l.endIfReplaced(2*second, &s, restartedAfter)
	test.Eq(t, 2*second-int64(restartedAfter), l.until)
}

// TestUnearnedTimeIsCreditedOnce also checks that only the share that arrives is credited.
func TestUnearnedTimeIsCreditedOnce(t *testing.T) {
	p := newPool(0)
	limit := teams.Limit{Rate: 100, Burst: 1000}
	offer := shareOffer{vm: "a", size: 1, counterTime: second, lease: minLease, unearned: 300 * time.Millisecond}
	p.addShare(second, offer)
	p.addShare(second, offer)
	granted, _ := p.take(second, "red", limit, TokenRequest{Count: 1000})
	test.Eq(t, 30, granted)
	offer.vm, offer.size, offer.unearned = "b", 0, time.Hour
	p.addShare(second, offer)
	granted, _ = p.take(second, "red", limit, TokenRequest{Count: 1000})
	test.Eq(t, 0, granted)
}

// TestCounterWithoutAllSharesDoesNotSayThatTheLimitIsUsed also checks a counter that has just
// received shares whose earlier tokens were lost.
func TestCounterWithoutAllSharesDoesNotSayThatTheLimitIsUsed(t *testing.T) {
	limit := teams.Limit{Rate: 10, Burst: 10}
	p := newPool(0)
	offer := shareOffer{vm: "a", size: 0.5, counterTime: second, lease: maxLease}
	p.addShare(second, offer)
	test.False(t, p.knowsUse(second, limit, 5*time.Second))
	offer.vm, offer.historyLost = "b", true
	p.addShare(second, offer)
	test.False(t, p.knowsUse(second, limit, 5*time.Second))
	test.False(t, p.knowsUse(2*second-1, limit, 5*time.Second))
	test.True(t, p.knowsUse(2*second, limit, 5*time.Second), test.Sprint("an unused bucket is full again"))
}

// TestWaitingRequestIsRefusedOnlyIfTheCounterSaysSo: a grant of all tokens that were
// requested is no answer to requests that came later.
func TestWaitingRequestIsRefusedOnlyIfTheCounterSaysSo(t *testing.T) {
	a := &account{requested: 1}
	for range 2 {
		a.waiters = append(a.waiters, &waiter{verdict: make(chan Verdict, 1)})
	}
	second := a.waiters[1]
	a.applyGrant(1, &TokenGrant{Requested: 1, Count: 1, AskedAt: 1}, true)
	test.SliceLen(t, 1, a.waiters)
	must.Eq(t, 0, len(second.verdict))
	a.requested = 1
	a.applyGrant(2, &TokenGrant{Requested: 1, WaitMS: 7}, true)
	test.Eq(t, Verdict{RetryAfter: 7 * time.Millisecond}, <-second.verdict)
}

// TestUnearnedTimeIsTheTimeThatIsCertain: the holder may have earned with the share until
// restartedAfter before its next process was known, and until the end of its lease if it
// was waited for.
func TestUnearnedTimeIsTheTimeThatIsCertain(t *testing.T) {
	n := newRestartedNode(ProcessStart{Known: true})
	n.exchange(10*millisecond, Grant{OldestMS: 1})
	// The grant arrives one millisecond before the tick that leases the share.
	test.Eq(t, uint32(restartedAfter.Milliseconds())+1, n.sent[len(n.sent)-1].UnearnedMS)
	n = newRestartedNode(ProcessStart{})
	leaseEnd := int64(leaseDuration(largeFleet) - restartedAfter)
	n.exchange(leaseEnd+40*millisecond, Grant{})
	test.Between(t, 38, n.sent[len(n.sent)-1].UnearnedMS, 43)
}

// TestRestartedDaemonGrantsNoRecoveryInItsFirstWindow: its previous process may have granted
// as many as a window allows.
func TestRestartedDaemonGrantsNoRecoveryInItsFirstWindow(t *testing.T) {
	n := newRestartedNode(ProcessStart{})
	window := 5 * second
	test.False(t, n.leases[0].allowRecovery(window, window))
	test.True(t, n.leases[0].allowRecovery(window+1, window))
}

// TestProcessThatNeverHeldTheShareIsNotLost: it has no tokens that could be lost.
func TestProcessThatNeverHeldTheShareIsNotLost(t *testing.T) {
	l := &shareLease{holder: "b/1"}
	l.next(second, 5*second, "c/1", func(string) bool { return false })
	test.False(t, l.previousLost)
	test.False(t, l.historyLost(second, 5*second))
}

// TestLeaseRunsFromTheLatestTime: a time that was read before the counter's time arrived
// would end the lease before the counter ends it.
func TestLeaseRunsFromTheLatestTime(t *testing.T) {
	n := newRecordingNode()
	n.tick(second, 3, "link")
	for g := range Groups {
		n.HandleGrant(3*second, "b/1", &Grant{Group: uint8(g), CounterTime: 1})
	}
	n.tick(2*second, 3, "link")
	test.Eq(t, 3*second, n.leases[0].renewedAt)
}

// TestCounterStatesWhoseShareItHolds checks that a counter states only whether it holds the
// share of the daemon that asks, and only while the lease runs.
func TestCounterStatesWhoseShareItHolds(t *testing.T) {
	n := newRecordingNode()
	n.members.count = 3
	lease := &Ask{CounterTime: second, Members: 3, LeaseMS: uint32(minLease.Milliseconds())}
	test.True(t, n.HandleAsk(second+1, "b", lease).HoldsShare)
	test.False(t, n.HandleAsk(second+1, "c", &Ask{}).HoldsShare)
	test.True(t, n.HandleAsk(second+2, "b", &Ask{}).HoldsShare)
	test.False(t, n.HandleAsk(second+int64(minLease), "b", &Ask{}).HoldsShare)
}
