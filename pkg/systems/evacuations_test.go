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

func evacuated(revision uint64, dataCentres ...string) evacuation.Set {
	return evacuation.Set{Revision: revision, DataCentres: dataCentres}
}

// told is a peer's word on the evacuated data centres.
func told(set evacuation.Set) tables.PeerState {
	return tables.PeerState{Peer: &link.Peer{Hello: wire.Hello{VM: "peer"}}, State: &wire.State{Evacuation: set}}
}

// TestTheNewestSetOfEvacuatedDataCentresHolds hands out what stood in the store at
// each revision in any order, from the store and from peers, old ones again.
func TestTheNewestSetOfEvacuatedDataCentresHolds(t *testing.T) {
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
				mail.PeerStates = []tables.PeerState{told(set)}
			}
			system.Tick(0, mail)
			test.Eq(t, history[newest], env.World.View.Evacuation())
			test.Eq(t, newest, env.Control.State().Evacuation.Revision, test.Sprint("peers are told the same"))
		}
	})
}

// TestTheSetOutlivesAFeedThatLostItsHistory: a data centre that was taken back in
// the gap is not evacuated any more.
func TestTheSetOutlivesAFeedThatLostItsHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		says := func(cursor uint64, changes ...evacuation.Change) func(uint64) (placement.FeedUpdate, error) {
			return func(uint64) (placement.FeedUpdate, error) {
				return placement.FeedUpdate{Cursor: cursor, Evacuations: changes}, nil
			}
		}
		a, b := evacuation.Change{DataCentre: "a", Evacuated: true}, evacuation.Change{DataCentre: "b", Evacuated: true}
		feed := &scriptedFeed{steps: []func(uint64) (placement.FeedUpdate, error){
			says(4, a), says(6, b), fails(store.ErrHistoryGone), says(9, b), says(11, evacuation.Change{DataCentre: "b"}),
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
		must.Eq(t, []evacuation.Set{{}, evacuated(4, "a"), evacuated(6, "a", "b"), evacuated(9, "b"), {Revision: 11, DataCentres: []string{}}}, seen)
	})
}

// TestSubsetsPassEvacuatedDataCentresOver, also where that leaves nobody.
func TestSubsetsPassEvacuatedDataCentresOver(t *testing.T) {
	env := testEnv()
	rules := placement.Service{Name: "s", Kinds: []placement.Kind{{Name: "k", Path: "/*", DataCentres: []string{"here", "there"}}}}
	kind := placement.Compile(&placement.Document{Services: []placement.Service{rules}}).Service("s").Kinds[0]
	for _, dc := range []string{"here", "there"} {
		env.World.Members.Merge(0, nil, wire.Member{VM: dc, DataCentre: dc, Service: "s"})
	}
	names := func() (out []string) {
		for _, route := range env.subset(kind) {
			out = append(out, route.VM)
		}
		return out
	}
	must.Len(t, 2, names())
	env.World.View.SetEvacuation(evacuated(3, "here"))
	test.Eq(t, []string{"there"}, names())
	env.World.View.SetEvacuation(evacuated(4, "here", "there"))
	test.Len(t, 0, names())
	env.World.View.SetEvacuation(evacuated(5))
	test.Len(t, 2, names())
}
