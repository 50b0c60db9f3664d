package quota

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/rushramp/rushramp/pkg/teams"
)

// asker is a node that asks another process, whose questions are kept.
type asker struct {
	*Node
	asked []*Ask
}

func newAsker() *asker {
	out := &asker{}
	out.Node = NewNode(Options{VM: "a", Window: 5 * time.Second, Limit: func(string) (teams.Limit, bool) { return teams.Limit{Rate: 1}, true }})
	return out
}

// tick lets the node know of one counter, over some link, in a fleet of some size.
func (a *asker) tick(now int64, members uint32, link any) {
	var ranked [Groups][]Peer
	for g := range ranked {
		ranked[g] = []Peer{{Process: "b/1", Link: link, Send: func(ask *Ask) {
			copied := *ask
			a.asked = append(a.asked, &copied)
		}}}
	}
	a.Tick(now, members, &ranked)
}

// wants are the tokens of a team that the questions since the last look asked for.
func (a *asker) wants() (count int) {
	for _, ask := range a.asked {
		for _, want := range ask.TokenRequests {
			count += int(want.Count)
		}
	}
	a.asked = nil
	return count
}

// TestAQuestionIsPutAgainOverANewLink to the same process: what the old one carried is lost.
func TestAQuestionIsPutAgainOverANewLink(t *testing.T) {
	a := newAsker()
	a.tick(second, 3, "first")
	w, _ := a.begin(second, "red")
	must.NotNil(t, w)
	must.Eq(t, 1, a.wants())
	a.tick(second+int64(20*time.Millisecond), 3, "second")
	test.Eq(t, 1, a.wants())
}

// TestARequestThatWaitsIsAskedForAgainInAnyFleet: parts come to a counter that had none at
// any time, and renewals are rare in a large fleet.
func TestARequestThatWaitsIsAskedForAgainInAnyFleet(t *testing.T) {
	for _, members := range []uint32{3, 640} {
		a := newAsker()
		a.tick(second, members, "link")
		w, _ := a.begin(second, "red")
		must.NotNil(t, w)
		must.Eq(t, 1, a.wants())
		a.HandleGrant(second, "b/1", &Grant{Group: uint8(GroupOf("red")), CounterTime: 1, TokenGrants: []TokenGrant{{Team: "red", Requested: 1, AskedAt: second, NoShareYet: true}}})
		a.tick(second+int64(askAgain), members, "link")
		test.GreaterEq(t, 1, a.wants(), test.Sprintf("%d members", members))
	}
}

// TestEachAnswerIsCounted whoever gave it.
func TestEachAnswerIsCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAsker()
		a.tick(second, 3, "link")
		for _, granted := range []uint32{1, 0} {
			go func() {
				synctest.Wait()
				a.HandleGrant(second, "b/1", &Grant{Group: uint8(GroupOf("red")), TokenGrants: []TokenGrant{{Team: "red", Requested: uint32(a.wants()), Count: granted, AskedAt: second}}})
			}()
			a.Take(t.Context(), second, "red", time.Second)
		}
		stats := a.Stats()
		test.Eq(t, 1, stats.Granted)
		test.Eq(t, 1, stats.Refused)
	})
}

// TestALargeFleetHoldsItsCountForItsLease: parts that were lent by it are out for as long.
func TestALargeFleetHoldsItsCountForItsLease(t *testing.T) {
	var m members
	m.note(second, 640)
	m.note(2*second, 320)
	m.note(2*second+int64(leaseMost)-1, 320)
	test.Eq(t, 640, m.count)
	m.note(2*second+int64(leaseMost), 320)
	test.Eq(t, 320, m.count)
}
