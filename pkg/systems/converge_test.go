package systems

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/rushramp/rushramp/pkg/common"
	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/link"
	"github.com/rushramp/rushramp/pkg/settings"
	"github.com/rushramp/rushramp/pkg/tables"
	"github.com/rushramp/rushramp/pkg/wire"
)

// gossipNode is a daemon that has only a table of members and links.
type gossipNode struct {
	gossip *memberGossip
	env    *Env
	// byPeer holds the daemons at the other ends of its links.
	byPeer map[*link.Peer]*gossipNode
}

func newGossipNode(vm, dataCentre, region string) *gossipNode {
	s := settings.Default()
	s.VM = settings.VM{ID: vm, DataCentre: dataCentre}
	c := common.NewCommon(events.Discard(), &s)
	env := &Env{Common: c, World: tables.NewWorld(vm, dataCentre)}
	env.World.Region = region
	return &gossipNode{gossip: &memberGossip{Env: env}, env: env, byPeer: map[*link.Peer]*gossipNode{}}
}

func (n *gossipNode) members() *tables.Members { return n.env.World.Members }

// connect opens a link between two daemons and adds it to the table of peers of both.
func connect(a, b *gossipNode) {
	toB, toA := peerOf(b), peerOf(a)
	a.byPeer[toB], b.byPeer[toA] = b, a
	a.env.World.Peers.GetOrAdd(toB)
	b.env.World.Peers.GetOrAdd(toA)
}

func peerOf(n *gossipNode) *link.Peer {
	return &link.Peer{Hello: wire.Hello{VM: n.env.World.VM, DataCentre: n.env.World.DataCentre, Region: n.env.World.Region}}
}

// gossipChanges passes the pending changes of a daemon on, some of which are lost. It
// returns whether anything was sent.
func (n *gossipNode) gossipChanges(lost func() bool) bool {
	changes := n.members().TakeChanges()
	records := n.gossip.recordsByPeer(n.gossip.changesFromDaemons(changes))
	for peer, rows := range records {
		to := n.byPeer[peer]
		for _, row := range rows {
			if !lost() {
				to.members().Merge(1, peerOf(n), row)
			}
		}
	}
	return len(records) > 0
}

// TestTablesOfAFleetConverge checks that antiEntropy recovers the records that gossip did
// not send or that were lost, on any connected graph of links.
func TestTablesOfAFleetConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := drawFleet(t)
		lost := func() bool { return rapid.IntRange(0, 9).Draw(t, "lost") == 0 }
		for _, n := range nodes {
			n.members().Merge(1, nil, wire.Member{VM: n.env.World.VM, DataCentre: n.env.World.DataCentre, Region: n.env.World.Region, Service: "s", Incarnation: 1})
		}
		for again := true; again; {
			again = false
			for _, n := range nodes {
				again = n.gossipChanges(lost) || again
			}
		}
		// Each daemon requests rows from its peers, in as many rounds as there are
		// daemons.
		for range nodes {
			for _, n := range nodes {
				for peer, from := range n.byPeer {
					if from.members().Digest() == n.members().Digest() {
						continue
					}
					for _, row := range from.members().DifferingRows(n.members().BucketDigests()) {
						n.members().Merge(1, peer, row)
					}
				}
			}
		}
		for _, n := range nodes {
			must.Eq(t, len(nodes), n.members().Len())
			must.Eq(t, nodes[0].members().Digest(), n.members().Digest())
		}
	})
}

// drawFleet makes daemons in some data centres: a chain inside each, a link from the
// first daemon of each to that of the next, and further random links.
func drawFleet(t *rapid.T) []*gossipNode {
	var nodes []*gossipNode
	var first *gossipNode
	// The regions of the data centres: one for all, two with two data centres each, two
	// with three and one, one for each data centre, or none.
	regions := rapid.SampledFrom([][]string{
		{"r0", "r0", "r0", "r0"}, {"r0", "r0", "r1", "r1"}, {"r0", "r0", "r0", "r1"}, {"r0", "r1", "r1", "r1"},
		{"r0", "r1", "r2", "r3"}, {"", "", "", ""},
	}).Draw(t, "regions")
	for d := range rapid.IntRange(1, 4).Draw(t, "data centres") {
		var previous *gossipNode
		for v := range rapid.IntRange(1, 8).Draw(t, "daemons") {
			n := newGossipNode(fmt.Sprint("d", d, "v", v), fmt.Sprint("d", d), regions[d])
			switch {
			case previous != nil:
				connect(n, previous)
			case first != nil:
				connect(n, first)
			}
			if previous == nil {
				first = n
			}
			previous = n
			nodes = append(nodes, n)
		}
	}
	for range rapid.IntRange(0, 20).Draw(t, "more links") {
		a := rapid.SampledFrom(nodes).Draw(t, "a")
		b := rapid.SampledFrom(nodes).Draw(t, "b")
		if a != b {
			connect(a, b)
		}
	}
	return nodes
}
