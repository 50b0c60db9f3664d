package systems

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/rushramp/rushramp/pkg/link"
	"github.com/rushramp/rushramp/pkg/placement"
	"github.com/rushramp/rushramp/pkg/quota"
	"github.com/rushramp/rushramp/pkg/tables"
	"github.com/rushramp/rushramp/pkg/teams"
	"github.com/rushramp/rushramp/pkg/wire"
)

// newTestQuotas returns the quotas system of a restarted daemon and its only peer. The
// placement has one team with a limit.
func newTestQuotas(members int) (*quotas, *link.Peer) {
	env := testEnv()
	doc := &placement.Document{Version: 1, Teams: []teams.Team{{Name: "red", Limit: teams.Limit{Rate: 1}}}}
	env.World.Placement = doc
	env.World.View.SetPlacement(placement.Compile(doc))
	env.Quota = quota.NewNode(quota.Options{VM: env.World.VM, Limit: env.World.View.TeamLimit})
	for n := range members {
		env.World.Members.Merge(1, nil, wire.Member{VM: fmt.Sprint("m", n), DataCentre: "here", Service: "s", Incarnation: 1})
	}
	peer := &link.Peer{Conn: link.NewClosedConn(), Hello: wire.Hello{VM: "m0", DataCentre: "here", Incarnation: 1}}
	env.World.Peers.GetOrAdd(peer)
	return newQuotas(env), peer
}

// reportedMembers returns how many members share the limits, as the daemon reports to
// peers.
func reportedMembers(q *quotas, now int64) uint32 {
	q.Tick(now, &tables.Mail{})
	return q.Quota.HandleAsk(now, "x", &quota.Ask{}).Members
}

// TestRestartedDaemonReportsMembersOnceItKnowsAll: once it has the whole list of VMs, or
// knows as many members as a counter has reported.
func TestRestartedDaemonReportsMembersOnceItKnowsAll(t *testing.T) {
	q, peer := newTestQuotas(3)
	test.Eq(t, 0, reportedMembers(q, 1))
	q.Quota.HandleGrant(2, processID(peer), &quota.Grant{Members: 4, CounterTime: 1})
	test.Eq(t, 0, reportedMembers(q, 3), test.Sprint("one member is not known yet"))
	q.World.Members.Merge(4, nil, wire.Member{VM: "m3", DataCentre: "here", Service: "s", Incarnation: 1})
	test.Eq(t, 4, reportedMembers(q, 5))

	q, _ = newTestQuotas(3)
	q.Tick(int64(time.Second), &tables.Mail{VMList: &tables.VMList{DataCentre: "here"}})
	test.Eq(t, 0, reportedMembers(q, int64(time.Second)), test.Sprint("the list of one data centre is not enough"))
	q.Tick(int64(time.Second), &tables.Mail{VMList: &tables.VMList{}})
	test.Eq(t, 3, reportedMembers(q, int64(time.Second)))
}

// TestLeavingMembersDoNotShareLimits, and are not chosen as counters.
func TestLeavingMembersDoNotShareLimits(t *testing.T) {
	q, _ := newTestQuotas(3)
	q.Tick(1, &tables.Mail{VMList: &tables.VMList{}})
	q.World.Members.Merge(2, nil, wire.Member{VM: "m2", DataCentre: "here", Service: "s", Incarnation: 1, State: wire.MemberLeaving})
	test.Eq(t, 2, reportedMembers(q, 3))
	must.SliceNotEmpty(t, q.World.QuotaCounterDaemons)
	for _, endpoint := range q.World.QuotaCounterDaemons {
		test.NotEq(t, "m2", endpoint.VM)
	}
}

// TestPeersThatStartedLaterFreeTheShare: the starts are those of the peers' hello frames.
func TestPeersThatStartedLaterFreeTheShare(t *testing.T) {
	for _, c := range []struct {
		uptimeMS        uint64
		wholeList, free bool
	}{{1, true, true}, {1, false, false}, {0, true, false}, {5000, true, false}} {
		q, peer := newTestQuotas(1)
		q.Quota = quota.NewNode(quota.Options{VM: q.World.VM, Restarted: true, RestartAfter: 300 * time.Millisecond, Limit: q.World.View.TeamLimit})
		peer.Hello.UptimeMS, peer.OpenedAfter = c.uptimeMS, 1
		mail := &tables.Mail{}
		if c.wholeList {
			mail.VMList = &tables.VMList{}
		}
		q.Tick(1, mail)
		q.Quota.HandleGrant(2, processID(peer), &quota.Grant{Members: 1, CounterTime: 1})
		q.Tick(3, &tables.Mail{})
		ended, known := q.Quota.PreviousLease(4)
		test.Eq(t, c.free, ended, test.Sprint(c))
		test.Eq(t, c.free, known, test.Sprint(c))
	}
}

// TestHelloStatesTheUptime: one more than the whole milliseconds, so that 0 means that it is
// not stated.
func TestHelloStatesTheUptime(t *testing.T) {
	env := testEnv()
	before := uint64(time.Duration(env.Now())/time.Millisecond) + 1
	stated := NewControl(env.Common, env.World, 1).Hello().UptimeMS
	test.Between(t, before, stated, uint64(time.Duration(env.Now())/time.Millisecond)+1)
	test.Positive(t, stated)
}
