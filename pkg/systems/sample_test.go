package systems

import (
	"fmt"
	"slices"
	"testing"

	"github.com/shoenig/test"

	"github.com/rushramp/rushramp/pkg/link"
	"github.com/rushramp/rushramp/pkg/wire"
)

// countFollowers returns how many daemons take themselves for followers of the feed in a
// data centre of size daemons, if each has links to its sample and to others more.
func countFollowers(size, others int) (count int) {
	for self := range size {
		env := testEnv()
		env.Feed = &scriptedFeed{}
		env.World.VM, env.World.DataCentre = fmt.Sprint("vm-", self), "here"
		for n := range size {
			env.World.Members.Merge(1, nil, wire.Member{VM: fmt.Sprint("vm-", n), DataCentre: "here", Service: "s"})
		}
		l := &links{Env: env}
		l.drawSample()
		linked := slices.Clone(l.sample)
		for n := range others {
			row, _ := env.World.Members.Find(fmt.Sprint("vm-", (self+1+n)%size))
			linked = append(linked, env.World.Members.Endpoint[row])
		}
		for _, endpoint := range linked {
			if endpoint.VM != env.World.VM {
				peer := &link.Peer{Hello: wire.Hello{VM: endpoint.VM, DataCentre: "here"}}
				env.World.Peers.GetOrAdd(peer)
			}
		}
		f := &feedFollower{Env: env}
		if f.rankAmongPeers() < env.Settings.Placement.FeedReaders {
			count++
		}
	}
	return count
}

// TestNumberOfFeedFollowersDoesNotGrowWithTheFleet: it is FeedReaders in a data centre of
// any size. A daemon without links to the followers would call the store as well.
func TestNumberOfFeedFollowersDoesNotGrowWithTheFleet(t *testing.T) {
	for _, size := range []int{50, 200, 400} {
		test.Eq(t, testEnv().Settings.Placement.FeedReaders, countFollowers(size, size/4), test.Sprintf("%d daemons", size))
	}
}
