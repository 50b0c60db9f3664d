package systems

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/rushramp/rushramp/pkg/events"
	"github.com/rushramp/rushramp/pkg/link"
	"github.com/rushramp/rushramp/pkg/store"
	"github.com/rushramp/rushramp/pkg/tables"
	"github.com/rushramp/rushramp/pkg/wire"
)

// countingVMList is a list of VMs that counts the reads and the written entries.
type countingVMList struct {
	store.Platform
	mu     sync.Mutex
	vms    []store.VM
	reads  int
	writes int
}

func (c *countingVMList) VMs(context.Context, string) ([]store.VM, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reads++
	return c.vms, nil
}

func (c *countingVMList) Register(_ context.Context, vm store.VM) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writes++
	c.vms = append(c.vms, vm)
	return nil
}

// newStartEnv makes a daemon that reads list. run runs its systems for a duration of fake
// time.
func newStartEnv(t *testing.T, first bool, list *countingVMList) (env *Env, run func(time.Duration)) {
	env = testEnv()
	env.Settings.Platform.FirstStart = first
	env.Settings.Platform.VMListEvery = 20 * time.Second
	env.DaemonContext, env.Platform, env.Registrar = t.Context(), list, list
	systems := []System{
		&vmListReader{Env: env, outage: events.NewOutage(env.Log, "list")},
		&registration{Env: env, outage: events.NewOutage(env.Log, "entry")},
	}
	return env, func(d time.Duration) {
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			mail := env.World.Inbox.Take()
			for _, s := range systems {
				s.Tick(env.Now(), &mail)
			}
			synctest.Wait()
		}
	}
}

func addMembers(env *Env, count int) {
	for n := range count {
		env.World.Members.Merge(env.Now(), nil, wire.Member{VM: fmt.Sprint("m", n), DataCentre: "here", Service: "s"})
	}
}

func TestFirstStartReadsTheListAfterADelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := &countingVMList{}
		_, run := newStartEnv(t, true, list)
		run(minFirstListDelay - time.Millisecond)
		test.Eq(t, 0, list.reads)
		test.Eq(t, 1, list.writes, test.Sprint("its own entry is written at once"))
		// The ticks of run are 20 ms apart.
		run(firstListSpread + 40*time.Millisecond)
		test.Eq(t, 1, list.reads)
	})
}

// TestDaemonToldOfMembersReadsTheListOnlyAfterARestart and not at the first start of the
// fleet.
func TestDaemonToldOfMembersReadsTheListOnlyAfterARestart(t *testing.T) {
	for _, tc := range []struct {
		name  string
		first bool
		after time.Duration
		reads int
	}{
		{"first start", true, 2 * firstListSpread, 0},
		{"restart", false, 20 * time.Millisecond, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				list := &countingVMList{}
				env, run := newStartEnv(t, tc.first, list)
				addMembers(env, enoughMembers+1)
				run(tc.after)
				test.Eq(t, tc.reads, list.reads)
			})
		})
	}
}

func TestListedEntryIsNotWrittenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := &countingVMList{}
		env, run := newStartEnv(t, false, list)
		list.vms = []store.VM{{ID: "other"}, (&registration{Env: env}).ownEntry()}
		run(10 * time.Second)
		test.Eq(t, 0, list.writes)
	})
}

func TestChangedEntryIsWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := &countingVMList{}
		env, run := newStartEnv(t, false, list)
		old := (&registration{Env: env}).ownEntry()
		old.Links = "10.0.0.9:1"
		list.vms = []store.VM{old}
		run(10 * time.Second)
		test.Eq(t, 1, list.writes)
	})
}

// TestSeedsAreDialledOneAfterTheOther guards against all daemons of a fleet dialling all
// seeds at once, which gave each of three seeds 295 links from 295 daemons.
func TestSeedsAreDialledOneAfterTheOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := testEnv()
		env.DaemonContext = t.Context()
		env.Settings.Listen.Links = "10.0.0.1:7000"
		env.Settings.Links.Seeds = []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1", "10.0.0.4:1"}
		dialled := failAndCountDials(env)
		s := &seedDialer{Env: env}
		s.Tick(env.Now(), &tables.Mail{})
		synctest.Wait()
		test.MapLen(t, 1, dialled)
		for range 2 {
			time.Sleep(seedDialInterval)
			s.Tick(env.Now(), &tables.Mail{})
			synctest.Wait()
		}
		test.Eq(t, map[string]int{"10.0.0.2:7000": 1, "10.0.0.3:7000": 1, "10.0.0.4:7000": 1}, dialled)
	})
}

