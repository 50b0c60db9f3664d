package systems

import (
	"fmt"
	"slices"
	"testing"

	"github.com/shoenig/test"

	"github.com/rushramp/rushramp/pkg/link"
	"github.com/rushramp/rushramp/pkg/wire"
)

// followersOf counts the daemons that take themselves for followers of the feed in a data
// centre of some size, where each has links to the VMs of its sample and to some others.
func followersOf(size, others int) (count int) {
	for own := range size {
		env := testEnv()
		env.Feed = &scriptedFeed{}
		env.World.VM, env.World.DataCentre = fmt.Sprint("vm-", own), "here"
		for n := range size {
			env.World.Members.Merge(1, nil, wire.Member{VM: fmt.Sprint("vm-", n), DataCentre: "here", Service: "s"})
		}
		l := &links{Env: env}
		l.drawSample()
		linked := slices.Clone(l.sample)
		for n := range others {
			row, _ := env.World.Members.Find(fmt.Sprint("vm-", (own+1+n)%size))
			linked = append(linked, env.World.Members.Endpoint[row])
		}
		for _, route := range linked {
			if route.VM != env.World.VM {
				peer := &link.Peer{Hello: wire.Hello{VM: route.VM, DataCentre: "here"}}
				env.World.Peers.GetOrAdd(peer)
			}
		}
		f := &feedFollower{Env: env}
		if f.ahead() < env.Settings.Placement.FeedReaders {
			count++
		}
	}
	return count
}

// TestFollowersOfTheFeedDoNotGrowWithTheFleet: three a data centre, whatever its size. A
// daemon with no link to them would ask the store as well.
func TestFollowersOfTheFeedDoNotGrowWithTheFleet(t *testing.T) {
	for _, size := range []int{50, 200, 400} {
		test.Eq(t, testEnv().Settings.Placement.FeedReaders, followersOf(size, size/4), test.Sprintf("%d daemons", size))
	}
}
