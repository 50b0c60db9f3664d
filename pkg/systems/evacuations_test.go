package systems

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/rushramp/rushramp/pkg/evacuation"
	"github.com/rushramp/rushramp/pkg/link"
	"github.com/rushramp/rushramp/pkg/placement"
	"github.com/rushramp/rushramp/pkg/store"
	"github.com/rushramp/rushramp/pkg/tables"
	"github.com/rushramp/rushramp/pkg/wire"
)

// evacuatedSet returns a set of evacuated data centres.
func evacuatedSet(revision uint64, dataCentres ...string) evacuation.Set {
	return evacuation.Set{Revision: revision, DataCentres: dataCentres}
}

// peerStateWith returns a state frame of a peer with a set of evacuated data centres.
func peerStateWith(set evacuation.Set) tables.PeerState {
	return tables.PeerState{Peer: &link.Peer{Hello: wire.Hello{VM: "peer"}}, State: &wire.State{Evacuation: set}}
}

// TestNewestEvacuationWins delivers the sets of several revisions in random order and
// repeatedly, from the store and from peers.
func TestNewestEvacuationWins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history := []evacuation.Set{{}}
		for revision := range uint64(8) {
			c := evacuation.Change{DataCentre: rapid.SampledFrom([]string{"here", "there"}).Draw(t, "data centre"), Evacuated: rapid.Bool().Draw(t, "evacuated")}
			history = append(history, history[revision].With(revision+1, []evacuation.Change{c}))
		}
		env := testEnv()
		system := &evacuations{Env: env}
		newest := uint64(0)
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			set := rapid.SampledFrom(history).Draw(t, "set")
			newest = max(newest, set.Revision)
			mail := &tables.Mail{}
			if rapid.Bool().Draw(t, "from the store") {
				mail.Evacuation = &set
			} else {
				mail.PeerStates = []tables.PeerState{peerStateWith(set)}
			}
			system.Tick(0, mail)
			test.Eq(t, history[newest], env.World.View.Evacuation())
			test.Eq(t, newest, env.Control.State().Evacuation.Revision, test.Sprint("the state for peers has the same set"))
		}
	})
}

// TestEvacuationAfterTheFeedLostItsHistory: the evacuation of a data centre ended in the
// part of the history that was lost.
func TestEvacuationAfterTheFeedLostItsHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		update := func(cursor uint64, changes ...evacuation.Change) func(uint64) (placement.FeedUpdate, error) {
			return func(uint64) (placement.FeedUpdate, error) {
				return placement.FeedUpdate{Cursor: cursor, Evacuations: changes}, nil
			}
		}
		a, b := evacuation.Change{DataCentre: "a", Evacuated: true}, evacuation.Change{DataCentre: "b", Evacuated: true}
		feed := &scriptedFeed{steps: []func(uint64) (placement.FeedUpdate, error){
			update(4, a), update(6, b), returnsError(store.ErrHistoryGone), update(9, b), update(11, evacuation.Change{DataCentre: "b"}),
		}}
		env, _ := startFollower(t, feed)
		follower, system := newFeedFollower(env), &evacuations{Env: env}
		var seen []evacuation.Set
		for range 200 {
			mail := env.World.Inbox.Take()
			follower.Tick(env.Now(), &mail)
			system.Tick(env.Now(), &mail)
			if now := env.World.View.Evacuation(); len(seen) == 0 || now.Revision != seen[len(seen)-1].Revision {
				seen = append(seen, now)
			}
			time.Sleep(20 * time.Millisecond)
			synctest.Wait()
		}
		must.Eq(t, []evacuation.Set{{}, evacuatedSet(4, "a"), evacuatedSet(6, "a", "b"), evacuatedSet(9, "b"), {Revision: 11, DataCentres: []string{}}}, seen)
	})
}

// TestSubsetsExcludeEvacuatedDataCentres, even if no endpoint remains.
func TestSubsetsExcludeEvacuatedDataCentres(t *testing.T) {
	env := testEnv()
	rules := placement.Service{Name: "s", Kinds: []placement.Kind{{Name: "k", Path: "/*", DataCentres: []string{"here", "there"}}}}
	kind := placement.Compile(&placement.Document{Services: []placement.Service{rules}}).Service("s").Kinds[0]
	for _, dc := range []string{"here", "there"} {
		env.World.Members.Merge(0, nil, wire.Member{VM: dc, DataCentre: dc, Service: "s"})
	}
	names := func() (out []string) {
		for _, endpoint := range env.subset(kind) {
			out = append(out, endpoint.VM)
		}
		return out
	}
	must.Len(t, 2, names())
	env.World.View.SetEvacuation(evacuatedSet(3, "here"))
	test.Eq(t, []string{"there"}, names())
	env.World.View.SetEvacuation(evacuatedSet(4, "here", "there"))
	test.Len(t, 0, names())
	env.World.View.SetEvacuation(evacuatedSet(5))
	test.Len(t, 2, names())
}
