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

// regionOf returns the region of a data centre: r0 has d0 and d1, r1 has the others.
func regionOf(dataCentre string) string {
	if dataCentre == "d0" || dataCentre == "d1" {
		return "r0"
	}
	return "r1"
}

// TestSampleHasOneEndpointOfEachOtherRegion, and one of each other data centre of its own
// region.
func TestSampleHasOneEndpointOfEachOtherRegion(t *testing.T) {
	l := &links{Env: regionFleet(10).Env}
	l.World.Members.Merge(1, nil, wire.Member{VM: "old", DataCentre: "c1", Service: "s"})
	l.drawSample()
	counts := map[peerGroup]int{}
	for _, endpoint := range l.sample {
		counts[l.peerGroupOf(endpoint.DataCentre, endpoint.Region)]++
	}
	test.Eq(t, map[peerGroup]int{
		{proximity.SameDataCentre, "a1"}: sampleSameDataCentre, {proximity.Region, "a2"}: 1, {proximity.OtherRegion, "b"}: 1, {proximity.OtherRegion, "c1"}: 1,
	}, counts, test.Sprint("a VM without a region counts for its data centre"))
}

func TestPlacementIsPulledFromTheNearestPeer(t *testing.T) {
	pl := &placements{Env: regionFleet(1).Env}
	peer := func(dataCentre string) *link.Peer {
		return &link.Peer{Hello: wire.Hello{VM: "x", DataCentre: dataCentre, Region: dataCentre[:1]}}
	}
	test.True(t, pl.isNearer(peer("a1"), peer("a2")))
	test.True(t, pl.isNearer(peer("a2"), peer("b1")))
	test.False(t, pl.isNearer(peer("b1"), peer("b2")))
	test.False(t, pl.isNearer(peer("b1"), peer("a1")))
}

// TestReconnectedRegionsExchangeEachRowOnce: the rows of two regions change while the
// regions are cut off from each other. Afterwards one daemon on each side requests the
// differences from the other side. The rows that it receives spread within its region,
// and are not sent back.
func TestReconnectedRegionsExchangeEachRowOnce(t *testing.T) {
	const each = 6
	var nodes []*gossipNode
	for _, dataCentre := range []string{"d0", "d1", "d2", "d3"} {
		for n := range each {
			nodes = append(nodes, newGossipNode(fmt.Sprint(dataCentre, "v", n), dataCentre, regionOf(dataCentre)))
		}
	}
	isSeparated := func(a, b *gossipNode) bool { return a.env.World.Region != b.env.World.Region }
	for i, a := range nodes {
		for _, b := range nodes[:i] {
			if !isSeparated(a, b) {
				connect(a, b)
			}
		}
	}
	// All daemons know the rows of both regions at revision 1.
	for _, n := range nodes {
		for _, other := range nodes {
			n.members().Merge(1, nil, memberRow(other, 1))
		}
		n.members().TakeChanges()
	}
	gossipAll := func() (crossed int) {
		for again := true; again; {
			again = false
			for _, n := range nodes {
				sent, over := n.gossipAndCountCrossing(isSeparated)
				again, crossed = again || sent, crossed+over
			}
		}
		return crossed
	}
	// settle also lets daemons request the rows that gossip did not bring them
	// from peers of their own region.
	settle := func() (crossed int) {
		crossed = gossipAll()
		for _, n := range nodes {
			for _, peer := range nodes {
				if !isSeparated(n, peer) && n.members().Digest() != peer.members().Digest() {
					requestDifferences(n, peer)
				}
			}
		}
		return crossed + gossipAll()
	}
	for _, n := range nodes {
		n.members().Merge(2, nil, memberRow(n, 2))
	}
	must.Eq(t, 0, settle(), must.Sprint("the regions are cut off from each other"))
	for _, n := range nodes {
		for _, other := range nodes {
			row, _ := n.members().Find(other.env.World.VM)
			want := uint64(2)
			if isSeparated(n, other) {
				want = 1
			}
			must.Eq(t, want, n.members().Record[row].Revision, must.Sprint("only rows of the same region have changed"))
		}
	}
	// Each daemon gets a link to the other region. One daemon on each side requests the
	// differences.
	for i := range 2 * each {
		connect(nodes[i], nodes[2*each+i])
	}
	requestDifferences(nodes[0], nodes[2*each])
	requestDifferences(nodes[2*each], nodes[0])
	crossed := settle()
	for _, n := range nodes {
		must.Eq(t, nodes[0].members().Digest(), n.members().Digest())
	}
	test.Eq(t, 0, crossed, test.Sprint("no row goes back to the region that it came from"))
}

// memberRow returns a daemon's own row of the table of members at a revision.
func memberRow(n *gossipNode, revision uint64) wire.Member {
	w := n.env.World
	return wire.Member{VM: w.VM, DataCentre: w.DataCentre, Region: w.Region, Service: "s", Incarnation: 1, Revision: revision}
}

// requestDifferences merges into n's table of members the rows of a peer's table that
// differ.
func requestDifferences(n, from *gossipNode) {
	for _, row := range from.members().DifferingRows(n.members().BucketDigests()) {
		n.members().Merge(1, peerOf(from), row)
	}
}

// gossipAndCountCrossing sends the changes of n's table of members to its peers. It
// returns whether it sent any, and how many rows went to daemons for which isSeparated is
// true.
func (n *gossipNode) gossipAndCountCrossing(isSeparated func(a, b *gossipNode) bool) (sent bool, crossed int) {
	records := n.gossip.recordsByPeer(n.gossip.changesFromDaemons(n.members().TakeChanges()))
	for peer, rows := range records {
		to := n.byPeer[peer]
		if isSeparated(n, to) {
			crossed += len(rows)
		}
		for _, row := range rows {
			to.members().Merge(1, peerOf(n), row)
		}
	}
	return len(records) > 0, crossed
}

// TestFewDaemonsOfARegionFollowTheFeed, whatever their data centres. In a deployment with
// a single region or without regions, a few of each data centre follow it.
func TestFewDaemonsOfARegionFollowTheFeed(t *testing.T) {
	const each = 20
	countFollowers := func(region func(dataCentre string) string) (n int) {
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
	test.Eq(t, readers, countFollowers(func(dataCentre string) string { return dataCentre[:1] }))
	test.Eq(t, 2*readers, countFollowers(func(string) string { return "all" }))
	test.Eq(t, 2*readers, countFollowers(func(string) string { return "" }))
}
