package systems

import (
	"fmt"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/rushramp/rushramp/pkg/link"
	"github.com/rushramp/rushramp/pkg/placement"
	"github.com/rushramp/rushramp/pkg/proximity"
	"github.com/rushramp/rushramp/pkg/wire"
)

// regionOf puts two data centres into each region.
func regionOf(dataCentre string) string {
	if dataCentre == "d0" || dataCentre == "d1" {
		return "r0"
	}
	return "r1"
}

// TestTheSampleHoldsOneOfEachOtherRegion, and one of each data centre of the own one.
func TestTheSampleHoldsOneOfEachOtherRegion(t *testing.T) {
	l := &links{Env: regionFleet(10).Env}
	l.World.Members.Merge(1, nil, wire.Member{VM: "old", DataCentre: "c1", Service: "s"})
	l.drawSample()
	counts := map[peerGroup]int{}
	for _, route := range l.sample {
		counts[l.peerGroupOf(route.DataCentre, route.Region)]++
	}
	test.Eq(t, map[peerGroup]int{
		{proximity.SameDataCentre, "a1"}: sampleSameDataCentre, {proximity.Region, "a2"}: 1, {proximity.OtherRegion, "b"}: 1, {proximity.OtherRegion, "c1"}: 1,
	}, counts, test.Sprint("a VM that does not say its region stands for its data centre"))
}

// TestADocumentIsPulledFromTheNearestThatHasIt.
func TestADocumentIsPulledFromTheNearestThatHasIt(t *testing.T) {
	pl := &placements{Env: regionFleet(1).Env}
	peer := func(dataCentre string) *link.Peer {
		return &link.Peer{Hello: wire.Hello{VM: "x", DataCentre: dataCentre, Region: dataCentre[:1]}}
	}
	test.True(t, pl.isNearer(peer("a1"), peer("a2")))
	test.True(t, pl.isNearer(peer("a2"), peer("b1")))
	test.False(t, pl.isNearer(peer("b1"), peer("b2")))
	test.False(t, pl.isNearer(peer("b1"), peer("a1")))
}

// TestARegionThatWasCutOffJoinsWithoutAStorm: both sides change while they are apart.
// One question of one daemon a side is all that crosses: what was learnt by it goes on
// within the region, and not back.
func TestARegionThatWasCutOffJoinsWithoutAStorm(t *testing.T) {
	const each = 6
	var nodes []*gossipNode
	for _, dataCentre := range []string{"d0", "d1", "d2", "d3"} {
		for n := range each {
			nodes = append(nodes, newGossipNode(fmt.Sprint(dataCentre, "v", n), dataCentre, regionOf(dataCentre)))
		}
	}
	apart := func(a, b *gossipNode) bool { return a.env.World.Region != b.env.World.Region }
	for i, a := range nodes {
		for _, b := range nodes[:i] {
			if !apart(a, b) {
				connect(a, b)
			}
		}
	}
	// Each side knows all of both from before, and then changes by itself.
	for _, n := range nodes {
		for _, other := range nodes {
			n.members().Merge(1, nil, rowOf(other, 1))
		}
		n.members().TakeChanges()
	}
	passOn := func() (crossed int) {
		for again := true; again; {
			again = false
			for _, n := range nodes {
				sent, over := n.passOnCounted(apart)
				again, crossed = again || sent, crossed+over
			}
		}
		return crossed
	}
	// What chance kept from a daemon comes in by questions within its region.
	settle := func() (crossed int) {
		crossed = passOn()
		for _, n := range nodes {
			for _, peer := range nodes {
				if !apart(n, peer) && n.members().Digest() != peer.members().Digest() {
					ask(n, peer)
				}
			}
		}
		return crossed + passOn()
	}
	for _, n := range nodes {
		n.members().Merge(2, nil, rowOf(n, 2))
	}
	must.Eq(t, 0, settle(), must.Sprint("they are apart"))
	for _, n := range nodes {
		for _, other := range nodes {
			row, _ := n.members().Find(other.env.World.VM)
			want := uint64(2)
			if apart(n, other) {
				want = 1
			}
			must.Eq(t, want, n.members().Record[row].Revision, must.Sprint("each side goes on by itself"))
		}
	}
	// Links come back, one a daemon; one daemon of a side asks.
	for i := range 2 * each {
		connect(nodes[i], nodes[2*each+i])
	}
	ask(nodes[0], nodes[2*each])
	ask(nodes[2*each], nodes[0])
	crossed := settle()
	for _, n := range nodes {
		must.Eq(t, nodes[0].members().Digest(), n.members().Digest())
	}
	test.Eq(t, 0, crossed, test.Sprint("the side that a row came from knows it"))
}

// rowOf is a daemon's own row at a revision.
func rowOf(n *gossipNode, revision uint64) wire.Member {
	w := n.env.World
	return wire.Member{VM: w.VM, DataCentre: w.DataCentre, Region: w.Region, Service: "s", Incarnation: 1, Revision: revision}
}

// ask has a daemon ask a peer for the rows in which their tables differ.
func ask(n, from *gossipNode) {
	for _, row := range from.members().DifferingRows(n.members().BucketDigests()) {
		n.members().Merge(1, peerOf(from), row)
	}
}

// passOnCounted is passOn without losses. It counts the rows that went to daemons for
// which apart is true.
func (n *gossipNode) passOnCounted(apart func(a, b *gossipNode) bool) (sent bool, crossed int) {
	plan := n.spread.plan(n.spread.changesFromDaemons(n.members().TakeChanges()))
	for peer, rows := range plan {
		to := n.byPeer[peer]
		if apart(n, to) {
			crossed += len(rows)
		}
		for _, row := range rows {
			to.members().Merge(1, peerOf(n), row)
		}
	}
	return len(plan) > 0, crossed
}

// TestAFewDaemonsOfARegionFollowTheFeed, whichever of its data centres they stand in;
// in a deployment of one region a few of each data centre do.
func TestAFewDaemonsOfARegionFollowTheFeed(t *testing.T) {
	const each = 20
	following := func(region func(dataCentre string) string) (n int) {
		for _, own := range []string{"a1", "a2"} {
			for vm := range each {
				env := regionFleet(0).Env
				env.World.VM, env.World.DataCentre, env.World.Region = fmt.Sprint(own, vm), own, region(own)
				for _, dataCentre := range []string{"a1", "a2", "b1"} {
					for other := range each {
						name := fmt.Sprint(dataCentre, other)
						env.World.Members.Merge(1, nil, wire.Member{VM: name, DataCentre: dataCentre, Region: region(dataCentre), Service: "s"})
						if name != env.World.VM {
							env.World.Peers.GetOrAdd(&link.Peer{Hello: wire.Hello{VM: name, DataCentre: dataCentre, Region: region(dataCentre)}})
						}
					}
				}
				env.World.Placement = &placement.Document{Version: 1}
				if newFeedFollower(env).mustFollow(1) {
					n++
				}
			}
		}
		return n
	}
	readers := testEnv().Settings.Placement.FeedReaders
	test.Eq(t, readers, following(func(dataCentre string) string { return dataCentre[:1] }))
	test.Eq(t, 2*readers, following(func(string) string { return "all" }))
	test.Eq(t, 2*readers, following(func(string) string { return "" }))
}
