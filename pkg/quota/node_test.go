package quota

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/rushramp/rushramp/pkg/teams"
)

// recordingNode is a node that records the Asks that it sends to its only peer.
type recordingNode struct {
	*Node
	sent []*Ask
}

func newRecordingNode() *recordingNode {
	out := &recordingNode{}
	out.Node = NewNode(Options{VM: "a", Window: 5 * time.Second, Limit: func(string) (teams.Limit, bool) { return teams.Limit{Rate: 1}, true }})
	return out
}

// tick runs Tick with one peer, reached over the given link, in a fleet of this size.
func (n *recordingNode) tick(now int64, members uint32, link any) {
	var ranked [Groups][]Peer
	for g := range ranked {
		ranked[g] = []Peer{{Process: "b/1", Link: link, Send: func(ask *Ask) {
			copied := *ask
			n.sent = append(n.sent, &copied)
		}}}
	}
	n.Tick(now, members, &ranked)
}

// requestedTokens returns the number of tokens requested since its last call.
func (n *recordingNode) requestedTokens() (count int) {
	for _, ask := range n.sent {
		for _, request := range ask.TokenRequests {
			count += int(request.Count)
		}
	}
	n.sent = nil
	return count
}

// TestTokensAreRequestedAgainOverANewLink: messages in flight on the old link to the same
// process are lost.
func TestTokensAreRequestedAgainOverANewLink(t *testing.T) {
	n := newRecordingNode()
	n.tick(second, 3, "first")
	w, _ := n.takeOrWait(second, "red")
	must.NotNil(t, w)
	must.Eq(t, 1, n.requestedTokens())
	n.tick(second+int64(20*time.Millisecond), 3, "second")
	test.Eq(t, 1, n.requestedTokens())
}

// TestTokensAreRequestedAgainEachAskInterval: a counter without a share may get one at any
// time, and renewals are too rare in a large fleet to wait for.
func TestTokensAreRequestedAgainEachAskInterval(t *testing.T) {
	for _, members := range []uint32{3, 640} {
		n := newRecordingNode()
		n.tick(second, members, "link")
		w, _ := n.takeOrWait(second, "red")
		must.NotNil(t, w)
		must.Eq(t, 1, n.requestedTokens())
		n.HandleGrant(second, "b/1", &Grant{Group: uint8(GroupOf("red")), CounterTime: 1, TokenGrants: []TokenGrant{{Team: "red", Requested: 1, AskedAt: second, NoShareYet: true}}})
		n.tick(second+int64(askInterval), members, "link")
		test.GreaterEq(t, 1, n.requestedTokens(), test.Sprintf("%d members", members))
	}
}

// TestTakeCountsEachVerdict: the verdicts here come from another daemon.
func TestTakeCountsEachVerdict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newRecordingNode()
		n.tick(second, 3, "link")
		for _, granted := range []uint32{1, 0} {
			go func() {
				synctest.Wait()
				n.HandleGrant(second, "b/1", &Grant{Group: uint8(GroupOf("red")), TokenGrants: []TokenGrant{{Team: "red", Requested: uint32(n.requestedTokens()), Count: granted, AskedAt: second}}})
			}()
			n.Take(t.Context(), second, "red", time.Second)
		}
		stats := n.Stats()
		test.Eq(t, 1, stats.Granted)
		test.Eq(t, 1, stats.Refused)
	})
}

// TestLowerMemberCountWaitsForTheLease: shares sized by the higher count may be leased
// until then.
func TestLowerMemberCountWaitsForTheLease(t *testing.T) {
	var m memberCount
	m.update(second, 640)
	m.update(2*second, 320)
	m.update(2*second+int64(maxLease)-1, 320)
	test.Eq(t, 640, m.count)
	m.update(2*second+int64(maxLease), 320)
	test.Eq(t, 320, m.count)
}
