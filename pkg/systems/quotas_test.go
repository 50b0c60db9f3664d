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

// quotasEnv makes a daemon that was started again, under a placement with a team, with a
// link to one peer, and some members.
func quotasEnv(members int) (*quotas, *link.Peer) {
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

// counts is how many members a daemon tells others that it counts.
func counts(q *quotas, now int64) uint32 {
	q.Tick(now, &tables.Mail{})
	return q.Quota.HandleAsk(now, "x", &quota.Ask{}).Members
}

// TestAStartedDaemonCountsMembersOnceItKnowsThem: from the whole list, or once it knows as
// many as a daemon that counts has told, and not before.
func TestAStartedDaemonCountsMembersOnceItKnowsThem(t *testing.T) {
	q, peer := quotasEnv(3)
	test.Eq(t, 0, counts(q, 1))
	q.Quota.HandleGrant(2, processID(peer), &quota.Grant{Members: 4, CounterTime: 1})
	test.Eq(t, 0, counts(q, 3), test.Sprint("one member is not known yet"))
	q.World.Members.Merge(4, nil, wire.Member{VM: "m3", DataCentre: "here", Service: "s", Incarnation: 1})
	test.Eq(t, 4, counts(q, 5))

	q, _ = quotasEnv(3)
	q.Tick(int64(time.Second), &tables.Mail{VMList: &tables.VMList{DataCentre: "here"}})
	test.Eq(t, 0, counts(q, int64(time.Second)), test.Sprint("a part of the list tells nothing of the whole"))
	q.Tick(int64(time.Second), &tables.Mail{VMList: &tables.VMList{}})
	test.Eq(t, 3, counts(q, int64(time.Second)))
}

// TestThoseWhoLeaveShareNoLimits, nor do they count first.
func TestThoseWhoLeaveShareNoLimits(t *testing.T) {
	q, _ := quotasEnv(3)
	q.Tick(1, &tables.Mail{VMList: &tables.VMList{}})
	q.World.Members.Merge(2, nil, wire.Member{VM: "m2", DataCentre: "here", Service: "s", Incarnation: 1, State: wire.MemberLeaving})
	test.Eq(t, 2, counts(q, 3))
	must.SliceNotEmpty(t, q.World.QuotaCounterDaemons)
	for _, route := range q.World.QuotaCounterDaemons {
		test.NotEq(t, "m2", route.VM)
	}
}
