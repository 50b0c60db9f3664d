package systems

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/rushramp/rushramp/pkg/link"
	"github.com/rushramp/rushramp/pkg/placement"
	"github.com/rushramp/rushramp/pkg/store"
	"github.com/rushramp/rushramp/pkg/tables"
	"github.com/rushramp/rushramp/pkg/utils"
	"github.com/rushramp/rushramp/pkg/wire"
)

// scriptedFeed answers each request with the next step. Without a step a request hangs
// until its context ends, as with a connection that is cut off.
type scriptedFeed struct {
	mu    sync.Mutex
	steps []func(after uint64) (placement.FeedUpdate, error)
	asked []uint64
}

func (s *scriptedFeed) next(ctx context.Context, after uint64) (placement.FeedUpdate, error) {
	s.mu.Lock()
	s.asked = append(s.asked, after)
	if len(s.steps) == 0 {
		s.mu.Unlock()
		<-ctx.Done()
		return placement.FeedUpdate{}, ctx.Err()
	}
	step := s.steps[0]
	s.steps = s.steps[1:]
	s.mu.Unlock()
	return step(after)
}

func (s *scriptedFeed) Newest(ctx context.Context) (placement.FeedUpdate, error) {
	return s.next(ctx, 0)
}

func (s *scriptedFeed) Next(ctx context.Context, after uint64, _ time.Duration) (placement.FeedUpdate, error) {
	return s.next(ctx, after)
}

func returnsVersion(version, cursor uint64) func(uint64) (placement.FeedUpdate, error) {
	return func(uint64) (placement.FeedUpdate, error) {
		return placement.FeedUpdate{Document: &placement.Document{Version: version}, Cursor: cursor}, nil
	}
}

func returnsError(err error) func(uint64) (placement.FeedUpdate, error) {
	return func(uint64) (placement.FeedUpdate, error) { return placement.FeedUpdate{}, err }
}

// count returns the number of requests.
func (s *scriptedFeed) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.asked)
}

// startFollower makes a daemon with a feed follower and the placements system. tick runs
// both for a duration of fake time.
func startFollower(t *testing.T, feed *scriptedFeed) (env *Env, tick func(time.Duration)) {
	env = testEnv()
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	env.DaemonContext, env.Feed = ctx, feed
	follower, placementSystem := newFeedFollower(env), &placements{Env: env}
	return env, func(d time.Duration) {
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			mail := env.World.Inbox.Take()
			follower.Tick(env.Now(), &mail)
			placementSystem.Tick(env.Now(), &mail)
			synctest.Wait()
		}
	}
}

func TestFeedFollowerNeverLowersTheVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		feed := &scriptedFeed{steps: []func(uint64) (placement.FeedUpdate, error){
			returnsVersion(4, 10), returnsVersion(3, 11), returnsError(store.ErrHistoryGone), returnsVersion(2, 9), returnsVersion(6, 13),
		}}
		env, tick := startFollower(t, feed)
		for range 40 {
			before := env.World.PlacementVersion()
			tick(50 * time.Millisecond)
			must.GreaterEq(t, before, env.World.PlacementVersion())
		}
		test.Eq(t, 6, env.World.PlacementVersion())
		// After the history was gone it read the newest version, and continued from
		// there.
		test.Eq(t, []uint64{0, 10, 11, 0, 9, 13}, feed.asked)
	})
}

func TestHangingFeedRequestIsAbortedWhenAPeerHasANewerVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		feed := &scriptedFeed{steps: []func(uint64) (placement.FeedUpdate, error){returnsVersion(4, 10)}}
		env, tick := startFollower(t, feed)
		tick(4 * followCheckInterval)
		must.Eq(t, []uint64{0, 10}, feed.asked)
		env.World.Inbox.Post(true, func(m *tables.Mail) { m.PlacementUpdates = append(m.PlacementUpdates, updateFrom(t, "there", 7)) })
		tick(2 * feedLagTolerance)
		test.Eq(t, 7, env.World.PlacementVersion())
		must.SliceLen(t, 3, feed.asked)
		test.Eq(t, 10, feed.asked[2])
	})
}