func TestFirstStartDelaysTheDialsOfSeeds(t *testing.T) {
	env := testEnv()
	env.Settings.Platform.FirstStart = true
	env.Settings.Links.Seeds = []string{"10.0.0.2:1"}
	s := &seedDialer{Env: env}
	s.Tick(int64(firstStartSeedDelay)-1, &tables.Mail{})
	test.SliceEmpty(t, s.addresses)
}

func TestFirstStartOnlyHighestRankedDaemonsFollowTheFeed(t *testing.T) {
	env := testEnv()
	env.Settings.Platform.FirstStart = true
	env.Settings.Placement.FeedReaders = 1
	f := newFeedFollower(env)
	test.False(t, f.mustFollow(1), test.Sprint("the other members are not known yet"))
	test.True(t, f.mustFollow(int64(firstStartFollowDelay)), test.Sprint("there is no other member"))
	// Some of these members rank higher, but there are no links to them yet.
	addMembers(env, 20)
	must.Positive(t, f.rankInDataCentre())
	test.False(t, f.mustFollow(int64(firstStartFollowDelay)))
	test.True(t, f.mustFollow(int64(firstStartFollowAllDelay)), test.Sprint("no peer has sent a placement"))
	env.Settings.Platform.FirstStart = false
	test.True(t, f.mustFollow(1), test.Sprint("a restarted daemon follows at once"))
}

func TestFirstStartAcceptsAPlacementFromOneDataCentre(t *testing.T) {
	env := testEnv()
	env.Settings.Platform.FirstStart = true
	env.World.Members.Merge(1, nil, wire.Member{VM: "x", DataCentre: "b"})
	env.World.Members.Merge(1, nil, wire.Member{VM: "y", DataCentre: "c"})
	(&placements{Env: env}).Tick(1, &tables.Mail{PlacementUpdates: []tables.PeerPlacementUpdate{updateFrom(t, "b", 4)}})
	test.Eq(t, 4, env.World.PlacementVersion())
}

// TestAntiEntropyAsksPeersOfItsDataCentreFirst: if a whole data centre lacks a row, one
// daemon requests it from another data centre, not all.
func TestAntiEntropyAsksPeersOfItsDataCentreFirst(t *testing.T) {
	env := testEnv()
	a := &antiEntropy{Env: env, extraWait: time.Second}
	near := &link.Peer{Hello: wire.Hello{DataCentre: "here"}}
	far := &link.Peer{Hello: wire.Hello{DataCentre: "there"}}
	test.Eq(t, 0, a.settleTimeFor(near), test.Sprint("the table is initial"))
	test.Eq(t, sameDataCentreHeadStart, a.settleTimeFor(far))
	addMembers(env, 3)
	test.Eq(t, settleTime, a.settleTimeFor(near))
	test.Eq(t, settleTime+time.Second, a.settleTimeFor(far))
}

// TestOnceSweeperDoesNotSweepAtStart: a daemon that has just started knows no other
// member and takes itself for a reader, so 295 daemons made 295 calls to the store.
func TestOnceSweeperDoesNotSweepAtStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := testEnv()
		env.DaemonContext = t.Context()
		sweeps := 0
		env.SweepOnceRows = func(context.Context) (int, error) { sweeps++; return 0, nil }
		s := &onceSweeper{Env: env}
		s.Tick(1, &tables.Mail{})
		s.Tick(int64(onceSweepInterval), &tables.Mail{})
		synctest.Wait()
		test.Eq(t, 0, sweeps)
		s.Tick(1+int64(onceSweepInterval), &tables.Mail{})
		synctest.Wait()
		test.Eq(t, 1, sweeps)
	})
}