// TestLeadFollowerAsksAgainWithinThreeSeconds: a store that stopped responding never
// answers the requests that were open, and all followers may wait for these.
func TestLeadFollowerAsksAgainWithinThreeSeconds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		feed := &scriptedFeed{steps: []func(uint64) (placement.FeedUpdate, error){returnsVersion(4, 10)}}
		env, tick := startFollower(t, feed)
		tick(4 * followCheckInterval)
		must.Eq(t, []uint64{0, 10}, feed.asked)
		feed.mu.Lock()
		feed.steps = append(feed.steps, returnsVersion(5, 11))
		feed.mu.Unlock()
		tick(3*time.Second + minFeedBackoff)
		test.Eq(t, 5, env.World.PlacementVersion())
	})
}

// TestLeadFollowerAsksAgainSoonAfterTwoOutages: the store refuses requests for a while,
// so that the backoff grows, then does not respond, and then answers again. The time for
// which a request has hung must count as part of the backoff.
func TestLeadFollowerAsksAgainSoonAfterTwoOutages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		feed := &scriptedFeed{steps: []func(uint64) (placement.FeedUpdate, error){returnsVersion(4, 10)}}
		const refusals = 8
		for range refusals {
			feed.steps = append(feed.steps, returnsError(errors.New("down")))
		}
		env, tick := startFollower(t, feed)
		for feed.count() < 2+refusals {
			tick(followCheckInterval)
		}
		feed.mu.Lock()
		feed.steps = append(feed.steps, returnsVersion(5, 11))
		feed.mu.Unlock()
		tick(maxLeadWait + leadTimeoutMargin + 2*minFeedBackoff)
		test.Eq(t, 5, env.World.PlacementVersion())
	})
}

func TestFailingFeedIsAskedSeldom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		feed := &scriptedFeed{}
		for range 1000 {
			feed.steps = append(feed.steps, returnsError(errors.New("down")))
		}
		_, tick := startFollower(t, feed)
		tick(20 * time.Second)
		test.Between(t, 8, len(feed.asked), 30)
	})
}

// TestFewDaemonsOfADataCentreFollowTheFeed checks that a lower ranked daemon gets updates
// over its links, and follows the feed only without links.
func TestFewDaemonsOfADataCentreFollowTheFeed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		feed := &scriptedFeed{steps: []func(uint64) (placement.FeedUpdate, error){returnsVersion(4, 10)}}
		env, tick := startFollower(t, feed)
		env.Settings.Placement.FeedReaders = 1
		tick(followCheckInterval)
		must.Eq(t, 4, env.World.PlacementVersion(), must.Sprint("a daemon without a placement reads it"))
		ownWeight := utils.RendezvousWeight("here", "vm")
		var peers []*link.Peer
		for n := 0; len(peers) < 2; n++ {
			if vm := fmt.Sprint("other", n); utils.RendezvousWeight("here", vm) > ownWeight {
				peers = append(peers, &link.Peer{Hello: wire.Hello{VM: vm, DataCentre: "here"}})
				env.World.Peers.GetOrAdd(peers[len(peers)-1])
			}
		}
		tick(4 * followCheckInterval)
		asked := len(feed.asked)
		must.Eq(t, 1, asked, must.Sprint("it has links and does not follow"))
		feed.mu.Lock()
		feed.steps = append(feed.steps, returnsVersion(5, 11))
		feed.mu.Unlock()
		tick(30 * time.Second)
		test.Eq(t, asked, len(feed.asked), test.Sprint("it is idle"))
		env.World.Peers.Remove(peers[0])
		env.World.Peers.Remove(peers[1])
		tick(2 * followCheckInterval)
		must.Eq(t, 5, env.World.PlacementVersion(), must.Sprint("without links it follows"))
	})
}
